//! Requests that the local backend server runs, and the calls that they make.

use super::{Gate, Inner, SlotPermit};
use rf_base::{Millis, ServiceName};
use rf_protocol::relay::AttemptRequest;
use std::collections::BTreeMap;

/// A running request and the calls it has made.
#[derive(Debug)]
pub(super) struct RunningRequest {
    parent: Parent,
    /// Attempts of the request that run at the same time.
    runs: u32,
    calls: BTreeMap<ServiceName, u32>,
    is_starved: bool,
}

/// Properties that a nested call inherits from the running request that makes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Parent {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time by which the running request should be answered; a later answer is worth less.
    pub target: Millis,
}

/// How a call ended, as a signal about the load of the called service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// It was served within the latency target of its route.
    Served,
    /// It was served after the latency target.
    Late,
    /// It was refused for lack of capacity.
    Refused,
    /// A backend server rejected it although its gate had a free slot. This says nothing about the
    /// capacity of the service.
    Shed,
}

impl Gate {
    /// Returns what calls of the running request with this id inherit, or `None` if no such request
    /// is running.
    pub fn parent(&self, request: &str) -> Option<Parent> {
        self.lock().requests.get(request).map(|r| r.parent)
    }

    /// Records the end of a call to `service` that the running request `parent` made.
    pub fn observe_call(&self, parent: &str, service: &ServiceName, end: CallEnd) {
        let now = self.clock.now();
        let inner = &mut *self.lock();
        let Some(running) = inner.requests.get_mut(parent) else {
            return;
        };
        *running.calls.entry(service.clone()).or_default() += 1;
        running.is_starved |= end == CallEnd::Refused;
        let priority = running.parent.priority;
        match end {
            CallEnd::Served => inner.chains.observe(now, service, priority, true),
            CallEnd::Late => inner.chains.observe_late(now, service, priority),
            CallEnd::Refused => inner.chains.observe(now, service, priority, false),
            CallEnd::Shed => {}
        }
    }

    pub(super) fn is_starved(&self, request: &str) -> bool {
        let inner = self.lock();
        inner.requests.get(request).is_some_and(|r| r.is_starved)
    }
}

impl Inner {
    pub(super) fn start_run(&mut self, now: Millis, attempt: &AttemptRequest) {
        let running = self.requests.entry(attempt.request.clone());
        let running = running.or_insert_with(|| RunningRequest {
            parent: Parent {
                priority: attempt.terms.priority,
                target: now + attempt.terms.target_left,
            },
            runs: 0,
            calls: BTreeMap::new(),
            is_starved: false,
        });
        running.runs += 1;
    }

    /// Ends one run of a request. When the last one ends, its calls are added to the statistics of
    /// the route, provided that the run completed and none of its calls was refused.
    pub(super) fn end_run(&mut self, now: Millis, permit: &SlotPermit) {
        let Some(running) = self.requests.get_mut(&permit.request) else {
            return;
        };
        running.runs -= 1;
        if running.runs > 0 {
            return;
        }
        if permit.is_measured && !running.is_starved {
            self.chains.record_run(now, permit.route, &running.calls);
        }
        self.requests.remove(&permit.request);
    }
}
