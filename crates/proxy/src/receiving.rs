//! Takes long bodies over this instance's link.
//!
//! The sender of an attempt with a long body waits until it is asked for the body. So no body
//! crosses the mesh to be refused, and as few come at a time as fill the link: many senders at once
//! would fill its queue, in which everything else between proxies waits as well.

use async_lock::{Semaphore, SemaphoreGuard};
use rf_base::Millis;
use rf_traffic::{Link, Reservation};

/// Length from which a body is sent only once it is asked for, in bytes. Below it the question costs
/// more than the bytes.
const LONG_BODY: usize = 16 * 1024;
/// The same where the body leaves the availability zone.
const LONG_FAR_BODY: usize = 1024;
/// Factor on the time that a body takes on an idle link after which it is given up.
const BODY_FACTOR: u64 = 4;
/// Time added to that, for round trips.
const BODY_GRACE: Millis = Millis(300);

/// Returns whether a body of `length` is sent only once it is asked for.
pub fn needs_continue(length: usize, is_near: bool) -> bool {
    length >= if is_near { LONG_BODY } else { LONG_FAR_BODY }
}

/// Turns of long bodies.
#[derive(Debug)]
pub struct ReceiveScheduler {
    link: Link,
    free: Semaphore,
}

impl ReceiveScheduler {
    /// Makes the inlet of a link of `megabits` a second.
    pub fn new(megabits: f64) -> ReceiveScheduler {
        let link = Link::new(megabits);
        ReceiveScheduler {
            free: Semaphore::new(link.parallel_connections()),
            link,
        }
    }

    /// Admits a body of `bytes` if those before it are through within `patience`.
    ///
    /// # Errors
    ///
    /// Returns the time until they will be.
    pub fn admit(&self, bytes: u64, patience: Millis) -> Result<Reservation, Millis> {
        self.link.admit(bytes, patience)
    }

    /// Waits for the turn of a body.
    pub async fn acquire_permit(&self) -> SemaphoreGuard<'_> {
        self.free.acquire().await
    }

    /// Returns the time within which a body of `bytes` must be through once it was asked for.
    pub fn transfer_timeout(&self, bytes: u64) -> Millis {
        Millis(self.link.transfer_time(bytes).0 * BODY_FACTOR) + BODY_GRACE
    }
}
