//! Writes log lines to a pipe or terminal whose reader may be slow or gone, without waiting for it.

use std::fmt;
use std::os::fd::{AsFd, OwnedFd};
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
    fd: OwnedFd,
    encoder: Box<dyn Encode>,
    /// Lines lost since the last one written; held while a line is written, so that lines do not
    /// mix.
    lost: Mutex<u64>,
}

impl fmt::Debug for PipeAppender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PipeAppender").field("fd", &self.fd).finish_non_exhaustive()
    }
}

impl PipeAppender {
    /// Returns an appender that writes to `fd`.
    pub fn new(fd: OwnedFd, encoder: Box<dyn Encode>) -> Self {
        Self { fd, encoder, lost: Mutex::new(0) }
    }

    /// Tells whether a line can be written without waiting.
    fn is_ready(&self) -> bool {
        let mut fds = [PollFd::new(&self.fd, PollFlags::OUT)];
        let now = Timespec { tv_sec: 0, tv_nsec: 0 };
        let ready = poll(&mut fds, Some(&now));
        // A file that cannot be polled, as on some systems, is always ready.
        ready.is_err() || fds[0].revents().contains(PollFlags::OUT)
    }
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
        if !self.is_ready() {
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
