//! An instance: runs requests, sends heartbeats, and leaves by deregistering first.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::deployment::{HEARTBEAT, Node};
use crate::http::{self, Message};
use crate::record::Record;

/// Requests that an instance processes at the same time.
const SLOTS: u32 = 12;

/// Time within which a heartbeat has to be acknowledged.
const ACK_LIMIT: Duration = Duration::from_secs(1);

/// An answer that is made piece by piece.
struct Document {
    piece: usize,
    pieces: usize,
    pace: Duration,
}

impl Document {
    /// Returns the document with which a request is answered, if any: 300 KB in 3 s below
    /// `/book/document/`, 10 MB as fast as they are read below `/book/archive/`.
    fn of(path: &str) -> Option<Self> {
        if path.starts_with("/book/document/") {
            Some(Self { piece: 10_000, pieces: 30, pace: Duration::from_millis(100) })
        } else if path.starts_with("/book/archive/") {
            Some(Self { piece: 60_000, pieces: 170, pace: Duration::ZERO })
        } else {
            None
        }
    }

    /// Writes the body; returns whether all was written.
    fn write(&self, stream: &mut TcpStream) -> bool {
        let piece = vec![b'd'; self.piece];
        for _ in 0..self.pieces {
            if stream.write_all(&piece).is_err() {
                return false;
            }
            std::thread::sleep(self.pace);
        }
        true
    }
}

/// Returns the time that an instance works on a request; requests below `/book/long/` take long.
fn work_of(path: &str) -> Duration {
    Duration::from_millis(if path.starts_with("/book/long/") { 1500 } else { 100 })
}

pub struct Instance {
    pub id: String,
    service: String,
    address: SocketAddr,
    control: SocketAddr,
    born: u128,
    sequence: AtomicU64,
    sends_heartbeats: AtomicBool,
    leaving: AtomicBool,
    ended: AtomicBool,
    record: Arc<Record>,
    /// The times at which requests arrived, and their ids.
    pub arrivals: Mutex<Vec<(f64, String)>>,
}

impl Instance {
    /// Starts the instance beside `node`.
    pub fn start(id: &str, node: &Node, record: &Arc<Record>) -> Result<Arc<Self>, String> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_err(|e| e.to_string())?;
        let instance = Arc::new(Self {
            id: id.to_owned(),
            service: node.service.clone(),
            address: node.app(),
            control: node.control(),
            born: now.as_millis(),
            sequence: AtomicU64::new(0),
            sends_heartbeats: AtomicBool::new(true),
            leaving: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            record: Arc::clone(record),
            arrivals: Mutex::default(),
        });
        let listener = TcpListener::bind(instance.address).map_err(|e| e.to_string())?;
        let served = Arc::clone(&instance);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.ended.load(Ordering::SeqCst) {
                    return;
                }
                let instance = Arc::clone(&served);
                std::thread::spawn(move || instance.serve(stream));
            }
        });
        let beating = Arc::clone(&instance);
        std::thread::spawn(move || {
            loop {
                if beating.sends_heartbeats.load(Ordering::SeqCst) {
                    beating.send_heartbeat(beating.next_sequence());
                }
                std::thread::sleep(HEARTBEAT);
            }
        });
        Ok(instance)
    }

    /// Ends the regular heartbeats; the caller sends those that follow.
    pub fn stop_heartbeats(&self) {
        self.sends_heartbeats.store(false, Ordering::SeqCst);
    }

    /// Returns the number of the next heartbeat.
    pub fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Delivers a heartbeat that says `ready`; returns the status of the answer, or 0.
    pub fn send_heartbeat(&self, sequence: u64) -> u16 {
        let Self { id, service, address, born, .. } = self;
        let body = format!(
            r#"{{"address":"{address}","born":{born},"info":{{"service":"{service}","version":"v1","zone":"zone-0","slots":{SLOTS}}},"status":{{"state":"ready","sequence":{sequence},"cold-left-ms":0}}}}"#
        );
        let path = format!("/goldcresttally/rpc?call=instances.heartbeat&of={id}");
        self.tell(&path, &body)
    }

    /// Delivers a heartbeat of another writer, which names this instance and lacks fields; returns the
    /// status of the answer, or 0.
    pub fn send_odd_heartbeat(&self) -> u16 {
        let Self { id, service, address, born, .. } = self;
        let born = born + self.record.now() as u128 * 1000;
        let body = format!(
            r#"{{"address":"{address}","born":{born},"info":{{"service":"{service}","slots":{SLOTS}}},"status":{{"state":"ready","sequence":1}}}}"#
        );
        let path = format!("/goldcresttally/rpc?call=instances.heartbeat&of={id}");
        self.tell(&path, &body)
    }

    /// Deregisters and leaves: from now on its answers say so and its health path answers 503.
    /// Returns the status of the answer, or 0.
    pub fn deregister(&self) -> u16 {
        self.leaving.store(true, Ordering::SeqCst);
        let path = format!("/goldcresttally/rpc?call=instances.deregister&of={}", self.id);
        self.tell(&path, &format!(r#"{{"born":{}}}"#, self.born))
    }

    /// Ends the process: what is in progress gets no answer.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(self.address);
    }

    fn tell(&self, path: &str, body: &str) -> u16 {
        let headers = "host: control\r\ncontent-type: application/json\r\n";
        let answer = http::call(self.control, "POST", path, headers, body, ACK_LIMIT);
        answer.map_or(0, |answer| answer.status())
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Some(request) = http::read(&mut reader) {
            let answer = self.answer(&request);
            let ended = self.ended.load(Ordering::SeqCst);
            if ended || stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            if let Some(document) = Document::of(request.path())
                && !document.write(&mut stream)
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> String {
        let id = &self.id;
        if request.path() == "/health" {
            let status = if self.leaving.load(Ordering::SeqCst) { 503 } else { 200 };
            return format!(
                "HTTP/1.1 {status} X\r\nGoldcresttally-Instance-Id: {id}\r\ncontent-length: 0\r\n\r\n"
            );
        }
        let target = request.header("goldcresttally-target-instance");
        if !target.is_empty() && target != id {
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\nGoldcresttally-Instance-Id: {id}\r\ncontent-length: 0\r\n\r\n"
            );
        }
        let attempt = request.header("goldcresttally-attempt-id");
        let now = self.record.note(format_args!("run {attempt} at {id}"));
        self.arrivals.lock().unwrap().push((now, attempt.to_owned()));
        // Closes the connection as soon as the process ends.
        let until = Instant::now() + work_of(request.path());
        while Instant::now() < until && !self.ended.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(10));
        }
        let document = Document::of(request.path());
        let (length, body) = document.map_or((4, "done"), |d| (d.piece * d.pieces, ""));
        let leaving = match self.leaving.load(Ordering::SeqCst) {
            true => "Server-Leaving: 1\r\n",
            false => "",
        };
        format!(
            "HTTP/1.1 200 OK\r\nGoldcresttally-Attempt-Id: {attempt}\r\nGoldcresttally-Response-Signature: {id}.{attempt}\r\n{leaving}content-length: {length}\r\n\r\n{body}"
        )
    }
}
