//! Verification of mesh configurations and daemon settings. All errors are reported at once, each
//! with its path in the document.
//!
//! A mesh configuration is verified before it is written and again before it is applied, so the
//! rest of the system can rely on its invariants: the service of every route exists, every service
//! has a version with a positive weight, and no two running moves change the same service.

use crate::mesh::{MeshConfig, Service};
use crate::moves::{Intent, Move};
use crate::settings::{Control, Listen, Settings};
use rf_base::{Millis, ServiceName};
use std::collections::BTreeMap;
use std::fmt;

/// Maximum size of a mesh configuration, in bytes; below the platform's limit for one object.
pub const MAX_DOCUMENT_BYTES: usize = 900 * 1024;
/// Minimum length of the shared key, in bytes; for ASCII keys this is the number of characters.
pub const MIN_KEY_BYTES: usize = 16;
/// Maximum length of a name, in characters.
const MAX_NAME_CHARS: usize = 63;

/// One verification error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VerifyError {
    /// JSON path of the offending value.
    pub path: String,
    /// What was expected instead.
    pub message: String,
}

impl fmt::Display for VerifyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {}: {}", self.path, self.message)
    }
}

/// All verification errors of a document; empty while none has been found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VerifyErrors(pub Vec<VerifyError>);

impl VerifyErrors {
    fn report(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.0.push(VerifyError {
            path: path.into(),
            message: message.into(),
        });
    }

    fn check(&mut self, ok: bool, path: &str, message: &str) {
        if !ok {
            self.report(path, message);
        }
    }

    fn into_result(self) -> Result<()> {
        match self.0.is_empty() {
            true => Ok(()),
            false => Err(self),
        }
    }
}

impl fmt::Display for VerifyErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, error) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for VerifyErrors {}

/// Result of a verification.
pub type Result<T> = std::result::Result<T, VerifyErrors>;

/// Verifies a mesh configuration.
///
/// # Errors
///
/// Returns all errors found.
pub fn verify_mesh(config: &MeshConfig) -> Result<()> {
    let mut errors = VerifyErrors::default();
    for (name, service) in &config.services {
        verify_service(name, service, &mut errors);
    }
    verify_routes(config, &mut errors);
    verify_moves(config, &mut errors);
    errors.into_result()
}

fn verify_service(name: &ServiceName, service: &Service, errors: &mut VerifyErrors) {
    let path = format!("services.{name}");
    verify_name(name.as_str(), &path, errors);
    for version in service.versions.keys() {
        verify_name(
            version.as_str(),
            &format!("{path}.versions.{version}"),
            errors,
        );
    }
    let sum: u64 = service.versions.values().map(|v| u64::from(v.weight)).sum();
    errors.check(
        sum > 0,
        &format!("{path}.versions"),
        "expected at least one version with a weight above 0",
    );
    errors.check(
        service.versions.values().all(|v| v.weight <= 1_000_000),
        &format!("{path}.versions"),
        "expected weights of at most 1000000",
    );
    errors.check(
        (1..=600_000).contains(&service.deadline.0),
        &format!("{path}.deadline"),
        "expected 1 to 600000 ms",
    );
    errors.check(
        service.queue <= 10_000,
        &format!("{path}.queue"),
        "expected at most 10000 waiting calls",
    );
    for status in &service.shed_status {
        errors.check(
            (400..600).contains(status),
            &format!("{path}.shedStatus"),
            "expected status codes from 400 to 599",
        );
    }
}

fn verify_routes(config: &MeshConfig, errors: &mut VerifyErrors) {
    let mut seen = BTreeMap::new();
    for (i, route) in config.routes.iter().enumerate() {
        let path = format!("routes[{i}]");
        if !config.services.contains_key(&route.service) {
            errors.report(
                format!("{path}.service"),
                format!(
                    "expected a service of this document, found \"{}\"",
                    route.service
                ),
            );
        }
        errors.check(
            !route.host.is_empty(),
            &format!("{path}.host"),
            "expected a host name or *",
        );
        errors.check(
            route.prefix.starts_with('/'),
            &format!("{path}.prefix"),
            "expected a path that starts with /",
        );
        if let Some(deadline) = route.deadline {
            errors.check(
                (1..=600_000).contains(&deadline.0),
                &format!("{path}.deadline"),
                "expected 1 to 600000 ms",
            );
        }
        if let Some(first) = seen.insert((&route.host, &route.prefix), i) {
            errors.report(
                path,
                format!("expected one route for a host and prefix, also at routes[{first}]"),
            );
        }
    }
}

