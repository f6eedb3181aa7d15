//! Schedules the large request bodies that arrive over a VM's link.
//!
//! A sender asks before it sends a body. A body is granted while few granted bytes are still on
//! their way, so that the queue on the link stays short and short messages pass it quickly. Bodies
//! wait by rank and then by the time until which an answer is on time. One that cannot arrive in
//! time behind those before it is refused at once, with the time after which it could.
//!
//! While bodies wait, the rate at which they arrive is measured: other processes may use the link
//! too.

use std::time::Duration;

use goldcresttally_core::{BitRate, Deadline, Map, MonoTime};

/// Share of the link's rate that bodies may use; the rest is left to control traffic and short
/// messages.
const BODY_SHARE: f64 = 0.85;

/// Time for which granted bytes on their way may occupy the link before the next body is granted,
/// in milliseconds: longer than the round trip of a grant, so that the link does not run idle.
const GRANT_AHEAD_MS: u64 = 20;

/// Maximum number of granted bodies on their way while the link's rate is not known.
const MAX_GRANTED_UNMEASURED: usize = 4;

/// Time without arriving bytes after which a grant ends, in milliseconds.
const GRANT_LIFETIME_MS: u64 = 1000;

/// Bytes that a body longer than announced is expected to have still, each time it has used up its
/// grant.
const EXCESS_BYTES: u64 = 32 * 1024;

/// Time over which arriving bytes are measured while bodies wait, in milliseconds.
const MEASURED_SPAN_MS: u64 = 200;

/// Least share of the link's rate that bodies are expected to get, whatever is measured.
const MIN_MEASURED_SHARE: f64 = 0.25;

/// Weight of one measured span in the estimate of the link's rate.
const MEASURED_WEIGHT: f64 = 0.3;

/// Identifies a transfer at its scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TransferId(pub u64);

/// A body that a sender wants to send.
#[derive(Debug, Clone, Copy)]
pub struct TransferRequest {
    /// Its length in bytes, as far as it is known.
    pub bytes: u64,
    /// The rank of its call; 0 is the most urgent.
    pub rank: usize,
    /// Time until which an answer is on time.
    pub on_time_by: Deadline,
    /// Time after which an answer is useless.
    pub deadline: Deadline,
    /// Expected time from the arrival of the body to the answer.
    pub work: Duration,
}

/// An input of the scheduler.
#[derive(Debug, Clone, Copy)]
pub enum TransferEvent {
    /// A sender asks to send a body.
    Request(TransferId, TransferRequest),
    /// Bytes of a granted body have arrived.
    Received(TransferId, u64),
    /// A granted body has arrived, or is given up.
    End(TransferId),
    /// The sender of a waiting body has given up.
    Withdraw(TransferId),
    /// Time has passed.
    Tick,
}

/// A decision of the scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransferAction {
    /// The body may be sent now.
    Grant(TransferId),
    /// The body cannot arrive in time; after the given time it could.
    Refuse(TransferId, Duration),
}

/// The load of the link by bodies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TransferLoad {
    /// Granted bytes that have not arrived.
    pub granted_bytes: u64,
    /// Bytes of the bodies that wait for a grant.
    pub waiting_bytes: u64,
    /// The rate of the link; 0 while it is not known.
    pub rate: BitRate,
}

#[derive(Debug)]
struct Granted {
    /// Bytes that have not arrived.
    left: u64,
    expires: Deadline,
}

#[derive(Debug)]
struct Waiting {
    id: TransferId,
    request: TransferRequest,
    /// The time by which the body has to have arrived.
    arrive_by: Deadline,
}

impl Waiting {
    fn key(&self) -> (usize, Deadline, TransferId) {
        (self.request.rank, self.arrive_by, self.id)
    }
}

/// Measures the rate at which bodies arrive while others wait.
#[derive(Debug, Default)]
struct Measurement {
    since: Option<MonoTime>,
    bytes: u64,
    bytes_per_s: Option<f64>,
}

/// The scheduler of one VM's link.
#[derive(Debug)]
pub struct Transfers {
    /// The rate that the settings name; 0 if they name none, so that only the measured one counts.
    link: BitRate,
    granted: Map<TransferId, Granted>,
    granted_bytes: u64,
    /// In the order in which they are granted.
    waiting: Vec<Waiting>,
    measurement: Measurement,
}

impl Transfers {
    /// Returns a scheduler for a link with the given rate; with 0, the rate is measured.
    pub fn new(link: BitRate) -> Self {
        Self {
            link,
            granted: Map::default(),
            granted_bytes: 0,
            waiting: Vec::new(),
            measurement: Measurement::default(),
        }
    }

    /// Processes one event and appends the resulting decisions to `actions`.
    pub fn on_event(
        &mut self,
        now: MonoTime,
        event: TransferEvent,
        actions: &mut Vec<TransferAction>,
    ) {
        match event {
            TransferEvent::Request(id, request) => self.on_request(now, id, request, actions),
            TransferEvent::Received(id, bytes) => self.on_received(now, id, bytes),
            TransferEvent::End(id) => self.release(id),
            TransferEvent::Withdraw(id) => self.waiting.retain(|w| w.id != id),
            TransferEvent::Tick => {
                self.expire_grants(now);
                self.refuse_late(now, actions);
            }
        }
        self.grant_waiting(now, actions);
        if self.waiting.is_empty() {
            self.measurement.since = None;
        }
    }

    /// Returns whether a grant still holds. It has to be checked when its body arrives, since the
    /// process may have been paused in between.
    pub fn is_granted(&self, now: MonoTime, id: TransferId) -> bool {
        self.granted.get(&id).is_some_and(|granted| !granted.expires.is_past(now))
    }

