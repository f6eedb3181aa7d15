//! A reader of the log that stops reading, and then a restart of the node.

use std::io::Read;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{Instance, Node, call, config, route};
use crate::{BROKEN, Case, HELD, NOT_RUN};

/// `recovery-s` of the settings.
const RECOVERY: Duration = Duration::from_secs(15);

pub fn run(case: &Case) -> i32 {
    let store = case.store();
    let ip = case.ip(1);
    let (mut reader, writer) = std::io::pipe().expect("a pipe");
    let output = || Stdio::from(writer.try_clone().expect("a descriptor"));
    let reads = Arc::new(AtomicBool::new(true));
    let still_reads = Arc::clone(&reads);
    thread::spawn(move || {
        let mut buf = [0; 4096];
        while reader.read(&mut buf).is_ok_and(|n| n > 0) {
            while !still_reads.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(20));
            }
        }
    });
    let mut nodes = vec![Node::start(&case.folder, &ip, "booking", &store, &ip, output())];
    let _instance = Instance::start(&ip, "i-1", "booking", 50, 12, &case.record);
    store.put("op", "config", &config(1, &["booking"], &[route("/book/", "unsafe", "booking", 2000, 800, 1)]));
    case.wait_until_served(&nodes, "POST", "/book/warm");
    let outbound = nodes[0].outbound();
    let order = |id: &str, path: &str, limit: u64| {
        let headers = [("goldcresttally-attempt-id", id), ("goldcresttally-deadline-ms", "2000")];
        call(outbound, "POST", path, &headers, b"seat", Duration::from_millis(limit)).map_or(0, |a| a.status)
    };
    if !case.calm {
        reads.store(false, Ordering::Relaxed);
        case.record.line("the reader of the log stops reading");
    }
    // Requests without a route are logged: about 200 bytes a line, limited per second.
    let until = Instant::now() + Duration::from_secs(30);
    let mut made = 0;
    while Instant::now() < until {
        order(&format!("none{made}"), "/none/1", 500);
        made += 1;
        thread::sleep(Duration::from_millis(5));
    }
    case.record.line(&format!("{made} requests without a route were made"));
    let status = order("before", "/book/1", 2500);
    case.record.line(&format!("order before the restart: {status}"));
    if status != 200 {
        return NOT_RUN;
    }
    nodes[0].signal("KILL");
    nodes[0].restart(output());
    let back = Instant::now();
    case.record.line("the node was killed and started again, with the same log");
    let (mut sent, mut served) = (0, 0);
    while back.elapsed() < RECOVERY + Duration::from_secs(15) {
        let late = back.elapsed() > RECOVERY;
        order(&format!("probe{sent}"), "/none/1", 200);
        let status = order(&format!("after{sent}"), "/book/1", 2500);
        case.record.line(&format!("order after {:.1} s: {status}", back.elapsed().as_secs_f64()));
        if late {
            sent += 1;
            served += usize::from(status == 200);
        }
        thread::sleep(Duration::from_millis(250));
    }
    let running = nodes[0].is_running();
    let ready = nodes[0].is_ready(Duration::from_secs(1));
    case.record.line(&format!("later than {} s after the restart: {served} of {sent} served; process running: {running}, ready: {ready}", RECOVERY.as_secs()));
    reads.store(true, Ordering::Relaxed);
    if served * 4 < sent { BROKEN } else { HELD }
}
