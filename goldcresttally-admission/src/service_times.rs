//! Average service times at one upstream, by call class.

use std::time::Duration;

use goldcresttally_core::Map;

/// Weight of one sample in a moving average.
const WEIGHT: f64 = 0.1;

/// Weight of each of the first samples, after the very first.
const INITIAL_WEIGHT: f64 = 0.5;

/// Number of samples after which `WEIGHT` applies.
const INITIAL_SAMPLES: u32 = 5;

/// Maximum number of classes with their own average; further ones use the overall average.
const MAX_CLASSES: usize = 64;

/// A class of calls, which have the same rank and target and presumably ask for similar work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CallClass {
    /// The rank.
    pub rank: usize,
    /// Time within which the calls are to be answered.
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
            n if n < INITIAL_SAMPLES => INITIAL_WEIGHT,
            _ => WEIGHT,
        };
        self.seconds += weight * (sample_s - self.seconds);
        self.samples = self.samples.saturating_add(1);
    }
}

/// Moving averages of service times, overall and by class.
#[derive(Debug, Clone, Default)]
pub struct ServiceTimes {
    overall: Average,
    classes: Map<CallClass, Average>,
}

impl ServiceTimes {
    /// Records the service time of a call.
    pub fn observe(&mut self, class: CallClass, service_time: Duration) {
        let sample_s = service_time.as_secs_f64();
        self.overall.add(sample_s);
        if self.classes.len() < MAX_CLASSES || self.classes.contains_key(&class) {
            self.classes.entry(class).or_default().add(sample_s);
        }
    }

    /// Returns the average service time of all calls, or zero while there are no samples.
    pub fn overall(&self) -> Duration {
        Duration::from_secs_f64(self.overall.seconds)
    }

    /// Returns the average service time of a class, or that of all calls if the class has none.
    pub fn for_class(&self, class: CallClass) -> Duration {
        let known = self.classes.get(&class).filter(|a| a.samples > 0);
        Duration::from_secs_f64(known.unwrap_or(&self.overall).seconds)
    }
}
