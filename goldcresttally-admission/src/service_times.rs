//! How long calls take at one upstream, by class of call.

use std::time::Duration;

use goldcresttally_core::Map;

/// Weight of one sample in an average.
const WEIGHT: f64 = 0.1;

/// Weight of one sample in the averages of the first ones.
const FIRST_WEIGHT: f64 = 0.5;

/// Samples after which an average counts as settled.
const SETTLED_SAMPLES: u32 = 5;

/// Most classes that are told apart; further ones share the overall average.
const CLASS_LIMIT: usize = 64;

/// Calls with the same rank and target are of one class: they ask for the same kind of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CallClass {
    /// The rank.
    pub rank: usize,
    /// Time within which answers are on time.
    pub target: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Average {
    seconds: f64,
    samples: u32,
}

impl Average {
    fn add(&mut self, sample_s: f64) {
        let weight = match self.samples {
            0 => 1.0,
            n if n < SETTLED_SAMPLES => FIRST_WEIGHT,
            _ => WEIGHT,
        };
        self.seconds += weight * (sample_s - self.seconds);
        self.samples = self.samples.saturating_add(1);
    }
}

/// Average service times, overall and by class.
#[derive(Debug, Clone, Default)]
pub struct ServiceTimes {
    overall: Average,
    classes: Map<CallClass, Average>,
}

impl ServiceTimes {
    /// Takes the time that a call took.
    pub fn observe(&mut self, class: CallClass, took: Duration) {
        let sample_s = took.as_secs_f64();
        self.overall.add(sample_s);
        if self.classes.len() < CLASS_LIMIT || self.classes.contains_key(&class) {
            self.classes.entry(class).or_default().add(sample_s);
        }
    }

    /// Returns the usual time of all calls; zero while none is known.
    pub fn overall(&self) -> Duration {
        Duration::from_secs_f64(self.overall.seconds)
    }

    /// Returns the usual time of a class; that of all calls while it is unknown.
    pub fn for_class(&self, class: CallClass) -> Duration {
        let known = self.classes.get(&class).filter(|a| a.samples > 0);
        Duration::from_secs_f64(known.unwrap_or(&self.overall).seconds)
    }
}
