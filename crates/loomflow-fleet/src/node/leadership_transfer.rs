//! Who is to lead when this member hands its leadership over.

use std::collections::BTreeSet;

use super::Node;
use crate::maintenance::state::MaintenanceState;
use crate::member::{Phase, ServerName};
use crate::membership::KnownMember;

impl Node {
    /// Lets another voter lead, of those that [`may_lead`] the one with the most complete log.
    pub(super) fn transfer_leadership(&mut self) {
        let Some(consensus) = &self.consensus else { return };
        let maintenance = &consensus.machine().maintenance;
        let known = self.membership.known().values();
        let candidates = known.filter(|known| may_lead(known, maintenance));
        let candidates: BTreeSet<ServerName> = candidates.map(|known| known.identity.name.clone()).collect();
        let Some(consensus) = &mut self.consensus else { return };
        if consensus.transfer_leadership(&|name| candidates.contains(name)) {
            self.log("hands the lead over".into());
        }
    }
}

/// Whether a member is alive and about to stay: a leader that shuts down soon would hand over once more.
fn may_lead(known: &KnownMember, maintenance: &MaintenanceState) -> bool {
    let is_draining = known.load_report.is_some_and(|received| received.report.phase == Phase::Draining);
    let is_alive = known.swim_state == foca::State::Alive;
    is_alive && !is_draining && !maintenance.has_slot(&known.identity.name)
}

#[cfg(test)]
mod tests;
