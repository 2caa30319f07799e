//! What this proxy tells the others about itself and its backend server, and what it reminds them of.

use super::Control;
use crate::control::event::{Action, MessageKind};
use rf_base::{InstanceId, Millis};
use rf_membership::ExchangeTarget;
use rf_protocol::ServerInfo;
use rf_protocol::relay::RelayRequest;
use rf_traffic::LocalServer;

impl Control {
    pub(super) fn describe_server(
        &mut self,
        now: Millis,
        local: Option<&LocalServer>,
        departed: Option<u64>,
        actions: &mut Vec<Action>,
    ) {
        let server = local.map(|s| ServerInfo {
            service: s.service.clone(),
            version: s.version.clone(),
            slots: s.slots,
            since: now,
            drained: false,
        });
        let leaves = server.is_none() && self.membership.me().server.is_some();
        self.membership.update_local(now, |me| {
            me.server = server;
            me.departed = departed;
        });
        if leaves {
            self.broadcast_me(actions);
        }
    }

    pub(super) fn stop(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.membership.update_local(now, |me| me.leaving = true);
        self.broadcast_me(actions);
    }

    /// Sends this proxy's description to every proxy directly instead of by gossip.
    fn broadcast_me(&self, actions: &mut Vec<Action>) {
        let me = self.membership.me();
        let roster = self.membership.roster();
        for member in roster.reachable().filter(|m| m.id != me.id) {
            let target = ExchangeTarget {
                id: Some(member.id),
                address: member.peers,
            };
            let request = RelayRequest::Member(Box::new(me.clone()));
            actions.push(Action::Send(target, MessageKind::Tell, Box::new(request)));
        }
    }

    /// Returns the process that left the server beside `id`, if the proxy there does not say so
    /// itself.
    pub(super) fn forgotten_departure(&self, id: InstanceId) -> Option<u64> {
        let roster = self.membership.roster();
        let departed = roster.departed(id)?;
        let is_known = roster.get(id).is_some_and(|m| m.departed.is_some());
        (!is_known).then_some(departed)
    }
}
