//! Stand-ins of the platform: the metadata store, an instance, and a node process with its settings.

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::json::Json;

pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// The record of what was sent, answered and run.
pub struct Record {
    start: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    pub fn create(path: &str) -> Arc<Self> {
        let file = fs::File::create(path).expect("record.txt can be written");
        Arc::new(Self { start: Instant::now(), file: Mutex::new(file) })
    }

    pub fn line(&self, text: &str) {
        let ms = self.start.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{ms:>7} ms  {text}");
    }
}

/// A request that was read whole.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }
}

/// Reads a head: the first line, and the header fields.
pub fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads a body with a length or in chunks; `None` if it ends early.
pub fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let header = |name: &str| {
        headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    };
    if header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let length: usize = header("content-length").map_or(Some(0), |v| v.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

pub fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    read_rest(reader, &first, headers)
}

/// Reads the body of a request whose head was read.
fn read_rest(reader: &mut impl BufRead, first: &str, headers: Vec<(String, String)>) -> Option<Request> {
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let body = read_body(reader, &headers)?;
    Some(Request { method, target, headers, body })
}

/// Serves connections, each on a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            let _ = stream.set_nodelay(true);
            thread::Builder::new().stack_size(256 * 1024).spawn(move || handle(stream)).unwrap();
        }
    });
}

#[derive(Clone)]
struct Row {
    value: Option<Vec<u8>>,
    version: u64,
}

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Key, Row>,
    changes: Vec<(Key, Row)>,
}

