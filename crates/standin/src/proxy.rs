//! TCP proxy that injects faults.
//!
//! It forwards every connection to one target. `PUT /faults` on its control address replaces the
//! faults of each direction, which apply to bytes that arrive from then on.

use async_std::io;
use async_std::net::{Shutdown, TcpListener, TcpStream};
use async_std::task;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http_types::{Request, Response, StatusCode};
use rf_base::Millis;
use rf_transport::{ServerSettings, serve};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// Interval at which a silent connection checks whether the fault has ended.
const POLL_INTERVAL: Millis = Millis(10);

/// Faults of one direction of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct DirectionFaults {
    /// Delay of each chunk of bytes.
    pub delay: Millis,
    /// Whether bytes are discarded while the connection stays open. Once the fault ends, a
    /// connection that lost bytes is closed.
    pub is_silent: bool,
    /// Whether the connection is closed when the next bytes arrive.
    pub is_cut: bool,
}

/// Injected faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct ProxyFaults {
    /// Faults of the bytes sent to the target.
    #[serde(rename = "there")]
    pub forward: DirectionFaults,
    /// Faults of the bytes received from the target.
    #[serde(rename = "back")]
    pub backward: DirectionFaults,
    /// Whether new connections are closed as soon as they are accepted.
    pub refuses: bool,
    /// Whether the faults of both directions apply only to connections opened before they were set.
    #[serde(rename = "sparesNew")]
    pub existing_only: bool,
}

#[derive(Debug, Default)]
struct State {
    faults: ProxyFaults,
    generation: u64,
}

/// The proxy; clones share their faults.
#[derive(Clone, Debug, Default)]
pub struct Proxy {
    state: Arc<Mutex<State>>,
}

impl Proxy {
    /// Forwards from `listen` to `target` until the task ends.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if it cannot listen on an address.
    pub async fn run(
        self,
        listen: SocketAddr,
        target: SocketAddr,
        control: SocketAddr,
    ) -> std::io::Result<()> {
        let listener = TcpListener::bind(listen).await?;
        let control = TcpListener::bind(control).await?;
        task::spawn(self.clone().serve_control(control));
        self.forward(listener, target).await;
        Ok(())
    }

    /// Forwards connections of `listener` to `target` until the task ends.
    pub async fn forward(self, listener: TcpListener, target: SocketAddr) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let generation = self.generation();
            if self.faults().refuses {
                stream.shutdown(Shutdown::Both).ok();
                continue;
            }
            task::spawn(self.clone().connect(stream, target, generation));
        }
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: ProxyFaults) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.faults = faults;
        state.generation += 1;
    }

    async fn serve_control(self, listener: TcpListener) {
        let handler = move |mut request: Request| {
            let proxy = self.clone();
            async move {
                let text = request.body_string().await.unwrap_or_default();
                let status = match rf_config::from_json(&text) {
                    Ok(faults) => {
                        proxy.set_faults(faults);
                        StatusCode::Ok
                    }
                    Err(_) => StatusCode::BadRequest,
                };
                Ok(Response::new(status))
            }
        };
        serve(listener, ServerSettings::default(), handler).await;
    }

    async fn connect(self, client: TcpStream, target: SocketAddr, generation: u64) {
        let Ok(server) = TcpStream::connect(target).await else {
            client.shutdown(Shutdown::Both).ok();
            return;
        };
        client.set_nodelay(true).ok();
        server.set_nodelay(true).ok();
        let forward = self
            .clone()
            .pump(client.clone(), server.clone(), generation, |f| f.forward);
        let backward = self.pump(server, client, generation, |f| f.backward);
        task::spawn(forward);
        backward.await;
    }

    async fn pump(
        self,
        mut from: TcpStream,
        mut to: TcpStream,
        generation: u64,
        direction: fn(&ProxyFaults) -> DirectionFaults,
    ) {
        let mut chunk = vec![0; 16 * 1024];
        loop {
            let n = match from.read(&mut chunk).await {
                Ok(0) | Err(_) => break,
                Ok(n) => n,
            };
            if self
                .pass(&mut to, &chunk[..n], generation, direction)
                .await
                .is_err()
            {
                break;
            }
        }
        from.shutdown(Shutdown::Both).ok();
        to.shutdown(Shutdown::Both).ok();
    }

    async fn pass(
        &self,
        to: &mut TcpStream,
        bytes: &[u8],
        generation: u64,
        direction: fn(&ProxyFaults) -> DirectionFaults,
    ) -> io::Result<()> {
        let direction_faults = self.direction_faults(generation, direction);
        if direction_faults.is_cut {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if direction_faults.delay > Millis::ZERO {
            task::sleep(direction_faults.delay.duration()).await;
        }
        if direction_faults.is_silent {
            // The bytes are lost, so the connection stays silent while the fault lasts and closes
            // afterwards, since it cannot go on without them.
            while self.direction_faults(generation, direction).is_silent {
                task::sleep(POLL_INTERVAL.duration()).await;
            }
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        to.write_all(bytes).await
    }

    fn direction_faults(
        &self,
        generation: u64,
        direction: fn(&ProxyFaults) -> DirectionFaults,
    ) -> DirectionFaults {
        let faults = self.faults();
        match faults.existing_only && generation == self.generation() {
            true => DirectionFaults::default(),
            false => direction(&faults),
        }
    }

    fn faults(&self) -> ProxyFaults {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.faults
    }

    fn generation(&self) -> u64 {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.generation
    }
}
