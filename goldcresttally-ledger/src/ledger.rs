//! What became of each attempt; deterministic, one instance per shard of attempts.

use std::collections::{BTreeSet, VecDeque};
use std::fmt;
use std::time::Duration;

use goldcresttally_core::{AttemptId, Deadline, Generation, Map, MonoTime, NodeId};

use crate::answer::Answer;

/// Sizes of a ledger.
#[derive(Debug, Clone)]
pub struct Options {
    /// Most attempts remembered; a new one is refused when it is full.
    pub max_entries: usize,
    /// Most bytes of answers kept; the oldest go first, what became of the attempt stays.
    pub max_total_answer_bytes: usize,
    /// Largest answer kept, in bytes.
    pub max_answer_bytes: usize,
    /// Time for which an attempt is remembered after its deadline.
    pub retention: Duration,
    /// Entry nodes' generations whose evicted attempts are remembered.
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

/// Why an attempt was refused unrun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// Its entry node asked about it before it came, and was told that it will not run.
    Fenced,
    /// It came so late that the ledger no longer knows whether it was asked about.
    Forgotten,
    /// The ledger has no room to remember it.
    Full,
    /// An attempt of this id was seen before.
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

/// What became of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settlement {
    /// It did not run and will not.
    NotRun,
    /// It runs.
    Running,
    /// It ran; the answer is here unless it was too large or too old to keep.
    Done(Option<Answer>),
    /// It ran or runs but nobody waits for its end, or the ledger has forgotten it.
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
    /// When it may be forgotten, once it has ended.
    retain: Deadline,
}

type Origin = (NodeId, Generation);

/// What became of each attempt.
#[derive(Debug)]
pub struct Ledger {
    options: Options,
    entries: Map<AttemptId, Entry>,
    /// Ended attempts by the time at which they may be forgotten.
    expiry: BTreeSet<(Deadline, AttemptId)>,
    /// The highest sequence forgotten of each origin.
    forgotten: Map<Origin, u64>,
    /// Set once the record of a forgotten origin was itself dropped.
    forgot_origins: bool,
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
            forgotten: Map::default(),
            forgot_origins: false,
            answers: VecDeque::new(),
            answer_bytes: 0,
        }
    }

    /// Notes an attempt that came and waits for its turn.
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
        if self.is_forgotten(&id) {
            return Err(Refusal::Forgotten);
        }
        if self.entries.len() >= self.options.max_entries {
            return Err(Refusal::Full);
        }
        let retention = retention.unwrap_or(self.options.retention);
        let retain = Deadline(now.max(deadline.0) + retention);
        self.entries.insert(id, Entry { state: State::Waiting, retain });
        Ok(())
    }

    /// Marks an attempt as running, right before it is sent to the upstream.
    ///
    /// Returns an error when it was fenced while it waited; it must then not be sent.
    pub fn dispatch(&mut self, id: AttemptId) -> Result<(), Refusal> {
        match self.entries.get_mut(&id) {
            Some(entry) if matches!(entry.state, State::Waiting) => {
                entry.state = State::Running;
                Ok(())
            }
            _ => Err(Refusal::Fenced),
        }
    }

    /// Notes that an attempt was refused, or surely did not run.
    pub fn not_run(&mut self, id: AttemptId) {
        self.end(id, State::NotRun);
    }

    /// Notes that an attempt ran to its end.
    pub fn done(&mut self, id: AttemptId, answer: Option<Answer>) {
        let kept = answer.filter(|a| a.size_bytes() <= self.options.max_answer_bytes);
        let size = kept.as_ref().map(Answer::size_bytes);
        self.end(id, State::Done(kept));
        if let Some(size) = size {
            self.answers.push_back((id, size));
            self.answer_bytes += size;
            self.drop_old_answers();
        }
    }

    /// Notes that an attempt was cut off while it ran, so that nobody knows its end.
    pub fn abandoned(&mut self, id: AttemptId) {
        self.end(id, State::Abandoned);
    }

    /// Answers what became of an attempt; one that did not run yet is fenced.
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
        // Without room for the fence, "not run" could not be kept.
        if self.is_forgotten(&id) || self.entries.len() >= 2 * self.options.max_entries {
            return Settlement::Unknown;
        }
        let retain = Deadline(now.max(deadline.0) + self.options.retention);
        self.entries.insert(id, Entry { state: State::NotRun, retain });
        self.expiry.insert((retain, id));
        Settlement::NotRun
    }

    /// Returns the number of attempts remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no attempt is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bytes of answers kept.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Ends an attempt once; an attempt that has ended does not change any more.
    fn end(&mut self, id: AttemptId, state: State) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if matches!(entry.state, State::Waiting | State::Running) {
            entry.state = state;
            self.expiry.insert((entry.retain, id));
        }
    }

    fn expire(&mut self, now: MonoTime) {
        while let Some((deadline, id)) = self.expiry.first().copied() {
            if !deadline.is_past(now) {
                return;
            }
            self.expiry.pop_first();
            self.entries.remove(&id);
            self.remember_forgotten(id);
        }
    }

    fn remember_forgotten(&mut self, id: AttemptId) {
        let origin = (id.origin, id.generation);
        let room = self.forgotten.len() < self.options.max_origins;
        if !room && !self.forgotten.contains_key(&origin) {
            // From here on every origin that is not on record counts as forgotten.
            self.forgot_origins = true;
            return;
        }
        let highest = self.forgotten.entry(origin).or_default();
        *highest = id.sequence.max(*highest);
    }

    fn is_forgotten(&self, id: &AttemptId) -> bool {
        match self.forgotten.get(&(id.origin, id.generation)) {
            Some(highest) => id.sequence <= *highest,
            None => self.forgot_origins,
        }
    }

    fn drop_old_answers(&mut self) {
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
