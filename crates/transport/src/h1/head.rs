//! Heads of HTTP/1.1 messages, and their header fields.

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::fmt::Write;
use std::ops::RangeInclusive;

/// Status codes that HTTP defines (RFC 9110, section 15).
const STATUSES: RangeInclusive<u16> = 100..=599;
/// Status that switches the connection to another protocol.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Hop-by-hop headers, which apply to a single connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Header fields in the order in which they were received or added.
///
/// Values are decoded as Latin-1, which maps each byte to the character with the same code, so that
/// any value can be written back unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// Creates an empty list of fields.
    pub fn new() -> Headers {
        Headers::default()
    }

    /// Creates a list from pairs of names and values.
    pub fn from_fields(fields: Vec<(String, String)>) -> Headers {
        Headers(fields)
    }

    /// Converts the list to pairs of names and values.
    pub fn into_fields(self) -> Vec<(String, String)> {
        self.0
    }

    /// Appends a field, even if there are others with the same name.
    pub fn add(&mut self, name: &str, value: &str) {
        self.0.push((name.to_owned(), value.to_owned()));
    }

    /// Appends a field whose value is given as bytes.
    pub(super) fn add_bytes(&mut self, name: &str, value: &[u8]) {
        let value = value.iter().map(|b| char::from(*b)).collect();
        self.0.push((name.to_owned(), value));
    }

    /// Replaces all fields called `name` by a single one.
    pub fn set(&mut self, name: &str, value: &str) {
        self.remove(name);
        self.add(name, value);
    }

    /// Removes all fields called `name`, ignoring case.
    pub fn remove(&mut self, name: &str) {
        self.0.retain(|(n, _)| !n.eq_ignore_ascii_case(name));
    }

    /// Returns the value of the first field called `name`, ignoring case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let named = |(n, _): &&(String, String)| n.eq_ignore_ascii_case(name);
        self.0.iter().find(named).map(|(_, v)| v.as_str())
    }

    /// Returns the values of all fields called `name`, ignoring case.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0
            .iter()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    /// Returns the names and values of all fields in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(n, v)| (n.as_str(), v.as_str()))
    }

    /// Returns whether the comma-separated lists in the fields called `name` contain `token`,
    /// ignoring case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .flat_map(|v| v.split(','))
            .any(|t| t.trim().eq_ignore_ascii_case(token))
    }

    /// Removes hop-by-hop headers, those listed in `Connection`, and `Content-Length`.
    pub fn strip_hop_by_hop(&mut self) {
        let listed: Vec<String> = self
            .all("connection")
            .flat_map(|v| v.split(','))
            .map(|t| t.trim().to_ascii_lowercase())
            .collect();
        self.0.retain(|(name, _)| {
            let name = name.to_ascii_lowercase();
            let is_hop_by_hop =
                HOP_BY_HOP_HEADERS.contains(&name.as_str()) || listed.contains(&name);
            !is_hop_by_hop && name != "content-length"
        });
    }

    /// Checks the grammar of names and values. Fields that were parsed from a message follow it;
    /// others may not.
    fn verify(&self) -> Result<(), HeadError> {
        for (name, value) in &self.0 {
            if name.is_empty() || !name.bytes().all(is_token_byte) {
                return Err(HeadError::Name);
            }
            if !value.chars().all(is_value_char) {
                return Err(HeadError::Value);
            }
        }
        Ok(())
    }

    fn write(&self, bytes: &mut Vec<u8>) {
        for (name, value) in &self.0 {
            bytes.extend_from_slice(name.as_bytes());
            bytes.extend_from_slice(b": ");
            bytes.extend(value.chars().map(|c| u8::try_from(c).unwrap_or(b'?')));
            bytes.extend_from_slice(b"\r\n");
        }
    }
}

fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

fn is_value_char(c: char) -> bool {
    c == '\t' || (c <= '\u{ff}' && !c.is_ascii_control())
}

/// Head of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Method, for example `GET`.
    pub method: String,
    /// Request target, unchanged from the request line.
    pub target: String,
    /// Minor version of HTTP/1.
    pub minor: u8,
    /// Header fields.
    pub headers: Headers,
}

impl RequestHead {
    /// Creates the head of a request with a `Host` header.
    pub fn new(method: &str, target: &str, host: &str) -> RequestHead {
        let mut headers = Headers::new();
        headers.add("Host", host);
        RequestHead {
            method: method.to_owned(),
            target: target.to_owned(),
            minor: 1,
            headers,
        }
    }

    /// Returns the target without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// Returns whether the sender wants the connection to stay open after the response.
    pub fn is_keep_alive(&self) -> bool {
        match self.minor {
            0 => self.headers.has_token("connection", "keep-alive"),
            _ => !self.headers.has_token("connection", "close"),
        }
    }

    /// Encodes the head of a request whose body has `length` bytes.
    ///
    /// A request with an empty body gets a `Content-Length` only if its method usually has a body.
    pub fn encode(&self, length: usize) -> Vec<u8> {
        let mut text = String::new();
        write!(text, "{} {} HTTP/1.1\r\n", self.method, self.target).ok();
        let mut bytes = text.into_bytes();
        self.headers.write(&mut bytes);
        let expects_body = matches!(self.method.as_str(), "POST" | "PUT" | "PATCH");
        if length > 0 || expects_body {
            bytes.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes
    }
}

/// Defect of the head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum HeadError {
    /// HTTP does not define the status.
    #[snafu(display("undefined status {status:03}"))]
    Status {
        /// Status code.
        status: u16,
    },
    /// The response switches to another protocol. Requests of this crate never ask for that.
    #[snafu(display("unrequested switch to another protocol"))]
    Switch,
    /// The name of a field is not a token (RFC 9110, section 5.6.2).
    #[snafu(display("malformed name of a field"))]
    Name,
    /// The value of a field holds a control character, or one that is not a byte.
    #[snafu(display("malformed value of a field"))]
    Value,
}

/// Head of a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Minor version of HTTP/1.
    pub minor: u8,
    /// Header fields.
    pub headers: Headers,
}

impl ResponseHead {
    /// Creates the head of a response without header fields.
    pub fn new(status: u16) -> ResponseHead {
        ResponseHead {
            status,
            minor: 1,
            headers: Headers::new(),
        }
    }

    /// Returns whether the sender keeps the connection open after this response.
    pub fn is_keep_alive(&self) -> bool {
        match self.minor {
            0 => self.headers.has_token("connection", "keep-alive"),
            _ => !self.headers.has_token("connection", "close"),
        }
    }

    /// Returns whether HTTP defines no body for responses with this status.
    pub fn is_bodiless(&self) -> bool {
        matches!(self.status, 100..=199 | 204 | 304)
    }

    /// Returns whether the response is an interim one, which the final response follows.
    pub fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }

    /// Checks that the head is one that a peer may have sent in answer to a request.
    ///
    /// # Errors
    ///
    /// Returns a [`HeadError`] that describes the first defect.
    pub fn verify(&self) -> Result<(), HeadError> {
        match self.status {
            SWITCHING_PROTOCOLS => Err(HeadError::Switch),
            status if !STATUSES.contains(&status) => Err(HeadError::Status { status }),
            _ => self.headers.verify(),
        }
    }

    /// Encodes the head. `length` is `None` if a response of this kind cannot have a body.
    pub fn encode(&self, length: Option<usize>) -> Vec<u8> {
        let reason = reason_phrase(self.status);
        let mut bytes = format!("HTTP/1.1 {} {reason}\r\n", self.status).into_bytes();
        self.headers.write(&mut bytes);
        if let Some(length) = length {
            bytes.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        304 => "Not Modified",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
