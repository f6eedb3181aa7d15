//! Answers of some length pass through the process beside an instance while that process stands still
//! for a moment, or is stopped as planned.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::Outcome;
use crate::client::HOST;
use crate::deployment::Deployment;
use crate::http;
use crate::instance::Instance;
use crate::record::Record;

/// `stability-ms` of the site, in seconds.
const STABILITY_S: f64 = 3.0;

/// Time for which the process stands still.
const FREEZE: Duration = Duration::from_millis(1300);

/// Time limit of the clients and of the route.
const TIME_LIMIT_MS: u64 = 15_000;

/// Time from the start of the orders to the disruption.
const DISRUPTED_AFTER: Duration = Duration::from_millis(1200);

/// Time that the process has from SIGTERM to its end; `grace-s` of the site.
const GRACE: Duration = Duration::from_secs(6);

/// Pause of a client after each part of an answer that it reads in the planned stop, and the size of
/// the part: 1 MB/s.
const READ_PAUSE: Duration = Duration::from_millis(64);
const READ_BYTES: usize = 64 * 1024;

const CLIENTS: usize = 8;

/// Requests that the rule allows to be closed without an answer.
const ALLOWED: usize = 3;

const CONFIG: &str = r#"{"version":"00000003","resources":[
{"resource-type":"routes","metadata":{"name":"r-book"},"spec":{"host":"HOST","prefix":"/book/","route-type":"unsafe","timeout-ms":15000,"target-latency-ms":4000,"priority":1,"service":"booking","attempts":2}},
{"resource-type":"services","metadata":{"name":"booking"},"spec":{"health-path":"/health","max-connections":110,"protocol":"h1","tls":false}},
{"resource-type":"services","metadata":{"name":"planning"},"spec":{"health-path":"/health","max-connections":110,"protocol":"h1","tls":false}},
{"resource-type":"limits","metadata":{},"spec":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}}]}"#;

/// What happens to the process beside the instance.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Disruption {
    Freeze,
    PlannedStop,
}

impl Disruption {
    /// Returns the path of the orders that are answered at length.
    fn path(self) -> &'static str {
        match self {
            Self::Freeze => "/book/document/1",
            Self::PlannedStop => "/book/archive/1",
        }
    }
}

/// Plays the scenario; without `trouble`, the process goes on running.
pub fn play(
    record: &Arc<Record>,
    disruption: Disruption,
    trouble: bool,
) -> Result<Outcome, String> {
    let mut deployment = Deployment::start(&["booking", "planning"])?;
    deployment.store.put("op", "config", CONFIG.replace("HOST", HOST).as_bytes());
    deployment.wait_until_ready()?;
    let mut instances = Vec::new();
    for (i, node) in deployment.nodes.iter().enumerate() {
        instances.push(Instance::start(&format!("i-{i}"), node, record)?);
    }
    // All nodes know all instances, and all machines are in touch.
    std::thread::sleep(Duration::from_secs_f64(STABILITY_S + 1.0));
    let outbound = deployment.nodes[1].outbound();
    let clients: Vec<JoinHandle<bool>> = (0..CLIENTS)
        .map(|k| {
            let record = Arc::clone(record);
            std::thread::spawn(move || order(k, outbound, disruption, &record))
        })
        .collect();
    std::thread::sleep(DISRUPTED_AFTER);
    match disruption {
        Disruption::Freeze if trouble => {
            deployment.nodes[0].signal("STOP")?;
            record.note(format_args!("the node beside i-0 stands still"));
            std::thread::sleep(FREEZE);
            deployment.nodes[0].signal("CONT")?;
            record.note(format_args!("the node beside i-0 goes on"));
        }
        Disruption::PlannedStop if trouble => {
            deployment.nodes[0].signal("TERM")?;
            record.note(format_args!("the node beside i-0 gets SIGTERM"));
            deployment.nodes[0].wait_until_ended(GRACE)?;
            record.note(format_args!("the node beside i-0 has ended"));
            deployment.nodes[0].start()?;
        }
        _ => {}
    }
    let whole = clients.into_iter().filter_map(|c| c.join().ok()).filter(|whole| *whole).count();
    let passed_on = instances[0].arrivals.lock().unwrap();
    let passed_on = passed_on.iter().filter(|(_, id)| id.starts_with("document")).count();
    if passed_on < CLIENTS {
        return Err(format!("only {passed_on} orders reached the instance"));
    }
    let cut = passed_on - whole;
    record.note(format_args!(
        "{passed_on} orders reached the instance, {cut} were not answered whole"
    ));
    Ok(if cut > ALLOWED { Outcome::Broken } else { Outcome::Held })
}

/// Sends a short order and then, on the same connection, one that is answered with a document; returns
/// whether the document arrived whole.
fn order(k: usize, outbound: SocketAddr, disruption: Disruption, record: &Record) -> bool {
    let Ok(mut stream) = TcpStream::connect(outbound) else { return false };
    let limit = Some(Duration::from_millis(TIME_LIMIT_MS));
    let Ok(clone) = stream.set_read_timeout(limit).and_then(|()| stream.try_clone()) else {
        return false;
    };
    let mut reader = BufReader::new(clone);
    for (name, path) in [("short", "/book/trip/1"), ("document", disruption.path())] {
        let id = format!("{name}-{k}");
        record.note(format_args!("sent {id} to {outbound}"));
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nGoldcresttally-Attempt-Id: {id}\r\nGoldcresttally-Deadline-Ms: {TIME_LIMIT_MS}\r\ncontent-length: 5\r\n\r\norder"
        );
        let answer = match stream.write_all(head.as_bytes()) {
            Ok(()) if disruption == Disruption::PlannedStop => {
                http::read_paced(&mut reader, READ_BYTES, READ_PAUSE)
            }
            Ok(()) => http::read(&mut reader),
            Err(_) => None,
        };
        let Some(answer) = answer else {
            record.note(format_args!("{id}: the connection ended before the whole answer"));
            return false;
        };
        record.note(format_args!("answered {id} {} {} bytes", answer.status(), answer.body.len()));
        if answer.status() != 200 {
            return false;
        }
    }
    true
}
