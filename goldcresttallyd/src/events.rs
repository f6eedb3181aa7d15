//! Numbered log events; `docs/EVENTS.md` has the catalogue.

use std::fmt;
use std::sync::{LazyLock, Mutex, PoisonError};

use goldcresttally_core::Map;
use goldcresttally_proxy::clock::wall_ms;
use goldcresttally_proxy::{CallEvent, CallInfo, CallLog};
use log::Level;

/// A kind of log event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventKind {
    /// The number, which never changes.
    pub number: u16,
    /// The log level.
    pub level: Level,
    /// A short description.
    pub title: &'static str,
}

macro_rules! events {
    ($($name:ident = $number:literal $level:ident $title:literal;)*) => {
        $(
            #[doc = $title]
            pub const $name: EventKind =
                EventKind { number: $number, level: Level::$level, title: $title };
        )*

        /// All kinds of events, ordered by number.
        pub const CATALOGUE: &[EventKind] = &[$($name,)*];
    };
}

events! {
    NODE_STARTED = 1001 Info "node started";
    NODE_LEAVING = 1002 Info "node is leaving: takes no new calls";
    NODE_STOPPED = 1003 Info "node stopped";
    NODE_SUPERSEDED = 1004 Error "a later process was seen at this address";
    NODE_READY = 1005 Info "node may serve";
    DRAIN_TIMED_OUT = 1006 Warn "drain deadline passed with calls in flight";
    PROCESS_RESUMED = 1007 Warn "process was paused";
    SETTINGS_RELOADED = 1008 Info "settings reloaded";
    SETTINGS_REFUSED = 1009 Warn "settings not reloaded";
    CONTROL_TASKS_DROPPED = 1010 Info "control tasks that had not ended in time were dropped";
    JOINED = 1101 Info "joined the members";
    JOIN_FAILED = 1102 Warn "could not join";
    ISOLATED = 1103 Warn "lost sight of most members: keeping known endpoints";
    ISOLATION_ENDED = 1104 Info "sees most members again";
    DATAGRAM_INVALID = 1105 Warn "unreadable datagram";
    DIRECTORY_FAILED = 1106 Warn "directory of nodes could not be used";
    ENTRIES_SKIPPED = 1107 Warn "entries of a list skipped: they cannot be read";
    STORE_ERA = 1108 Warn "the store names another era: it was restored from a copy";
    VERSION_INSTALLED = 1201 Info "configuration version in force";
    VERSION_REFUSED = 1202 Error "configuration version refused whole";
    POLL_FAILED = 1203 Warn "table could not be read";
    FETCH_FAILED = 1204 Warn "version could not be fetched";
    PUSH_FAILED = 1205 Debug "version could not be pushed to a peer";
    UPSTREAM_ANNOUNCED = 1301 Info "upstream announced itself or changed";
    UPSTREAM_EXPIRED = 1302 Warn "upstream did not renew its lease";
    UPSTREAM_WITHDRAWN = 1303 Info "upstream withdrew";
    UPSTREAM_UNREACHABLE = 1304 Warn "upstream takes no connections: lease ended";
    ANNOUNCEMENT_REFUSED = 1305 Warn "announcement refused";
    ANNOUNCEMENT_STALE = 1306 Info "announcement of an upstream that has ended or was overtaken";
    ANNOUNCEMENT_UNCONFIRMED = 1307 Info "first announcement of an upstream older than this node: to be confirmed";
    SECTION_WRITTEN = 1401 Info "section draft written";
    VERSION_ACCEPTED = 1402 Info "document accepted";
    OPERATOR_REQUEST_REFUSED = 1403 Warn "operator request refused";
    CLAIM_WRITE_FAILED = 1501 Warn "claims could not be written";
    CONTROL_CLOSED = 1601 Debug "control connection closed";
    CONTROL_SILENT = 1602 Warn "control connection silent: closed";
    TOKENS_ACCRUING = 1603 Info "tokens of accounts accrue: the number of nodes is known";
    POOL_SKIPPED = 1604 Info "node did not respond to an exchange of tokens: skipped for 2 s";
    METRICS_FAILED = 1701 Warn "metrics could not be sent";
    CLIENTS_LIMITED = 1801 Warn "clients refused or disconnected at a limit";
    ROLLOUT_ORDERED = 1901 Info "rollout ordered";
    ROLLOUT_DECIDED = 1902 Info "rollout decided on";
    ROLLOUT_GATE_CHANGED = 1903 Info "rollout opened or closed the upstream";
    ROLLOUT_STORE_FAILED = 1904 Warn "rollout rows could not be read or written";
    ROLLOUT_STAGE_FAILED = 1905 Debug "rollout stage not delivered";
    ROLLOUT_ORDER_REFUSED = 1906 Warn "rollout order refused";
    CALL_FAILED = 2001 Info "call ended without an upstream's answer";
    CALL_UPSTREAM_FAILED = 2002 Info "call ended with an upstream's failure";
    CALL_RETRIED = 2003 Info "attempt failed or in doubt: another one is made";
    ATTEMPT_ENDED = 2004 Info "attempt ended beside its upstream without an answer";
    ATTEMPT_SUSPECTED = 2005 Info "attempt in doubt: its node does not answer a probe";
    UPSTREAM_LIMITED = 2006 Info "upstream named another rate limit";
    UPSTREAM_LEAVING = 2007 Info "upstream says that it is leaving";
    LINK_FULL = 2008 Info "body refused: it cannot arrive over the link in time";
    PROCESSOR_SHORT = 2015 Warn "node is short of processor time, or no longer is";
    NO_ROOM = 2016 Info "call refused: no upstream has room for it in time";
    NO_PROCESSOR_TIME = 2017 Info "call refused: this node is short of processor time";
}

