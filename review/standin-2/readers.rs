//! Callers that stop reading long answers half-way, and orders of ordinary callers over the same pair of nodes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{HOST, Instance, Node, config, read_answer, route};
use crate::{BROKEN, Case, HELD, NOT_RUN};

/// Callers that stop reading, and how many of them must have begun before the orders are made.
const CROWD: usize = 32;
const STALLED: usize = 20;
const LONG_ANSWER: usize = 12_000_000;
const LONG_LIMIT_MS: u64 = 2000;

const ORDERS: usize = 12;
const ORDER_ANSWER: usize = 100_000;
const ORDER_LIMIT_MS: u64 = 3000;

fn request(method: &str, path: &str, id: &str, limit_ms: u64, answer_bytes: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\ngoldcresttally-attempt-id: {id}\r\ngoldcresttally-deadline-ms: {limit_ms}\r\nx-answer-bytes: {answer_bytes}\r\ncontent-length: 0\r\n\r\n"
    )
}

/// Asks for a long answer until one begins, reads its start, and stays open without reading on.
fn stop_reading(case: &Case, to: SocketAddr, number: usize, begun: &AtomicUsize, stop: &AtomicBool) {
    let mut round = 0;
    while !stop.load(Ordering::Relaxed) {
        round += 1;
        let id = format!("reader{number}-{round}");
        if let Ok(mut stream) = TcpStream::connect(to) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
            let text = request("GET", "/lists/1", &id, LONG_LIMIT_MS, LONG_ANSWER);
            let mut start = [0; 64];
            let sent = stream.write_all(text.as_bytes()).is_ok();
            if sent && stream.read(&mut start).is_ok() && start.starts_with(b"HTTP/1.1 200") {
                begun.fetch_add(1, Ordering::Relaxed);
                case.record.line(&format!("caller {id}: the answer begins; it is not read on"));
                while !stop.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(100));
                }
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
}

struct Order {
    id: String,
    whole: bool,
    status: u16,
    ms: u128,
}

/// Makes an order on a connection in use.
fn order(case: &Case, stream: &mut TcpStream, number: usize) -> Order {
    let id = format!("order{number}");
    let sent = Instant::now();
    let text = request("POST", "/orders/1", &id, ORDER_LIMIT_MS, ORDER_ANSWER);
    let _ = stream.write_all(text.as_bytes());
    let answer = read_answer(stream, sent + Duration::from_millis(ORDER_LIMIT_MS + 2000));
    let whole = answer.as_ref().is_some_and(|a| a.status == 200 && a.body.len() == ORDER_ANSWER);
    let status = answer.map_or(0, |a| a.status);
    let ms = sent.elapsed().as_millis();
    case.record.line(&format!("caller {id}: whole answer {whole}, status {status} (0: none, or cut), after {ms} ms"));
    Order { id, whole, status, ms }
}

pub fn run(case: &Case) -> i32 {
    let store = case.store();
    let (entry, beside) = (case.ip(1), case.ip(2));
    let nodes = vec![
        Node::start(&case.folder, &entry, "planning", &store, &entry, Stdio::null()),
        Node::start(&case.folder, &beside, "booking", &store, &entry, Stdio::null()),
    ];
    let planning = Instance::start(&entry, "i-1", "planning", 20, 12, &case.record);
    let booking = Instance::start(&beside, "i-2", "booking", 20, 12, &case.record);
    let routes = [
        route("/lists/", "safe", "booking", LONG_LIMIT_MS as u32, 800, 3),
        route("/orders/", "unsafe", "booking", ORDER_LIMIT_MS as u32, 800, 0),
    ];
    store.put("op", "config", &config(1, &["booking", "planning"], &routes));
    case.wait_until_served(&nodes, "POST", "/orders/warm");
    let to = nodes[0].outbound();
    // The ordinary callers' connections are in use before the others come.
    let mut streams = Vec::new();
    for number in 0..ORDERS {
        let Ok(mut stream) = TcpStream::connect(to) else { return NOT_RUN };
        let _ = stream.set_nodelay(true);
        let text = request("POST", "/orders/1", &format!("first{number}"), ORDER_LIMIT_MS, 100);
        let _ = stream.write_all(text.as_bytes());
        let answer = read_answer(&stream, Instant::now() + Duration::from_secs(4));
        if answer.is_none_or(|answer| answer.status != 200) {
            return NOT_RUN;
        }
        streams.push(stream);
    }
    let stop = AtomicBool::new(false);
    let begun = AtomicUsize::new(0);
    let orders = Mutex::new(Vec::new());
    thread::scope(|scope| {
        if !case.calm {
            for number in 0..CROWD {
                let (begun, stop) = (&begun, &stop);
                scope.spawn(move || stop_reading(case, to, number, begun, stop));
            }
            let until = Instant::now() + Duration::from_secs(14);
            while begun.load(Ordering::Relaxed) < STALLED && Instant::now() < until {
                thread::sleep(Duration::from_millis(50));
            }
            // The runs of the long answers end at their time limit.
            thread::sleep(Duration::from_millis(LONG_LIMIT_MS + 500));
        }
        let made: Vec<_> = streams
            .iter_mut()
            .enumerate()
            .map(|(number, stream)| {
                thread::sleep(Duration::from_millis(100));
                let orders = &orders;
                scope.spawn(move || {
                    let made = order(case, stream, number);
                    orders.lock().unwrap().push(made);
                })
            })
            .collect();
        for made in made {
            let _ = made.join();
        }
        stop.store(true, Ordering::Relaxed);
    });
    let begun = begun.load(Ordering::Relaxed);
    let orders = orders.into_inner().unwrap();
    let runs = booking.runs.lock().unwrap();
    let ran = |order: &Order| runs.iter().any(|run| run.id == order.id);
    let cut = orders.iter().filter(|order| order.status == 0 && ran(order)).count();
    let whole = orders.iter().filter(|order| order.whole).count();
    let slowest = orders.iter().map(|order| order.ms).max().unwrap_or(0);
    case.record.line(&format!(
        "{begun} callers stopped reading; orders: {} made, {whole} answered whole, {cut} run and closed without a whole answer, slowest {slowest} ms; refused beats {} and {}",
        orders.len(),
        planning.refused_beats.load(Ordering::Relaxed),
        booking.refused_beats.load(Ordering::Relaxed)
    ));
    if !case.calm && begun < STALLED {
        return NOT_RUN;
    }
    if cut > 3 { BROKEN } else { HELD }
}
