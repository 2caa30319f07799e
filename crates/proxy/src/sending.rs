//! Sends answers over this instance's link.
//!
//! Long answers take turns: as few are sent at a time as fill the link, so each is through sooner
//! than if all shared it. They are sent in pieces at the pace of the link, so a short answer waits
//! for one piece instead of for all of them. A receiver that reads slowly loses its turn after a
//! while, and its answer goes on beside the next.

use async_lock::Semaphore;
use async_std::future::timeout;
use async_std::task;
use rf_base::{Clock, Millis};
use rf_traffic::Link;
use rf_traffic::link::Pacer;
use rf_transport::h1::Connection;
use std::io;
use std::pin::pin;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Length from which an answer takes a turn, in bytes. Shorter ones hold up others for a few pieces
/// at most.
pub const LONG_ANSWER: u64 = 32 * 1024;
/// Bytes of a long answer that are sent at a time.
const PIECE: usize = 8 * 1024;
/// Factor on the time that an answer takes on an idle link after which its turn ends.
const TURN_FACTOR: u64 = 4;
/// Time added to that, for round trips.
const TURN_GRACE: Millis = Millis(100);

/// Turns and pace of long answers.
#[derive(Debug)]
pub struct SendScheduler {
    link: Link,
    clock: Clock,
    pacer: Mutex<Pacer>,
    free: Semaphore,
}

impl SendScheduler {
    /// Makes the outlet of a link.
    pub fn new(link: Link, clock: Clock) -> SendScheduler {
        SendScheduler {
            pacer: Mutex::new(Pacer::new(&link)),
            free: Semaphore::new(link.parallel_connections()),
            link,
            clock,
        }
    }

    fn pacer(&self) -> MutexGuard<'_, Pacer> {
        self.pacer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes all of `bytes`, in turn and paced where they are many.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub async fn write(&self, connection: &mut Connection, bytes: &[u8]) -> io::Result<()> {
        let length = bytes.len() as u64;
        if length < LONG_ANSWER {
            self.pacer().record_sent(self.clock.now(), length);
            return connection.write(bytes).await;
        }
        let turn = self.free.acquire().await;
        let limit = Millis(self.link.transfer_time(length).0 * TURN_FACTOR) + TURN_GRACE;
        let mut writing = pin!(self.write_pieces(connection, bytes));
        if let Ok(result) = timeout(limit.duration(), &mut writing).await {
            return result;
        }
        drop(turn);
        writing.await
    }

    async fn write_pieces(&self, connection: &mut Connection, bytes: &[u8]) -> io::Result<()> {
        for piece in bytes.chunks(PIECE) {
            self.pace(piece.len() as u64).await;
            connection.write(piece).await?;
        }
        Ok(())
    }

    /// Waits until the link has room for the next piece.
    async fn pace(&self, length: u64) {
        loop {
            let wait = {
                let now = self.clock.now();
                let mut pacer = self.pacer();
                let wait = pacer.wait(now);
                if wait == Millis::ZERO {
                    pacer.record_sent(now, length);
                }
                wait
            };
            if wait == Millis::ZERO {
                return;
            }
            task::sleep(wait.duration()).await;
        }
    }
}
