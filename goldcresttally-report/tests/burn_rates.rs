//! Burn rates follow the share of bad calls, also after summaries are serialized and merged.

use std::time::Duration;

use goldcresttally_core::Map;
use goldcresttally_report::{BurnReport, Recorder, Summary};

fn recorder(calls: usize, bad: usize) -> Recorder {
    let recorder = Recorder::default();
    for n in 0..calls {
        let latency = Duration::from_millis(10 + n as u64 % 5);
        recorder.record(&"booking".parse().unwrap(), &"urgent".parse().unwrap(), latency, n >= bad);
    }
    recorder
}

fn report(summary: &Summary) -> BurnReport {
    let objectives: Map<_, _> = [("booking".parse().unwrap(), 0.99)].into_iter().collect();
    BurnReport::new(1, summary, &objectives)
}

#[test]
fn burn_rate_follows_share_of_bad_calls() {
    let report = report(&recorder(1000, 20).summary());
    let row = &report.rows[0];
    assert!((row.burn[0] - 2.0).abs() < 1e-6, "{row:?}");
    assert_eq!((row.calls, row.bad, row.alert.as_str()), (1000, 20, "ok"));
    assert!((row.budget_left + 1.0).abs() < 1e-6);
    assert!((9.0..16.0).contains(&row.p50_ms));
}

#[test]
fn high_burn_rate_pages() {
    let report = report(&recorder(100, 50).summary());
    assert_eq!(report.rows[0].alert, "page");
    assert!(report.to_html().contains("class=\"page\""));
    assert!(report.to_text().contains("booking"));
}

#[test]
fn serialized_summaries_merge() {
    let mut merged = recorder(1000, 20).summary();
    let text = serde_json::to_string(&recorder(1000, 0).summary()).unwrap();
    let deserialized: Summary = serde_json::from_str(&text).unwrap();
    merged.merge(&deserialized);
    let report = report(&merged);
    assert!((report.rows[0].burn[0] - 1.0).abs() < 1e-6);
    assert_eq!(report.rows[0].calls, 2000);
}

#[test]
fn empty_summary_has_no_rows() {
    assert!(report(&Summary::default()).rows.is_empty());
}
