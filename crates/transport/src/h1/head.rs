//! Heads of messages.

use serde::{Deserialize, Serialize};
use std::fmt::Write;

/// Headers that concern one connection only (RFC 9110, section 7.6.1).
const HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Header fields in the order in which they came.
///
/// Values are kept as text in which each byte stands for the character of the same number, so that
/// any value survives unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// Makes an empty list.
    pub fn new() -> Headers {
        Headers::default()
    }

    /// Makes a list of the given names and values.
    pub fn from_fields(fields: Vec<(String, String)>) -> Headers {
        Headers(fields)
    }

    /// Returns the names and values.
    pub fn into_fields(self) -> Vec<(String, String)> {
        self.0
    }

    /// Adds a field, whether or not one of that name exists.
    pub fn add(&mut self, name: &str, value: &str) {
        self.0.push((name.to_owned(), value.to_owned()));
    }

    /// Adds a field whose value is given in bytes.
    pub(super) fn add_bytes(&mut self, name: &str, value: &[u8]) {
        let value = value.iter().map(|b| char::from(*b)).collect();
        self.0.push((name.to_owned(), value));
    }

    /// Replaces every field called `name` by one.
    pub fn set(&mut self, name: &str, value: &str) {
        self.remove(name);
        self.add(name, value);
    }

    /// Removes every field called `name`.
    pub fn remove(&mut self, name: &str) {
        self.0.retain(|(n, _)| !n.eq_ignore_ascii_case(name));
    }

    /// Returns the value of the first field called `name`.
    pub fn get(&self, name: &str) -> Option<&str> {
        let named = |(n, _): &&(String, String)| n.eq_ignore_ascii_case(name);
        self.0.iter().find(named).map(|(_, v)| v.as_str())
    }

    /// Returns the values of all fields called `name`.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0
            .iter()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    /// Returns every field.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(n, v)| (n.as_str(), v.as_str()))
    }

    /// Returns whether a field that lists tokens contains `token`.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .flat_map(|v| v.split(','))
            .any(|t| t.trim().eq_ignore_ascii_case(token))
    }

    /// Removes what concerns one connection only, and the framing of the body.
    pub fn strip_hop_by_hop(&mut self) {
        let listed: Vec<String> = self
            .all("connection")
            .flat_map(|v| v.split(','))
            .map(|t| t.trim().to_ascii_lowercase())
            .collect();
        self.0.retain(|(name, _)| {
            let name = name.to_ascii_lowercase();
            let is_hop = HOP_HEADERS.contains(&name.as_str()) || listed.contains(&name);
            !is_hop && name != "content-length"
        });
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

/// Head of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Method.
    pub method: String,
    /// Target as it stands in the request line.
    pub target: String,
    /// Minor version of HTTP/1.
    pub minor: u8,
    /// Header fields.
    pub headers: Headers,
}

impl RequestHead {
    /// Makes the head of a request to `host`.
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

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// Returns whether the sender keeps the connection open after the answer.
    pub fn is_keep_alive(&self) -> bool {
        match self.minor {
            0 => self.headers.has_token("connection", "keep-alive"),
            _ => !self.headers.has_token("connection", "close"),
        }
    }

    /// Encodes the head with a body of `length` bytes.
    ///
    /// A request without a body carries no length unless its method usually has one.
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
    /// Makes the head of a response.
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

    /// Encodes the head; `length` is `None` where the response has no body by its kind.
    pub fn encode(&self, length: Option<usize>) -> Vec<u8> {
        let reason = reason_of(self.status);
        let mut bytes = format!("HTTP/1.1 {} {reason}\r\n", self.status).into_bytes();
        self.headers.write(&mut bytes);
        if let Some(length) = length {
            bytes.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes
    }
}

fn reason_of(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        304 => "Not Modified",
        400 => "Bad Request",
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
