//! Guards against a node that is short of processor time and serves almost nothing in time, because
//! it begins work on every call and each waits behind all others.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use goldcresttally_admission::{CallUrgency, PROBE_INTERVAL, ProcessorLoad};
use goldcresttally_core::MonoTime;

/// Processor time of a call on its way to the upstream, of its answer, and of a refusal, at full
/// speed, in microseconds.
const STAGE_US: f64 = 1000.0;
const REFUSAL_US: f64 = 150.0;
const PROBE_US: f64 = 20.0;
/// Time that the upstream takes, and the target, in microseconds.
const WORK_US: u64 = 50_000;
const TARGET_US: u64 = 150_000;
/// Calls per second; at full speed the node can serve 500.
const CALLS_PER_S: f64 = 480.0;

/// The kinds of calls: rank, whether nested, and share.
const KINDS: [(usize, bool, f64); 3] = [(3, false, 0.6), (1, false, 0.3), (2, true, 0.1)];

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Task {
    Arrive { kind: usize, at: u64 },
    Answer { kind: usize, at: u64 },
    Probe { due: u64 },
}

#[derive(Debug, Default)]
struct Counts {
    asked: [u32; 3],
    on_time: [u32; 3],
    refused: [u32; 3],
}

impl Counts {
    fn all_on_time(&self) -> f64 {
        f64::from(self.on_time.iter().sum::<u32>())
    }

    fn share(&self, kind: usize) -> f64 {
        f64::from(self.on_time[kind]) / f64::from(self.asked[kind])
    }
}

/// Plays a node with one processor that works on its tasks in the order in which they became ready.
/// Counts the calls that arrive between `from_s` and `until_s`; `pace` is its speed in a given second.
fn play(control: bool, from_s: u64, until_s: u64, seed: u64, pace: impl Fn(u64) -> f64) -> Counts {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut load = ProcessorLoad::default();
    let mut timers = BinaryHeap::new();
    let mut ready = VecDeque::new();
    let mut counts = Counts::default();
    let mut arrival = 0.0;
    while arrival < (until_s * 1_000_000) as f64 {
        arrival += -(1.0 - rng.f64()).ln() / CALLS_PER_S * 1e6;
        let pick = rng.f64();
        let kind = if pick < KINDS[0].2 { 0 } else { 1 + usize::from(pick > 1.0 - KINDS[2].2) };
        let at = arrival as u64;
        timers.push(Reverse((at, Task::Arrive { kind, at })));
    }
    timers.push(Reverse((0, Task::Probe { due: 0 })));
    let mut now = 0;
    loop {
        while let Some(Reverse((at, task))) = timers.peek().copied() {
            if at > now && !ready.is_empty() {
                break;
            }
            now = now.max(at);
            timers.pop();
            ready.push_back(task);
        }
        let Some(task) = ready.pop_front() else { return counts };
        let time = MonoTime(now);
        let counted = |at: u64| (from_s * 1_000_000..until_s * 1_000_000).contains(&at);
        let cost_us = match task {
            Task::Probe { due } => {
                load.on_probe(time, Duration::from_micros(now - due));
                let due = now + PROBE_INTERVAL.as_micros() as u64;
                if due < (until_s + 1) * 1_000_000 {
                    timers.push(Reverse((due, Task::Probe { due })));
                }
                PROBE_US
            }
            Task::Arrive { kind, at } => {
                let (rank, nested, _) = KINDS[kind];
                // The node learns of a call only now, so it does not know how long it has waited.
                let time_left = Duration::from_micros(TARGET_US);
                let urgency = CallUrgency { rank, nested, late: false, time_left };
                counts.asked[kind] += u32::from(counted(at));
                if !control || load.admit(time, &urgency, rng.f64()) {
                    timers.push(Reverse((now + WORK_US, Task::Answer { kind, at })));
                    STAGE_US
                } else {
                    counts.refused[kind] += u32::from(counted(at));
                    REFUSAL_US
                }
            }
            Task::Answer { kind, at } => {
                let on_time = now + STAGE_US as u64 - at <= TARGET_US;
                counts.on_time[kind] += u32::from(on_time && counted(at));
                STAGE_US
            }
        };
        now += (cost_us / pace(now / 1_000_000)) as u64;
    }
}

#[test]
fn node_slowed_by_a_quarter_serves_about_a_quarter_less() {
    for seed in 1..=5 {
        let full = play(true, 2, 10, seed, |_| 1.0).all_on_time();
        let without = play(false, 2, 10, seed, |_| 0.75).all_on_time();
        let slowed = play(true, 2, 10, seed, |_| 0.75);
        println!("full {full}, slowed without control {without}, with it {}", slowed.all_on_time());
        assert!(without < 0.2 * full, "the load does not show the fault: {without} of {full}");
        assert!(slowed.all_on_time() > 0.7 * full, "{slowed:?} of {full}");
    }
}

#[test]
fn node_that_gets_slower_serves_from_the_first_second_on() {
    for seed in 1..=5 {
        let full = play(true, 5, 6, seed, |_| 1.0).all_on_time();
        let slowed = play(true, 5, 6, seed, |s| if s < 5 { 1.0 } else { 0.75 });
        assert!(slowed.all_on_time() > 0.6 * full, "{slowed:?} of {full}");
    }
}

#[test]
fn least_urgent_calls_are_refused_first_and_nested_ones_last() {
    for seed in 1..=5 {
        let slowed = play(true, 2, 10, seed, |_| 0.75);
        assert!(slowed.share(1) > 0.97 && slowed.share(2) > 0.97, "{slowed:?}");
        // Less than half of the speed does not reach for rank 3 at all.
        let slowed = play(true, 2, 10, seed, |_| 0.4);
        assert!(slowed.share(0) < 0.1, "{slowed:?}");
        assert!(slowed.share(2) > 0.9, "{slowed:?}");
    }
}

#[test]
fn calls_are_served_again_soon_after_the_shortage() {
    for seed in 1..=5 {
        let after = play(true, 7, 10, seed, |s| if s < 6 { 0.6 } else { 1.0 });
        let refused: u32 = after.refused.iter().sum();
        assert!(f64::from(refused) < 0.12 * 3.0 * CALLS_PER_S, "{after:?}");
        assert!(after.all_on_time() > 0.85 * 3.0 * CALLS_PER_S, "{after:?}");
    }
}

#[test]
fn pauses_without_a_queue_refuse_no_calls() {
    let mut load = ProcessorLoad::default();
    let mut now = MonoTime::from_millis(1000);
    // A quota that is used up in each period of 100 ms delays one probe in three.
    for probe in 0..300 {
        let late = Duration::from_millis(if probe % 3 == 0 { 60 } else { 0 });
        now = now + PROBE_INTERVAL + late;
        assert_eq!(load.on_probe(now, late), None);
    }
    assert!(!load.is_short());
}

#[test]
fn call_that_cannot_be_answered_in_time_is_refused() {
    let mut load = ProcessorLoad::default();
    let mut now = MonoTime::from_millis(1000);
    for _ in 0..20 {
        now = now + Duration::from_millis(70);
        load.on_probe(now, Duration::from_millis(50));
    }
    let call = |time_left_ms| CallUrgency {
        rank: 0,
        nested: true,
        late: false,
        time_left: Duration::from_millis(time_left_ms),
    };
    assert!(!load.admit(now, &call(150), 0.99), "four waits of 50 ms");
    assert!(load.admit(now, &call(400), 0.99));
}