/// The metadata store.
pub struct Store {
    pub address: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    start: Instant,
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let n = part.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - part.len()));
        for i in 0..4 {
            match i <= part.len() {
                true => text.push(BASE64[(n >> (18 - 6 * i) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

fn unbase64(text: &str) -> Vec<u8> {
    let (mut bytes, mut n, mut bits) = (Vec::new(), 0u32, 0);
    for c in text.bytes().filter_map(|c| BASE64.iter().position(|b| *b == c)) {
        n = n << 6 | c as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((n >> bits) as u8);
            n &= (1 << bits) - 1;
        }
    }
    bytes
}

fn row_json((table, part, key): &Key, row: &Row) -> String {
    let value = match &row.value {
        Some(value) => format!("\"value\":\"{}\"", base64(value)),
        None => "\"removed\":true".to_owned(),
    };
    let version = row.version;
    format!(
        "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"schema-version\":{version},{value}}}"
    )
}

impl Store {
    pub fn start(ip: &str) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for the store");
        let store = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            rows: Mutex::default(),
            changed: Condvar::new(),
            start: Instant::now(),
        });
        let serving = Arc::clone(&store);
        serve(listener, move |stream| serving.connection(stream));
        store
    }

    /// Writes a row as the operator does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        write_row(&mut rows, (table.into(), String::new(), key.into()), Some(value.into()));
        drop(rows);
        self.changed.notify_all();
    }

    fn connection(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut stream = stream;
        while let Some(request) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\nstore-era: 0\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, value.replace("%00", "\0")))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let now_ms = self.start.elapsed().as_millis();
        match path {
            "/goldcresttally/rows-get" => {
                let rows = self.rows.lock().unwrap();
                let limit: usize = text("limit").parse().unwrap_or(500).min(500);
                let found: Vec<_> = rows
                    .rows
                    .iter()
                    .filter(|((table, part, key), row)| {
                        *table == text("table")
                            && *part == text("part")
                            && row.value.is_some()
                            && query.get("from").is_none_or(|from| key >= from)
                            && query.get("to").is_none_or(|to| key < to)
                    })
                    .map(|(key, row)| row_json(key, row))
                    .collect();
                let more = found.len() > limit;
                let listed = found[..limit.min(found.len())].join(",");
                let version = rows.version;
                (200, format!("{{\"rows\":[{listed}],\"has-more\":{more},\"schema-version\":{version},\"now-ms\":{now_ms}}}"))
            }
            "/goldcresttally/rows-feed" => {
                let after: u64 = text("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(text("wait-ms").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                let mut rows = self.rows.lock().unwrap();
                loop {
                    let table = text("table");
                    let new: Vec<_> = rows
                        .changes
                        .iter()
                        .filter(|((t, ..), row)| *t == table && row.version > after)
                        .map(|(key, row)| row_json(key, row))
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !new.is_empty() || left.is_zero() {
                        let (listed, version) = (new.join(","), rows.version);
                        return (200, format!("{{\"rows\":[{listed}],\"schema-version\":{version},\"now-ms\":{now_ms}}}"));
                    }
                    rows = self.changed.wait_timeout(rows, left).unwrap().0;
                }
            }
            "/goldcresttally/rows-tx" => {
                let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
                let key = |row: &Json| (row.text("table"), row.text("part"), row.text("key"));
                let mut rows = self.rows.lock().unwrap();
                for row in body.list("expected") {
                    let known = rows.rows.get(&key(row)).filter(|r| r.value.is_some());
                    if known.map_or(0, |r| r.version) != row.number("schema-version") as u64 {
                        let current = rows.rows.get(&key(row)).map(|r| row_json(&key(row), r));
                        let listed = current.unwrap_or_default();
                        return (412, format!("{{\"rows\":[{listed}],\"schema-version\":{}}}", rows.version));
                    }
                }
                rows.version += 1;
                for row in body.list("puts") {
                    write_row(&mut rows, key(row), Some(unbase64(&row.text("value"))));
                }
                for row in body.list("remove") {
                    write_row(&mut rows, key(row), None);
                }
                let version = rows.version;
                drop(rows);
                self.changed.notify_all();
                (200, format!("{{\"schema-version\":{version},\"now-ms\":{now_ms}}}"))
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

fn write_row(rows: &mut Rows, key: Key, value: Option<Vec<u8>>) {
    let row = Row { value, version: rows.version };
    rows.changes.push((key.clone(), row.clone()));
    rows.rows.insert(key, row);
}

/// A run of a request by an instance.
#[derive(Clone)]
pub struct Run {
    pub id: String,
}

/// An instance: it answers each request with a signed body after its work time.
pub struct Instance {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    control: SocketAddr,
    pub work: Duration,
    pub slots: usize,
    pub runs: Mutex<Vec<Run>>,
    /// The ids of the requests whose heads have arrived.
    pub begun: Mutex<Vec<String>>,
    pub beats: AtomicBool,
    pub refused_beats: AtomicUsize,
    sequence: AtomicU64,
    born: u64,
    record: Arc<Record>,
}

impl Instance {
    pub fn start(ip: &str, id: &str, service: &str, work_ms: u64, slots: usize, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind((ip, APP_PORT)).expect("a free port for the instance");
        let instance = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().unwrap(),
            control: format!("{ip}:{CONTROL_PORT}").parse().unwrap(),
            work: Duration::from_millis(work_ms),
            slots,
            runs: Mutex::default(),
            begun: Mutex::default(),
            beats: AtomicBool::new(true),
            refused_beats: AtomicUsize::new(0),
            sequence: AtomicU64::new(0),
            born: wall_ms(),
            record: Arc::clone(record),
        });
        let serving = Arc::clone(&instance);
        serve(listener, move |stream| serving.connection(stream));
        let beating = Arc::clone(&instance);
        thread::spawn(move || {
            loop {
                if beating.beats.load(Ordering::Relaxed) && !beating.beat("ready") {
                    beating.refused_beats.fetch_add(1, Ordering::Relaxed);
                }
                thread::sleep(Duration::from_millis(1000));
            }
        });
        instance
    }

    /// Sends a liveness report; returns whether it was acknowledged within a second.
    pub fn beat(&self, state: &str) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"zone-a\",\"slots\":{}}},\"status\":{{\"state\":\"{state}\",\"sequence\":{sequence},\"cold-left-ms\":0}}}}",
            self.address, self.born, self.service, self.slots
        );
        let path = format!("/goldcresttally/rpc?call=instances.heartbeat&of={}", self.id);
        let answer = call(self.control, "POST", &path, &[("content-type", "application/json")], body.as_bytes(), Duration::from_secs(1));
        answer.is_some_and(|answer| (200..300).contains(&answer.status))
    }

    fn connection(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut stream = stream;
        while let Some((first, headers)) = read_head(&mut reader) {
            let id = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("goldcresttally-attempt-id"));
            self.begun.lock().unwrap().extend(id.map(|(_, id)| id.clone()));
            let Some(request) = read_rest(&mut reader, &first, headers) else { return };
            if request.target == "/health" {
                let text = format!("HTTP/1.1 200 OK\r\ngoldcresttally-instance-id: {}\r\ncontent-length: 0\r\n\r\n", self.id);
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let id = request.header("goldcresttally-attempt-id").to_owned();
            let target = request.header("goldcresttally-target-instance");
            if !target.is_empty() && target != self.id {
                let text = format!("HTTP/1.1 421 Misdirected Request\r\ngoldcresttally-instance-id: {}\r\ncontent-length: 0\r\n\r\n", self.id);
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let path: String = request.target.chars().take(80).collect();
            self.record.line(&format!("instance {} runs {id} {} {path} body={}", self.id, request.method, request.body.len()));
            self.runs.lock().unwrap().push(Run { id: id.clone() });
            thread::sleep(self.work);
            // A case may ask for a longer answer.
            let bytes = request.header("x-answer-bytes").parse().unwrap_or(0);
            let mut body = format!("answer {id}");
            body.push_str(&" ".repeat(usize::saturating_sub(bytes, body.len())));
            let text = format!(
                "HTTP/1.1 200 OK\r\ngoldcresttally-attempt-id: {id}\r\ngoldcresttally-response-signature: s.{id}\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            // And that it is sent over some time.
            let time: u64 = request.header("x-answer-ms").parse().unwrap_or(0);
            let parts = if time > 0 { 50 } else { 1 };
            for part in text.as_bytes().chunks(text.len().div_ceil(parts)) {
                if stream.write_all(part).is_err() {
                    return;
                }
                thread::sleep(Duration::from_millis(time / 50));
            }
        }
    }
}

/// The answer to a request.
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Makes a request on a connection of its own; `None` without a complete answer in time.
pub fn call(to: SocketAddr, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8], limit: Duration) -> Option<Answer> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    stream.write_all(text.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    read_answer(&stream, until)
}

