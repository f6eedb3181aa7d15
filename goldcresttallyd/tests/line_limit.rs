//! Guards against a flood of lines of one kind filling the log, and against suppressed lines that
//! are never reported.

use goldcresttallyd::events::{Line, LineLimiter};
use log::Level;

#[test]
fn flood_of_lines_is_limited_and_counted() {
    let mut limiter = LineLimiter::of(Level::Info);
    let written = (0..500).filter(|n| limiter.admit(20_000 + n) != Line::Suppress).count();
    assert_eq!(written, 200);
    // The first line of the next window reports the number of suppressed lines, once.
    assert_eq!(limiter.admit(30_000), Line::Write(300));
    assert_eq!(limiter.admit(30_001), Line::Write(0));
}

#[test]
fn suppressed_warnings_are_reported_without_another_line() {
    let mut limiter = LineLimiter::of(Level::Warn);
    let written = (0..500).filter(|n| limiter.admit(20_000 + n) != Line::Suppress).count();
    assert_eq!(written, 20);
    // No further warning follows; the number is still reported once the window has ended.
    assert_eq!(limiter.take_suppressed(20_600), None);
    assert_eq!(limiter.take_suppressed(30_000), Some(480));
    assert_eq!(limiter.take_suppressed(30_050), None);
}
