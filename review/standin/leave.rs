//! An instance leaves by deregistering first, and something disturbs the memory of that.

use std::sync::Arc;
use std::time::Duration;

use crate::Outcome;
use crate::client::{Clients, HOST};
use crate::deployment::{Deployment, HEARTBEAT, Node};
use crate::instance::Instance;
use crate::record::Record;

/// `drain-ms` and `stability-ms` of the site, in seconds.
const DRAIN_S: f64 = 2.0;
const STABILITY_S: f64 = 3.0;

/// Time for which the instance goes on serving after the acknowledgement, in seconds: `drain-ms` and a
/// little longer.
const SERVES_ON_S: f64 = 4.6;

/// Interval between the requests of one client.
const PAUSE: Duration = Duration::from_millis(1000);

/// Requests that have to be served for the play to count.
const MIN_SERVED: u64 = 10;

const CONFIG: &str = r#"{"version":"00000003","resources":[
{"resource-type":"routes","metadata":{"name":"r-book"},"spec":{"host":"HOST","prefix":"/book/","route-type":"unsafe","timeout-ms":2000,"target-latency-ms":800,"priority":1,"service":"booking","attempts":2}},
{"resource-type":"services","metadata":{"name":"booking"},"spec":{"health-path":"/health","max-connections":110,"protocol":"h1","tls":false}},
{"resource-type":"services","metadata":{"name":"planning"},"spec":{"health-path":"/health","max-connections":110,"protocol":"h1","tls":false}},
{"resource-type":"limits","metadata":{},"spec":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}}]}"#;

/// What disturbs the memory that the instance has left.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Disruption {
    /// Two heartbeats that the instance sent before it left arrive late. The trouble is that the
    /// process beside it was killed and started again in between.
    LateHeartbeats,
    /// The trouble is a heartbeat of another writer, without `zone`, `version` and `cold-left-ms`.
    OddHeartbeat,
}

/// Plays the scenario with or without its trouble.
pub fn play(
    record: &Arc<Record>,
    disruption: Disruption,
    trouble: bool,
) -> Result<Outcome, String> {
    let mut deployment = Deployment::start(&["booking", "booking", "planning"])?;
    deployment.store.put("op", "config", CONFIG.replace("HOST", HOST).as_bytes());
    deployment.wait_until_ready()?;
    let mut instances = Vec::new();
    for (i, node) in deployment.nodes.iter().enumerate() {
        instances.push(Instance::start(&format!("i-{i}"), node, record)?);
    }
    let leaving = Arc::clone(&instances[0]);
    // All nodes know all instances, and all machines are in touch.
    pause_s(STABILITY_S + 1.0);
    let clients = start_clients(&deployment, "short", "/book/trip/1", 1, record);
    pause_s(3.0);

    // Two heartbeats are on their way when the instance leaves.
    leaving.stop_heartbeats();
    let first = leaving.next_sequence();
    let first_at = record.note(format_args!("heartbeat {first} leaves {}", leaving.id));
    std::thread::sleep(HEARTBEAT);
    let second = leaving.next_sequence();
    let second_at = record.note(format_args!("heartbeat {second} leaves {}", leaving.id));
    let status = leaving.deregister();
    let ack = record.note(format_args!("deregistration of {} answered {status}", leaving.id));
    clients.iter().for_each(Clients::pause);
    if status / 100 != 2 {
        return Err("the deregistration was not acknowledged".to_owned());
    }
    if trouble && disruption == Disruption::LateHeartbeats {
        deployment.nodes[0].kill();
        record.note(format_args!("the node beside {} is killed", leaving.id));
        deployment.nodes[0].start()?;
        deployment.nodes[0].wait_until_ready()?;
    }
    let started = record.note(format_args!("the node beside {} runs", leaving.id));
    pause_s(STABILITY_S - 0.8);
    // Orders that take longer.
    let long_clients = start_clients(&deployment, "long", "/book/long/1", 10, record);
    pause_s(1.0);
    if disruption == Disruption::LateHeartbeats {
        for (sequence, sent_at) in [(first, first_at), (second, second_at)] {
            let status = leaving.send_heartbeat(sequence);
            let late = record.now() - sent_at;
            record.note(format_args!(
                "heartbeat {sequence} arrives {late:.1} s late, answered {status}"
            ));
            pause_s(0.2);
        }
    } else if trouble {
        let status = leaving.send_odd_heartbeat();
        record.note(format_args!("heartbeat of another writer answered {status}"));
    }
    pause_s((ack + SERVES_ON_S - record.now()).max(0.0));
    leaving.end();
    record.note(format_args!("{} ends", leaving.id));
    pause_s(3.0);
    let clients = clients.into_iter().chain(long_clients);
    let served: u64 = clients.map(Clients::stop).sum();

    // All machines are in touch again from here on.
    let from = (ack + DRAIN_S).max(started + STABILITY_S);
    let arrivals = leaving.arrivals.lock().unwrap();
    let late: Vec<_> = arrivals.iter().filter(|(at, _)| *at > from).collect();
    for (at, id) in &late {
        let after = at - ack;
        record.note(format_args!("BROKEN: {id} reached {} {after:.1} s after its ack", leaving.id));
    }
    let count = late.len();
    record
        .note(format_args!("{served} requests served, {count} reached the instance that had left"));
    if served < MIN_SERVED {
        return Err(format!("only {served} requests were served"));
    }
    Ok(if count > 0 { Outcome::Broken } else { Outcome::Held })
}

/// Starts `count` clients on each machine but that of the instance that leaves.
fn start_clients(
    deployment: &Deployment,
    name: &str,
    path: &'static str,
    count: u32,
    record: &Arc<Record>,
) -> Vec<Clients> {
    let others = deployment.nodes.iter().enumerate().skip(1);
    let start = |(i, node): (usize, &Node)| {
        Clients::start(&format!("{name}{i}"), node.outbound(), path, count, PAUSE, record)
    };
    others.map(start).collect()
}

fn pause_s(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}
