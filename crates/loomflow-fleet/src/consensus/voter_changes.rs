//! Reconciles the Raft configuration with the voters in the settings, one change at a time. The settings name
//! the voters; their data directories identify the replicas.
//!
//! A server whose data directory was lost returns as a new replica. It is first added as a learner, which has
//! no vote. When it has caught up, one joint change makes it a voter and removes its predecessor, so that the
//! two never both count.

use raft::Progress;
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2};

use super::{Consensus, StateMachine};
use crate::member::ServerName;

/// Maximum lag of a learner that may become a voter, in log entries.
const MAX_LEARNER_LAG_ENTRIES: u64 = 64;

/// A configuration change, with the id and name of the replica that it adds, promotes or removes.
#[derive(Debug, PartialEq)]
struct Change {
    steps: Vec<(ConfChangeType, u64)>,
    replica: (u64, ServerName),
}

/// The current Raft configuration.
struct Configuration<'a> {
    voters: &'a [u64],
    learners: &'a [u64],
    name_of: &'a dyn Fn(u64) -> Option<&'a ServerName>,
    has_caught_up: &'a dyn Fn(u64) -> bool,
}

impl Configuration<'_> {
    /// The replica among `ids` that belongs to the named server.
    fn find(&self, ids: &[u64], name: &ServerName) -> Option<u64> {
        ids.iter().copied().find(|id| (self.name_of)(*id) == Some(name))
    }

    /// The next change towards the `desired` voters, each given with its replica if it is available. Servers
    /// that are no longer desired lose their vote only after every desired one has a vote.
    fn next_change(&self, desired: &[(ServerName, Option<u64>)]) -> Option<Change> {
        let available = desired.iter().filter_map(|(name, id)| Some((name, (*id)?)));
        available
            .into_iter()
            .find_map(|(name, id)| self.admission(name, id))
            .or_else(|| self.removal(desired))
    }

    /// The next change that leads to a vote for this replica. `None` if it has a vote, or is a learner that
    /// has not caught up.
    fn admission(&self, name: &ServerName, id: u64) -> Option<Change> {
        if self.voters.contains(&id) {
            return None;
        }
        let (kind, predecessor) = if !self.learners.contains(&id) {
            // Replaces a learner of this server whose data directory was lost before it became a voter.
            (ConfChangeType::AddLearnerNode, self.find(self.learners, name))
        } else if (self.has_caught_up)(id) {
            (ConfChangeType::AddNode, self.find(self.voters, name))
        } else {
            return None;
        };
        let mut steps = vec![(kind, id)];
        steps.extend(predecessor.map(|old| (ConfChangeType::RemoveNode, old)));
        Some(Change { steps, replica: (id, name.clone()) })
    }

    /// Removes a replica that is not desired, once every desired server has a vote.
    fn removal(&self, desired: &[(ServerName, Option<u64>)]) -> Option<Change> {
        let has_vote = |name: &ServerName| self.find(self.voters, name).is_some();
        if !desired.iter().all(|(name, _)| has_vote(name)) {
            return None;
        }
        let is_desired =
            |id: u64| (self.name_of)(id).is_some_and(|name| desired.iter().any(|(other, _)| other == name));
        let id = *self.voters.iter().chain(self.learners).find(|id| !is_desired(**id))?;
        let name = (self.name_of)(id).cloned().unwrap_or_default();
        Some(Change { steps: vec![(ConfChangeType::RemoveNode, id)], replica: (id, name) })
    }
}

impl<M: StateMachine> Consensus<M> {
    /// Proposes the next change towards the `desired` voters, if this voter leads and no change is in
    /// progress. Each voter is given with the id of its replica, if that is available.
    pub fn reconcile_voters(&mut self, desired: &[(ServerName, Option<u64>)]) {
        if !self.is_leader() {
            return;
        }
        let Some(node) = &mut self.raft_node else { return };
        let configuration = node.store().configuration();
        if node.raft.has_pending_conf() || !configuration.voters_outgoing.is_empty() {
            return;
        }
        let committed = node.raft.raft_log.committed;
        let progress = node.raft.prs();
        let has_caught_up =
            |id: u64| progress.get(id).is_some_and(|progress| has_caught_up(progress, committed));
        let current = Configuration {
            voters: &configuration.voters,
            learners: &configuration.learners,
            name_of: &|id| self.replicas.get(&id),
            has_caught_up: &has_caught_up,
        };
        let Some(Change { steps, replica }) = current.next_change(desired) else { return };
        let context = postcard::to_stdvec(&replica).unwrap_or_default();
        let _ = node.propose_conf_change(context, configuration_change(steps));
        self.process_ready();
    }
}

/// Whether a learner may become a voter: it is active, and lags by at most [`MAX_LEARNER_LAG_ENTRIES`].
fn has_caught_up(progress: &Progress, committed: u64) -> bool {
    progress.recent_active && progress.matched + MAX_LEARNER_LAG_ENTRIES >= committed
}

fn configuration_change(steps: Vec<(ConfChangeType, u64)>) -> ConfChangeV2 {
    let single = |(kind, id): (ConfChangeType, u64)| {
        let mut single = ConfChangeSingle::default();
        single.set_change_type(kind);
        single.node_id = id;
        single
    };
    let mut change = ConfChangeV2::default();
    change.set_changes(steps.into_iter().map(single).collect::<Vec<_>>().into());
    change
}

#[cfg(test)]
mod tests;
