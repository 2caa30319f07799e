//! Complete answers, as stored in the ledger and in the records of idempotency keys.

use super::headers;
use http_types::{Response, StatusCode};
use rf_traffic::ByteSize;
use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};

/// Complete answer of a backend server.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// End-to-end headers, without those that start with [`headers::PREFIX`].
    pub headers: Vec<HeaderLine>,
    /// Complete body.
    #[serde_as(as = "Bytes")]
    pub body: Vec<u8>,
}

/// One value of a header; a header with several values has several lines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderLine {
    /// Header name.
    pub name: String,
    /// Header value.
    pub value: String,
}

impl Answer {
    /// Creates an answer from `body` and the status and end-to-end headers of `response`.
    pub fn new(response: &Response, body: Vec<u8>) -> Answer {
        let mut head = Response::new(response.status());
        for (name, values) in response {
            for value in values {
                head.append_header(name, value.clone());
            }
        }
        headers::strip_response(&mut head);
        let mut lines = Vec::new();
        for (name, values) in &head {
            for value in values {
                lines.push(HeaderLine {
                    name: name.as_str().to_owned(),
                    value: value.as_str().to_owned(),
                });
            }
        }
        Answer {
            status: response.status() as u16,
            headers: lines,
            body,
        }
    }

    /// Converts the answer to an HTTP response.
    pub fn to_response(&self) -> Response {
        let status = StatusCode::try_from(self.status).unwrap_or(StatusCode::BadGateway);
        let mut response = Response::new(status);
        response.set_body(self.body.as_slice());
        response.remove_header("content-type");
        for line in &self.headers {
            response.append_header(line.name.as_str(), line.value.as_str());
        }
        response
    }
}

impl ByteSize for Answer {
    fn bytes(&self) -> usize {
        let lines = self.headers.iter();
        let headers: usize = lines.map(|l| l.name.len() + l.value.len()).sum();
        self.body.len() + headers
    }
}
