//! The record of what was sent, answered and run, with the seconds since the start.

use std::fmt;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(BufWriter::new(File::create(path)?));
        Ok(Self { start: Instant::now(), file })
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Writes a line and returns its time.
    pub fn note(&self, text: fmt::Arguments<'_>) -> f64 {
        let mut file = self.file.lock().unwrap();
        let now = self.now();
        let _ = writeln!(file, "{now:8.3} {text}");
        let _ = file.flush();
        now
    }
}
