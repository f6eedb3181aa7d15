//! Guards against calls that go from one full upstream to the next before they are refused, and
//! against refused calls that ran, on real nodes with overload control.

mod common;

use common::{Harness, call_spec};
use goldcresttally_standin::upstream::Behaviour;
use tally_lab::documents;
use tally_lab::fleet::FleetOptions;
use tally_lab::load::Outcome;

/// Longer than the calls of a burst take to arrive, also on a busy machine.
const SERVICE_MS: f64 = 600.0;
/// Slots of each of the two upstreams.
const SLOTS: u32 = 2;
const CALLS: usize = 40;

#[tokio::test(flavor = "multi_thread")]
async fn calls_beyond_the_room_are_refused_after_three_attempts_at_most() {
    let behaviour = Behaviour { slots: SLOTS, service_ms: SERVICE_MS, ..common::fast_behaviour() };
    let options = FleetOptions { overload_control: true, ..FleetOptions::default() };
    let section = documents::service_section("booking", 4000, 64);
    let upstreams = [(1, behaviour.clone()), (2, behaviour)];
    let harness = Harness::start_fleet(options, 3, &upstreams, &section).await;
    // Both nodes learn the service time. It uses up the target, so no call of the burst waits.
    for i in 0..6 {
        let spec = call_spec(&format!("first-{i}"), "write", SERVICE_MS);
        assert_eq!(harness.call(0, &spec).await, Outcome::Answered);
    }
    let attempts =
        |harness: &Harness| -> u64 { (0..3).map(|i| harness.counter(i, "attempts")).sum() };
    let before = attempts(&harness);
    let specs: Vec<_> =
        (0..CALLS).map(|i| call_spec(&format!("burst-{i}"), "write", SERVICE_MS)).collect();
    let calls: Vec<_> = specs
        .iter()
        .map(|spec| {
            let (caller, entry, spec) = (harness.caller.clone(), harness.entry(0), spec.clone());
            tokio::spawn(async move { caller.call(entry, &spec).await.0 })
        })
        .collect();
    let mut outcomes = Vec::new();
    for call in calls {
        outcomes.push(call.await.unwrap());
    }
    let refused = outcomes.iter().filter(|outcome| **outcome == Outcome::NotRun).count();
    let answered = outcomes.iter().filter(|outcome| **outcome == Outcome::Answered).count();
    assert_eq!(refused + answered, CALLS, "{outcomes:?}");
    assert!(answered >= SLOTS as usize && refused >= CALLS / 2, "{outcomes:?}");
    for (spec, outcome) in specs.iter().zip(&outcomes) {
        let ran = harness.record.run(&spec.id).started > 0;
        assert_eq!(ran, *outcome == Outcome::Answered, "{}", spec.id);
    }
    assert!(attempts(&harness) - before <= 3 * CALLS as u64);
    let decisions = ["refused_at_once", "not_attempted_again", "processor_refused", "throttled"];
    let decided: u64 = decisions.iter().map(|name| harness.counter(0, name)).sum();
    assert!(decided >= refused as u64, "{decided} decisions for {refused} refusals");
    // There is room again.
    let last = call_spec("last", "write", SERVICE_MS);
    assert_eq!(harness.call(0, &last).await, Outcome::Answered);
    harness.stop().await;
}
