//! HTTP/1.1 as plain text over blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// `Message` is a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Its first line.
    pub line: String,
    /// Its fields, names in lower case.
    pub fields: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
    /// Whether the body is complete by its length or last chunk.
    pub whole: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1).and_then(|s| s.parse().ok());
        status.unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

/// `Connection` is a connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, rest: Vec::new() }
    }

    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        Ok(Self::new(stream))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn read_more(&mut self) -> io::Result<bool> {
        let mut buffer = [0; 16 << 10];
        let count = self.stream.read(&mut buffer)?;
        self.rest.extend_from_slice(&buffer[..count]);
        Ok(count > 0)
    }

    /// Reads the next message; `None` if the connection ended before its head was complete.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.rest.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if !self.read_more()? {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.rest[..end]).into_owned();
        self.rest.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let fields = lines.filter_map(|l| l.split_once(':'));
        let fields = fields.map(|(n, v)| (n.trim().to_lowercase(), v.trim().to_owned()));
        let mut message = Message { line, fields: fields.collect(), ..Message::default() };
        let chunked = message.field("transfer-encoding").is_some_and(|v| v.contains("chunked"));
        if chunked {
            message.whole = self.read_chunks(&mut message.body)?;
            return Ok(Some(message));
        }
        let length = message.field("content-length").and_then(|n| n.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.rest.len() < length {
            if !self.read_more().unwrap_or(false) {
                break;
            }
        }
        message.whole = self.rest.len() >= length;
        let taken = length.min(self.rest.len());
        message.body = self.rest.drain(..taken).collect();
        Ok(Some(message))
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let end = loop {
                if let Some(at) = self.rest.windows(2).position(|w| w == b"\r\n") {
                    break at;
                }
                if !self.read_more().unwrap_or(false) {
                    return Ok(false);
                }
            };
            let size = String::from_utf8_lossy(&self.rest[..end]).into_owned();
            let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
                return Ok(false);
            };
            while self.rest.len() < end + 2 + size + 2 {
                if !self.read_more().unwrap_or(false) {
                    let have = self.rest.len().min(end + 2 + size);
                    body.extend_from_slice(&self.rest[(end + 2).min(have)..have]);
                    return Ok(false);
                }
            }
            body.extend_from_slice(&self.rest[end + 2..end + 2 + size]);
            self.rest.drain(..end + 2 + size + 2);
            if size == 0 {
                return Ok(true);
            }
        }
    }
}

/// Sends a request on a new connection; returns the answer, or why there is none.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> Result<Message, String> {
    let mut connection = Connection::open(address).map_err(|e| e.to_string())?;
    let limit = connection.stream.set_read_timeout(Some(limit));
    limit.map_err(|e| e.to_string())?;
    connection.write(request).map_err(|e| e.to_string())?;
    match connection.read() {
        Ok(Some(message)) => Ok(message),
        Ok(None) => Err("closed without an answer".to_owned()),
        Err(error) => Err(error.to_string()),
    }
}
