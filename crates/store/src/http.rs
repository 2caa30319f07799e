//! HTTP client of the object API.
//!
//! `GET /objects/KEY`, `GET /objects/KEY?after=V&limit=MS` (watch, 304 where nothing came),
//! `PUT /objects/KEY` with `if-match: V`, `DELETE /objects/KEY`. The version of an object travels
//! in the `etag` header.

use crate::store::{Object, ObjectStore, ObjectVersion, Result, StoreError};
use http_types::{Method, Request, StatusCode, Url};
use rf_base::{Millis, Verdict};
use rf_transport::{Client, ClientSettings, SendError, Sent};
use std::net::SocketAddr;

/// Most bytes of one object.
pub const MAX_OBJECT_BYTES: usize = 1024 * 1024;

/// The object API behind HTTP.
#[derive(Debug)]
pub struct HttpStore {
    client: Client,
    address: SocketAddr,
    timeout: Millis,
}

impl HttpStore {
    /// Makes a client for the API at `address`; no call takes longer than `timeout`.
    pub fn new(address: SocketAddr, timeout: Millis) -> HttpStore {
        let settings = ClientSettings {
            connect: timeout,
            idle: 4,
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

    async fn send(&self, request: Request, limit: Millis) -> Result<Sent> {
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
        let sent = self.send(request, limit + self.timeout).await?;
        match sent.status() {
            StatusCode::NotModified => Ok(None),
            _ => read_object(sent).map(Some),
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
        let sent = self.send(request, self.timeout).await?;
        match sent.status() {
            StatusCode::Ok => read_version(&sent),
            StatusCode::PreconditionFailed => Err(StoreError::Conflict),
            status => Err(refused(status)),
        }
    }

    async fn delete(&self, key: &str) -> Result<()> {
        let request = self.request(Method::Delete, key, "")?;
        let sent = self.send(request, self.timeout).await?;
        match sent.status() {
            StatusCode::Ok | StatusCode::NoContent | StatusCode::NotFound => Ok(()),
            status => Err(refused(status)),
        }
    }
}

fn read_object(sent: Sent) -> Result<Object> {
    match sent.status() {
        StatusCode::Ok => Ok(Object {
            version: read_version(&sent)?,
            value: sent.body,
        }),
        StatusCode::NotFound => Err(StoreError::NotFound),
        status => Err(refused(status)),
    }
}

fn read_version(sent: &Sent) -> Result<ObjectVersion> {
    sent.header("etag")
        .and_then(|v| v.parse().ok())
        .map(ObjectVersion)
        .ok_or_else(|| StoreError::Lost {
            message: "answer without a version".to_owned(),
        })
}

fn refused(status: StatusCode) -> StoreError {
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
