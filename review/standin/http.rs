//! HTTP/1.1 messages over blocking sockets, as far as the stand-ins need them.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or response.
pub struct Message {
    /// The words of the first line.
    pub start: Vec<String>,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn path(&self) -> &str {
        &self.start[1]
    }

    pub fn status(&self) -> u16 {
        self.start[1].parse().unwrap_or(0)
    }
}

/// Reads one message like [`read`], with a pause after each `part` bytes of its body.
pub fn read_paced(
    stream: &mut BufReader<TcpStream>,
    part: usize,
    pause: Duration,
) -> Option<Message> {
    let mut message = read_head(stream)?;
    let length: usize = message.header("content-length").parse().ok()?;
    while message.body.len() < length {
        let mut bytes = vec![0; part.min(length - message.body.len())];
        stream.read_exact(&mut bytes).ok()?;
        message.body.extend_from_slice(&bytes);
        std::thread::sleep(pause);
    }
    Some(message)
}

/// Reads one message; `None` when the connection ends or the message is cut off.
pub fn read(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(stream)?;
    let mut line = String::new();
    if message.header("transfer-encoding").contains("chunked") {
        loop {
            line.clear();
            stream.read_line(&mut line).ok()?;
            let length = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; length + 2];
            stream.read_exact(&mut chunk).ok()?;
            if length == 0 {
                return Some(message);
            }
            message.body.extend_from_slice(&chunk[..length]);
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

fn read_head(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = String::new();
    if stream.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let start: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
    if start.len() < 2 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        line.clear();
        stream.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    Some(Message { start, headers, body: Vec::new() })
}

/// Sends a request over a new connection and returns the response, if it arrives in time.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    limit: Duration,
) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, limit.min(Duration::from_secs(1))).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let length = body.len();
    let text =
        format!("{method} {path} HTTP/1.1\r\n{headers}content-length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).ok()?;
    read(&mut BufReader::new(stream))
}
