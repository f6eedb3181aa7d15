//! A reader of the log that has stopped reading holds nothing up, and learns what it missed.

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
fn lines_are_lost_and_counted() {
    let (reader, writer) = rustix::pipe::pipe().unwrap();
    let appender = PipeAppender::new(writer, Box::new(PatternEncoder::new("{m}{n}")));
    let line = "x".repeat(999);
    // The pipe takes 64 KB; nobody reads meanwhile, and this must come to its end.
    for _ in 0..500 {
        append(&appender, &line);
    }
    let mut reader = std::fs::File::from(reader.as_fd().try_clone_to_owned().unwrap());
    let mut held = vec![0; 32_000];
    reader.read_exact(&mut held).unwrap();
    append(&appender, "after");
    drop(appender);
    let mut rest = String::new();
    reader.read_to_string(&mut rest).unwrap();
    let whole = (held.len() + rest.len()) / 1000;
    let last = rest.lines().last().unwrap();
    assert_eq!(last, format!("after lines_lost={}", 500 - whole));
}

#[test]
fn the_reader_is_gone() {
    let (reader, writer) = rustix::pipe::pipe().unwrap();
    drop(reader);
    let appender = PipeAppender::new(writer, Box::new(PatternEncoder::new("{m}{n}")));
    append(&appender, "nobody reads this");
}
