//! Instances of a cluster and the programs that they run.

use crate::cluster::{ClusterError, IoSnafu, KEY, Result, SERVER_PORT};
use crate::operator::Operator;
use crate::server::Behavior;
use rf_base::InstanceId;
use rf_config::Settings;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;

/// Specification of an instance to start.
#[derive(Clone, Debug)]
pub struct InstanceSpec {
    /// Instance name, unique in the cluster.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Region of the availability zone.
    pub region: String,
    /// Service of its backend server; if empty, no backend server is started.
    pub service: String,
    /// Version that its backend server announces.
    pub version: String,
    /// Number of calls that its backend server can run concurrently.
    pub slots: u32,
    /// Initial behaviour of its backend server.
    pub behavior: Behavior,
    /// Address advertised to other daemons for attempts; `None` is the daemon's own.
    pub relay: Option<SocketAddr>,
    /// Address advertised to other daemons for control messages; `None` is the daemon's own.
    pub peers: Option<SocketAddr>,
}

impl Default for InstanceSpec {
    fn default() -> Self {
        InstanceSpec {
            name: String::new(),
            zone: "zone-1".to_owned(),
            region: "region-1".to_owned(),
            service: "payments".to_owned(),
            version: "v1".to_owned(),
            slots: 6,
            behavior: Behavior::default(),
            relay: None,
            peers: None,
        }
    }
}

/// Paths of the programs to run.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The `rosemaryfork` executable.
    pub rosemaryfork: PathBuf,
    /// The `rf-standin` executable.
    pub standin: PathBuf,
}

impl Programs {
    /// Finds the programs in the folder of the running executable or in its parent folder, where
    /// `cargo` puts them relative to a test executable.
    ///
    /// # Errors
    ///
    /// Returns an error that names the command to build them if they are missing.
    pub fn find() -> Result<Programs> {
        let exe = std::env::current_exe().context(IoSnafu {
            what: "own program",
        })?;
        let folders = exe.ancestors().skip(1).take(2);
        for folder in folders {
            let programs = Programs {
                rosemaryfork: folder.join("rosemaryfork"),
                standin: folder.join("rf-standin"),
            };
            if programs.rosemaryfork.exists() && programs.standin.exists() {
                return Ok(programs);
            }
        }
        Err(ClusterError::Refused {
            what: "programs".to_owned(),
            message: "not built; run cargo build --workspace first".to_owned(),
        })
    }
}

/// A running instance.
#[derive(Debug)]
pub struct Instance {
    /// Specification with which it was added.
    pub spec: InstanceSpec,
    /// Settings of its daemon.
    pub settings: Settings,
    /// Process of its daemon; `None` before the start and after the end.
    pub daemon: Option<Child>,
    /// Process of its backend server; `None` if it has none or was killed.
    pub server: Option<Child>,
}

impl Instance {
    /// Returns the address on which its daemon accepts calls.
    pub fn caller_address(&self) -> SocketAddr {
        self.settings.listen.callers
    }

    /// Returns a client for the operators' port of its daemon.
    pub fn operator(&self) -> Operator {
        Operator::new(self.settings.listen.operators, KEY)
    }

    /// Returns the address of its backend server.
    pub fn server_address(&self) -> SocketAddr {
        SocketAddr::new(self.settings.listen.callers.ip(), SERVER_PORT)
    }

    /// Returns its id, which is derived from the name.
    pub fn id(&self) -> InstanceId {
        InstanceId::of(&self.spec.name)
    }
}
