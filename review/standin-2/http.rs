//! HTTP/1.1 on blocking sockets: reads heads and bodies, and writes answers.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let code = self.first_line.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// The path of a request, without its query.
    pub fn path(&self) -> &str {
        let target = self.first_line.split(' ').nth(1).unwrap_or("");
        target.split('?').next().unwrap_or("")
    }

    /// A value of a request's query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let target = self.first_line.split(' ').nth(1)?;
        let query = target.split_once('?')?.1;
        query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// A connection that messages are read from.
pub struct Line {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Line {
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, limit)?;
        Self::new(stream)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let mut message = Message::default();
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line)? == 0 {
                return Ok(None);
            }
            let line = line.trim_end();
            if message.first_line.is_empty() {
                message.first_line = line.to_owned();
            } else if line.is_empty() {
                return Ok(Some(message));
            } else if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the body of a message: with a length, in chunks, or for an answer to the end of the connection.
    pub fn read_body(&mut self, message: &mut Message, is_answer: bool) {
        let length = message
            .header("content-length")
            .and_then(|text| text.parse::<usize>().ok());
        let is_chunked = message.header("transfer-encoding").is_some();
        message.is_whole = if is_chunked {
            self.read_chunks(&mut message.body).is_ok()
        } else if let Some(length) = length {
            message.body = vec![0; length];
            self.reader.read_exact(&mut message.body).is_ok()
        } else if is_answer {
            self.reader.read_to_end(&mut message.body).is_ok()
        } else {
            true
        };
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            self.reader.read_exact(&mut chunk)?;
            chunk.truncate(size);
            if size == 0 {
                return Ok(());
            }
            body.extend(chunk);
        }
    }

    /// Reads a whole message; `None` at the end of the connection.
    pub fn read(&mut self, is_answer: bool) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        self.read_body(&mut message, is_answer);
        Ok(Some(message))
    }
}

/// An answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    bytes.extend(b"\r\n");
    bytes.extend(body);
    bytes
}
