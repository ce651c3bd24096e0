use super::*;
use ConfChangeType::{AddLearnerNode, AddNode, RemoveNode};

/// The next change. Replicas 1 to 9 are of the servers "a", "b", "c" in turn.
fn changes(
    voters: &[u64],
    learners: &[u64],
    caught: bool,
    wanted: &[(&str, u64)],
) -> Option<Vec<(ConfChangeType, u64)>> {
    let names: Vec<ServerName> = ["a", "b", "c"].iter().map(ToString::to_string).collect();
    let name_of = |id: u64| names.get((id as usize - 1) % 3);
    let current = Configuration { voters, learners, name_of: &name_of, has_caught_up: &|_| caught };
    let wanted: Vec<_> = wanted.iter().map(|(n, id)| (n.to_string(), (*id > 0).then_some(*id))).collect();
    current.next_change(&wanted).map(|change| change.steps)
}

#[test]
fn one_step_at_a_time_towards_the_voters_that_are_wanted() {
    type Case<'a> = (&'a [u64], &'a [u64], bool, &'a [(&'a str, u64)], Option<Vec<(ConfChangeType, u64)>>);
    let all = [("a", 1), ("b", 2), ("c", 3)];
    let lost = [("a", 1), ("b", 5), ("c", 3)];
    let cases: [Case; 9] = [
        (&[1, 2, 3], &[], true, &all, None),
        // Founded by one: the others come in as learners, and vote when they have caught up.
        (&[1], &[], true, &all, Some(vec![(AddLearnerNode, 2)])),
        (&[1], &[2], false, &all, Some(vec![(AddLearnerNode, 3)])),
        (&[1], &[2], true, &all, Some(vec![(AddNode, 2)])),
        // A lost data directory: the new replica is a learner first, then replaces its predecessor in one change.
        (&[1, 2, 3], &[], true, &lost, Some(vec![(AddLearnerNode, 5)])),
        (&[1, 2, 3], &[5], true, &lost, Some(vec![(AddNode, 5), (RemoveNode, 2)])),
        // Lost again while it learnt.
        (&[1, 2, 3], &[5], true, &[("b", 8)], Some(vec![(AddLearnerNode, 8), (RemoveNode, 5)])),
        // No longer named: it is removed only when those that are named all vote.
        (&[1, 2, 3], &[], true, &[("a", 1), ("b", 2)], Some(vec![(RemoveNode, 3)])),
        (&[1, 3], &[], true, &[("a", 1), ("b", 0)], None),
    ];
    for (at, (voters, learners, caught, wanted, expected)) in cases.into_iter().enumerate() {
        assert_eq!(changes(voters, learners, caught, wanted), expected, "case {at}");
    }
}

#[test]
fn a_learner_may_vote_when_it_is_active_and_lags_by_64_entries_at_the_most() {
    let committed = 1_000;
    let learner = |lag: u64, recent_active: bool| {
        let mut progress = Progress::new(committed, 1);
        progress.matched = committed - lag;
        progress.recent_active = recent_active;
        has_caught_up(&progress, committed)
    };
    assert_eq!([0, 64, 65].map(|lag| learner(lag, true)), [true, true, false]);
    assert!(!learner(0, false), "it is not active");
}
