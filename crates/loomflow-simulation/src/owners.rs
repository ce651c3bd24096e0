//! What the machines of a world do about duties, and who owns which by their own clocks.

use loomflow_fleet::duty::client_session::OwnershipChange;

use crate::World;

impl World {
    pub(crate) fn duty_changed(&mut self, one: usize, change: OwnershipChange) {
        // Its work is short: it is finished at once.
        if let OwnershipChange::ReleaseRequested(duty, _) = change {
            let now = self.local(one);
            if let Some(node) = &mut self.machines[one].node {
                node.release(&duty, now);
                self.carry_out(one);
            }
        }
    }

    /// An owner does what its duties are for: each effect goes to the receiver with its token.
    pub(crate) fn act(&mut self, one: usize) {
        if self.shape.duties == 0 || self.machines[one].stopped_until > self.now {
            return;
        }
        let now = self.local(one);
        let Some(node) = &self.machines[one].node else { return };
        for (duty, token) in node.owned_duties(now) {
            self.witness.effect(one, &duty, token);
        }
    }

    /// Those whose own clock says that they own it, stopped ones left out: they do nothing.
    pub fn owners(&self, duty: &str) -> Vec<usize> {
        let owns = |one: &usize| {
            let machine = &self.machines[*one];
            let node = machine.node.as_ref().filter(|_| machine.stopped_until <= self.now);
            node.is_some_and(|node| node.owned_token(duty, self.local(*one)).is_some())
        };
        (0..self.machines.len()).filter(owns).collect()
    }

    /// What the one that moved owns, nobody else does.
    pub(crate) fn one_owner(&self, moved: usize) -> Result<(), String> {
        let Some(node) = self.machines[moved].node.as_ref().filter(|_| self.witness.clocks_hold) else {
            return Ok(());
        };
        for (duty, _) in node.owned_duties(self.local(moved)) {
            let owners = self.owners(&duty);
            if owners.len() > 1 {
                return Err(format!("{duty} has owners {owners:?} at once"));
            }
        }
        Ok(())
    }
}
