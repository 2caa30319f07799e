//! Pool of idle connections, by address.

use super::connection::Connection;
use rf_base::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Settings of a [`Pool`].
#[derive(Clone, Copy, Debug)]
pub struct PoolSettings {
    /// Timeout for establishing a connection.
    pub connect_timeout: Millis,
    /// Maximum number of idle connections kept open to one address.
    pub max_kept: usize,
    /// Idle time after which a connection is not reused.
    pub idle_timeout: Millis,
}

impl Default for PoolSettings {
    fn default() -> Self {
        PoolSettings {
            connect_timeout: Millis(500),
            max_kept: 64,
            idle_timeout: Millis(8000),
        }
    }
}

/// Pool of idle connections.
#[derive(Debug)]
pub struct Pool {
    settings: PoolSettings,
    idle: Mutex<BTreeMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(settings: PoolSettings) -> Pool {
        Pool {
            settings,
            idle: Mutex::default(),
        }
    }

    /// Takes a connection that has been idle for at most `max_idle`, or establishes a new one.
    ///
    /// # Errors
    ///
    /// Returns the error of establishing a connection.
    pub async fn checkout(
        &self,
        address: SocketAddr,
        max_idle: Millis,
    ) -> std::io::Result<Connection> {
        self.checkout_where(address, max_idle, |_| true).await
    }

    /// Takes a connection like [`Pool::checkout`], but only one that `admits` accepts, or
    /// establishes a new one.
    ///
    /// # Errors
    ///
    /// Returns the error of establishing a connection.
    pub async fn checkout_where(
        &self,
        address: SocketAddr,
        max_idle: Millis,
        admits: impl Fn(&Connection) -> bool,
    ) -> std::io::Result<Connection> {
        while let Some(mut connection) = self.take(address, max_idle, &admits) {
            if connection.is_reusable().await {
                return Ok(connection);
            }
        }
        Connection::open(address, self.settings.connect_timeout).await
    }

    fn take(
        &self,
        address: SocketAddr,
        max_idle: Millis,
        admits: impl Fn(&Connection) -> bool,
    ) -> Option<Connection> {
        let max_idle = max_idle.min(self.settings.idle_timeout);
        let mut idle = self.lock();
        let kept = idle.get_mut(&address)?;
        // The last connection was returned most recently. If it is too old, all others are too.
        if kept.last()?.idle_time() > max_idle {
            kept.retain(|c| c.idle_time() <= self.settings.idle_timeout);
            return None;
        }
        let found = kept
            .iter()
            .rposition(|c| c.idle_time() <= max_idle && admits(c))?;
        Some(kept.remove(found))
    }

    /// Returns a connection to the pool. Its last message must be complete; a connection with
    /// unread bytes, an unsent message or a full history is closed instead.
    pub fn put_back(&self, address: SocketAddr, mut connection: Connection) {
        let is_idle = !connection.has_buffered_bytes() && connection.is_sent();
        if !is_idle || connection.history().is_full() {
            return;
        }
        connection.mark_idle();
        let mut idle = self.lock();
        let kept = idle.entry(address).or_default();
        if kept.len() < self.settings.max_kept {
            kept.push(connection);
        }
    }

    /// Closes all idle connections to `address`.
    pub fn evict(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Closes connections that have been idle for longer than [`PoolSettings::idle_timeout`].
    pub fn prune(&self) {
        let max_idle = self.settings.idle_timeout;
        self.lock().retain(|_, kept| {
            kept.retain(|c| c.idle_time() <= max_idle);
            !kept.is_empty()
        });
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
