//! Three in-memory members detect the failure of one of them.
//!
//! Run with `cargo run -p goldcresttally-membership --example three_members`.

use std::collections::VecDeque;

use goldcresttally_core::{BitRate, Generation, Incarnation, MonoTime, NodeId};
use goldcresttally_membership::{Action, Event, Membership, Options, Record, Status};

fn record(n: u16) -> Record {
    let address = std::net::SocketAddr::from(([10, 0, 0, n as u8], 7400));
    Record {
        id: NodeId(address),
        peer: address,
        operator: address,
        domain: "zone-a".parse().expect("a name"),
        region: "north".parse().expect("a name"),
        generation: Generation(1),
        incarnation: Incarnation(0),
        status: Status::Alive,
        leaving: false,
        link: BitRate::default(),
        upstreams: Vec::new(),
    }
}

fn main() {
    let mut now = MonoTime::from_millis(0);
    let records: Vec<Record> = (1..=3).map(record).collect();
    let mut machines: Vec<_> = records
        .iter()
        .map(|own| Membership::new(Options::default(), own.clone(), own.id.0.port().into(), now))
        .collect();
    let mut actions = Vec::new();
    for machine in &mut machines {
        machine.on_event(now, Event::RecordsReceived(records.clone()), &mut actions);
    }
    actions.clear();
    for tick in 0..200 {
        now = MonoTime::from_millis(tick * 100);
        // The third member stops after five seconds.
        let alive = if tick < 50 { 3 } else { 2 };
        let mut queue: VecDeque<(usize, Event)> = (0..alive).map(|n| (n, Event::Tick)).collect();
        while let Some((n, event)) = queue.pop_front() {
            machines[n].on_event(now, event, &mut actions);
            for action in actions.drain(..) {
                let Action::Send { to, message } = action else { continue };
                let to = records.iter().position(|r| r.id == to);
                let to = to.filter(|to| *to < alive);
                queue.extend(to.map(|to| (to, Event::DatagramReceived(message))));
            }
        }
        let status = machines[0].records().find(|r| r.id == records[2].id).map(|r| r.status);
        if tick % 20 == 0 {
            println!("{now}: the first member sees the third as {status:?}");
        }
    }
}
