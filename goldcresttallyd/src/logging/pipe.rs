//! Writes log lines to a pipe or terminal whose reader may be slow or gone, without waiting for it.

use std::fmt;
use std::os::fd::{AsFd, BorrowedFd};
use std::sync::{Mutex, PoisonError};

use log::Record;
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::writer::simple::SimpleWriter;
use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// Longest line, in bytes: a pipe that is ready takes this much at once (POSIX `PIPE_BUF` on Linux).
const LINE_LIMIT: usize = 4096;

/// Writes lines that can be written at once, and counts the others.
pub struct PipeAppender {
    fd: Box<dyn AsFd + Send + Sync>,
    encoder: Box<dyn Encode>,
    /// Whether it can be asked if the descriptor is ready.
    polls: bool,
    /// Lines lost since the last one written; held while a line is written, so that lines do not
    /// mix.
    lost: Mutex<u64>,
}

impl fmt::Debug for PipeAppender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PipeAppender").field("fd", &self.fd.as_fd()).finish_non_exhaustive()
    }
}

impl PipeAppender {
    /// Returns an appender that writes to `fd`, which is ready now unless it cannot be polled.
    pub fn new(fd: impl AsFd + Send + Sync + 'static, encoder: Box<dyn Encode>) -> Self {
        let polls = is_ready(fd.as_fd());
        Self { fd: Box::new(fd), encoder, polls, lost: Mutex::new(0) }
    }
}

/// Tells whether a line can be written without waiting.
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
        if line.len() > LINE_LIMIT {
            line.truncate(LINE_LIMIT - 1);
            line.push(b'\n');
        }
        let mut lost = self.lost.lock().unwrap_or_else(PoisonError::into_inner);
        if self.polls && !is_ready(self.fd.as_fd()) {
            *lost += 1;
            return Ok(());
        }
        if *lost > 0 && line.len() + 32 < LINE_LIMIT {
            line.pop();
            line.extend_from_slice(format!(" lines_lost={lost}\n").as_bytes());
        }
        match rustix::io::write(self.fd.as_fd(), &line) {
            Ok(_) => *lost = 0,
            // The reader is gone, or was faster to go than this line.
            Err(_) => *lost += 1,
        }
        Ok(())
    }

    fn flush(&self) {}
}
