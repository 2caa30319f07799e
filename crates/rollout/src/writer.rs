//! The writer: carries changes into the platform, one at a time.
//!
//! A job is read, changed, verified, and written on condition that nothing else was written
//! meanwhile; on a conflict it starts over. A write whose answer was lost is settled by reading
//! back: the operation id is in the object if it took effect. If it is not there the same operation
//! is written again on the version just read; a delayed first write then fails its own condition,
//! so the operation takes effect at most once.

use crate::change::{Change, ChangeError, apply_change};
use rf_base::{Counter, Millis, OperationId, SeededRandom};
use rf_config::MeshConfig;
use rf_store::{Object, ObjectVersion, StoreError};
use std::collections::VecDeque;

/// Pause after a failed call.
const RETRY_PAUSE: Millis = Millis(300);

/// Id of a job, for its requester.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobId(pub u64);

/// A change to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Id.
    pub id: JobId,
    /// Change.
    pub change: Change,
    /// Operation id kept in the object.
    pub operation: OperationId,
    /// Time after which the job is given up.
    pub expires: Millis,
}

/// A call that the writer wants made.
#[derive(Clone, Debug, PartialEq)]
pub enum WriterCall {
    /// Read the configuration.
    Get,
    /// Write it on a condition.
    Put(Box<MeshConfig>, ObjectVersion),
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq)]
pub enum JobOutcome {
    /// The change is in the platform, as of this counter.
    Written(Counter),
    /// The change must not be made.
    Refused(ChangeError),
    /// The platform did not answer; nothing was written.
    Unavailable(String),
    /// The platform did not answer after a write; it may have taken effect.
    Unknown(String),
}

/// A job's end, with what was read or written last.
#[derive(Clone, Debug, PartialEq)]
pub struct JobResult {
    /// Job.
    pub id: JobId,
    /// How it ended.
    pub outcome: JobOutcome,
    /// Newest configuration seen.
    pub config: Option<MeshConfig>,
}

#[derive(Clone, Debug)]
struct Current {
    job: Job,
    pending: Option<MeshConfig>,
    is_in_doubt: bool,
}

/// State of the writer.
#[derive(Clone, Debug)]
pub struct Writer {
    queue: VecDeque<Job>,
    current: Option<Current>,
    is_waiting: bool,
    next: Millis,
    jobs: u64,
    random: SeededRandom,
}

impl Writer {
    /// Makes a writer without jobs.
    pub fn new(random: SeededRandom) -> Writer {
        Writer {
            queue: VecDeque::new(),
            current: None,
            is_waiting: false,
            next: Millis::ZERO,
            jobs: 0,
            random,
        }
    }

    /// Adds a job, given up at `expires`; returns its id.
    pub fn submit(&mut self, change: Change, expires: Millis) -> JobId {
        self.jobs += 1;
        let id = JobId(self.jobs);
        self.queue.push_back(Job {
            id,
            change,
            operation: OperationId(self.random.bits()),
            expires,
        });
        id
    }

    /// Returns whether `change` waits or is under way.
    pub fn is_pending(&self, change: &Change) -> bool {
        let current = self.current.as_ref().map(|c| &c.job);
        self.queue
            .iter()
            .chain(current)
            .any(|job| job.change == *change)
    }

    /// Returns the next call to make, if any.
    pub fn poll(&mut self, now: Millis) -> Option<WriterCall> {
        if self.is_waiting || now < self.next {
            return None;
        }
        if self.current.is_none() {
            let job = self.queue.pop_front()?;
            self.current = Some(Current {
                job,
                pending: None,
                is_in_doubt: false,
            });
        }
        self.is_waiting = true;
        Some(WriterCall::Get)
    }

    /// Takes in the answer to [`WriterCall::Get`].
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

    /// Takes in the answer to [`WriterCall::Put`].
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
                self.next = now;
                None
            }
            Err(error) => {
                current.is_in_doubt |= matches!(error, StoreError::Lost { .. });
                self.retry(now, error.to_string())
            }
        }
    }

    fn retry(&mut self, now: Millis, message: String) -> Option<JobResult> {
        self.next = now + self.random.jitter(RETRY_PAUSE);
        let current = self.current.as_ref()?;
        if now < current.job.expires {
            return None;
        }
        let outcome = match current.is_in_doubt {
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