    /// Returns the load of the link.
    pub fn load(&self) -> TransferLoad {
        let waiting_bytes = self.waiting.iter().map(|w| w.request.bytes).sum();
        let rate = BitRate((self.bytes_per_s().unwrap_or(0.0) * 8.0) as u64);
        TransferLoad { granted_bytes: self.granted_bytes, waiting_bytes, rate }
    }

    /// Returns the time after which a body of `rank` would begin to arrive.
    pub fn expected_wait(&self, rank: usize) -> Duration {
        let ahead = self.waiting.iter().filter(|w| w.request.rank <= rank);
        let ahead: u64 = ahead.map(|w| w.request.bytes).sum();
        self.time_for(self.granted_bytes + ahead)
    }

    fn on_request(
        &mut self,
        now: MonoTime,
        id: TransferId,
        request: TransferRequest,
        actions: &mut Vec<TransferAction>,
    ) {
        let own = self.time_for(request.bytes);
        let arrive_by = |limit: Deadline| {
            Deadline(MonoTime(limit.0.0.saturating_sub(request.work.as_micros() as u64)))
        };
        // A body that would be late even on an idle link may still be answered by its deadline.
        let on_time = arrive_by(request.on_time_by);
        let arrive_by = match Deadline::after(now, own) <= on_time {
            true => on_time,
            false => arrive_by(request.deadline),
        };
        let waiting = Waiting { id, request, arrive_by };
        let at = self.waiting.partition_point(|other| other.key() <= waiting.key());
        let ahead: u64 = self.waiting[..at].iter().map(|w| w.request.bytes).sum();
        let arrives = Deadline::after(now, self.time_for(self.granted_bytes + ahead) + own);
        if arrives > arrive_by {
            actions.push(TransferAction::Refuse(id, arrives.0.since(arrive_by.0)));
            return;
        }
        self.waiting.insert(at, waiting);
    }

    fn on_received(&mut self, now: MonoTime, id: TransferId, bytes: u64) {
        self.measure(now, bytes);
        let Some(granted) = self.granted.get_mut(&id) else { return };
        granted.expires = Deadline::after(now, Duration::from_millis(GRANT_LIFETIME_MS));
        let before = granted.left;
        granted.left = match before.checked_sub(bytes) {
            Some(left) => left,
            None => EXCESS_BYTES,
        };
        self.granted_bytes = self.granted_bytes - before + granted.left;
    }

    fn measure(&mut self, now: MonoTime, bytes: u64) {
        let measurement = &mut self.measurement;
        let since = *measurement.since.get_or_insert_with(|| {
            measurement.bytes = 0;
            now
        });
        measurement.bytes += bytes;
        let span = now.since(since);
        if span < Duration::from_millis(MEASURED_SPAN_MS) {
            return;
        }
        let sample = measurement.bytes as f64 / span.as_secs_f64();
        let mean =
            measurement.bytes_per_s.map_or(sample, |mean| mean + MEASURED_WEIGHT * (sample - mean));
        *measurement = Measurement { since: Some(now), bytes: 0, bytes_per_s: Some(mean) };
    }

    fn release(&mut self, id: TransferId) {
        if let Some(granted) = self.granted.remove(&id) {
            self.granted_bytes -= granted.left;
        }
    }

    fn expire_grants(&mut self, now: MonoTime) {
        let expired = self.granted.iter().filter(|(_, granted)| granted.expires.is_past(now));
        for id in expired.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.release(id);
        }
    }

    /// Refuses the waiting bodies that can no longer arrive in time.
    fn refuse_late(&mut self, now: MonoTime, actions: &mut Vec<TransferAction>) {
        let mut ahead = self.granted_bytes;
        let mut kept = Vec::with_capacity(self.waiting.len());
        for waiting in std::mem::take(&mut self.waiting) {
            let arrives = Deadline::after(now, self.time_for(ahead + waiting.request.bytes));
            if arrives > waiting.arrive_by {
                let after = arrives.0.since(waiting.arrive_by.0);
                actions.push(TransferAction::Refuse(waiting.id, after));
            } else {
                ahead += waiting.request.bytes;
                kept.push(waiting);
            }
        }
        self.waiting = kept;
    }

    fn grant_waiting(&mut self, now: MonoTime, actions: &mut Vec<TransferAction>) {
        let expires = Deadline::after(now, Duration::from_millis(GRANT_LIFETIME_MS));
        while !self.waiting.is_empty() && self.has_room() {
            let Waiting { id, request, .. } = self.waiting.remove(0);
            self.granted.insert(id, Granted { left: request.bytes, expires });
            self.granted_bytes += request.bytes;
            actions.push(TransferAction::Grant(id));
        }
    }

    fn has_room(&self) -> bool {
        match self.bytes_per_s() {
            Some(_) => self.time_for(self.granted_bytes) < Duration::from_millis(GRANT_AHEAD_MS),
            None => self.granted.len() < MAX_GRANTED_UNMEASURED,
        }
    }

    /// Returns the time in which `bytes` arrive; zero while the rate is not known.
    fn time_for(&self, bytes: u64) -> Duration {
        let bytes_per_s = self.bytes_per_s();
        bytes_per_s.map_or(Duration::ZERO, |rate| Duration::from_secs_f64(bytes as f64 / rate))
    }

    /// Returns the rate that bodies may use.
    fn bytes_per_s(&self) -> Option<f64> {
        match self.link.bytes_per_s() {
            0 => self.measurement.bytes_per_s.filter(|rate| *rate >= 1.0),
            rate => {
                let rate = rate as f64;
                let measured = self.measurement.bytes_per_s.unwrap_or(rate);
                Some((rate * BODY_SHARE).min(measured.max(rate * MIN_MEASURED_SHARE)))
            }
        }
    }
}
