//! Uploads of ordinary callers with a pause in the middle, beside a crowd whose bodies stop short of their end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{HOST, Instance, Node, config, read_answer, route};
use crate::{BROKEN, Case, HELD, NOT_RUN};

const CROWD: usize = 340;
/// Bytes of a crowd's body, and those of them that are sent.
const CROWD_BODY: usize = 64_000;
const CROWD_SENT: usize = 63_000;

const UPLOADS: usize = 12;
const UPLOAD_BYTES: usize = 100_000;
const SENT_BEFORE_PAUSE: usize = 80_000;
const PAUSE: Duration = Duration::from_millis(2500);
/// Time limit of an upload, and `timeout-ms` of its route.
const LIMIT_MS: u64 = 6000;

/// Sends bodies that stop short of their end, and again when the connection is closed.
fn stop_short(to: SocketAddr, number: usize, stop: &AtomicBool, sent: &AtomicUsize) {
    let mut round = 0;
    while !stop.load(Ordering::Relaxed) {
        round += 1;
        let Ok(mut stream) = TcpStream::connect(to) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let head = format!(
            "POST /stops/1 HTTP/1.1\r\nhost: {HOST}\r\ngoldcresttally-attempt-id: crowd{number}-{round}\r\ngoldcresttally-deadline-ms: {LIMIT_MS}\r\ncontent-length: {CROWD_BODY}\r\n\r\n"
        );
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        if stream.write_all(head.as_bytes()).is_ok() && stream.write_all(&vec![b'c'; CROWD_SENT]).is_ok() {
            sent.fetch_add(1, Ordering::Relaxed);
            let _ = stream.read(&mut [0; 512]);
        }
    }
}

struct Upload {
    id: String,
    status: u16,
    closed_after_ms: u128,
}

/// Makes a small request on a connection, and then an upload with a pause on the same connection.
fn upload(case: &Case, to: SocketAddr, number: usize) -> Option<Upload> {
    let mut stream = TcpStream::connect(to).ok()?;
    let _ = stream.set_nodelay(true);
    let head = |id: &str, bytes: usize| {
        format!("POST /stops/1 HTTP/1.1\r\nhost: {HOST}\r\ngoldcresttally-attempt-id: {id}\r\ngoldcresttally-deadline-ms: {LIMIT_MS}\r\ncontent-length: {bytes}\r\n\r\n")
    };
    let first = format!("first{number}");
    stream.write_all((head(&first, 4) + "seat").as_bytes()).ok()?;
    let answer = read_answer(&stream, Instant::now() + Duration::from_secs(6))?;
    if answer.status != 200 {
        case.record.line(&format!("caller {first}: status {}", answer.status));
        return None;
    }
    let id = format!("upload{number}");
    let begun = Instant::now();
    stream.write_all(head(&id, UPLOAD_BYTES).as_bytes()).ok()?;
    stream.write_all(&vec![b'u'; SENT_BEFORE_PAUSE]).ok()?;
    thread::sleep(PAUSE);
    let _ = stream.write_all(&vec![b'u'; UPLOAD_BYTES - SENT_BEFORE_PAUSE]);
    let answer = read_answer(&stream, begun + Duration::from_millis(LIMIT_MS));
    let status = answer.map_or(0, |answer| answer.status);
    let ms = begun.elapsed().as_millis();
    case.record.line(&format!("caller {id}: status {status} after {ms} ms"));
    Some(Upload { id, status, closed_after_ms: ms })
}

pub fn run(case: &Case) -> i32 {
    let store = case.store();
    let ip = case.ip(1);
    let nodes = vec![Node::start(&case.folder, &ip, "planning", &store, &ip, Stdio::null())];
    let instance = Instance::start(&ip, "i-1", "planning", 50, 12, &case.record);
    let routes = [route("/stops/", "safe", "planning", LIMIT_MS as u32, 4000, 3)];
    store.put("op", "config", &config(1, &["planning"], &routes));
    case.wait_until_served(&nodes, "POST", "/stops/warm");
    let to = nodes[0].outbound();
    let stop = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicUsize::new(0));
    if !case.calm {
        for number in 0..CROWD {
            let (stop, sent) = (Arc::clone(&stop), Arc::clone(&sent));
            let crowd = move || stop_short(to, number, &stop, &sent);
            thread::Builder::new().stack_size(256 * 1024).spawn(crowd).expect("a thread");
        }
        case.record.line(&format!("crowd: {CROWD} connections send {CROWD_SENT} of {CROWD_BODY} bytes and stay open"));
        thread::sleep(Duration::from_secs(2));
    }
    let uploads = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for number in 0..UPLOADS {
            let uploads = &uploads;
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(700 * number as u64));
                if let Some(upload) = upload(case, to, number) {
                    uploads.lock().unwrap().push(upload);
                }
            });
        }
    });
    stop.store(true, Ordering::Relaxed);
    let uploads = uploads.into_inner().unwrap();
    let runs = instance.runs.lock().unwrap();
    let passed_on = instance.begun.lock().unwrap();
    let lost: Vec<_> = uploads.iter().filter(|u| u.status == 0 && passed_on.contains(&u.id)).collect();
    for upload in &lost {
        case.record.line(&format!("{}: passed on to the instance, closed without an answer after {} ms", upload.id, upload.closed_after_ms));
    }
    let ran = uploads.iter().filter(|u| runs.iter().any(|run| run.id == u.id)).count();
    case.record.line(&format!("crowd sent {} bodies; uploads: {} made, {ran} run, {} lost", sent.load(Ordering::Relaxed), uploads.len(), lost.len()));
    if uploads.len() < 6 {
        return NOT_RUN;
    }
    if lost.len() > 3 { BROKEN } else { HELD }
}
