//! Changes of the mesh configuration.
//!
//! Every write to the configuration is one [`Change`], applied as a pure function to whatever
//! version was read last. The platform's conditional update then makes it atomic. A change that
//! has happened already is recognised and reported as such, so each may be repeated.
//!
//! Invariants: an ended move never changes again; the epoch never falls; each change raises the
//! counter by one.

use crate::plan::{compute_basis, describe_basis};
use rf_base::{
    Counter, Epoch, InstanceId, Millis, MoveId, OperationId, PlanId, ServiceName, VersionName,
};
use rf_config::weights::{WEIGHT_UNIT, compute_base, compute_shifted};
use rf_config::{
    Intent, MeshConfig, Move, MoveState, Outcome, Plan, Route, Service, VerifyErrors, verify_mesh,
};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::collections::{BTreeMap, BTreeSet};

/// Operations remembered in the configuration.
const RECENT: usize = 64;
/// Ended moves kept in the configuration.
const ENDED_MOVES: usize = 50;

/// One change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Replace services and routes.
    Apply(Document),
    /// Start the move of a plan.
    Confirm(Box<Plan>),
    /// Take the next step of a move.
    Advance {
        /// Move.
        target: MoveId,
        /// Step to be at.
        step: usize,
        /// Epoch of the writer's lease.
        epoch: Epoch,
    },
    /// End a move.
    Finish {
        /// Move.
        target: MoveId,
        /// Done or taken back.
        outcome: Outcome,
        /// Why.
        reason: String,
        /// Epoch of the writer's lease.
        epoch: Epoch,
    },
    /// Forget that a backend server was retired, once its instance is gone.
    Release {
        /// Instance.
        instance: InstanceId,
        /// Epoch of the writer's lease.
        epoch: Epoch,
    },
}

/// The part of a configuration that an operator writes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct Document {
    /// Counter of the configuration that the document was made from; any where absent.
    pub base: Option<Counter>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Routes.
    pub routes: Vec<Route>,
}

/// Why a change was not made.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ChangeError {
    /// The result would not pass the verifier.
    #[snafu(display("{errors}"))]
    Invalid {
        /// Every error.
        errors: VerifyErrors,
    },
    /// The plan was computed from something that changed since.
    #[snafu(display("plan {plan} is stale: planned on [{planned}], now [{current}]"))]
    Stale {
        /// Plan.
        plan: PlanId,
        /// What it was computed from.
        planned: String,
        /// What stands now.
        current: String,
    },
    /// The document was made from another configuration than the one that stands.
    #[snafu(display(
        "the document was made from configuration {base}, now {current} stands, which differs in {differs}"
    ))]
    Superseded {
        /// What it was made from.
        base: Counter,
        /// What stands.
        current: Counter,
        /// Services and routes in which the document differs from what stands.
        differs: String,
    },
    /// The plan's time to be confirmed has passed.
    #[snafu(display("plan {plan} expired; state the intent again"))]
    Expired {
        /// Plan.
        plan: PlanId,
    },
    /// The move has ended otherwise.
    #[snafu(display("{target} has ended: {outcome}"))]
    Ended {
        /// Move.
        target: MoveId,
        /// How it ended.
        outcome: Outcome,
    },
    /// No such move.
    #[snafu(display("no move {target}"))]
    UnknownMove {
        /// Move.
        target: MoveId,
    },
    /// The writer's lease has passed to another.
    #[snafu(display("lease epoch {epoch} is behind {current}"))]
    Fenced {
        /// Epoch of the writer.
        epoch: Epoch,
        /// Epoch in the configuration.
        current: Epoch,
    },
    /// The change touches a service whose move is running.
    #[snafu(display("{running} of {service} is running; wait for its end or take it back first"))]
    Busy {
        /// Service.
        service: ServiceName,
        /// Move.
        running: MoveId,
    },
    /// "Done" can no longer reach everyone before the deadline.
    #[snafu(display("too late to record {target} as done"))]
    TooLate {
        /// Move.
        target: MoveId,
    },
}

