//! Changes to the mesh configuration.
//!
//! Every write to the configuration is one [`Change`]. [`apply_change`] is a pure function from the
//! version read last to the next one, and the platform's conditional update makes the write atomic.
//! Changes are idempotent: one that is already in effect is reported as such, so it is safe to
//! retry.
//!
//! Invariants: an ended move never changes again; the epoch never decreases; each change increments
//! the counter by one.

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

/// Number of operation ids kept in the configuration to detect retries.
const RECENT_OPERATIONS: usize = 64;
/// Number of ended moves kept in the configuration.
const MAX_ENDED_MOVES: usize = 50;

/// A single write to the mesh configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Replaces all services and routes.
    Apply(Document),
    /// Starts the move of a plan, or takes a move back where that is the plan's intent.
    Confirm(Box<Plan>),
    /// Advances a running move to a later step.
    Advance {
        /// Move to advance.
        target: MoveId,
        /// Index of the step to reach; a move that is already there or further is left as it is.
        step: usize,
        /// Fencing token of the writer's lease.
        epoch: Epoch,
    },
    /// Ends a running move.
    Finish {
        /// Move to end.
        target: MoveId,
        /// Whether the move is completed or taken back.
        outcome: Outcome,
        /// Explanation recorded for operators.
        reason: String,
        /// Fencing token of the writer's lease.
        epoch: Epoch,
    },
    /// Removes an instance from the retired ones after it has left the mesh.
    Release {
        /// Instance that left.
        instance: InstanceId,
        /// Fencing token of the writer's lease.
        epoch: Epoch,
    },
}

/// The part of a configuration that an operator writes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "camelCase")]
pub struct Document {
    /// Counter of the configuration that the document is based on. If absent, the document replaces
    /// whichever configuration is current.
    pub base: Option<Counter>,
    /// Complete set of services, by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Complete list of routes.
    pub routes: Vec<Route>,
}

/// Reason why a change was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ChangeError {
    /// The resulting configuration fails verification.
    #[snafu(display("{errors}"))]
    Invalid {
        /// All errors that the verifier found.
        errors: VerifyErrors,
    },
    /// What the plan depends on has changed since it was computed.
    #[snafu(display("plan {plan} is stale: planned on [{planned}], now [{current}]"))]
    Stale {
        /// Rejected plan.
        plan: PlanId,
        /// State that the plan was computed from.
        planned: String,
        /// Current state.
        current: String,
    },
    /// The document is based on a configuration that is no longer the current one.
    #[snafu(display(
        "the document was made from configuration {base}, now {current} stands, which differs in {differs}"
    ))]
    Superseded {
        /// Counter of the configuration that the document is based on.
        base: Counter,
        /// Counter of the current configuration.
        current: Counter,
        /// Services and routes in which the document differs from the current configuration.
        differs: String,
    },
    /// The plan was confirmed after its expiry.
    #[snafu(display("plan {plan} expired; state the intent again"))]
    Expired {
        /// Expired plan.
        plan: PlanId,
    },
    /// The move has already ended with another outcome.
    #[snafu(display("{target} has ended: {outcome}"))]
    Ended {
        /// Move that has ended.
        target: MoveId,
        /// Recorded outcome.
        outcome: Outcome,
    },
    /// The configuration has no move with this id.
    #[snafu(display("no move {target}"))]
    UnknownMove {
        /// Id that was requested.
        target: MoveId,
    },
    /// Another process has taken over the lease since the writer acquired it.
    #[snafu(display("lease epoch {epoch} is behind {current}"))]
    Fenced {
        /// Epoch of the writer's lease.
        epoch: Epoch,
        /// Highest epoch written to the configuration.
        current: Epoch,
    },
    /// The change modifies a service that has a running move.
    #[snafu(display("{running} of {service} is running; wait for its end or take it back first"))]
    Busy {
        /// Service that is being modified.
        service: ServiceName,
        /// Running move of the service.
        running: MoveId,
    },
    /// It is too late to complete the move: the record could not reach every daemon before the
    /// deadline, at which daemons without it take the move back.
    #[snafu(display("too late to record {target} as done"))]
    TooLate {
        /// Move that cannot be completed.
        target: MoveId,
    },
}

/// Result of a change: the new configuration, or `None` if the change is already in effect.
pub type Result = std::result::Result<Option<MeshConfig>, ChangeError>;

/// Applies `change` to `config` and verifies the result.
///
/// # Errors
///
/// Returns a [`ChangeError`] if the change conflicts with `config`, is fenced or too late, or
/// leads to an invalid configuration.
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
            raise_epoch(&mut next, *epoch)?;
            finish(&mut next, *target, *outcome, reason, now)?
        }
        Change::Release { instance, epoch } => {
            raise_epoch(&mut next, *epoch)?;
            next.retired.remove(instance)
        }
    };
    if !is_changed {
        return Ok(None);
    }
    record_operation(config, &mut next, operation);
    verify_mesh(&next).map_err(|errors| ChangeError::Invalid { errors })?;
    Ok(Some(next))
}

fn record_operation(config: &MeshConfig, next: &mut MeshConfig, operation: OperationId) {
    next.counter = config.counter.next();
    next.operation = operation;
    next.recent.push(operation);
    let excess = next.recent.len().saturating_sub(RECENT_OPERATIONS);
    next.recent.drain(..excess);
    prune_moves(next);
    debug_assert!(next.epoch >= config.epoch);
    debug_assert!(are_outcomes_kept(config, next));
}

fn are_outcomes_kept(config: &MeshConfig, next: &MeshConfig) -> bool {
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
    let excess = ended.len().saturating_sub(MAX_ENDED_MOVES);
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
    raise_epoch(next, epoch)?;
    let m = find_move(next, target)?;
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
    let m = find_move(next, target)?;
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
        apply_intent(next, &plan);
    }
    Ok(true)
}

/// Applies the intent of a completed move to the services and the retired instances.
fn apply_intent(next: &mut MeshConfig, plan: &Plan) {
    match &plan.intent {
        Intent::Shift {
            service,
            version,
            share,
            ..
        } => {
            if let Some(service) = next.services.get_mut(service) {
                set_weights(service, version, *share);
            }
        }
        Intent::Retire { instance, .. } => {
            next.retired.insert(*instance);
        }
        Intent::TakeBack { .. } => {}
    }
}

fn set_weights(service: &mut Service, version: &VersionName, share: u32) {
    let target = compute_shifted(&compute_base(service), version, share);
    debug_assert!(target.values().sum::<u64>() <= WEIGHT_UNIT);
    for (name, spec) in &mut service.versions {
        spec.weight = target.get(name).map_or(0, |w| *w as u32);
    }
}

fn find_move(next: &mut MeshConfig, target: MoveId) -> std::result::Result<&mut Move, ChangeError> {
    next.moves
        .get_mut(&target)
        .ok_or(ChangeError::UnknownMove { target })
}

/// Records `epoch` as the highest one seen, or fails if a higher one was recorded already.
fn raise_epoch(next: &mut MeshConfig, epoch: Epoch) -> std::result::Result<(), ChangeError> {
    if epoch < next.epoch {
        return Err(ChangeError::Fenced {
            epoch,
            current: next.epoch,
        });
    }
    next.epoch = epoch;
    Ok(())
}
