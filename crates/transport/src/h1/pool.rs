//! Kept connections by address.

use super::connection::Connection;
use rf_base::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Settings of a [`Pool`].
#[derive(Clone, Copy, Debug)]
pub struct PoolSettings {
    /// Time within which a connection must be established.
    pub connect: Millis,
    /// Idle connections kept to one address.
    pub idle: usize,
    /// Idle time after which a connection is not used again.
    pub max_idle: Millis,
}

impl Default for PoolSettings {
    fn default() -> Self {
        PoolSettings {
            connect: Millis(500),
            idle: 64,
            max_idle: Millis(8000),
        }
    }
}

/// A connection taken from a pool.
#[derive(Debug)]
pub struct Checkout {
    /// The connection.
    pub connection: Connection,
    /// Whether it has carried a message before.
    pub is_reused: bool,
}

/// Kept connections.
#[derive(Debug)]
pub struct Pool {
    settings: PoolSettings,
    idle: Mutex<BTreeMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// Makes an empty pool.
    pub fn new(settings: PoolSettings) -> Pool {
        Pool {
            settings,
            idle: Mutex::default(),
        }
    }

    /// Takes a kept connection that was idle for at most `max_idle`, or opens one.
    ///
    /// # Errors
    ///
    /// Returns the error of opening one.
    pub async fn checkout(
        &self,
        address: SocketAddr,
        max_idle: Millis,
    ) -> std::io::Result<Checkout> {
        while let Some(mut connection) = self.take(address, max_idle) {
            if connection.is_quiet().await {
                return Ok(Checkout {
                    connection,
                    is_reused: true,
                });
            }
        }
        let connection = Connection::open(address, self.settings.connect).await?;
        Ok(Checkout {
            connection,
            is_reused: false,
        })
    }

    fn take(&self, address: SocketAddr, max_idle: Millis) -> Option<Connection> {
        let max_idle = max_idle.min(self.settings.max_idle);
        let mut idle = self.lock();
        let kept = idle.get_mut(&address)?;
        // The newest is last: where it is too old, all are.
        let connection = kept.pop().filter(|c| c.idle_time() <= max_idle);
        if connection.is_none() {
            kept.retain(|c| c.idle_time() <= self.settings.max_idle);
        }
        connection
    }

    /// Keeps a connection whose last message has ended.
    pub fn put_back(&self, address: SocketAddr, mut connection: Connection) {
        if connection.has_bytes() {
            return;
        }
        connection.rest();
        let mut idle = self.lock();
        let kept = idle.entry(address).or_default();
        if kept.len() < self.settings.idle {
            kept.push(connection);
        }
    }

    /// Closes every kept connection to `address`.
    pub fn forget(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Closes connections that have been idle too long.
    pub fn prune(&self) {
        let max_idle = self.settings.max_idle;
        self.lock().retain(|_, kept| {
            kept.retain(|c| c.idle_time() <= max_idle);
            !kept.is_empty()
        });
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
