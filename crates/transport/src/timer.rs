//! Coarse timers for bounds on waits.
//!
//! A request passes several bounded waits that hardly ever run out. A precise timer for each would
//! wake the I/O reactor every time one is set. Here setting and dropping a bound costs a short lock;
//! one thread looks every [`RESOLUTION`] for bounds that have passed, and sleeps while there are
//! none. A bound never ends early, and up to two resolutions late.

use rf_base::Millis;
use std::collections::BTreeMap;
use std::fmt;
use std::future::Future;
use std::pin::{Pin, pin};
use std::sync::{Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::task::{Context, Poll, Waker};
use std::thread;
use std::time::Instant;

/// Precision of every bound.
pub const RESOLUTION: Millis = Millis(10);

/// Error of a wait that ran out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeoutError;

impl fmt::Display for TimeoutError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("wait ran out")
    }
}

impl std::error::Error for TimeoutError {}

/// Result of a bounded wait.
pub type Result<T> = std::result::Result<T, TimeoutError>;

#[derive(Debug, Default)]
struct Timers {
    waiting: Mutex<Waiting>,
    added: Condvar,
}

#[derive(Debug, Default)]
struct Waiting {
    wakers: BTreeMap<(Instant, u64), Waker>,
    numbers: u64,
}

static TIMERS: OnceLock<&'static Timers> = OnceLock::new();

impl Timers {
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

    fn run(&self) {
        loop {
            thread::sleep(RESOLUTION.duration());
            let mut due = Vec::new();
            let mut waiting = self.lock();
            while waiting.wakers.is_empty() {
                waiting = self
                    .added
                    .wait(waiting)
                    .unwrap_or_else(PoisonError::into_inner);
            }
            let now = Instant::now();
            while let Some(entry) = waiting.wakers.first_entry() {
                if entry.key().0 > now {
                    break;
                }
                due.push(entry.remove());
            }
            drop(waiting);
            due.into_iter().for_each(Waker::wake);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A future that resolves after its time.
#[derive(Debug)]
pub struct Sleep {
    end: Instant,
    number: Option<u64>,
}

/// Returns a future that resolves after `span`.
pub fn sleep(span: Millis) -> Sleep {
    Sleep {
        end: Instant::now() + span.duration(),
        number: None,
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.end {
            return Poll::Ready(());
        }
        let timers = Timers::get();
        let mut waiting = timers.lock();
        let number = *self.number.get_or_insert_with(|| {
            waiting.numbers += 1;
            waiting.numbers
        });
        let is_first = waiting.wakers.is_empty();
        waiting
            .wakers
            .insert((self.end, number), cx.waker().clone());
        drop(waiting);
        if is_first {
            timers.added.notify_one();
        }
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(number) = self.number {
            Timers::get().lock().wakers.remove(&(self.end, number));
        }
    }
}

/// Waits for `future`, at most for `span`.
///
/// # Errors
///
/// Returns [`TimeoutError`] where the wait ran out.
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
