//! The outcomes of attempts, recorded by a deterministic state machine.

use std::collections::{BTreeSet, VecDeque};
use std::fmt;
use std::time::Duration;

use goldcresttally_core::{AttemptId, Deadline, Generation, Map, MonoTime, NodeId};

use crate::answer::Answer;

/// Limits of a ledger.
#[derive(Debug, Clone)]
pub struct Options {
    /// Maximum number of attempts on record; when it is reached, new attempts are refused.
    pub max_entries: usize,
    /// Maximum total size of stored answers, in bytes. The oldest answers are dropped first; the
    /// outcomes of their attempts stay on record.
    pub max_total_answer_bytes: usize,
    /// Maximum size of a stored answer, in bytes.
    pub max_answer_bytes: usize,
    /// Time for which an attempt stays on record after its deadline.
    pub retention: Duration,
    /// Maximum number of origins (an entry node and its generation) for which the highest expired
    /// sequence number is kept.
    pub max_origins: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_entries: 8192,
            max_total_answer_bytes: 1 << 20,
            max_answer_bytes: 64 << 10,
            retention: Duration::from_secs(10),
            max_origins: 8192,
        }
    }
}

/// Why an attempt was refused without running it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// Its entry node asked for its outcome before it was dispatched, and was told that it will not
    /// run.
    Fenced,
    /// It arrived so late that the ledger no longer knows whether it was fenced.
    Forgotten,
    /// The ledger is full.
    Full,
    /// An attempt with this id has already arrived.
    Repeated,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Fenced => "fenced",
            Self::Forgotten => "forgotten",
            Self::Full => "ledger-full",
            Self::Repeated => "repeated",
        })
    }
}

/// The outcome of an attempt, as told to the entry node that asks for it after losing its
/// connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settlement {
    /// It did not run and never will.
    NotRun,
    /// It is running.
    Running,
    /// It ran to its end; the answer is missing if it was too large or too old to store.
    Done(Option<Answer>),
    /// It may have run: it was abandoned while it ran, or it is no longer on record.
    Unknown,
}

#[derive(Debug)]
enum State {
    Waiting,
    Running,
    Done(Option<Answer>),
    NotRun,
    Abandoned,
}

#[derive(Debug)]
struct Entry {
    state: State,
    /// Time after which it may be removed, once it has ended.
    retain_until: Deadline,
}

/// An entry node and its generation.
type Origin = (NodeId, Generation);

/// Records the outcome of each attempt.
#[derive(Debug)]
pub struct Ledger {
    options: Options,
    entries: Map<AttemptId, Entry>,
    /// Ended attempts by the time after which they may be removed.
    expiry: BTreeSet<(Deadline, AttemptId)>,
    /// Highest sequence number that has expired, by origin.
    expired: Map<Origin, u64>,
    /// Whether an attempt expired that `expired` had no room for.
    expired_overflow: bool,
    /// Stored answers with their sizes in bytes, the oldest first.
    answers: VecDeque<(AttemptId, usize)>,
    answer_bytes: usize,
}

impl Ledger {
    /// Returns an empty ledger.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            entries: Map::default(),
            expiry: BTreeSet::new(),
            expired: Map::default(),
            expired_overflow: false,
            answers: VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// Records an attempt that has arrived and waits to be dispatched.
    ///
    /// `retention` overrides that of the options. Returns an error if the attempt must not run.
    pub fn begin(
        &mut self,
        now: MonoTime,
        id: AttemptId,
        deadline: Deadline,
        retention: Option<Duration>,
    ) -> Result<(), Refusal> {
        self.expire(now);
        match self.entries.get(&id).map(|e| &e.state) {
            Some(State::NotRun) => return Err(Refusal::Fenced),
            Some(_) => return Err(Refusal::Repeated),
            None => {}
        }
        if self.is_expired(&id) {
            return Err(Refusal::Forgotten);
        }
        if self.entries.len() >= self.options.max_entries {
            return Err(Refusal::Full);
        }
        let retention = retention.unwrap_or(self.options.retention);
        let retain_until = Deadline(now.max(deadline.0) + retention);
        self.entries.insert(id, Entry { state: State::Waiting, retain_until });
        Ok(())
    }

