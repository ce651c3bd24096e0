//! Who should have a vote: the settings name the voters, their folders say which seats they are. The leader brings the
//! configuration there one change at a time.
//!
//! A voter whose folder was lost comes back with another seat. It is let in as a learner, which has no vote; when it has
//! caught up it takes the place of its former self in one joint change. At no moment do both have a vote that counts.

use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2};

use super::{Agreement, Machine};
use crate::member::Name;

/// A learner that is no further behind than this has caught up, entries.
const CAUGHT_UP: u64 = 64;

/// A change, and the seat it brings in.
#[derive(Debug, PartialEq)]
struct Change {
    parts: Vec<(ConfChangeType, u64)>,
    seat: (u64, Name),
}

/// What the configuration is now.
struct Now<'a> {
    voters: &'a [u64],
    learners: &'a [u64],
    named: &'a dyn Fn(u64) -> Option<&'a Name>,
    caught_up: &'a dyn Fn(u64) -> bool,
}

/// The next change towards `wanted`: names that shall vote, each with the seat that it says it has, if it is here. Names
/// that are no longer wanted lose their vote once all that are wanted have theirs.
fn next(now: &Now, wanted: &[(Name, Option<u64>)]) -> Option<Change> {
    let find = |ids: &[u64], name: &Name| ids.iter().copied().find(|id| (now.named)(*id) == Some(name));
    for (name, seat) in wanted {
        let Some(seat) = *seat else { continue };
        if now.voters.contains(&seat) {
            continue;
        }
        let seated = (seat, name.clone());
        if !now.learners.contains(&seat) {
            let mut parts = vec![(ConfChangeType::AddLearnerNode, seat)];
            // A learner of that name whose folder was lost before it had a vote.
            parts.extend(find(now.learners, name).map(|old| (ConfChangeType::RemoveNode, old)));
            return Some(Change { parts, seat: seated });
        }
        if (now.caught_up)(seat) {
            let mut parts = vec![(ConfChangeType::AddNode, seat)];
            parts.extend(find(now.voters, name).map(|old| (ConfChangeType::RemoveNode, old)));
            return Some(Change { parts, seat: seated });
        }
    }
    let sits = |name: &Name| find(now.voters, name).is_some();
    if !wanted.iter().all(|(name, _)| sits(name)) {
        return None;
    }
    let unwanted = |id: &&u64| (now.named)(**id).is_none_or(|name| wanted.iter().all(|(w, _)| w != name));
    let gone = *now.voters.iter().chain(now.learners).find(unwanted)?;
    let name = (now.named)(gone).cloned().unwrap_or_default();
    Some(Change { parts: vec![(ConfChangeType::RemoveNode, gone)], seat: (gone, name) })
}

impl<M: Machine> Agreement<M> {
    /// Takes the next step towards the voters that are wanted, if this one leads and no step is under way.
    pub fn reseat_towards(&mut self, wanted: &[(Name, Option<u64>)]) {
        if !self.leads() {
            return;
        }
        let Some(node) = &mut self.node else { return };
        let conf = node.store().conf();
        if node.raft.has_pending_conf() || !conf.voters_outgoing.is_empty() {
            return;
        }
        let committed = node.raft.raft_log.committed;
        let prs = node.raft.prs();
        let now = Now {
            voters: &conf.voters,
            learners: &conf.learners,
            named: &|id| self.seats.get(&id),
            caught_up: &|id| {
                prs.get(id).is_some_and(|p| p.recent_active && p.matched + CAUGHT_UP >= committed)
            },
        };
        let Some(Change { parts, seat }) = next(&now, wanted) else { return };
        let part = |(kind, id): (ConfChangeType, u64)| {
            let mut single = ConfChangeSingle::default();
            single.set_change_type(kind);
            single.node_id = id;
            single
        };
        let mut change = ConfChangeV2::default();
        change.set_changes(parts.into_iter().map(part).collect::<Vec<_>>().into());
        let context = postcard::to_stdvec(&seat).unwrap_or_default();
        let _ = node.propose_conf_change(context, change);
        self.settle();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use ConfChangeType::{AddLearnerNode, AddNode, RemoveNode};

    /// Seats 1 to 9 are of "a", "b", "c", then again.
    fn changes(
        voters: &[u64],
        learners: &[u64],
        caught: bool,
        wanted: &[(&str, u64)],
    ) -> Option<Vec<(ConfChangeType, u64)>> {
        let names: Vec<Name> = ["a", "b", "c"].iter().map(|n| n.to_string()).collect();
        let named = |id: u64| names.get((id as usize - 1) % 3);
        let now = Now { voters, learners, named: &named, caught_up: &|_| caught };
        let wanted: Vec<_> = wanted.iter().map(|(n, id)| (n.to_string(), (*id > 0).then_some(*id))).collect();
        next(&now, &wanted).map(|change| change.parts)
    }

    #[test]
    fn one_step_at_a_time_towards_the_voters_that_are_wanted() {
        let all = [("a", 1), ("b", 2), ("c", 3)];
        let lost = [("a", 1), ("b", 5), ("c", 3)];
        type Case<'a> =
            (&'a [u64], &'a [u64], bool, &'a [(&'a str, u64)], Option<Vec<(ConfChangeType, u64)>>);
        let cases: [Case; 9] = [
            (&[1, 2, 3], &[], true, &all, None),
            // Founded by one: the others come in as learners, and vote when they have caught up.
            (&[1], &[], true, &all, Some(vec![(AddLearnerNode, 2)])),
            (&[1], &[2], false, &all, Some(vec![(AddLearnerNode, 3)])),
            (&[1], &[2], true, &all, Some(vec![(AddNode, 2)])),
            // A lost folder: the new seat learns first, then takes the old one's place in one change.
            (&[1, 2, 3], &[], true, &lost, Some(vec![(AddLearnerNode, 5)])),
            (&[1, 2, 3], &[5], true, &lost, Some(vec![(AddNode, 5), (RemoveNode, 2)])),
            // Lost again while it learnt.
            (&[1, 2, 3], &[5], true, &[("b", 8)], Some(vec![(AddLearnerNode, 8), (RemoveNode, 5)])),
            // No longer named: it goes only when those that are named all vote.
            (&[1, 2, 3], &[], true, &[("a", 1), ("b", 2)], Some(vec![(RemoveNode, 3)])),
            (&[1, 3], &[], true, &[("a", 1), ("b", 0)], None),
        ];
        for (at, (voters, learners, caught, wanted, expected)) in cases.into_iter().enumerate() {
            assert_eq!(changes(voters, learners, caught, wanted), expected, "case {at}");
        }
    }
}
