//! Blocking HTTP/1.1 over a TCP connection, as far as the stand-ins need it.

use std::io::{Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Head {
    /// Words of the first line.
    pub line: Vec<String>,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let named = |(n, _): &&(String, String)| n.eq_ignore_ascii_case(name);
        self.fields.iter().find(named).map(|(_, v)| v.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.line.get(index).map_or("", |w| w.as_str())
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn broken(message: &str) -> std::io::Error {
    std::io::Error::other(message.to_owned())
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        stream.set_nodelay(true).ok();
        Conn {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> Result<Conn> {
        Ok(Conn::new(TcpStream::connect_timeout(&address, limit)?))
    }

    pub fn set_timeout(&self, limit: Duration) {
        self.stream
            .set_read_timeout(Some(limit.max(Duration::from_millis(1))))
            .ok();
    }

    pub fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads more bytes; an error of kind `UnexpectedEof` if the peer has closed the connection.
    fn fill(&mut self) -> Result<()> {
        let mut chunk = [0; 16 * 1024];
        match self.stream.read(&mut chunk)? {
            0 => Err(std::io::ErrorKind::UnexpectedEof.into()),
            n => {
                self.buffer.extend_from_slice(&chunk[..n]);
                Ok(())
            }
        }
    }

    pub fn read_head(&mut self) -> Result<Head> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break end;
            }
            self.fill()?;
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let line = lines
            .next()
            .unwrap_or("")
            .split(' ')
            .map(str::to_owned)
            .collect();
        let fields = lines.filter_map(|l| l.split_once(':'));
        let fields = fields
            .map(|(n, v)| (n.to_owned(), v.trim().to_owned()))
            .collect();
        Ok(Head { line, fields })
    }

    fn read_bytes(&mut self, length: usize) -> Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn read_line(&mut self) -> Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = self.read_bytes(end + 2)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads a body with a length or in chunks; empty if the head announces none.
    pub fn read_body(&mut self, head: &Head) -> Result<Vec<u8>> {
        if head.get("Transfer-Encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let line = self.read_line()?;
                let length = usize::from_str_radix(line.trim(), 16).map_err(|_| broken("chunk"))?;
                body.extend(self.read_bytes(length)?);
                self.read_line()?;
                if length == 0 {
                    return Ok(body);
                }
            }
        }
        match head.get("Content-Length") {
            Some(length) => self.read_bytes(length.parse().map_err(|_| broken("length"))?),
            None => Ok(Vec::new()),
        }
    }
}

/// Sends a request on a new connection and returns the status and the body of the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Result<(u16, String)> {
    let mut conn = Conn::open(address, limit)?;
    conn.set_timeout(limit);
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    conn.write(text.as_bytes())?;
    let head = conn.read_head()?;
    let body = conn.read_body(&head)?;
    Ok((head.status(), String::from_utf8_lossy(&body).into_owned()))
}
