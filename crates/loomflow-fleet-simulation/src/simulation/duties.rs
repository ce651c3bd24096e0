//! Duties: effects of their owners, and ownership by the machines' own clocks.

use loomflow_fleet::duty::client_session::OwnershipChange;

use super::Simulation;
use crate::config::MachineId;
use crate::invariants::Violation;

impl Simulation {
    /// Handles a change in the ownership of a duty. A duty to be released is released immediately: its work
    /// takes no time in this model.
    pub(super) fn ownership_changed(&mut self, id: MachineId, change: OwnershipChange) {
        if let OwnershipChange::ReleaseRequested(duty, _) = change {
            let local_time = self.local_time(id);
            if let Some(node) = &mut self.machines[id].node {
                node.release(&duty, local_time);
                self.carry_out_effects(id);
            }
        }
    }

    /// Sends an effect with the fencing token to the receiver for each duty that the machine owns.
    pub(super) fn act_as_owner(&mut self, id: MachineId) {
        if self.config.duties == 0 || self.machines[id].is_stopped(self.now) {
            return;
        }
        let local_time = self.local_time(id);
        let Some(node) = &self.machines[id].node else { return };
        for (duty, token) in node.owned_duties(local_time) {
            self.invariants.record_effect(id, &duty, token);
        }
    }

    /// Returns the machines that own a duty by their own clocks, except paused ones, which cannot act.
    pub fn owners(&self, duty: &str) -> Vec<MachineId> {
        let is_owner = |id: &MachineId| {
            let machine = &self.machines[*id];
            let node = machine.node.as_ref().filter(|_| !machine.is_stopped(self.now));
            node.is_some_and(|node| node.owned_token(duty, self.local_time(*id)).is_some())
        };
        (0..self.machines.len()).filter(is_owner).collect()
    }

    /// Checks that no other machine owns a duty of this machine.
    pub(super) fn check_one_owner(&self, id: MachineId) -> Result<(), Violation> {
        let node = self.machines[id].node.as_ref();
        let Some(node) = node.filter(|_| self.invariants.expects_one_owner) else { return Ok(()) };
        for (duty, _) in node.owned_duties(self.local_time(id)) {
            let owners = self.owners(&duty);
            if owners.len() > 1 {
                return Err(Violation::SeveralOwners { duty, owners });
            }
        }
        Ok(())
    }
}
