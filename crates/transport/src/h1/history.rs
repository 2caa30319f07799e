//! Requests that a connection has carried.
//!
//! A peer may answer a request twice, and the second answer may arrive while a later request is
//! pending on the same connection. Answers name their request, so a connection that carries each
//! request at most once can always tell the two apart. A request that is sent to the same peer
//! again needs another connection.

use std::collections::BTreeSet;

/// Number of requests after which a connection is not reused, which bounds its history.
const MAX_REQUESTS: usize = 1000;

/// Requests that a connection has carried.
#[derive(Clone, Debug, Default)]
pub struct RequestHistory {
    /// Hashes of the request ids. Two ids with one hash only cost a new connection.
    requests: BTreeSet<u64>,
}

impl RequestHistory {
    /// Returns whether the connection may carry the request whose id has the hash `request`.
    pub fn admits(&self, request: u64) -> bool {
        !self.is_full() && !self.requests.contains(&request)
    }

    /// Adds a request that is about to be sent.
    pub fn record(&mut self, request: u64) {
        self.requests.insert(request);
    }

    /// Returns whether the connection must not carry any further request.
    pub fn is_full(&self) -> bool {
        self.requests.len() >= MAX_REQUESTS
    }

    /// Returns the number of requests that the connection has carried.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether the connection has carried no request.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
