//! Messages to other members: load reports to the voters, notifications to members, packets of the membership
//! protocol.

use std::net::SocketAddr;

use super::{Effect, Node, own_ticket};
use crate::consensus::Consensus;
use crate::member::{REPORT_MAX_AGE_MILLIS, Replica, ServerName};
use crate::time::IntegerMillis;
use crate::wire::{self, Body, Message, Notification};

impl Node {
    /// The configured voters, except this server.
    pub(super) fn other_voters(&self) -> Vec<ServerName> {
        let names = self.config.voters.iter().map(|(name, _)| name);
        names.filter(|name| **name != self.config.name).cloned().collect()
    }

    pub(super) fn replica(&self) -> Option<Replica> {
        self.consensus.as_ref().map(Consensus::replica)
    }

    pub(super) fn send_load_report(&mut self, now: IntegerMillis) {
        let Some(load_report) = self.own_load_report(now) else { return };
        let body = Body::LoadReport { sent_at: now, load_report, replica: self.replica() };
        for voter in self.other_voters() {
            self.send(&voter, body.clone());
        }
    }

    /// Replies to a member's load report with the leader and the member's ticket, if this voter belongs to a
    /// fleet.
    pub(super) fn send_notification(&mut self, to: &ServerName, sent_at: IntegerMillis) {
        let has_fleet = |consensus: &&Consensus<_>| consensus.replica().group != 0;
        let Some(consensus) = self.consensus.as_ref().filter(has_fleet) else { return };
        let notification = Notification {
            sent_at,
            leader: consensus.leader().cloned(),
            term: consensus.term(),
            index: consensus.applied_index(),
            ticket: consensus.machine().maintenance.ticket_with_slot(to).cloned(),
        };
        self.send(to, Body::Notification(notification));
    }

    pub(super) fn handle_notification(&mut self, notification: Notification, now: IntegerMillis) {
        // The reply to a report that was sent before a long pause of this process may be outdated.
        if !own_ticket::is_notification_recent(notification.sent_at, now) {
            return;
        }
        let is_newer = self.last_notification.as_ref().is_none_or(|(_, last)| {
            (notification.term, notification.index) >= (last.term, last.index)
                || now > last.sent_at + REPORT_MAX_AGE_MILLIS
        });
        if is_newer {
            self.last_notification = Some((now, notification));
        }
    }

    pub(super) fn send(&mut self, to: &ServerName, body: Body) {
        let announced = self.membership.get(to).map(|known| known.identity.address);
        let configured =
            || self.config.voters.iter().find(|(name, _)| name == to).map(|(_, address)| *address);
        if let Some(address) = announced.or_else(configured) {
            self.send_to(to, address, body);
        }
    }

    fn send_to(&mut self, to: &ServerName, address: SocketAddr, body: Body) {
        let address = self.config.address_overrides.get(to).copied().unwrap_or(address);
        let message = Message { fleet: self.config.fleet.clone(), from: self.identity().clone(), body };
        if let Some(bytes) = wire::encode(&message) {
            self.effects.push(Effect::Send { to: to.clone(), address, bytes });
        }
    }

    pub(super) fn send_queued_packets(&mut self) {
        for (to, packet) in self.membership.take_packets() {
            self.send_to(&to.name, to.address, Body::Swim(packet));
        }
    }
}
