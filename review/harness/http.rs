//! Minimal HTTP/1.1 for the stand-ins: reads one message, writes one message.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Message as received: its first line, headers with names in lower case, and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, v)| v)
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message; `None` if the connection ended before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let text = line.trim_end();
        if text.is_empty() {
            if message.start.is_empty() {
                continue;
            }
            return Ok(Some(message));
        }
        if message.start.is_empty() {
            message.start = text.to_owned();
        } else if let Some((name, value)) = text.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads a message whose body has a length, or none; `None` if the connection ended before it.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Writes a response with a body that has a length.
pub fn write_response(
    stream: &mut impl Write,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut bytes = out.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Size of the pieces in which a paced body is written, in bytes.
const PIECE_BYTES: usize = 256 * 1024;

/// Writes a body no faster than a number of bytes a second.
fn write_paced(stream: &mut TcpStream, body: &[u8], bytes_per_s: f64) -> io::Result<()> {
    let start = Instant::now();
    let mut written = 0;
    for piece in body.chunks(PIECE_BYTES) {
        stream.write_all(piece)?;
        written += piece.len();
        let due = Duration::from_secs_f64(written as f64 / bytes_per_s);
        std::thread::sleep(due.saturating_sub(start.elapsed()));
    }
    Ok(())
}

/// Sends one request on a new connection and returns the answer.
pub fn call(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    send(addr, method, target, headers, body, timeout, None)
}

/// Sends an upload on a new connection, its body no faster than `bytes_per_s`, and returns the answer.
pub fn upload(
    addr: SocketAddr,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
    bytes_per_s: f64,
) -> io::Result<Message> {
    send(
        addr,
        "POST",
        target,
        headers,
        body,
        Duration::from_secs(3),
        Some(bytes_per_s),
    )
}

fn send(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
    bytes_per_s: Option<f64>,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut out = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        out.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    out.push_str("\r\n");
    stream.write_all(out.as_bytes())?;
    match bytes_per_s {
        None => stream.write_all(body)?,
        Some(bytes_per_s) => write_paced(&mut stream, body, bytes_per_s)?,
    }
    let mut reader = BufReader::new(stream);
    let answer = read_message(&mut reader)?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Reads what remains of a stream without keeping it.
#[allow(dead_code)]
pub fn drain(stream: &mut impl Read) {
    let mut rest = [0; 4096];
    while matches!(stream.read(&mut rest), Ok(n) if n > 0) {}
}
