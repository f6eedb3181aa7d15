//! Notices of upstreams survive their text form, are kept for a time and name one process.

use std::time::Duration;

use goldcresttally_core::{Generation, MonoTime, NodeId, Rate};
use goldcresttally_routing::{Notices, UpstreamNotice};

fn notice(rate: Option<f64>, leaving: bool) -> UpstreamNotice {
    UpstreamNotice {
        instance: "i-7f3a91c2".parse().unwrap(),
        generation: Generation(1_771_376_889_016),
        rate: rate.map(Rate),
        leaving,
    }
}

#[test]
fn text_form_round_trips() {
    for rate in [None, Some(0.0), Some(11.75)] {
        for leaving in [false, true] {
            let notice = notice(rate, leaving);
            assert_eq!(notice.to_string().parse::<UpstreamNotice>().unwrap(), notice);
        }
    }
}

#[test]
fn malformed_text_is_refused() {
    for text in ["", "i-1", "i-1 5", "i-1 x 3", "i-1 5 -3/s", "i-1 5 NaN", "a b c d"] {
        assert!(text.parse::<UpstreamNotice>().is_err(), "{text}");
    }
}

#[test]
fn notice_is_kept_for_a_time() {
    let node: NodeId = "127.0.0.1:7400".parse().unwrap();
    let notices = Notices::default();
    let now = MonoTime::from_millis(1000);
    notices.record(now, node, notice(Some(3.0), false));
    notices.record(now, node, notice(Some(3.0), true));
    assert_eq!(notices.get(now + Duration::from_secs(30), node), Some(notice(Some(3.0), true)));
    assert_eq!(notices.get(now + Duration::from_secs(61), node), None);
}
