//! Clients on one machine: each sends a request at a steady pace over a new connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// Time that a client waits for an answer, in milliseconds.
const TIME_LIMIT_MS: u64 = 2000;

/// The host of all routes.
pub const HOST: &str = "mesh.example";

pub struct Clients {
    stop: Arc<AtomicBool>,
    /// Requests that were answered with 200.
    served: Arc<AtomicU64>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Starts `count` clients that send `POST path` to `outbound`, each once in `pause`.
    pub fn start(
        name: &str,
        outbound: SocketAddr,
        path: &'static str,
        count: u32,
        pause: Duration,
        record: &Arc<Record>,
    ) -> Self {
        let (stop, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let threads = (0..count).map(|k| {
            let (stop, served, record) =
                (Arc::clone(&stop), Arc::clone(&served), Arc::clone(record));
            let name = format!("{name}-{k}");
            std::thread::spawn(move || {
                std::thread::sleep(pause * k / count);
                for i in 0.. {
                    let next = Instant::now() + pause;
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    send(&format!("{name}-{i}"), outbound, path, &served, &record);
                    std::thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            })
        });
        let threads = threads.collect();
        Self { stop, served, threads }
    }

    /// Lets the clients send nothing more.
    pub fn pause(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }

    /// Stops the clients; returns the number of requests that were answered with 200.
    pub fn stop(self) -> u64 {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.served.load(Ordering::SeqCst)
    }
}

fn send(id: &str, outbound: SocketAddr, path: &str, served: &AtomicU64, record: &Record) {
    record.note(format_args!("sent {id} to {outbound}"));
    let headers = format!(
        "host: {HOST}\r\nGoldcresttally-Attempt-Id: {id}\r\nGoldcresttally-Deadline-Ms: {TIME_LIMIT_MS}\r\n"
    );
    let limit = Duration::from_millis(TIME_LIMIT_MS);
    let answer = http::call(outbound, "POST", path, &headers, "order", limit);
    match answer {
        Some(answer) => {
            served.fetch_add(u64::from(answer.status() == 200), Ordering::SeqCst);
            let leaving = answer.header("server-leaving");
            let leaving = if leaving.is_empty() { "" } else { " leaving" };
            record.note(format_args!("answered {id} {}{leaving}", answer.status()));
        }
        None => {
            record.note(format_args!("unanswered {id}"));
        }
    }
}
