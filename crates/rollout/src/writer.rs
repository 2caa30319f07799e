//! Writes changes of the mesh configuration to the platform, one at a time.
//!
//! For each job the writer reads the configuration, applies and verifies the change, and writes the
//! result on condition that the object is unchanged since it was read; on a conflict it starts
//! over. If the response to a write is lost, the writer reads the object back: it contains the
//! operation id if the write took effect. Otherwise the same operation is written again,
//! conditional on the version just read. If the first write was only delayed, its own condition
//! then fails, so the operation takes effect at most once.

use crate::change::{Change, ChangeError, apply_change};
use rf_base::{Counter, Millis, OperationId, SeededRandom};
use rf_config::MeshConfig;
use rf_store::{Object, ObjectVersion, StoreError};
use std::collections::VecDeque;

/// Upper limit of the random delay before a failed call is retried.
const MAX_RETRY_DELAY: Millis = Millis(300);

/// Identifies a job to its requester; unique within one [`Writer`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobId(pub u64);

/// A change that is queued to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Id that [`Writer::submit`] returned.
    pub id: JobId,
    /// Change to apply to the configuration.
    pub change: Change,
    /// Id stored in the configuration, by which a retry detects that the change took effect.
    pub operation: OperationId,
    /// Time after which a failed call is not retried.
    pub expires: Millis,
}

/// A platform call that the writer requests.
#[derive(Clone, Debug, PartialEq)]
pub enum WriterCall {
    /// Reads the configuration.
    Get,
    /// Writes the configuration if the object still has the given version.
    Put(Box<MeshConfig>, ObjectVersion),
}

/// Outcome of a job.
#[derive(Clone, Debug, PartialEq)]
pub enum JobOutcome {
    /// The change is in effect in the configuration with this counter.
    Written(Counter),
    /// The change was rejected and not written.
    Refused(ChangeError),
    /// Calls failed until the job expired; nothing was written.
    Unavailable(String),
    /// The response to a write was lost and the job expired; the change may have taken effect.
    Unknown(String),
}

/// Result of a job that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct JobResult {
    /// Id of the job.
    pub id: JobId,
    /// Outcome of the job.
    pub outcome: JobOutcome,
    /// Configuration that was last read or written, unless the job expired.
    pub config: Option<MeshConfig>,
}

#[derive(Clone, Debug)]
struct Current {
    job: Job,
    /// Configuration that is being written.
    pending: Option<MeshConfig>,
    /// Whether the response to a write was lost.
    may_be_written: bool,
}

/// Queue of changes and the state of the one that is being written.
#[derive(Clone, Debug)]
pub struct Writer {
    queue: VecDeque<Job>,
    current: Option<Current>,
    /// Whether the result of a call is outstanding.
    is_waiting: bool,
    /// Earliest time of the next call.
    next_call: Millis,
    last_id: u64,
    random: SeededRandom,
}

impl Writer {
    /// Creates a writer without jobs.
    pub fn new(random: SeededRandom) -> Writer {
        Writer {
            queue: VecDeque::new(),
            current: None,
            is_waiting: false,
            next_call: Millis::ZERO,
            last_id: 0,
            random,
        }
    }

    /// Queues `change` and returns the id of the job; no failed call is retried after `expires`.
    pub fn submit(&mut self, change: Change, expires: Millis) -> JobId {
        self.last_id += 1;
        let id = JobId(self.last_id);
        self.queue.push_back(Job {
            id,
            change,
            operation: OperationId(self.random.bits()),
            expires,
        });
        id
    }

    /// Returns whether `change` is queued or being written.
    pub fn is_pending(&self, change: &Change) -> bool {
        let current = self.current.as_ref().map(|c| &c.job);
        self.queue
            .iter()
            .chain(current)
            .any(|job| job.change == *change)
    }

    /// Returns the next call to make, if one is due at `now`.
    pub fn poll(&mut self, now: Millis) -> Option<WriterCall> {
        if self.is_waiting || now < self.next_call {
            return None;
        }
        if self.current.is_none() {
            let job = self.queue.pop_front()?;
            self.current = Some(Current {
                job,
                pending: None,
                may_be_written: false,
            });
        }
        self.is_waiting = true;
        Some(WriterCall::Get)
    }

    /// Handles the result of [`WriterCall::Get`]; returns the write to make or the result of the
    /// job.
    pub fn handle_get(
        &mut self,
        now: Millis,
        result: Result<Object, StoreError>,
    ) -> (Option<WriterCall>, Option<JobResult>) {
        self.is_waiting = false;
        let (config, version) = match result {
            Ok(object) => match serde_json::from_slice(&object.value) {
                Ok(config) => (config, object.version),
                Err(e) => {
                    let message = format!("configuration in the platform does not parse: {e}");
                    return (None, self.retry(now, message));
                }
            },
            Err(StoreError::NotFound) => (MeshConfig::default(), ObjectVersion(0)),
            Err(error) => return (None, self.retry(now, error.to_string())),
        };
        self.write(now, config, version)
    }

    fn write(
        &mut self,
        now: Millis,
        config: MeshConfig,
        version: ObjectVersion,
    ) -> (Option<WriterCall>, Option<JobResult>) {
        let Some(current) = &mut self.current else {
            return (None, None);
        };
        let job = &current.job;
        match apply_change(&config, &job.change, job.operation, now) {
            Ok(Some(next)) => {
                current.pending = Some(next.clone());
                self.is_waiting = true;
                (Some(WriterCall::Put(Box::new(next), version)), None)
            }
            Ok(None) => {
                let outcome = JobOutcome::Written(config.counter);
                (None, self.finish_job(outcome, Some(config)))
            }
            Err(error) => (
                None,
                self.finish_job(JobOutcome::Refused(error), Some(config)),
            ),
        }
    }

    /// Handles the result of [`WriterCall::Put`]; returns the result of the job if it has ended.
    pub fn handle_put(
        &mut self,
        now: Millis,
        result: &Result<ObjectVersion, StoreError>,
    ) -> Option<JobResult> {
        self.is_waiting = false;
        let current = self.current.as_mut()?;
        match result {
            Ok(_) => {
                let config = current.pending.take();
                let counter = config.as_ref().map_or(Counter(0), |c| c.counter);
                self.finish_job(JobOutcome::Written(counter), config)
            }
            Err(StoreError::Conflict) => {
                self.next_call = now;
                None
            }
            Err(error) => {
                current.may_be_written |= matches!(error, StoreError::Lost { .. });
                self.retry(now, error.to_string())
            }
        }
    }

    fn retry(&mut self, now: Millis, message: String) -> Option<JobResult> {
        self.next_call = now + self.random.jitter(MAX_RETRY_DELAY);
        let current = self.current.as_ref()?;
        if now < current.job.expires {
            return None;
        }
        let outcome = match current.may_be_written {
            true => JobOutcome::Unknown(message),
            false => JobOutcome::Unavailable(message),
        };
        self.finish_job(outcome, None)
    }

    fn finish_job(&mut self, outcome: JobOutcome, config: Option<MeshConfig>) -> Option<JobResult> {
        let current = self.current.take()?;
        Some(JobResult {
            id: current.job.id,
            outcome,
            config,
        })
    }
}
