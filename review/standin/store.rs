//! The platform's metadata store: rows, transactions and the change feed.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{self, Json};

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    /// Values as base64 with the version of their last change.
    rows: BTreeMap<Key, (Option<String>, u64)>,
    changes: Vec<(Key, Option<String>, u64)>,
}

impl Rows {
    fn put(&mut self, key: Key, value: Option<String>) {
        self.rows.insert(key.clone(), (value.clone(), self.version));
        self.changes.push((key, value, self.version));
    }
}

#[derive(Default)]
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
}

impl Store {
    /// Serves a new store at `address`.
    pub fn start(address: SocketAddr) -> std::io::Result<Arc<Self>> {
        let store = Arc::new(Self::default());
        let listener = TcpListener::bind(address)?;
        let served = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row, as the operator does.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        rows.put((table.into(), String::new(), key.into()), Some(base64(value)));
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Some(request) = http::read(&mut reader) {
            std::thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request);
            let length = body.len();
            let text = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &http::Message) -> (u16, String) {
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let param = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(n, _)| *n == name).map(|(_, v)| unescape(v)).next()
        };
        match path {
            "/goldcresttally/rows-tx" => self.transact(&request.body),
            "/goldcresttally/rows-get" => {
                let table = param("table").unwrap_or_default();
                let part = param("part").unwrap_or_default();
                let rows = self.rows.lock().unwrap();
                let matches = |key: &Key| {
                    key.0 == table
                        && key.1 == part
                        && param("from").is_none_or(|from| key.2 >= from)
                        && param("to").is_none_or(|to| key.2 < to)
                };
                let found = rows.rows.iter().filter(|(key, row)| row.0.is_some() && matches(key));
                let found = found.map(|(key, (value, version))| row_json(key, value, *version));
                (200, rows_json(&found.collect::<Vec<_>>(), rows.version))
            }
            "/goldcresttally/rows-feed" => {
                let number = |name: &str| param(name).and_then(|n| n.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(number("wait-ms"));
                self.feed(&param("table").unwrap_or_default(), number("after"), until)
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(body) = json::parse(&String::from_utf8_lossy(body)) else {
            return (400, "{}".to_owned());
        };
        let key = |row: &Json| (row.text("table"), row.text("part"), row.text("key"));
        let mut rows = self.rows.lock().unwrap();
        let holds = |row: &Json| {
            let live = rows.rows.get(&key(row)).filter(|(value, _)| value.is_some());
            live.map_or(0, |(_, version)| *version) == row.number("schema-version") as u64
        };
        if !body.list("expected").iter().all(holds) {
            return (412, rows_json(&[], rows.version));
        }
        rows.version += 1;
        for row in body.list("puts") {
            rows.put(key(row), Some(row.text("value")));
        }
        for row in body.list("remove") {
            rows.put(key(row), None);
        }
        self.changed.notify_all();
        (200, rows_json(&[], rows.version))
    }

    fn feed(&self, table: &str, after: u64, until: Instant) -> (u16, String) {
        let mut rows = self.rows.lock().unwrap();
        loop {
            let new = rows.changes.iter().filter(|(key, _, v)| key.0 == table && *v > after);
            let new: Vec<_> = new.map(|(key, value, v)| row_json(key, value, *v)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                return (200, rows_json(&new, rows.version));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}

fn row_json((table, part, key): &Key, value: &Option<String>, version: u64) -> String {
    let value = match value {
        Some(value) => format!(r#""value":"{value}""#),
        None => r#""removed":true"#.to_owned(),
    };
    format!(
        r#"{{"table":"{table}","part":"{part}","key":"{key}","schema-version":{version},{value}}}"#
    )
}

fn rows_json(rows: &[String], version: u64) -> String {
    let rows = rows.join(",");
    format!(r#"{{"rows":[{rows}],"has-more":false,"schema-version":{version},"now-ms":1}}"#)
}

fn unescape(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        let digits: Option<Vec<u8>> = (byte == b'%').then(|| bytes.by_ref().take(2).collect());
        let code = digits.and_then(|d| u8::from_str_radix(&String::from_utf8_lossy(&d), 16).ok());
        out.push(code.unwrap_or(byte));
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = 0_u32;
        for i in 0..3 {
            group = group << 8 | u32::from(chunk.get(i).copied().unwrap_or(0));
        }
        for i in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * i)) as usize & 63];
            out.push(if i <= chunk.len() { digit as char } else { '=' });
        }
    }
    out
}
