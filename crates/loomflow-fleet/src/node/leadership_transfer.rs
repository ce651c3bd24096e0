//! Choice of the next leader when this member transfers its leadership.

use std::collections::BTreeSet;

use super::Node;
use crate::maintenance::state::MaintenanceState;
use crate::member::{Phase, ServerName};
use crate::membership::KnownMember;

impl Node {
    /// Transfers leadership to the voter with the most complete log among those that [`may_lead`].
    pub(super) fn transfer_leadership(&mut self) {
        let Some(consensus) = &self.consensus else { return };
        let maintenance = &consensus.machine().maintenance;
        let known = self.membership.known().values();
        let candidates = known.filter(|known| may_lead(known, maintenance));
        let candidates: BTreeSet<ServerName> = candidates.map(|known| known.identity.name.clone()).collect();
        let Some(consensus) = &mut self.consensus else { return };
        if consensus.transfer_leadership(&|name| candidates.contains(name)) {
            self.log("transferring leadership to another voter".into());
        }
    }
}

/// Whether a member is alive and not about to shut down: such a leader would soon transfer its leadership
/// again.
fn may_lead(known: &KnownMember, maintenance: &MaintenanceState) -> bool {
    let is_draining = known.load_report.is_some_and(|received| received.report.phase == Phase::Draining);
    let is_alive = known.swim_state == foca::State::Alive;
    is_alive && !is_draining && !maintenance.has_slot(&known.identity.name)
}

#[cfg(test)]
mod tests;