/// Maximum number of lines of one kind per window; further ones are suppressed and counted.
const MAX_LINES_PER_WINDOW: u32 = 200;

/// Maximum number of warnings or errors of one kind per window: more tell a reader nothing new.
const MAX_WARNINGS_PER_WINDOW: u32 = 20;

/// Length of a rate-limit window, in milliseconds.
const WINDOW_MS: u64 = 10_000;

/// A rate limiter for the log lines of one kind of event.
#[derive(Debug)]
pub struct LineLimiter {
    limit: u32,
    window: u64,
    lines: u32,
    suppressed: u32,
}

/// The decision of a [`LineLimiter`] on a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Line {
    /// Write the line; this many were suppressed since the last report.
    Write(u32),
    /// Suppress the line.
    Suppress,
}

impl LineLimiter {
    /// Creates the limiter for a kind of event of the given level.
    pub fn of(level: Level) -> Self {
        let limit =
            if level <= Level::Warn { MAX_WARNINGS_PER_WINDOW } else { MAX_LINES_PER_WINDOW };
        Self { limit, window: 0, lines: 0, suppressed: 0 }
    }

    /// Returns the number of lines suppressed in past windows, and resets it.
    ///
    /// Returns `None` if there are none or their window has not ended.
    pub fn take_suppressed(&mut self, now_ms: u64) -> Option<u32> {
        if self.suppressed == 0 || now_ms / WINDOW_MS == self.window {
            return None;
        }
        Some(std::mem::take(&mut self.suppressed))
    }

    /// Decides whether to write a line at `now_ms`, in milliseconds since any fixed origin.
    pub fn admit(&mut self, now_ms: u64) -> Line {
        let window = now_ms / WINDOW_MS;
        if window != self.window {
            self.window = window;
            self.lines = 0;
        }
        if self.lines >= self.limit {
            self.suppressed += 1;
            return Line::Suppress;
        }
        self.lines += 1;
        Line::Write(std::mem::take(&mut self.suppressed))
    }
}

static LIMITERS: LazyLock<Mutex<Map<u16, LineLimiter>>> = LazyLock::new(Mutex::default);

/// Writes an event to the log, subject to the rate limit of its kind.
pub fn emit(kind: EventKind, details: fmt::Arguments<'_>) {
    if !log::log_enabled!(target: "goldcresttally", kind.level) {
        return;
    }
    let line = {
        let mut limiters = LIMITERS.lock().unwrap_or_else(PoisonError::into_inner);
        limiters.entry(kind.number).or_insert_with(|| LineLimiter::of(kind.level)).admit(wall_ms())
    };
    let EventKind { number, level, title } = kind;
    match line {
        Line::Suppress => {}
        Line::Write(0) => {
            log::log!(target: "goldcresttally", level, "E{number} {title}: {details}");
        }
        Line::Write(n) => {
            log::log!(target: "goldcresttally", level, "E{number} {title}: {details} left_out={n}");
        }
    }
}

/// Logs how many lines of each kind were suppressed in past windows.
///
/// To be called periodically, since otherwise the number is written only with the next line of the
/// same kind.
pub fn report_suppressed() {
    let now = wall_ms();
    for kind in CATALOGUE {
        let suppressed = {
            let mut limiters = LIMITERS.lock().unwrap_or_else(PoisonError::into_inner);
            limiters.get_mut(&kind.number).and_then(|limiter| limiter.take_suppressed(now))
        };
        if let Some(n) = suppressed {
            let EventKind { number, level, title } = *kind;
            log::log!(target: "goldcresttally", level, "E{number} {title}: left_out={n}");
        }
    }
}

/// A [`CallLog`] that writes decisions on calls as log events.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallEventLog;

impl CallLog for CallEventLog {
    fn record(&self, call: &CallInfo<'_>, event: CallEvent) {
        let kind = match event {
            CallEvent::Failed { .. } => CALL_FAILED,
            CallEvent::UpstreamFailed { .. } => CALL_UPSTREAM_FAILED,
            CallEvent::Retried { .. } => CALL_RETRIED,
            CallEvent::AttemptEnded { .. } => ATTEMPT_ENDED,
            CallEvent::Suspected { .. } => ATTEMPT_SUSPECTED,
            CallEvent::UpstreamLimited { .. } => UPSTREAM_LIMITED,
            CallEvent::UpstreamLeaving => UPSTREAM_LEAVING,
            CallEvent::LinkFull { .. } => LINK_FULL,
            CallEvent::NoRoom { .. } => NO_ROOM,
            CallEvent::NoProcessorTime { .. } => NO_PROCESSOR_TIME,
        };
        emit(kind, format_args!("{call} {event}"));
    }
}