fn verify_moves(config: &MeshConfig, errors: &mut VerifyErrors) {
    let mut exclusive: BTreeMap<&ServiceName, &Move> = BTreeMap::new();
    for (id, m) in &config.moves {
        let path = format!("moves.{id}");
        errors.check(m.id() == *id, &path, "expected the id of its plan");
        if !m.state.is_running() {
            continue;
        }
        if let Some(other) = exclusive.insert(&m.plan.service, m) {
            errors.report(
                &path,
                format!(
                    "expected one running move of {}, also {}",
                    m.plan.service,
                    other.id()
                ),
            );
        }
        verify_plan(config, m, &path, errors);
    }
}

fn verify_plan(config: &MeshConfig, m: &Move, path: &str, errors: &mut VerifyErrors) {
    if let Intent::Shift {
        service,
        version,
        share,
        ..
    } = &m.plan.intent
    {
        let known = config
            .services
            .get(service)
            .is_some_and(|s| s.versions.contains_key(version));
        errors.check(known, path, "expected a known service and version");
        errors.check(*share <= 100, path, "expected a share of at most 100");
        errors.check(!m.plan.steps.is_empty(), path, "expected at least one step");
    }
    errors.check(
        m.plan.latest <= m.plan.deadline,
        path,
        "expected the latest time of \"done\" before the deadline",
    );
}

/// Verifies the settings of a daemon.
///
/// # Errors
///
/// Returns all errors found.
pub fn verify_settings(settings: &Settings) -> Result<()> {
    let mut errors = VerifyErrors::default();
    verify_name(&settings.mesh, "mesh", &mut errors);
    verify_name(&settings.instance, "instance", &mut errors);
    verify_name(settings.zone.as_str(), "zone", &mut errors);
    verify_name(&settings.region, "region", &mut errors);
    errors.check(
        settings.key.len() >= MIN_KEY_BYTES,
        "key",
        "expected at least 16 characters",
    );
    verify_listen(&settings.listen, &mut errors);
    verify_control(&settings.control, &mut errors);
    verify_traffic(settings, &mut errors);
    errors.into_result()
}

fn verify_listen(listen: &Listen, errors: &mut VerifyErrors) {
    let mut seen = BTreeMap::new();
    let all = [
        ("callers", listen.callers),
        ("relay", listen.relay),
        ("peers", listen.peers),
        ("operators", listen.operators),
    ];
    for (name, address) in all {
        let path = format!("listen.{name}");
        errors.check(
            !address.ip().is_unspecified(),
            &path,
            "expected an address that other processes can reach, not a wildcard",
        );
        if address.port() == 0 {
            continue;
        }
        if let Some(other) = seen.insert(address, name) {
            errors.report(
                path,
                format!("expected an address of its own, also listen.{other}"),
            );
        }
    }
}

fn verify_control(control: &Control, errors: &mut VerifyErrors) {
    let positive = [
        ("heartbeat", control.heartbeat),
        ("peerTimeout", control.peer_timeout),
        ("platformTimeout", control.platform_timeout),
        ("poll", control.poll),
        ("watch", control.watch),
        ("spread", control.spread),
        ("forget", control.forget),
    ];
    for (name, value) in positive {
        errors.check(
            value > Millis::ZERO,
            &format!("control.{name}"),
            "expected more than 0 ms",
        );
    }
    errors.check(
        control.misses > 0,
        "control.misses",
        "expected at least 1 miss",
    );
    errors.check(
        control.platform_rate > 0,
        "control.platformRate",
        "expected at least 1 call a second",
    );
    errors.check(
        control.lease >= Millis(control.platform_timeout.0 + 2 * control.clock_error.0),
        "control.lease",
        "expected at least platformTimeout and twice clockError",
    );
    errors.check(
        control.forget_zone >= control.forget,
        "control.forgetZone",
        "expected at least control.forget",
    );
}

fn verify_traffic(settings: &Settings, errors: &mut VerifyErrors) {
    let t = &settings.traffic;
    let positive = [
        ("buffer", t.buffer as u64),
        ("connections", t.connections as u64),
        ("backendConnections", t.backend_connections as u64),
        ("headTimeout", t.head_timeout.0),
        ("bodyTimeout", t.body_timeout.0),
        ("silence", t.silence.0),
        ("connect", t.connect.0),
        ("attempts", u64::from(t.attempts)),
        ("ledger", t.ledger as u64),
        ("maxSlots", u64::from(t.max_slots)),
    ];
    for (name, value) in positive {
        errors.check(
            value > 0,
            &format!("traffic.{name}"),
            "expected more than 0",
        );
    }
    errors.check(
        t.retry_percent <= 100,
        "traffic.retryPercent",
        "expected 0 to 100 percent",
    );
    errors.check(
        t.max_body >= t.buffer as u64,
        "traffic.maxBody",
        "expected at least traffic.buffer",
    );
}

fn verify_name(name: &str, path: &str, errors: &mut VerifyErrors) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let ok = !name.is_empty() && name.len() <= MAX_NAME_CHARS && name.chars().all(allowed);
    errors.check(
        ok,
        path,
        "expected 1 to 63 letters, digits, dots, hyphens or underscores",
    );
}
