//! HTTP/1.1 over blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

/// A request or a response; the first line has no line end.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its head declares.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16384];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads one message; `None` at the end of the connection.
    pub fn message(&mut self, is_response: bool) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first_line: lines.next().unwrap_or("").to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.to_owned(), value.trim().to_owned()));
            }
        }
        let chunked = message.header("transfer-encoding").is_some();
        let length: Option<usize> = message
            .header("content-length")
            .and_then(|v| v.parse().ok());
        if chunked {
            message.complete = self.chunks(&mut message.body)?;
        } else if let Some(length) = length {
            while self.buffer.len() < length {
                if self.fill()? == 0 {
                    return Ok(Some(message));
                }
            }
            message.body = self.buffer.drain(..length).collect();
            message.complete = true;
        } else if is_response {
            while self.fill()? > 0 {}
            message.body = std::mem::take(&mut self.buffer);
            message.complete = true;
        } else {
            message.complete = true;
        }
        Ok(Some(message))
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let line = loop {
                if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                    break self.buffer.drain(..end + 2).collect::<Vec<u8>>();
                }
                if self.fill()? == 0 {
                    return Ok(false);
                }
            };
            let size = String::from_utf8_lossy(&line).trim().to_owned();
            let size = usize::from_str_radix(&size, 16).unwrap_or(0);
            while self.buffer.len() < size + 2 {
                if self.fill()? == 0 {
                    return Ok(false);
                }
            }
            body.extend(self.buffer.drain(..size));
            self.buffer.drain(..2);
            if size == 0 {
                return Ok(true);
            }
        }
    }
}

/// Sends a request over a new connection and reads its response.
pub fn call(address: SocketAddr, request: &str, limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(limit))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    stream.write_all(request.as_bytes())?;
    let response = Reader::new(stream).message(true)?;
    response.ok_or_else(|| io::Error::other("closed without a response"))
}

/// Serves connections of `listener`, each in a thread of its own.
pub fn serve(listener: TcpListener, handler: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handler = std::sync::Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                handler(stream);
            });
        }
    });
}
