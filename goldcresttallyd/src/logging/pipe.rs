//! A log appender for a pipe or terminal that never blocks on a slow or closed reader.

use std::fmt;
use std::os::fd::{AsFd, BorrowedFd};
use std::sync::{Mutex, PoisonError};

use log::Record;
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::writer::simple::SimpleWriter;
use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// Maximum length of a line, in bytes: a ready pipe accepts this much without blocking (`PIPE_BUF`
/// on Linux).
const MAX_LINE_BYTES: usize = 4096;

/// An appender that drops and counts lines that it cannot write without blocking.
pub struct PipeAppender {
    fd: Box<dyn AsFd + Send + Sync>,
    encoder: Box<dyn Encode>,
    /// Whether readiness can be polled; otherwise every line is written directly.
    pollable: bool,
    /// Number of lines lost since the last written one; locked during a write, so that lines do not
    /// interleave.
    lost: Mutex<u64>,
}

impl fmt::Debug for PipeAppender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PipeAppender").field("fd", &self.fd.as_fd()).finish_non_exhaustive()
    }
}

impl PipeAppender {
    /// Creates an appender that writes to `fd`, which must be ready now: if it is not, it counts as
    /// not pollable.
    pub fn new(fd: impl AsFd + Send + Sync + 'static, encoder: Box<dyn Encode>) -> Self {
        let pollable = is_ready(fd.as_fd());
        Self { fd: Box::new(fd), encoder, pollable, lost: Mutex::new(0) }
    }
}

/// Returns whether a line can be written without blocking.
fn is_ready(fd: BorrowedFd<'_>) -> bool {
    let mut fds = [PollFd::from_borrowed_fd(fd, PollFlags::OUT)];
    let now = Timespec { tv_sec: 0, tv_nsec: 0 };
    poll(&mut fds, Some(&now)).is_ok() && fds[0].revents().contains(PollFlags::OUT)
}

impl Append for PipeAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut line, record)?;
        let mut line = line.0;
        if line.len() > MAX_LINE_BYTES {
            line.truncate(MAX_LINE_BYTES - 1);
            line.push(b'\n');
        }
        let mut lost = self.lost.lock().unwrap_or_else(PoisonError::into_inner);
        if self.pollable && !is_ready(self.fd.as_fd()) {
            *lost += 1;
            return Ok(());
        }
        if *lost > 0 && line.len() + 32 < MAX_LINE_BYTES {
            line.pop();
            line.extend_from_slice(format!(" lines_lost={lost}\n").as_bytes());
        }
        match rustix::io::write(self.fd.as_fd(), &line) {
            Ok(_) => *lost = 0,
            // The reader has closed the pipe, possibly since the check.
            Err(_) => *lost += 1,
        }
        Ok(())
    }

    fn flush(&self) {}
}
