//! What this proxy tells the others about itself and its backend server, and what it reminds them of.

use super::Control;
use crate::control::event::{Action, MessageKind};
use rf_base::{InstanceId, Millis};
use rf_membership::ExchangeTarget;
use rf_protocol::relay::RelayRequest;
use rf_protocol::{Departure, ServerInfo};
use rf_traffic::LocalServer;

impl Control {
    pub(super) fn describe_server(
        &mut self,
        now: Millis,
        local: Option<&LocalServer>,
        departed: Option<Departure>,
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

    /// Returns the last departure from the server beside `id`, if the proxy there does not name it
    /// itself.
    pub(super) fn forgotten_departure(&self, id: InstanceId) -> Option<Departure> {
        let roster = self.membership.roster();
        let departed = roster.departed(id)?;
        let named = roster.get(id).and_then(|m| m.departed);
        let is_named = named.is_some_and(|d| d.process == departed.process);
        (!is_named).then_some(departed)
    }
}