/// Result of a change: the new configuration, or `None` where it has happened already.
pub type Result = std::result::Result<Option<MeshConfig>, ChangeError>;

/// Applies `change` to `config`.
///
/// # Errors
///
/// Returns the [`ChangeError`] of a change that must not be made.
pub fn apply_change(
    config: &MeshConfig,
    change: &Change,
    operation: OperationId,
    now: Millis,
) -> Result {
    if config.recent.contains(&operation) {
        return Ok(None);
    }
    let mut next = config.clone();
    let is_changed = match change {
        Change::Apply(document) => apply_document(&mut next, document)?,
        Change::Confirm(plan) => confirm(&mut next, plan, operation, now)?,
        Change::Advance {
            target,
            step,
            epoch,
        } => advance(&mut next, *target, *step, *epoch)?,
        Change::Finish {
            target,
            outcome,
            reason,
            epoch,
        } => {
            fence(&mut next, *epoch)?;
            finish(&mut next, *target, *outcome, reason, now)?
        }
        Change::Release { instance, epoch } => {
            fence(&mut next, *epoch)?;
            next.retired.remove(instance)
        }
    };
    if !is_changed {
        return Ok(None);
    }
    seal(config, &mut next, operation);
    verify_mesh(&next).map_err(|errors| ChangeError::Invalid { errors })?;
    Ok(Some(next))
}

fn seal(config: &MeshConfig, next: &mut MeshConfig, operation: OperationId) {
    next.counter = config.counter.next();
    next.operation = operation;
    next.recent.push(operation);
    let excess = next.recent.len().saturating_sub(RECENT);
    next.recent.drain(..excess);
    prune_moves(next);
    debug_assert!(next.epoch >= config.epoch);
    debug_assert!(are_ends_kept(config, next));
}

fn are_ends_kept(config: &MeshConfig, next: &MeshConfig) -> bool {
    next.moves.iter().all(|(id, m)| {
        let old = config.moves.get(id);
        old.is_none_or(|old| old.state.is_running() || old.state == m.state)
    })
}

fn prune_moves(config: &mut MeshConfig) {
    let mut ended: Vec<(Millis, MoveId)> = config
        .moves
        .iter()
        .filter(|(_, m)| !m.state.is_running())
        .map(|(id, m)| (m.confirmed, *id))
        .collect();
    ended.sort();
    let excess = ended.len().saturating_sub(ENDED_MOVES);
    for (_, id) in ended.drain(..excess) {
        config.moves.remove(&id);
    }
}

fn apply_document(
    next: &mut MeshConfig,
    document: &Document,
) -> std::result::Result<bool, ChangeError> {
    if let Some(base) = document.base.filter(|base| *base != next.counter) {
        return Err(ChangeError::Superseded {
            base,
            current: next.counter,
            differs: describe_difference(next, document),
        });
    }
    for m in next.running_moves() {
        let service = &m.plan.service;
        if next.services.get(service) != document.services.get(service) {
            return Err(ChangeError::Busy {
                service: service.clone(),
                running: m.id(),
            });
        }
    }
    let is_changed = next.services != document.services || next.routes != document.routes;
    next.services = document.services.clone();
    next.routes = document.routes.clone();
    Ok(is_changed)
}

fn describe_difference(config: &MeshConfig, document: &Document) -> String {
    let names: BTreeSet<&ServiceName> = config
        .services
        .keys()
        .chain(document.services.keys())
        .collect();
    let mut parts: Vec<String> = names
        .into_iter()
        .filter(|name| config.services.get(*name) != document.services.get(*name))
        .map(|name| format!("service {name}"))
        .collect();
    if config.routes != document.routes {
        parts.push("routes".to_owned());
    }
    match parts.is_empty() {
        true => "neither services nor routes".to_owned(),
        false => parts.join(", "),
    }
}

