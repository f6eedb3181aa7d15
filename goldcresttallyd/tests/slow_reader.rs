//! Guards against a log reader that has stopped reading or has closed the pipe, which must neither
//! block nor fail the daemon; lost lines must be counted.

use std::io::Read;
use std::os::fd::AsFd;

use goldcresttallyd::logging::pipe::PipeAppender;
use log::{Level, Record};
use log4rs::append::Append;
use log4rs::encode::pattern::PatternEncoder;

fn append(appender: &PipeAppender, text: &str) {
    let args = format_args!("{text}");
    appender.append(&Record::builder().level(Level::Info).args(args).build()).unwrap();
}

#[test]
fn full_pipe_drops_and_counts_lines() {
    let (reader, writer) = rustix::pipe::pipe().unwrap();
    let appender = PipeAppender::new(writer, Box::new(PatternEncoder::new("{m}{n}")));
    let line = "x".repeat(999);
    // The pipe holds 64 KiB and nobody reads: the other lines must be dropped without blocking.
    for _ in 0..500 {
        append(&appender, &line);
    }
    let mut reader = std::fs::File::from(reader.as_fd().try_clone_to_owned().unwrap());
    let mut first = vec![0; 32_000];
    reader.read_exact(&mut first).unwrap();
    append(&appender, "after");
    drop(appender);
    let mut rest = String::new();
    reader.read_to_string(&mut rest).unwrap();
    let written = (first.len() + rest.len()) / 1000;
    let last = rest.lines().last().unwrap();
    assert_eq!(last, format!("after lines_lost={}", 500 - written));
}

#[test]
fn closed_pipe_does_not_fail_logging() {
    let (reader, writer) = rustix::pipe::pipe().unwrap();
    drop(reader);
    let appender = PipeAppender::new(writer, Box::new(PatternEncoder::new("{m}{n}")));
    append(&appender, "nobody reads this");
}
