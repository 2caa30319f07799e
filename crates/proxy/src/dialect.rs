//! What callers, backend servers and the platform's probes write on the wire.
//!
//! The proxy asks a [`Dialect`] for the meaning of a message and never looks at a name itself, so
//! that each set of names lives in one place.

use rf_base::{Millis, ServiceName};
use rf_traffic::Announcement;
use rf_transport::h1::{Headers, RequestHead, ResponseHead};

/// What a caller says about its request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerMetadata {
    /// Id of the request; empty where it has none.
    pub request_id: String,
    /// Time for which the caller waits.
    pub time_left: Option<Millis>,
}

/// What a backend server says with an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerMetadata {
    /// Id of the request that is answered.
    pub request_id: Option<String>,
    /// Whether it carries the backend server's signature.
    pub is_signed: bool,
    /// Whether it promises that the request did not run.
    pub is_not_run: bool,
}

/// A call at the address for announcements and readiness.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminCall {
    /// Whether this proxy takes requests.
    Readiness,
    /// Metrics as text.
    Metrics,
    /// A backend server announces itself.
    Announce(Announcement),
    /// A backend server leaves.
    Withdraw {
        /// Id of its process.
        id: String,
        /// Start of its process, where it says so.
        started_at: Option<u64>,
    },
    /// A call that exists, whose content cannot be used.
    Malformed(String),
    /// No such call.
    Unknown,
}

/// One set of names on the wire.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Reads what a caller says.
    fn read_caller(&self, headers: &Headers) -> CallerMetadata;

    /// Returns the id of the request whose run made this one, where the id says so.
    fn parent_request_id<'a>(&self, request: &'a str) -> Option<&'a str>;

    /// Marks a request with the service at whose instance it began.
    fn set_origin_service(&self, headers: &mut Headers, service: &ServiceName);

    /// Marks a request for the backend server whose process is `instance`.
    fn set_attempt_headers(&self, headers: &mut Headers, left: Millis, instance: &str);

    /// Reads what a backend server says.
    fn read_answer(&self, head: &ResponseHead) -> AnswerMetadata;

    /// Tells a caller to come back after `wait`.
    fn set_retry_after(&self, headers: &mut Headers, wait: Millis);

    /// Reads a call of the platform or of the backend server beside this proxy.
    fn read_admin_call(&self, head: &RequestHead, body: &[u8]) -> AdminCall;
}