fn confirm(
    next: &mut MeshConfig,
    plan: &Plan,
    operation: OperationId,
    now: Millis,
) -> std::result::Result<bool, ChangeError> {
    if let Intent::TakeBack { target } = plan.intent {
        return finish(
            next,
            target,
            Outcome::TakenBack,
            "taken back by an operator",
            now,
        );
    }
    if next.moves.contains_key(&MoveId(plan.id.0)) {
        return Ok(false);
    }
    if now > plan.expires {
        return Err(ChangeError::Expired { plan: plan.id });
    }
    if compute_basis(next, &plan.service) != plan.basis {
        return Err(ChangeError::Stale {
            plan: plan.id,
            planned: plan.summary.clone(),
            current: describe_basis(next, &plan.service),
        });
    }
    let before = next
        .services
        .get(&plan.service)
        .map(|s| {
            let weights = s.versions.iter();
            weights.map(|(name, v)| (name.clone(), v.weight)).collect()
        })
        .unwrap_or_default();
    let m = Move {
        plan: plan.clone(),
        operation,
        confirmed: now,
        state: MoveState::Running { step: 0 },
        before,
    };
    next.moves.insert(m.id(), m);
    Ok(true)
}

fn advance(
    next: &mut MeshConfig,
    target: MoveId,
    step: usize,
    epoch: Epoch,
) -> std::result::Result<bool, ChangeError> {
    fence(next, epoch)?;
    let m = find(next, target)?;
    match &mut m.state {
        MoveState::Ended { outcome, .. } => Err(ChangeError::Ended {
            target,
            outcome: *outcome,
        }),
        MoveState::Running { step: current } if *current >= step => Ok(false),
        MoveState::Running { step: current } => {
            *current = step;
            Ok(true)
        }
    }
}

fn finish(
    next: &mut MeshConfig,
    target: MoveId,
    outcome: Outcome,
    reason: &str,
    now: Millis,
) -> std::result::Result<bool, ChangeError> {
    let m = find(next, target)?;
    if let MoveState::Ended { outcome: ended, .. } = m.state {
        return match ended == outcome {
            true => Ok(false),
            false => Err(ChangeError::Ended {
                target,
                outcome: ended,
            }),
        };
    }
    if outcome == Outcome::Done && now > m.plan.latest {
        return Err(ChangeError::TooLate { target });
    }
    m.state = MoveState::Ended {
        outcome,
        at: now,
        reason: reason.to_owned(),
    };
    let plan = m.plan.clone();
    if outcome == Outcome::Done {
        put_in_force(next, &plan);
    }
    Ok(true)
}

fn put_in_force(next: &mut MeshConfig, plan: &Plan) {
    match &plan.intent {
        Intent::Shift {
            service,
            version,
            share,
            ..
        } => {
            if let Some(service) = next.services.get_mut(service) {
                write_weights(service, version, *share);
            }
        }
        Intent::Retire { instance, .. } => {
            next.retired.insert(*instance);
        }
        Intent::TakeBack { .. } => {}
    }
}

fn write_weights(service: &mut Service, version: &VersionName, share: u32) {
    let target = compute_shifted(&compute_base(service), version, share);
    debug_assert!(target.values().sum::<u64>() <= WEIGHT_UNIT);
    for (name, spec) in &mut service.versions {
        spec.weight = target.get(name).map_or(0, |w| *w as u32);
    }
}

fn find(next: &mut MeshConfig, target: MoveId) -> std::result::Result<&mut Move, ChangeError> {
    next.moves
        .get_mut(&target)
        .ok_or(ChangeError::UnknownMove { target })
}

fn fence(next: &mut MeshConfig, epoch: Epoch) -> std::result::Result<(), ChangeError> {
    if epoch < next.epoch {
        return Err(ChangeError::Fenced {
            epoch,
            current: next.epoch,
        });
    }
    next.epoch = epoch;
    Ok(())
}
