//! Lines of one kind are bounded; what was left out is counted.

use goldcresttallyd::events::{Line, LineLimiter};
use log::Level;

#[test]
fn a_flood_of_lines() {
    let mut limit = LineLimiter::of(Level::Info);
    let written = (0..500).filter(|n| limit.admit(20_000 + n) != Line::Suppress).count();
    assert_eq!(written, 200);
    // The next window tells what was left out, once.
    assert_eq!(limit.admit(30_000), Line::Write(300));
    assert_eq!(limit.admit(30_001), Line::Write(0));
}

#[test]
fn a_flood_of_warnings() {
    let mut limit = LineLimiter::of(Level::Warn);
    let written = (0..500).filter(|n| limit.admit(20_000 + n) != Line::Suppress).count();
    assert_eq!(written, 20);
    // Nothing of the kind follows: what was left out is told all the same, once.
    assert_eq!(limit.take_suppressed(20_600), None);
    assert_eq!(limit.take_suppressed(30_000), Some(480));
    assert_eq!(limit.take_suppressed(30_050), None);
}