/// Reads an answer with a length until a time.
pub fn read_answer(stream: &TcpStream, until: Instant) -> Option<Answer> {
    let left = until.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some(Answer { status, body })
}

pub const HOST: &str = "h.example";
pub const APP_PORT: u16 = 8145;
pub const OUTBOUND_PORT: u16 = 8147;
pub const READY_PORT: u16 = 8141;
pub const CONTROL_PORT: u16 = 8144;

/// The processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the processes that were started.
pub fn end_processes() {
    for id in STARTED.lock().unwrap().drain(..) {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
}

/// A node's process, started with the command of the deploy file.
pub struct Node {
    pub ip: String,
    settings: String,
    child: Child,
}

/// Renders the settings of the node at `ip` from the template of the deploy file.
fn render(ip: &str, service: &str, store: SocketAddr, seed: &str) -> String {
    let fields = [
        ("{{ip}}", ip.to_owned()),
        ("{{port-range.0}}", "7380".to_owned()),
        ("{{port-range.1}}", "7395".to_owned()),
        ("{{listen.inbound}}", format!("{ip}:8146")),
        ("{{listen.outbound}}", format!("{ip}:{OUTBOUND_PORT}")),
        ("{{listen.ready}}", format!("{ip}:{READY_PORT}")),
        ("{{listen.control}}", format!("{ip}:{CONTROL_PORT}")),
        ("{{zone}}", "zone-a".to_owned()),
        ("{{region}}", "region".to_owned()),
        ("{{service}}", service.to_owned()),
        ("{{app-addr}}", format!("{ip}:{APP_PORT}")),
        ("{{seeds|json}}", format!("[\"{seed}:{CONTROL_PORT}\"]")),
        ("{{platform.address}}", store.to_string()),
        ("{{platform.reads-per-s}}", "2000".to_owned()),
        ("{{limits.link-mbps}}", "1000.0".to_owned()),
        ("{{limits.memory-mb}}", "260".to_owned()),
        ("{{limits.max-fds}}", "4100".to_owned()),
        ("{{heartbeat-ms}}", "1500".to_owned()),
        ("{{contracts|json}}", r#"["base","drain","config","cost","retry","recover","platform"]"#.to_owned()),
        ("{{bounds|json}}", r#"{"seed-lag-s":3,"addr-reuse-s":2,"stability-ms":3000,"ack-ms":4000,"catch-up-s":4,"drain-ms":2000,"grace-s":6,"loss-slack-ms":200,"config-apply-ms":2000,"rollback-slack-ms":250,"max-skew-ms":5000,"retry-budget-ratio":0.2,"budget-window-s":10,"budget-slack":58,"recovery-s":15}"#.to_owned()),
    ];
    let template = fs::read_to_string("platform/node.template.yaml").expect("the settings template");
    let text = fields.iter().fold(template, |text, (name, value)| text.replace(name, value));
    assert!(!text.contains("{{"), "a field of the template was not filled in");
    text
}

impl Node {
    /// Starts a node whose output goes to `output`.
    pub fn start(folder: &str, ip: &str, service: &str, store: &Store, seed: &str, output: Stdio) -> Self {
        let settings = format!("{folder}/{ip}.yaml");
        fs::write(&settings, render(ip, service, store.address, seed)).expect("settings can be written");
        let child = Self::spawn(&settings, output);
        Self { ip: ip.to_owned(), settings, child }
    }

    fn spawn(settings: &str, output: Stdio) -> Child {
        let mut command = Command::new("target/release/goldcresttally-sidecar");
        command.env_clear().env("GOLDCRESTTALLY_SETTINGS", settings);
        command.stdin(Stdio::null()).stdout(output).stderr(Stdio::null());
        let child = command.spawn().expect("the node starts");
        STARTED.lock().unwrap().push(child.id());
        child
    }

    /// Kills the process, unless it has ended, and waits for it.
    fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|id| *id != self.child.id());
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([format!("-{name}"), self.child.id().to_string()]).status();
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_none()
    }

    /// Starts the process again after it has ended or was killed.
    pub fn restart(&mut self, output: Stdio) {
        self.end();
        self.child = Self::spawn(&self.settings, output);
    }

    pub fn outbound(&self) -> SocketAddr {
        format!("{}:{OUTBOUND_PORT}", self.ip).parse().unwrap()
    }

    pub fn is_ready(&self, limit: Duration) -> bool {
        let to = format!("{}:{READY_PORT}", self.ip).parse().unwrap();
        call(to, "GET", "/goldcresttally/ready", &[], b"", limit).is_some_and(|a| a.status == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.end();
    }
}

/// Returns a route of the configuration.
pub fn route(prefix: &str, kind: &str, service: &str, timeout_ms: u32, target_ms: u32, priority: u8) -> String {
    let name = prefix.trim_matches('/');
    format!(
        "{{\"resource-type\":\"routes\",\"metadata\":{{\"name\":\"r-{name}\"}},\"spec\":{{\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"route-type\":\"{kind}\",\"timeout-ms\":{timeout_ms},\"target-latency-ms\":{target_ms},\"priority\":{priority},\"service\":\"{service}\",\"attempts\":2}}}}"
    )
}

/// Returns a configuration with these services and routes, and the limits that the pages show.
pub fn config(version: u32, services: &[&str], routes: &[String]) -> String {
    let service = |name: &&str| {
        format!("{{\"resource-type\":\"services\",\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{{\"health-path\":\"/health\",\"max-connections\":110,\"protocol\":\"h1\",\"tls\":false}}}}")
    };
    let mut resources = routes.to_vec();
    resources.extend(services.iter().map(service));
    resources.push("{\"resource-type\":\"limits\",\"metadata\":{},\"spec\":{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}".to_owned());
    format!("{{\"version\":\"{version:08x}\",\"resources\":[{}]}}", resources.join(","))
}
