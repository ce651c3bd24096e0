//! Who leads. The election itself is the library's: Raft with pre-vote and a check of the quorum, so that a leader without a
//! majority steps down (Ongaro, "Consensus: Bridging Theory and Practice", sections 6.2 and 9.6).

use raft::{RawNode, StateRole};

use super::log::Log;
use super::{Consensus, StateMachine};
use crate::member::ServerName;
use crate::time::IntegerMillis;

/// The library's tick, ms.
pub(super) const TICK_MILLIS: IntegerMillis = 100;
/// A leader sends heartbeats every this many ticks.
pub(super) const HEARTBEAT_TICKS: usize = 2;
/// A voter without a heartbeat for this many ticks, up to twice as many by chance, starts an election.
pub(super) const ELECTION_TICKS: usize = 10;

impl<M: StateMachine> Consensus<M> {
    /// The library draws its election time-outs from the thread's generator; here they follow from the replica, the term and
    /// the role, so that a simulation is the same every time.
    pub(super) fn set_election_timeout(&mut self) {
        let Some(node) = &mut self.raft_node else { return };
        let raft = &mut node.raft;
        let hash = [raft.id, raft.term, raft.state as u64]
            .iter()
            .fold(self.seed, |sum, part| (sum ^ part).wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(29));
        let extra_ticks = (hash % ELECTION_TICKS as u64) as usize;
        raft.set_randomized_election_timeout(ELECTION_TICKS + extra_ticks);
    }

    /// Whether this voter leads, and has applied all that was committed before it did.
    pub fn is_leader(&self) -> bool {
        self.raft_node.as_ref().is_some_and(|node| {
            node.raft.state == StateRole::Leader
                && node.raft.apply_to_current_term()
                && node.raft.lead_transferee.is_none()
        })
    }

    /// Who leads, as far as this voter knows.
    pub fn leader(&self) -> Option<&ServerName> {
        let id = self.raft_node.as_ref()?.raft.leader_id;
        self.replicas.get(&id)
    }

    /// Lets another voter lead, the one with the highest matched index among those that `may_lead`. False where there is none.
    pub fn transfer_leadership(&mut self, may_lead: &dyn Fn(&ServerName) -> bool) -> bool {
        let is_leader = |node: &&mut RawNode<Log>| node.raft.state == StateRole::Leader;
        let Some(node) = self.raft_node.as_mut().filter(is_leader) else { return false };
        let own = self.metadata.replica.id;
        let voters = node.store().configuration().voters;
        let candidates =
            voters.iter().filter(|id| **id != own && self.replicas.get(id).is_some_and(may_lead));
        let matched = |id: &&u64| node.raft.prs().get(**id).map_or(0, |progress| progress.matched);
        let best = candidates.max_by_key(matched).copied();
        if let Some(to) = best {
            node.transfer_leader(to);
        }
        self.process_ready();
        best.is_some()
    }
}

#[cfg(test)]
mod tests;
