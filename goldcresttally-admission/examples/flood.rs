//! An upstream with two slots in a flood of lesser calls: the urgent one goes first.
//!
//! Run with `cargo run -p goldcresttally-admission --example flood`.

use std::time::Duration;

use goldcresttally_admission::{Admission, CallId, Event, Options, Outcome};
use goldcresttally_core::{Deadline, MonoTime};

fn main() {
    // Rank 0 is urgent; rank 1 keeps a tenth of the capacity under a flood of rank 0.
    let options = Options {
        max_concurrency: 2,
        queue_capacity: 4,
        floor_shares: vec![0.0, 0.1],
        ..Options::default()
    };
    let mut admission = Admission::new(options);
    let now = MonoTime::from_millis(0);
    let offer = |call, rank| Event::Offer {
        call: CallId(call),
        rank,
        deadline: Deadline::after(now, Duration::from_secs(5)),
        on_time_by: Deadline::after(now, Duration::from_secs(1)),
        target: Duration::from_secs(1),
    };
    let mut actions = Vec::new();
    for call in 1..=7 {
        admission.on_event(now, offer(call, 1), &mut actions);
    }
    admission.on_event(now, offer(8, 0), &mut actions);
    let later = MonoTime::from_millis(50);
    let ended = Event::Finish { call: CallId(1), outcome: Outcome::Answered };
    admission.on_event(later, ended, &mut actions);
    // Two run, four wait, one is refused; the urgent call takes a waiting one's place and then
    // the first slot that is free.
    for action in &actions {
        println!("{action:?}");
    }
    println!("{:?}", admission.load());
}
