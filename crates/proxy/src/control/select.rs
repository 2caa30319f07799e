//! Selection of the backend servers that may receive requests, by the service's version rule.

use super::rollouts::VersionRule;
use crate::view::{ServiceView, Target as ServerTarget, TrialView, View};
use rf_base::{Incarnation, InstanceId, VersionName};
use rf_protocol::{Member, ServerInfo};
use rf_traffic::Candidate;
use std::collections::BTreeMap;

/// Creates the routing target of a member's backend server.
///
/// `departed` is the process that left that server, if the member does not seem to know it.
pub fn to_target(
    member: &Member,
    server: &ServerInfo,
    is_near: bool,
    departed: Option<u64>,
) -> ServerTarget {
    ServerTarget {
        instance: member.id,
        incarnation: member.incarnation,
        departed,
        relay: member.relay,
        version: server.version.clone(),
        candidate: Candidate {
            instance: member.id,
            slots: server.slots,
            is_near,
        },
    }
}

/// Returns the servers that `rule` allows, with those of a version under trial kept separate.
pub fn select(rule: &VersionRule, targets: Vec<ServerTarget>) -> ServiceView {
    let (targets, trial) = match rule {
        VersionRule::Any => {
            let common = common_version(&targets);
            let chosen = targets
                .into_iter()
                .filter(|t| Some(&t.version) == common.as_ref());
            (chosen.collect(), None)
        }
        VersionRule::Only(version) => {
            let chosen = targets.into_iter().filter(|t| t.version == *version);
            (chosen.collect(), None)
        }
        VersionRule::Except(version) => {
            let chosen = targets.into_iter().filter(|t| t.version != *version);
            (chosen.collect(), None)
        }
        VersionRule::Trial {
            order,
            version,
            since,
            duration,
        } => {
            let (new, old): (Vec<_>, Vec<_>) =
                targets.into_iter().partition(|t| t.version == *version);
            let trial = TrialView {
                order: *order,
                since: *since,
                duration: *duration,
                targets: new,
            };
            (old, Some(trial))
        }
    };
    ServiceView { targets, trial }
}

/// Returns the version that most servers run. Without a rollout only this version gets requests, so
/// a version that was deployed without one gets none.
fn common_version(targets: &[ServerTarget]) -> Option<VersionName> {
    let mut counts: BTreeMap<&VersionName, usize> = BTreeMap::new();
    for target in targets {
        *counts.entry(&target.version).or_default() += 1;
    }
    let most = counts.values().copied().max()?;
    let first = counts.into_iter().find(|(_, count)| *count == most);
    first.map(|(version, _)| version.clone())
}

/// Returns the instances that are new in `after` or have another incarnation there.
pub fn new_incarnations(before: &View, after: &View) -> Vec<InstanceId> {
    let incarnations = |view: &View| -> BTreeMap<InstanceId, Incarnation> {
        let targets = view.services.values().flat_map(|s| &s.targets);
        targets.map(|t| (t.instance, t.incarnation)).collect()
    };
    let known = incarnations(before);
    incarnations(after)
        .into_iter()
        .filter(|(instance, incarnation)| known.get(instance) != Some(incarnation))
        .map(|(instance, _)| instance)
        .collect()
}
