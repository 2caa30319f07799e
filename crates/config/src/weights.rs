//! Effective weights: the shares of a service's traffic that its versions currently receive.
//!
//! The weights are a pure function of the configuration, the known stop orders and the time, so
//! every daemon computes the same weights from its own clock. A stopped move contributes nothing.

use crate::mesh::{MeshConfig, Service};
use crate::moves::{FULL_PROGRESS, Intent};
use rf_base::{InstanceId, Millis, MoveId, ServiceName, VersionName};
use std::collections::{BTreeMap, BTreeSet};

/// Weight of the whole traffic of a service: effective weights are in parts per million.
pub const TOTAL_WEIGHT: u64 = 1_000_000;

/// Weights of the versions of one service, in parts of [`TOTAL_WEIGHT`].
pub type Weights = BTreeMap<VersionName, u64>;

/// Computes the configured weights of `service`, without the effect of moves.
pub fn compute_base(service: &Service) -> Weights {
    let sum: u64 = service.versions.values().map(|v| u64::from(v.weight)).sum();
    service
        .versions
        .iter()
        .map(|(name, v)| {
            let part = u64::from(v.weight) * TOTAL_WEIGHT;
            (name.clone(), part.checked_div(sum).unwrap_or(0))
        })
        .collect()
}

/// Computes the weights after a completed shift of `share` percent to `version`.
///
/// The rest goes to the other versions in proportion to their weights, or in equal parts if all of
/// their weights are zero.
pub fn compute_shifted(base: &Weights, version: &VersionName, share: u32) -> Weights {
    let target = u64::from(share) * TOTAL_WEIGHT / 100;
    let rest = TOTAL_WEIGHT.saturating_sub(target);
    let others = || base.iter().filter(|(name, _)| *name != version);
    let sum: u64 = others().map(|(_, w)| *w).sum();
    let count = others().count() as u64;
    base.iter()
        .map(|(name, weight)| {
            let shifted = match name == version {
                true => target,
                false => (weight * rest).checked_div(sum).unwrap_or(rest / count),
            };
            (name.clone(), shifted)
        })
        .collect()
}

/// Computes the weights of the service `name` that are in force at `now`.
///
/// The moves in `stopped` contribute nothing. The weights of an unknown service are empty.
pub fn compute_effective(
    config: &MeshConfig,
    name: &ServiceName,
    stopped: &BTreeSet<MoveId>,
    now: Millis,
) -> Weights {
    let Some(service) = config.services.get(name) else {
        return Weights::new();
    };
    let base = compute_base(service);
    for (id, m) in &config.moves {
        let Intent::Shift { version, share, .. } = &m.plan.intent else {
            continue;
        };
        if m.plan.service != *name || !m.state.is_running() || stopped.contains(id) {
            continue;
        }
        let target = compute_shifted(&base, version, *share);
        return interpolate(&base, &target, m.progress(now));
    }
    base
}

/// Computes the instances whose backend servers receive no new work at `now`: those that are
/// retired and those with a running retire move.
pub fn compute_retiring(config: &MeshConfig, now: Millis) -> BTreeSet<InstanceId> {
    let running = config.running_moves().filter_map(|m| match m.plan.intent {
        Intent::Retire { instance, .. } if now < m.plan.deadline => Some(instance),
        _ => None,
    });
    running.chain(config.retired.iter().copied()).collect()
}

fn interpolate(from: &Weights, to: &Weights, progress: u32) -> Weights {
    let progress = u64::from(progress.min(FULL_PROGRESS));
    let whole = u64::from(FULL_PROGRESS);
    from.iter()
        .map(|(name, w0)| {
            let w1 = to.get(name).copied().unwrap_or(0);
            (
                name.clone(),
                (w0 * (whole - progress) + w1 * progress) / whole,
            )
        })
        .collect()
}
