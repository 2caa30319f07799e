//! Stand-in for a client.

use crate::http::Conn;
use crate::record::Record;
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub deadline: Duration,
    pub body: Vec<u8>,
    /// Whether the body is sent in chunks.
    pub is_chunked: bool,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// Status and body of the answer, and whether it is signed.
    Answer(u16, Vec<u8>, bool),
    /// The connection ended, or no answer came in time.
    Lost(String),
}

/// Client that keeps its connection open for many requests.
pub struct Client {
    address: SocketAddr,
    conn: Option<Conn>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client {
            address,
            conn: None,
        }
    }

    /// Uses a new connection for the next request, as clients do to retry.
    pub fn renew(&mut self) {
        self.conn = None;
    }

    pub fn send(&mut self, request: &Request, record: &Record) -> End {
        let Request {
            id, method, path, ..
        } = request;
        record.add(format!(
            "client sends {id} ({method} {path}, {} bytes) to {}",
            request.body.len(),
            self.address
        ));
        let end = match self.exchange(request) {
            Ok(end) => end,
            Err(error) => End::Lost(error.to_string()),
        };
        match &end {
            End::Answer(status, body, signed) => {
                let signed = if *signed { "signed" } else { "unsigned" };
                record.add(format!(
                    "client gets {status} for {id} ({signed}, {} bytes)",
                    body.len()
                ));
            }
            End::Lost(error) => {
                self.conn = None;
                record.add(format!("client gets no answer for {id}: {error}"));
            }
        }
        end
    }

    fn exchange(&mut self, request: &Request) -> std::io::Result<End> {
        let mut conn = match self.conn.take() {
            Some(conn) => conn,
            None => Conn::open(self.address, Duration::from_secs(1))?,
        };
        conn.set_timeout(request.deadline + Duration::from_millis(500));
        let Request {
            id,
            method,
            path,
            body,
            ..
        } = request;
        let framing = match (request.is_chunked, body.len()) {
            (true, _) => "Transfer-Encoding: chunked\r\n".to_owned(),
            (false, 0) => String::new(),
            (false, n) => format!("Content-Length: {n}\r\n"),
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: mesh.example\r\nX-Rosemaryfork-Request-Id: {id}\r\n\
             X-Rosemaryfork-Deadline-Ms: {}\r\n{framing}\r\n",
            request.deadline.as_millis()
        );
        conn.write(head.as_bytes())?;
        if request.is_chunked {
            for chunk in body.chunks(32 * 1024) {
                conn.write(format!("{:x}\r\n", chunk.len()).as_bytes())?;
                conn.write(chunk)?;
                conn.write(b"\r\n")?;
            }
            conn.write(b"0\r\n\r\n")?;
        } else {
            conn.write(body)?;
        }
        let head = conn.read_head()?;
        let body = conn.read_body(&head)?;
        let is_signed = head.get("X-Rosemaryfork-Response-Signature").is_some();
        if !head
            .get("Connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"))
        {
            self.conn = Some(conn);
        }
        Ok(End::Answer(head.status(), body, is_signed))
    }
}