    /// Marks an attempt as running, immediately before it is sent to the upstream.
    ///
    /// Returns an error if it was fenced while it waited; it must then not be sent.
    pub fn dispatch(&mut self, id: AttemptId) -> Result<(), Refusal> {
        match self.entries.get_mut(&id) {
            Some(entry) if matches!(entry.state, State::Waiting) => {
                entry.state = State::Running;
                Ok(())
            }
            _ => Err(Refusal::Fenced),
        }
    }

    /// Records that an attempt was refused or certainly did not run.
    pub fn not_run(&mut self, id: AttemptId) {
        self.end(id, State::NotRun);
    }

    /// Records that an attempt ran to its end, and stores its answer if it is not too large.
    pub fn done(&mut self, id: AttemptId, answer: Option<Answer>) {
        let stored = answer.filter(|a| a.size_bytes() <= self.options.max_answer_bytes);
        let size = stored.as_ref().map(Answer::size_bytes);
        self.end(id, State::Done(stored));
        if let Some(size) = size {
            self.answers.push_back((id, size));
            self.answer_bytes += size;
            self.drop_oldest_answers();
        }
    }

    /// Records that an attempt was abandoned while it ran, so that its outcome stays unknown.
    pub fn abandoned(&mut self, id: AttemptId) {
        self.end(id, State::Abandoned);
    }

    /// Returns the outcome of an attempt; fences it if it has not been dispatched yet.
    pub fn settle(&mut self, now: MonoTime, id: AttemptId, deadline: Deadline) -> Settlement {
        self.expire(now);
        if let Some(entry) = self.entries.get_mut(&id) {
            return match &entry.state {
                State::Running => Settlement::Running,
                State::Done(answer) => Settlement::Done(answer.clone()),
                State::Abandoned => Settlement::Unknown,
                State::NotRun => Settlement::NotRun,
                State::Waiting => {
                    self.end(id, State::NotRun);
                    Settlement::NotRun
                }
            };
        }
        // Without room to record the fence, the attempt could still run later. Fences may fill the
        // ledger up to twice `max_entries`.
        if self.is_expired(&id) || self.entries.len() >= 2 * self.options.max_entries {
            return Settlement::Unknown;
        }
        let retain_until = Deadline(now.max(deadline.0) + self.options.retention);
        self.entries.insert(id, Entry { state: State::NotRun, retain_until });
        self.expiry.insert((retain_until, id));
        Settlement::NotRun
    }

    /// Returns the number of attempts on record.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no attempt is on record.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the total size of the stored answers, in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Records the end of an attempt, unless it has already ended.
    fn end(&mut self, id: AttemptId, state: State) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if matches!(entry.state, State::Waiting | State::Running) {
            entry.state = state;
            self.expiry.insert((entry.retain_until, id));
        }
    }

    fn expire(&mut self, now: MonoTime) {
        while let Some((deadline, id)) = self.expiry.first().copied() {
            if !deadline.is_past(now) {
                return;
            }
            self.expiry.pop_first();
            self.entries.remove(&id);
            self.record_expired(id);
        }
    }

    fn record_expired(&mut self, id: AttemptId) {
        let origin = (id.origin, id.generation);
        let has_room = self.expired.len() < self.options.max_origins;
        if !has_room && !self.expired.contains_key(&origin) {
            // From now on, every origin without an entry counts as expired.
            self.expired_overflow = true;
            return;
        }
        let highest = self.expired.entry(origin).or_default();
        *highest = id.sequence.max(*highest);
    }

    fn is_expired(&self, id: &AttemptId) -> bool {
        match self.expired.get(&(id.origin, id.generation)) {
            Some(highest) => id.sequence <= *highest,
            None => self.expired_overflow,
        }
    }

    fn drop_oldest_answers(&mut self) {
        while self.answer_bytes > self.options.max_total_answer_bytes {
            let Some((id, size)) = self.answers.pop_front() else {
                return;
            };
            self.answer_bytes -= size;
            if let Some(Entry { state: State::Done(answer), .. }) = self.entries.get_mut(&id) {
                *answer = None;
            }
        }
    }
}
