//! Lines of one kind are bounded; what was left out is counted.

use goldcresttallyd::events::{Line, LineLimit};
use log::Level;

#[test]
fn a_flood_of_lines() {
    let mut limit = LineLimit::of(Level::Info);
    let written = (0..500).filter(|n| limit.on_line(20_000 + n) != Line::LeaveOut).count();
    assert_eq!(written, 200);
    // The next window tells what was left out, once.
    assert_eq!(limit.on_line(30_000), Line::Write(300));
    assert_eq!(limit.on_line(30_001), Line::Write(0));
}

#[test]
fn a_flood_of_warnings() {
    let mut limit = LineLimit::of(Level::Warn);
    let written = (0..500).filter(|n| limit.on_line(20_000 + n) != Line::LeaveOut).count();
    assert_eq!(written, 20);
    // Nothing of the kind follows: what was left out is told all the same, once.
    assert_eq!(limit.on_quiet(20_600), None);
    assert_eq!(limit.on_quiet(30_000), Some(480));
    assert_eq!(limit.on_quiet(30_050), None);
}
