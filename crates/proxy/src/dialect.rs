//! Wire conventions of callers, backend servers and the platform.
//!
//! The proxy reads and writes headers and paths only through a [`Dialect`], so all wire names of a
//! platform are defined in one place.

use rf_base::{Millis, OrganisationName, ServiceName};
use rf_config::Credential;
use rf_traffic::{Announcement, Statement};
use rf_transport::h1::{Headers, RequestHead, ResponseHead};

/// Metadata that a caller sends with its request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerMetadata {
    /// Id of the request; empty if the caller sent none.
    pub request_id: String,
    /// Time for which the caller still waits for the answer, if it says so.
    pub time_left: Option<Millis>,
}

/// Metadata that a backend server sends with an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerMetadata {
    /// Id of the request that the answer belongs to, if present.
    pub request_id: Option<String>,
    /// Whether the answer carries the backend server's signature.
    pub is_signed: bool,
    /// Whether the backend server guarantees that it did not execute the request.
    pub is_not_run: bool,
    /// What the backend server says about itself.
    pub statement: Statement,
}

/// Call to the listeners for announcements and readiness.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminCall {
    /// Readiness probe: whether this proxy accepts requests.
    Readiness,
    /// Request for the metrics in text format.
    Metrics,
    /// Announcement (heartbeat) of a backend server.
    Announce(Announcement),
    /// Notice that a backend server leaves.
    Withdraw {
        /// Id of the backend server's process.
        id: String,
        /// Start of the process, in milliseconds since the Unix epoch, if given.
        started_at: Option<u64>,
    },
    /// Known call with an invalid body; carries the parse error.
    Malformed(String),
    /// Unknown method or path.
    Unknown,
}

/// Reads and writes the headers and paths of one platform.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Reads the metadata of a caller's request.
    fn read_caller(&self, headers: &Headers) -> CallerMetadata;

    /// Returns the id of the request whose execution issued `request`, if the id contains it.
    fn parent_request_id<'a>(&self, request: &'a str) -> Option<&'a str>;

    /// Sets the header that names the service from whose instance the request was first sent.
    fn set_origin_service(&self, headers: &mut Headers, service: &ServiceName);

    /// Reads the API key that a request carries. Only its hash is returned.
    fn read_credential(&self, headers: &Headers) -> Credential;

    /// Removes the API key from a request.
    fn remove_credential(&self, headers: &mut Headers);

    /// Tells the sender of a refused request that it needs an API key.
    fn set_challenge(&self, headers: &mut Headers);

    /// Sets the header that names the organisation whose caller sent the request, or removes it if
    /// there is none.
    fn set_organisation(&self, headers: &mut Headers, organisation: Option<&OrganisationName>);

    /// Sets the remaining time and the expected backend server process on an attempt.
    fn set_attempt_headers(&self, headers: &mut Headers, left: Millis, instance: &str);

    /// Reads the metadata of a backend server's answer.
    fn read_answer(&self, head: &ResponseHead) -> AnswerMetadata;

    /// Tells the caller to retry after `wait`.
    fn set_retry_after(&self, headers: &mut Headers, wait: Millis);

    /// Parses a call from the platform or from the local backend server.
    fn read_admin_call(&self, head: &RequestHead, body: &[u8]) -> AdminCall;
}
