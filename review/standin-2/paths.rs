//! Requests of legal size whose paths have many segments, sent ahead on a few connections.

use std::io::Write;
use std::net::TcpStream;
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{HOST, Instance, Node, call, config, route};
use crate::{BROKEN, Case, HELD};

/// Bytes of a hostile request's head; the configuration allows 16,384.
const HEAD_BYTES: usize = 15_000;
const CONNECTIONS: usize = 16;
const TIMEOUT_MS: u64 = 2000;

pub fn run(case: &Case) -> i32 {
    let store = case.store();
    let ip = case.ip(1);
    let nodes = vec![Node::start(&case.folder, &ip, "booking", &store, &ip, Stdio::null())];
    let instance = Instance::start(&ip, "i-1", "booking", 50, 12, &case.record);
    store.put("op", "config", &config(1, &["booking"], &[route("/book/", "unsafe", "booking", TIMEOUT_MS as u32, 800, 1)]));
    case.wait_until_served(&nodes, "POST", "/book/warm");
    let outbound = nodes[0].outbound();
    let stop = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicUsize::new(0));
    if !case.calm {
        // The control: paths of the same length with one segment.
        let flat = std::env::var("FLAT").is_ok();
        let segment = if flat { "aa" } else { "a/" };
        let path = format!("/none/{}", segment.repeat(HEAD_BYTES / 2));
        let request = format!("GET {path} HTTP/1.1\r\nhost: {HOST}\r\ngoldcresttally-attempt-id: x\r\n\r\n");
        for _ in 0..CONNECTIONS {
            let (stop, sent, request) = (Arc::clone(&stop), Arc::clone(&sent), request.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let Ok(mut stream) = TcpStream::connect(outbound) else { continue };
                    let _ = stream.set_write_timeout(Some(Duration::from_secs(5)));
                    while !stop.load(Ordering::Relaxed) && stream.write_all(request.as_bytes()).is_ok() {
                        sent.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
        case.record.line(&format!("crowd: {CONNECTIONS} connections send requests ahead, each with a head of {} bytes", request.len()));
    }
    let answers = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    for i in 0..40 {
        thread::sleep(Duration::from_millis(250));
        let (answers, record) = (Arc::clone(&answers), Arc::clone(&case.record));
        callers.push(thread::spawn(move || {
            let id = format!("order{i}");
            let headers = [("goldcresttally-attempt-id", id.as_str()), ("goldcresttally-deadline-ms", "2000")];
            let begun = Instant::now();
            let answer = call(outbound, "POST", "/book/1", &headers, b"seat", Duration::from_millis(TIMEOUT_MS + 500));
            let ms = begun.elapsed().as_millis();
            let status = answer.map_or(0, |a| a.status);
            record.line(&format!("caller {id}: status {status} after {ms} ms"));
            answers.lock().unwrap().push((status, ms));
        }));
    }
    for caller in callers {
        let _ = caller.join();
    }
    stop.store(true, Ordering::Relaxed);
    let answers = answers.lock().unwrap();
    let unanswered = answers.iter().filter(|(status, ms)| *status == 0 || *ms > TIMEOUT_MS as u128).count();
    let still = answers.iter().filter(|(status, _)| *status == 0).count();
    let ok = answers.iter().filter(|(status, _)| *status == 200).count();
    case.record.line(&format!(
        "crowd sent {}; callers: {} requests, {ok} with 200, {unanswered} unanswered at {TIMEOUT_MS} ms, {still} of them 500 ms later; refused beats {}",
        sent.load(Ordering::Relaxed), answers.len(), instance.refused_beats.load(Ordering::Relaxed)
    ));
    if still * 2 > unanswered { BROKEN } else { HELD }
}
