//! Scheduling of long request bodies that arrive over this instance's link.
//!
//! The sender of an attempt with a long body holds the body back until the receiver asks for it
//! (like `100 Continue`). So a body of a rejected attempt is never transferred, and only as many
//! bodies arrive concurrently as are needed to fill the link. More senders would fill the link's
//! queue, which delays all other messages between proxies as well.

use async_lock::{Semaphore, SemaphoreGuard};
use rf_base::Millis;
use rf_traffic::{Link, Reservation};

/// Length from which a body is sent only on request, in bytes. For shorter bodies the extra round
/// trip costs more than the transfer.
const MIN_CONTINUE_LENGTH: usize = 16 * 1024;
/// The same limit for a body that leaves the availability zone, in bytes.
const MIN_REMOTE_CONTINUE_LENGTH: usize = 1024;
/// Multiple of the transfer time on an idle link after which the transfer of a body times out.
const TIMEOUT_FACTOR: u64 = 4;
/// Time added to the transfer timeout, for round trips.
const TIMEOUT_GRACE: Millis = Millis(300);

/// Returns whether a body of `length` bytes is sent only on request. `same_zone` tells whether the
/// receiver is in the sender's availability zone.
pub fn needs_continue(length: usize, same_zone: bool) -> bool {
    length
        >= if same_zone {
            MIN_CONTINUE_LENGTH
        } else {
            MIN_REMOTE_CONTINUE_LENGTH
        }
}

/// Admits long bodies and limits how many arrive concurrently.
#[derive(Debug)]
pub struct ReceiveScheduler {
    link: Link,
    permits: Semaphore,
}

impl ReceiveScheduler {
    /// Creates a scheduler for a link with a rate of `megabits` per second.
    pub fn new(megabits: f64) -> ReceiveScheduler {
        let link = Link::new(megabits);
        ReceiveScheduler {
            permits: Semaphore::new(link.parallel_connections()),
            link,
        }
    }

    /// Admits a body of `bytes` if all bodies admitted before it arrive within `max_wait`.
    ///
    /// # Errors
    ///
    /// Returns the expected time until they have arrived, if that is longer.
    pub fn admit(&self, bytes: u64, max_wait: Millis) -> Result<Reservation, Millis> {
        self.link.admit(bytes, max_wait)
    }

    /// Waits until a body may be transferred; the permit is held during the transfer.
    pub async fn acquire_permit(&self) -> SemaphoreGuard<'_> {
        self.permits.acquire().await
    }

    /// Returns the time within which a body of `bytes` must arrive after it was requested.
    pub fn transfer_timeout(&self, bytes: u64) -> Millis {
        Millis(self.link.transfer_time(bytes).0 * TIMEOUT_FACTOR) + TIMEOUT_GRACE
    }
}
