//! Scheduling of answers and long bodies that leave over this instance's link.
//!
//! Only as many long messages are sent concurrently as are needed to fill the link, so each one
//! completes sooner than if all of them shared it. They are sent in chunks at the rate of the link,
//! so a short message waits for one chunk instead of for whole messages. A slow receiver loses its
//! permit after a timeout; its message then continues concurrently with the next one.

use async_lock::Semaphore;
use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use futures_lite::AsyncWriteExt;
use rf_base::{Clock, Millis};
use rf_traffic::Link;
use rf_traffic::link::Pacer;
use rf_transport::h1::Connection;
use std::io;
use std::pin::pin;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Length from which an answer needs a permit, in bytes. Shorter ones delay others by a few chunks
/// at most.
pub const LONG_ANSWER: u64 = 32 * 1024;
/// Length of the chunks in which a long answer is sent, in bytes.
const CHUNK_LENGTH: usize = 8 * 1024;
/// Multiple of the transfer time on an idle link after which an answer loses its permit.
const PERMIT_FACTOR: u64 = 4;
/// Time added to that timeout, for round trips.
const PERMIT_GRACE: Millis = Millis(100);

/// Limits concurrent long answers and paces them to the rate of the link.
#[derive(Debug)]
pub struct SendScheduler {
    link: Link,
    clock: Clock,
    pacer: Mutex<Pacer>,
    permits: Semaphore,
}

impl SendScheduler {
    /// Creates the scheduler of `link`.
    pub fn new(link: Link, clock: Clock) -> SendScheduler {
        SendScheduler {
            pacer: Mutex::new(Pacer::new(&link)),
            permits: Semaphore::new(link.parallel_connections()),
            link,
            clock,
        }
    }

    fn pacer(&self) -> MutexGuard<'_, Pacer> {
        self.pacer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes all of `bytes`. Long messages wait for a permit and are paced.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the connection fails.
    pub async fn write(&self, connection: &mut Connection, bytes: &[u8]) -> io::Result<()> {
        self.write_stream(&mut connection.writer(), bytes).await
    }

    /// Writes all of `bytes` like [`SendScheduler::write`], to a stream whose connection may be
    /// read meanwhile.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the connection fails.
    pub async fn write_stream(&self, stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
        let length = bytes.len() as u64;
        if length < LONG_ANSWER {
            self.pacer().record_sent(self.clock.now(), length);
            return stream.write_all(bytes).await;
        }
        let permit = self.permits.acquire().await;
        let permit_timeout =
            Millis(self.link.transfer_time(length).0 * PERMIT_FACTOR) + PERMIT_GRACE;
        let mut writing = pin!(self.write_chunks(stream, bytes));
        if let Ok(result) = timeout(permit_timeout.duration(), &mut writing).await {
            return result;
        }
        drop(permit);
        writing.await
    }

    async fn write_chunks(&self, stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
        for chunk in bytes.chunks(CHUNK_LENGTH) {
            self.pace(chunk.len() as u64).await;
            stream.write_all(chunk).await?;
        }
        Ok(())
    }

    /// Waits until the link has capacity for the next chunk.
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
