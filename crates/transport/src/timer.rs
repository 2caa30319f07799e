//! Coarse timers for timeouts.
//!
//! A request passes through several timeouts that hardly ever expire. A precise timer for each of
//! them would wake the I/O reactor whenever it is set. Here, setting and dropping a timer only
//! takes a lock for a short time. A single thread wakes the expired timers every [`RESOLUTION`],
//! and sleeps while there are no timers. A timer never expires early, and at most two resolutions
//! late.

use rf_base::Millis;
use std::collections::BTreeMap;
use std::fmt;
use std::future::Future;
use std::pin::{Pin, pin};
use std::sync::{Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::task::{Context, Poll, Waker};
use std::thread;
use std::time::Instant;

/// Interval at which timers are checked for expiry.
pub const RESOLUTION: Millis = Millis(10);

/// Error of a wait that timed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeoutError;

impl fmt::Display for TimeoutError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("timed out")
    }
}

impl std::error::Error for TimeoutError {}

/// Result of a wait with a timeout.
pub type Result<T> = std::result::Result<T, TimeoutError>;

#[derive(Debug, Default)]
struct Timers {
    pending: Mutex<PendingTimers>,
    /// Notified when a timer is added while there are none.
    added: Condvar,
}

#[derive(Debug, Default)]
struct PendingTimers {
    /// Wakers by expiry time and timer id.
    wakers: BTreeMap<(Instant, u64), Waker>,
    last_id: u64,
}

static TIMERS: OnceLock<&'static Timers> = OnceLock::new();

impl Timers {
    /// Returns the timers of the process; starts their thread on the first call.
    fn get() -> &'static Timers {
        TIMERS.get_or_init(|| {
            let timers: &'static Timers = Box::leak(Box::default());
            let builder = thread::Builder::new().name("timers".to_owned());
            builder
                .spawn(|| timers.run())
                .expect("the process can start its timer thread");
            timers
        })
    }

    /// Wakes expired timers until the process ends.
    fn run(&self) {
        loop {
            thread::sleep(RESOLUTION.duration());
            let mut due = Vec::new();
            let mut pending = self.lock();
            while pending.wakers.is_empty() {
                pending = self
                    .added
                    .wait(pending)
                    .unwrap_or_else(PoisonError::into_inner);
            }
            let now = Instant::now();
            while let Some(entry) = pending.wakers.first_entry() {
                if entry.key().0 > now {
                    break;
                }
                due.push(entry.remove());
            }
            drop(pending);
            due.into_iter().for_each(Waker::wake);
        }
    }

    fn lock(&self) -> MutexGuard<'_, PendingTimers> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Future that resolves after a duration; see [`sleep`].
#[derive(Debug)]
pub struct Sleep {
    end: Instant,
    /// Id of the registered timer; set by the first poll.
    id: Option<u64>,
}

/// Returns a future that resolves after `span`.
pub fn sleep(span: Millis) -> Sleep {
    Sleep {
        end: Instant::now() + span.duration(),
        id: None,
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.end {
            return Poll::Ready(());
        }
        let timers = Timers::get();
        let mut pending = timers.lock();
        let id = *self.id.get_or_insert_with(|| {
            pending.last_id += 1;
            pending.last_id
        });
        let was_empty = pending.wakers.is_empty();
        pending.wakers.insert((self.end, id), cx.waker().clone());
        drop(pending);
        if was_empty {
            timers.added.notify_one();
        }
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            Timers::get().lock().wakers.remove(&(self.end, id));
        }
    }
}

/// Waits for `future` to complete, for at most `span`.
///
/// # Errors
///
/// Returns [`TimeoutError`] if `future` has not completed after `span`.
pub async fn timeout<F: Future>(span: Millis, future: F) -> Result<F::Output> {
    let mut future = pin!(future);
    let mut end = sleep(span);
    std::future::poll_fn(move |cx| {
        if let Poll::Ready(output) = future.as_mut().poll(cx) {
            return Poll::Ready(Ok(output));
        }
        Pin::new(&mut end).poll(cx).map(|()| Err(TimeoutError))
    })
    .await
}
