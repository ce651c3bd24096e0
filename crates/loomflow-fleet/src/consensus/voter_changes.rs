//! Who should have a vote: the settings name the voters, their data directories identify their replicas. The leader brings
//! the configuration there one change at a time.
//!
//! A voter whose data directory was lost comes back as another replica. It is admitted as a learner, which has no vote; when
//! it has caught up it takes the place of its predecessor in one joint change. At no moment do both have a vote that counts.

use raft::Progress;
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2};

use super::{Consensus, StateMachine};
use crate::member::ServerName;

/// A learner that is no further behind than this has caught up, entries.
const MAX_LEARNER_LAG_ENTRIES: u64 = 64;

/// A change, and the replica that it concerns.
#[derive(Debug, PartialEq)]
struct Change {
    steps: Vec<(ConfChangeType, u64)>,
    replica: (u64, ServerName),
}

/// The configuration as it is.
struct Configuration<'a> {
    voters: &'a [u64],
    learners: &'a [u64],
    name_of: &'a dyn Fn(u64) -> Option<&'a ServerName>,
    has_caught_up: &'a dyn Fn(u64) -> bool,
}

impl Configuration<'_> {
    /// The replica of that name among some.
    fn find(&self, ids: &[u64], name: &ServerName) -> Option<u64> {
        ids.iter().copied().find(|id| (self.name_of)(*id) == Some(name))
    }

    /// The next change towards `wanted`: names that shall vote, each with its replica if it is here. Names that are no longer
    /// wanted lose their vote once all that are wanted have theirs.
    fn next_change(&self, wanted: &[(ServerName, Option<u64>)]) -> Option<Change> {
        let here = wanted.iter().filter_map(|(name, id)| Some((name, (*id)?)));
        here.into_iter().find_map(|(name, id)| self.admission(name, id)).or_else(|| self.removal(wanted))
    }

    /// The next step by which a replica gets a vote; none where it has one, or has not caught up.
    fn admission(&self, name: &ServerName, id: u64) -> Option<Change> {
        if self.voters.contains(&id) {
            return None;
        }
        let (kind, predecessor) = if !self.learners.contains(&id) {
            // A learner of that name whose data directory was lost before it had a vote.
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

    /// Removes a replica that is not wanted, once all that are wanted vote.
    fn removal(&self, wanted: &[(ServerName, Option<u64>)]) -> Option<Change> {
        let has_vote = |name: &ServerName| self.find(self.voters, name).is_some();
        if !wanted.iter().all(|(name, _)| has_vote(name)) {
            return None;
        }
        let is_wanted =
            |id: u64| (self.name_of)(id).is_some_and(|name| wanted.iter().any(|(wanted, _)| wanted == name));
        let id = *self.voters.iter().chain(self.learners).find(|id| !is_wanted(**id))?;
        let name = (self.name_of)(id).cloned().unwrap_or_default();
        Some(Change { steps: vec![(ConfChangeType::RemoveNode, id)], replica: (id, name) })
    }
}

impl<M: StateMachine> Consensus<M> {
    /// Proposes the next change towards the voters that are wanted, if this voter leads and no change is under way.
    pub fn change_voters_towards(&mut self, wanted: &[(ServerName, Option<u64>)]) {
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
        let Some(Change { steps, replica }) = current.next_change(wanted) else { return };
        let context = postcard::to_stdvec(&replica).unwrap_or_default();
        let _ = node.propose_conf_change(context, configuration_change(steps));
        self.process_ready();
    }
}

/// Whether a learner's log is complete enough for a vote: it is active, and lags by a bounded number of entries.
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
