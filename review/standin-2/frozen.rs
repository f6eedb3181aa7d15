//! Orders whose answers are under way when the node beside the instance stands still, and other orders sent to it
//! at that time.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::process::Stdio;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{HOST, Instance, Node, config, read_answer, route};
use crate::{BROKEN, Case, HELD, NOT_RUN};

const LIMIT_MS: u64 = 6000;

/// Orders with long answers, and the time over which the instance sends each.
const LONG: usize = 8;
const LONG_ANSWER: usize = 300_000;
const LONG_MS: u64 = 3500;

/// Other orders, with bodies, made within a quarter of a second.
const SHORT: usize = 40;
const SHORT_BODY: usize = 12_000;

const FREEZE: Duration = Duration::from_millis(2500);

fn post(stream: &mut TcpStream, id: &str, answer_bytes: usize, answer_ms: u64, body: usize) {
    let head = format!(
        "POST /orders/1 HTTP/1.1\r\nhost: {HOST}\r\ngoldcresttally-attempt-id: {id}\r\ngoldcresttally-deadline-ms: {LIMIT_MS}\r\nx-answer-bytes: {answer_bytes}\r\nx-answer-ms: {answer_ms}\r\ncontent-length: {body}\r\n\r\n"
    );
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.write_all(&vec![b'b'; body]);
}

/// Makes an order with a long answer on a connection in use; returns whether it came whole.
fn long_order(case: &Case, stream: &mut TcpStream, number: usize) -> bool {
    let id = format!("long{number}");
    let sent = Instant::now();
    post(stream, &id, LONG_ANSWER, LONG_MS, 0);
    let answer = read_answer(stream, sent + Duration::from_millis(LIMIT_MS + 1000));
    let whole = answer.as_ref().is_some_and(|a| a.status == 200 && a.body.len() == LONG_ANSWER);
    let status = answer.map_or(0, |a| a.status);
    let ms = sent.elapsed().as_millis();
    case.record.line(&format!("caller {id}: whole answer {whole}, status {status} (0: none, or cut), after {ms} ms"));
    whole || status != 0
}

fn short_order(case: &Case, to: SocketAddr, number: usize) {
    let id = format!("short{number}");
    let Ok(mut stream) = TcpStream::connect(to) else { return };
    let sent = Instant::now();
    post(&mut stream, &id, 0, 0, SHORT_BODY);
    let answer = read_answer(&stream, sent + Duration::from_millis(LIMIT_MS + 1000));
    let status = answer.map_or(0, |a| a.status);
    case.record.line(&format!("caller {id}: status {status} after {} ms", sent.elapsed().as_millis()));
}

pub fn run(case: &Case) -> i32 {
    let store = case.store();
    let (entry, beside) = (case.ip(1), case.ip(2));
    let nodes = vec![
        Node::start(&case.folder, &entry, "planning", &store, &entry, Stdio::null()),
        Node::start(&case.folder, &beside, "booking", &store, &entry, Stdio::null()),
    ];
    let _planning = Instance::start(&entry, "i-1", "planning", 20, 12, &case.record);
    let booking = Instance::start(&beside, "i-2", "booking", 20, 12, &case.record);
    let routes = [route("/orders/", "unsafe", "booking", LIMIT_MS as u32, 800, 0)];
    store.put("op", "config", &config(1, &["booking", "planning"], &routes));
    case.wait_until_served(&nodes, "POST", "/orders/warm");
    let to = nodes[0].outbound();
    let mut streams = Vec::new();
    for number in 0..LONG {
        let Ok(mut stream) = TcpStream::connect(to) else { return NOT_RUN };
        post(&mut stream, &format!("first{number}"), 0, 0, 0);
        let answer = read_answer(&stream, Instant::now() + Duration::from_secs(4));
        if answer.is_none_or(|answer| answer.status != 200) {
            return NOT_RUN;
        }
        streams.push(stream);
    }
    let cut = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for (number, stream) in streams.iter_mut().enumerate() {
            let cut = &cut;
            scope.spawn(move || {
                if !long_order(case, stream, number) {
                    cut.lock().unwrap().push(format!("long{number}"));
                }
            });
        }
        thread::sleep(Duration::from_millis(500));
        if !case.calm {
            case.record.line("the process beside the instance stands still");
            nodes[1].signal("STOP");
        }
        for number in 0..SHORT {
            scope.spawn(move || short_order(case, to, number));
            thread::sleep(Duration::from_millis(6));
        }
        thread::sleep(FREEZE - Duration::from_millis(6 * SHORT as u64));
        if !case.calm {
            nodes[1].signal("CONT");
            case.record.line("the process goes on");
        }
    });
    let runs = booking.runs.lock().unwrap();
    let ran = |id: &String| runs.iter().any(|run| run.id == *id);
    let lost = cut.into_inner().unwrap().iter().filter(|id| ran(id)).count();
    case.record.line(&format!("{lost} of {LONG} orders run and closed without a whole answer"));
    if lost > 3 { BROKEN } else { HELD }
}
