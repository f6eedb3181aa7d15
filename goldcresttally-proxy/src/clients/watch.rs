//! Decides which connections are closed because their clients make no progress, and which idle ones in
//! favour of new ones.

use std::time::Duration;

use tokio::time::Instant;

/// Bytes within a time limit that count as progress; fewer are a client that is slow on purpose.
const PROGRESS_BYTES: u64 = 8 * 1024;

/// Time without progress while the byte budget is tight, in milliseconds.
const TIGHT_STALL_MS: u64 = 1000;

/// Time beyond the idle timeout, in milliseconds: HTTP/1.1 closes an idle connection by itself.
const IDLE_MARGIN_MS: u64 = 1000;

/// A listener at its limit closes this fraction (1/64) of its connections at once, so that a flood of
/// connections does not make it look for idle ones each time.
const EVICTION_DIVISOR: usize = 64;

/// The time limits of a connection.
#[derive(Debug, Clone, Copy)]
pub struct TimeLimits {
    /// Time for the head of a request, from its first bytes.
    pub head: Duration,
    /// Time without a request.
    pub idle: Duration,
    /// Time without progress of a body or a response.
    pub stall: Duration,
}

/// What is known of a connection at one moment.
#[derive(Debug, Clone, Copy, Default)]
pub struct View {
    /// Whether the client speaks HTTP/2.
    pub http2: bool,
    /// Number of requests whose responses are not complete.
    pub in_flight: usize,
    /// Number of requests so far.
    pub requests: u64,
    /// Bytes received so far.
    pub received: u64,
    /// Bytes received after the head of the last request was complete and its response was sent.
    pub received_when_idle: u64,
    /// Bytes written so far.
    pub written: u64,
    /// Whether a request's body is waited for.
    pub waits_for_body: bool,
    /// Whether the client has responses to read.
    pub has_unread: bool,
    /// Time since the last bytes were received or the last response ended.
    pub idle: Duration,
}

/// Why a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// It has carried no request for too long.
    Idle,
    /// The head of a request did not arrive in time.
    SlowHead,
    /// The body of a request made no progress.
    SlowBody,
    /// The client did not read its responses.
    SlowReader,
}

/// A count that must grow.
#[derive(Debug, Clone, Copy)]
struct Mark {
    count: u64,
    since: Instant,
}

/// The progress of one connection, as seen at intervals.
#[derive(Debug, Default)]
pub struct Watch {
    head: Option<Mark>,
    body: Option<Mark>,
    reader: Option<Mark>,
}

impl Watch {
    /// Returns why the connection is to be closed at `now`, if it is. `tight` tells whether the byte
    /// budget is.
    pub fn judge(
        &mut self,
        now: Instant,
        view: &View,
        limits: &TimeLimits,
        tight: bool,
    ) -> Option<Cause> {
        let stall = match tight {
            true => limits.stall.min(Duration::from_millis(TIGHT_STALL_MS)),
            false => limits.stall,
        };
        // On HTTP/2, an idle connection receives pings.
        let head = !view.http2 && view.in_flight == 0 && view.received > view.received_when_idle;
        if exceeds(&mut self.head, head, view.requests, 1, now, limits.head) {
            return Some(Cause::SlowHead);
        }
        if exceeds(&mut self.body, view.waits_for_body, view.received, PROGRESS_BYTES, now, stall) {
            return Some(Cause::SlowBody);
        }
        if exceeds(&mut self.reader, view.has_unread, view.written, PROGRESS_BYTES, now, stall) {
            return Some(Cause::SlowReader);
        }
        let idle_limit = limits.idle + Duration::from_millis(IDLE_MARGIN_MS);
        let idle = !view.http2 && view.in_flight == 0 && view.idle > idle_limit;
        idle.then_some(Cause::Idle)
    }
}

impl Watch {
    /// Returns whether a body or a response has made no progress for [`TIGHT_STALL_MS`].
    pub fn is_stalled(&self, now: Instant) -> bool {
        let limit = Duration::from_millis(TIGHT_STALL_MS);
        [self.body, self.reader].into_iter().flatten().any(|mark| now - mark.since >= limit)
    }
}

/// Returns whether `count` has not grown by `progress` within `limit` while `waits` held.
fn exceeds(
    mark: &mut Option<Mark>,
    waits: bool,
    count: u64,
    progress: u64,
    now: Instant,
    limit: Duration,
) -> bool {
    if !waits {
        *mark = None;
        return false;
    }
    match mark {
        Some(mark) if count < mark.count + progress => now - mark.since > limit,
        _ => {
            *mark = Some(Mark { count, since: now });
            false
        }
    }
}

/// Returns which connections a listener at its limit closes: idle ones that have never carried a request,
/// then stalled ones, then other idle ones; of each kind those first that are idle for longest. Empty if
/// all make progress. `connections` are ids, views, and whether a connection is stalled.
pub fn connections_to_evict(
    connections: impl Iterator<Item = (u64, View, bool)>,
    limit: usize,
) -> Vec<u64> {
    let class = |view: &View, stalled| match (view.in_flight == 0 && !view.has_unread, stalled) {
        (true, _) if view.requests == 0 => Some(0),
        (_, true) => Some(1),
        (true, false) => Some(2),
        (false, false) => None,
    };
    let key = |(id, view, stalled): (u64, View, bool)| {
        class(&view, stalled).map(|class| (class, std::cmp::Reverse(view.idle), id))
    };
    let mut idle: Vec<_> = connections.filter_map(key).collect();
    let count = (limit / EVICTION_DIVISOR).max(1).min(idle.len());
    if count < idle.len() {
        idle.select_nth_unstable(count);
    }
    idle.truncate(count);
    idle.sort_unstable();
    idle.into_iter().map(|(_, _, id)| id).collect()
}
