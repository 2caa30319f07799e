//! What an instance of a cluster is made of, and where its programs are.

use crate::cluster::{ClusterError, IoSnafu, KEY, Result, SERVER_PORT};
use crate::operator::Operator;
use crate::server::Behavior;
use rf_base::InstanceId;
use rf_config::Settings;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;

/// One instance to start.
#[derive(Clone, Debug)]
pub struct InstanceSpec {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Service of its backend server; none is started where empty.
    pub service: String,
    /// Version of its backend server.
    pub version: String,
    /// Slots of its backend server.
    pub slots: u32,
    /// How its backend server answers.
    pub behavior: Behavior,
    /// Where other daemons are told to send attempts, if not to the daemon itself.
    pub relay: Option<SocketAddr>,
    /// Where other daemons are told to send control messages, if not to the daemon itself.
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

/// Names of programs to run.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The product.
    pub rosemaryfork: PathBuf,
    /// The stand-ins.
    pub standin: PathBuf,
}

impl Programs {
    /// Finds the programs beside the running one, or one folder up.
    ///
    /// # Errors
    ///
    /// Returns an error that says what to build where they are not there.
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
    /// What was started.
    pub spec: InstanceSpec,
    /// Settings of its daemon.
    pub settings: Settings,
    /// Its daemon.
    pub daemon: Option<Child>,
    /// Its backend server.
    pub server: Option<Child>,
}

impl Instance {
    /// Returns the callers' address of its daemon.
    pub fn callers(&self) -> SocketAddr {
        self.settings.listen.callers
    }

    /// Returns the client of its operators' port.
    pub fn operator(&self) -> Operator {
        Operator::new(self.settings.listen.operators, KEY)
    }

    /// Returns the address of its backend server.
    pub fn server_address(&self) -> SocketAddr {
        SocketAddr::new(self.settings.listen.callers.ip(), SERVER_PORT)
    }

    /// Returns its id.
    pub fn id(&self) -> InstanceId {
        InstanceId::of(&self.spec.name)
    }
}
