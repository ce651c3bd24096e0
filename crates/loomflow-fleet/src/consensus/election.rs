//! Leader election and leadership transfer. The `raft` library runs the election, with pre-vote and quorum
//! checks: a leader that loses contact with a majority steps down (Ongaro, "Consensus: Bridging Theory and
//! Practice", sections 6.2 and 9.6).

use raft::{RawNode, StateRole};

use super::log::Log;
use super::{Consensus, StateMachine};
use crate::member::ServerName;
use crate::time::IntegerMillis;

/// Interval between ticks of the Raft library, ms.
pub(super) const TICK_MILLIS: IntegerMillis = 100;
/// Ticks between a leader's heartbeats.
pub(super) const HEARTBEAT_TICKS: usize = 2;
/// Minimum election timeout, in ticks. The timeout in effect lies between this and twice this value.
pub(super) const ELECTION_TICKS: usize = 10;

impl<M: StateMachine> Consensus<M> {
    /// Derives the election timeout from the replica, the term and the role. The library draws it from a
    /// thread-local random generator, which would make simulations irreproducible.
    pub(super) fn set_election_timeout(&mut self) {
        let Some(node) = &mut self.raft_node else { return };
        let raft = &mut node.raft;
        let hash = [raft.id, raft.term, raft.state as u64]
            .iter()
            .fold(self.seed, |sum, part| (sum ^ part).wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(29));
        let extra_ticks = (hash % ELECTION_TICKS as u64) as usize;
        raft.set_randomized_election_timeout(ELECTION_TICKS + extra_ticks);
    }

    /// Whether this voter leads, has applied every entry of earlier terms, and is not transferring its
    /// leadership.
    pub fn is_leader(&self) -> bool {
        self.raft_node.as_ref().is_some_and(|node| {
            node.raft.state == StateRole::Leader
                && node.raft.apply_to_current_term()
                && node.raft.lead_transferee.is_none()
        })
    }

    /// The leader known to this voter, if any.
    pub fn leader(&self) -> Option<&ServerName> {
        let id = self.raft_node.as_ref()?.raft.leader_id;
        self.replicas.get(&id)
    }

    /// Starts a leadership transfer to the voter with the highest matched index among those that satisfy
    /// `may_lead`. Returns false if this voter does not lead or no other voter qualifies.
    pub fn transfer_leadership(&mut self, may_lead: &dyn Fn(&ServerName) -> bool) -> bool {
        let is_leader = |node: &&mut RawNode<Log>| node.raft.state == StateRole::Leader;
        let Some(node) = self.raft_node.as_mut().filter(is_leader) else { return false };
        let own_id = self.metadata.replica.id;
        let voters = node.store().configuration().voters;
        let candidates =
            voters.iter().filter(|id| **id != own_id && self.replicas.get(id).is_some_and(may_lead));
        let matched = |id: &&u64| node.raft.prs().get(**id).map_or(0, |progress| progress.matched);
        let successor = candidates.max_by_key(matched).copied();
        if let Some(id) = successor {
            node.transfer_leader(id);
        }
        self.process_ready();
        successor.is_some()
    }
}

#[cfg(test)]
mod tests;
