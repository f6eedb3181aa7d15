//! Lines of one kind are bounded; what was left out is counted.

use goldcresttallyd::events::{Line, LineLimit};

#[test]
fn a_flood_of_lines() {
    let mut limit = LineLimit::default();
    let written = (0..500).filter(|n| limit.on_line(20_000 + n) != Line::LeaveOut).count();
    assert_eq!(written, 200);
    // The next window tells what was left out, once.
    assert_eq!(limit.on_line(30_000), Line::Write(300));
    assert_eq!(limit.on_line(30_001), Line::Write(0));
}
