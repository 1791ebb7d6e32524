//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message: a request or a response. Header names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Word `index` of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Line {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Line {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            rest: Vec::new(),
        }
    }

    pub fn connect(to: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, limit)?;
        stream.set_read_timeout(Some(limit))?;
        stream.set_write_timeout(Some(limit))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut buffer = [0; 16384];
        let count = self.stream.read(&mut buffer)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.rest.extend_from_slice(&buffer[..count]);
        Ok(())
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < count {
            self.fill()?;
        }
        let left = self.rest.split_off(count);
        Ok(std::mem::replace(&mut self.rest, left))
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.rest.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.take(at + 2)?;
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads a whole message.
    pub fn read(&mut self) -> io::Result<Message> {
        let mut message = Message {
            start: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                let pair = (name.to_ascii_lowercase(), value.trim().to_owned());
                message.headers.push(pair);
            }
        }
        if message
            .header("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
        {
            loop {
                let size = usize::from_str_radix(self.line()?.trim(), 16);
                let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let data = self.take(size)?;
                self.line()?;
                if size == 0 {
                    break;
                }
                message.body.extend(data);
            }
        } else {
            let size = message.header("content-length").parse().unwrap_or(0);
            message.body = self.take(size)?;
        }
        Ok(message)
    }

    /// Sends a message; its length header is added.
    pub fn write(&mut self, start: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{start}\r\n").into_bytes();
        for (name, value) in headers {
            bytes.extend(format!("{name}: {value}\r\n").into_bytes());
        }
        bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

/// Sends a request on a new connection and reads the answer.
pub fn ask(
    to: SocketAddr,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let mut line = Line::connect(to, limit)?;
    line.write(start, headers, body)?;
    line.read()
}

/// Waits until a condition holds, at most `limit`; returns whether it did.
pub fn until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}
