//! Enough of HTTP/1.1 for stand-ins: one message at a time over a blocking socket.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Longest head of a message in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// `Head` is the first line of a message and its header fields, with names in lower case.
#[derive(Clone, Debug)]
pub struct Head {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Method or version, path or status, of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// `Channel` is a connection with the bytes that were read and not yet taken.
pub struct Channel {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes; returns how many, 0 at the end.
    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        let length = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..length]);
        Ok(length)
    }

    /// Reads a head; `None` at the end of the connection, or where the bytes are no head.
    pub fn read_head(&mut self) -> Option<Head> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if self.buffer.len() > MAX_HEAD_BYTES || self.fill().ok()? == 0 {
                return None;
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&head[..end]).into_owned();
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields =
            fields.map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        Some(Head {
            first_line,
            fields: fields.collect(),
        })
    }

    fn take(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill().ok()? == 0 {
                return None;
            }
        }
        Some(self.buffer.drain(..length).collect())
    }

    fn take_line(&mut self) -> Option<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Some(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.fill().ok()? == 0 {
                return None;
            }
        }
    }

    /// Reads a body with a length or in chunks; `None` if it breaks off.
    pub fn read_body(&mut self, head: &Head) -> Option<Vec<u8>> {
        let chunked = head
            .field("transfer-encoding")
            .is_some_and(|v| v.ends_with("chunked"));
        if !chunked {
            let length = head.field("content-length").and_then(|v| v.parse().ok());
            return self.take(length.unwrap_or(0));
        }
        let mut body = Vec::new();
        loop {
            let line = self.take_line()?;
            let length = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
            body.extend(self.take(length)?);
            self.take_line()?;
            if length == 0 {
                return Some(body);
            }
        }
    }

    /// Reads a body in chunks as far as it comes; tells whether it is complete.
    pub fn read_chunks(&mut self) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        loop {
            let length = self
                .take_line()
                .and_then(|line| usize::from_str_radix(line.trim(), 16).ok());
            let chunk = length.and_then(|length| self.take(length));
            let Some(chunk) = chunk.filter(|_| self.take_line().is_some()) else {
                return (body, false);
            };
            if chunk.is_empty() {
                return (body, true);
            }
            body.extend(chunk);
        }
    }

    pub fn write(&mut self, bytes: impl AsRef<[u8]>) -> bool {
        self.stream.write_all(bytes.as_ref()).is_ok()
    }

    /// Returns bytes that have arrived and are part of no message that was read, after a wait.
    pub fn surplus(&mut self, wait: Duration) -> Vec<u8> {
        let _ = self.stream.set_read_timeout(Some(wait));
        while self.fill().is_ok_and(|length| length > 0) {}
        let _ = self.stream.set_read_timeout(None);
        std::mem::take(&mut self.buffer)
    }

    /// Tells whether the other side has closed the connection. Nothing may be on its way.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let mut byte = [0; 1];
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(length) => length == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}
