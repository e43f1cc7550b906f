//! Minimal blocking HTTP/1.1: reading and writing of messages with a length or in chunks.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Request or response head with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self
            .headers
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name));
        found.next().map(|(_, v)| v.as_str())
    }

    /// Returns the status of a response; 0 if the message is no response.
    pub fn status(&self) -> u16 {
        let mut parts = self.start.split(' ');
        parts
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or_default()
    }

    /// Returns the method and the target of a request.
    pub fn request_line(&self) -> (&str, &str) {
        let mut parts = self.start.split(' ');
        (
            parts.next().unwrap_or_default(),
            parts.next().unwrap_or_default(),
        )
    }

    fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    if !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Some(line.trim_end().to_owned()))
}

/// Reads the head of the next message; `None` if the connection was closed before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(start) = read_line(reader)? else {
        return Ok(None);
    };
    let mut message = Message {
        start,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("bad header"))?;
        message
            .headers
            .push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads the next message with its body; `None` if the connection was closed before it.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    if message
        .header("transfer-encoding")
        .is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
    {
        loop {
            let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or_default(), 16);
            let size = size.map_err(|_| invalid("bad chunk size"))?;
            let before = message.body.len();
            message.body.resize(before + size, 0);
            reader.read_exact(&mut message.body[before..])?;
            read_line(reader)?;
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().map_err(|_| invalid("bad length"))?;
        message.body.resize(length, 0);
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Encodes a message with a length.
pub fn encode(start: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(body.len() + 512);
    out.extend_from_slice(start.as_bytes());
    out.extend_from_slice(b"\r\n");
    for (name, value) in headers {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
    out
}

/// Connection of a client that keeps it open between requests.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects to `to`; reads and writes then fail after `timeout`.
    pub fn open(to: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    fn receive(&mut self) -> io::Result<Message> {
        read_message(&mut self.reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// Exchanges one request and its response; the second value tells whether the connection can
    /// be used again.
    pub fn exchange(&mut self, request: &[u8]) -> io::Result<(Message, bool)> {
        self.send(request)?;
        let response = self.receive()?;
        let open = !response.closes();
        Ok((response, open))
    }
}
