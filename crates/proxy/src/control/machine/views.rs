//! Views of the data plane, computed from the membership, the route table and the rollouts.

use super::Control;
use crate::control::event::Action;
use crate::control::quotas;
use crate::control::select::{new_incarnations, select, to_target};
use crate::view::{Target as ServerTarget, View};
use rf_base::{ConfigVersion, ServiceName};
use std::collections::BTreeMap;

/// Versions of the inputs that a view was computed from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ViewInputs {
    roster: u64,
    table: ConfigVersion,
    rollouts: u64,
}

impl Control {
    pub(super) fn publish(&mut self, actions: &mut Vec<Action>) {
        let inputs = ViewInputs {
            roster: self.membership.roster().revision(),
            table: self.table.version,
            rollouts: self.rollouts.revision(),
        };
        if inputs == self.inputs {
            return;
        }
        self.inputs = inputs;
        let view = self.compute_view();
        if view == self.published {
            return;
        }
        for instance in new_incarnations(&self.published, &view) {
            actions.push(Action::Readmit(instance));
        }
        self.published = view.clone();
        actions.push(Action::PublishView(Box::new(view)));
    }

    fn compute_view(&self) -> View {
        let me = self.membership.me();
        let roster = self.membership.roster();
        let mut by_service: BTreeMap<&ServiceName, Vec<ServerTarget>> = BTreeMap::new();
        for member in roster.reachable().filter(|m| !m.leaving) {
            if let Some(server) = &member.server {
                let departed = self.forgotten_departure(member.id).map(|d| d.process);
                let target = to_target(member, server, member.zone == me.zone, departed);
                by_service.entry(&server.service).or_default().push(target);
            }
        }
        let services = by_service
            .into_iter()
            .map(|(service, targets)| {
                let view = select(&self.rollouts.rule(service), targets);
                (service.clone(), view)
            })
            .collect();
        let near = roster.reachable().filter(|m| m.zone == me.zone);
        View {
            zone_peers: near.map(|m| m.peers).collect(),
            table: self.table.clone(),
            digest: self.digest.clone(),
            keys: self.keys.clone(),
            services,
            proxies: roster.reachable().count(),
            known_proxies: quotas::count_known(roster),
            peers: quotas::publish_peers(roster, &self.published),
            quotas: quotas::index_quotas(&self.table, &self.published),
        }
    }
}
