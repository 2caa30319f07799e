//! HTTP client of the platform's object API.
//!
//! - `GET /objects/KEY` reads an object.
//! - `GET /objects/KEY?after=V&limit=MS` watches an object: it waits up to `MS` milliseconds for a
//!   version above `V` and returns status 304 if there is none.
//! - `PUT /objects/KEY` with `if-match: V` writes an object if its version is `V`.
//! - `DELETE /objects/KEY` deletes an object.
//!
//! The `etag` header of a response contains the version of the object.

use crate::store::{Object, ObjectStore, ObjectVersion, Result, StoreError};
use http_types::{Method, Request, StatusCode, Url};
use rf_base::{Millis, Verdict};
use rf_transport::{BufferedResponse, Client, ClientSettings, SendError};
use std::net::SocketAddr;

/// Maximum size of a response body, and so of an object, in bytes.
pub const MAX_OBJECT_BYTES: usize = 1024 * 1024;

/// An [`ObjectStore`] that calls the object API over HTTP.
#[derive(Debug)]
pub struct HttpStore {
    client: Client,
    address: SocketAddr,
    timeout: Millis,
}

impl HttpStore {
    /// Creates a client for the API at `address`. Each call is limited to `timeout`, except that a
    /// watch may also wait for its own limit.
    pub fn new(address: SocketAddr, timeout: Millis) -> HttpStore {
        let settings = ClientSettings {
            connect_timeout: timeout,
            max_kept: 4,
        };
        HttpStore {
            client: Client::new(settings),
            address,
            timeout,
        }
    }

    fn request(&self, method: Method, key: &str, query: &str) -> Result<Request> {
        let text = format!("http://{}/objects/{key}{query}", self.address);
        let url = Url::parse(&text).map_err(|e| StoreError::Unavailable {
            message: format!("key {key}: {e}"),
        })?;
        Ok(Request::new(method, url))
    }

    async fn send(&self, request: Request, limit: Millis) -> Result<BufferedResponse> {
        self.client
            .send(self.address, request, limit, MAX_OBJECT_BYTES)
            .await
            .map_err(to_store_error)
    }
}

impl ObjectStore for HttpStore {
    async fn get(&self, key: &str) -> Result<Object> {
        let request = self.request(Method::Get, key, "")?;
        read_object(self.send(request, self.timeout).await?)
    }

    async fn watch(
        &self,
        key: &str,
        after: ObjectVersion,
        limit: Millis,
    ) -> Result<Option<Object>> {
        let query = format!("?after={}&limit={}", after.0, limit.0);
        let request = self.request(Method::Get, key, &query)?;
        let response = self.send(request, limit + self.timeout).await?;
        match response.status() {
            StatusCode::NotModified => Ok(None),
            _ => read_object(response).map(Some),
        }
    }

    async fn put(
        &self,
        key: &str,
        value: Vec<u8>,
        expected: ObjectVersion,
    ) -> Result<ObjectVersion> {
        let mut request = self.request(Method::Put, key, "")?;
        request.insert_header("if-match", expected.0.to_string());
        request.set_body(value);
        let response = self.send(request, self.timeout).await?;
        match response.status() {
            StatusCode::Ok => read_version(&response),
            StatusCode::PreconditionFailed => Err(StoreError::Conflict),
            status => Err(unexpected_status(status)),
        }
    }

    async fn delete(&self, key: &str) -> Result<()> {
        let request = self.request(Method::Delete, key, "")?;
        let response = self.send(request, self.timeout).await?;
        match response.status() {
            StatusCode::Ok | StatusCode::NoContent | StatusCode::NotFound => Ok(()),
            status => Err(unexpected_status(status)),
        }
    }
}

fn read_object(response: BufferedResponse) -> Result<Object> {
    match response.status() {
        StatusCode::Ok => Ok(Object {
            version: read_version(&response)?,
            value: response.body,
        }),
        StatusCode::NotFound => Err(StoreError::NotFound),
        status => Err(unexpected_status(status)),
    }
}

fn read_version(response: &BufferedResponse) -> Result<ObjectVersion> {
    response
        .header("etag")
        .and_then(|v| v.parse().ok())
        .map(ObjectVersion)
        .ok_or_else(|| StoreError::Lost {
            message: "answer without a version".to_owned(),
        })
}

fn unexpected_status(status: StatusCode) -> StoreError {
    StoreError::Unavailable {
        message: format!("status {}", status as u16),
    }
}

fn to_store_error(error: SendError) -> StoreError {
    let message = error.to_string();
    match error.verdict() {
        Verdict::NotRun => StoreError::Unavailable { message },
        _ => StoreError::Lost { message },
    }
}
