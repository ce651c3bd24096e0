use super::*;
use ConfChangeType::{AddLearnerNode, AddNode, RemoveNode};

/// The steps of the next change. Replicas 1 to 9 belong to the servers "a", "b", "c" in turn: 2, 5 and 8 to
/// "b".
fn next_steps(
    voters: &[u64],
    learners: &[u64],
    has_caught_up: bool,
    desired: &[(&str, u64)],
) -> Option<Vec<(ConfChangeType, u64)>> {
    let names: Vec<ServerName> = ["a", "b", "c"].iter().map(ToString::to_string).collect();
    let name_of = |id: u64| names.get((id as usize - 1) % 3);
    let current = Configuration { voters, learners, name_of: &name_of, has_caught_up: &|_| has_caught_up };
    let desired: Vec<_> = desired.iter().map(|(n, id)| (n.to_string(), (*id > 0).then_some(*id))).collect();
    current.next_change(&desired).map(|change| change.steps)
}

#[test]
fn voters_are_reconciled_one_change_at_a_time() {
    type Case<'a> = (&'a [u64], &'a [u64], bool, &'a [(&'a str, u64)], Option<Vec<(ConfChangeType, u64)>>);
    let all = [("a", 1), ("b", 2), ("c", 3)];
    let lost = [("a", 1), ("b", 5), ("c", 3)];
    let cases: [Case; 9] = [
        (&[1, 2, 3], &[], true, &all, None),
        // A new fleet of one voter: the others join as learners, and become voters when they have caught up.
        (&[1], &[], true, &all, Some(vec![(AddLearnerNode, 2)])),
        (&[1], &[2], false, &all, Some(vec![(AddLearnerNode, 3)])),
        (&[1], &[2], true, &all, Some(vec![(AddNode, 2)])),
        // A lost data directory: the new replica is a learner first, then replaces its predecessor in one
        // change.
        (&[1, 2, 3], &[], true, &lost, Some(vec![(AddLearnerNode, 5)])),
        (&[1, 2, 3], &[5], true, &lost, Some(vec![(AddNode, 5), (RemoveNode, 2)])),
        // The data directory is lost again while the replica is a learner.
        (&[1, 2, 3], &[5], true, &[("b", 8)], Some(vec![(AddLearnerNode, 8), (RemoveNode, 5)])),
        // A voter that is no longer desired is removed only once every desired server has a vote.
        (&[1, 2, 3], &[], true, &[("a", 1), ("b", 2)], Some(vec![(RemoveNode, 3)])),
        (&[1, 3], &[], true, &[("a", 1), ("b", 0)], None),
    ];
    for (case, (voters, learners, has_caught_up, desired, expected)) in cases.into_iter().enumerate() {
        assert_eq!(next_steps(voters, learners, has_caught_up, desired), expected, "case {case}");
    }
}

#[test]
fn an_active_learner_with_a_lag_of_at_most_64_entries_has_caught_up() {
    let committed = 1_000;
    let learner = |lag: u64, recent_active: bool| {
        let mut progress = Progress::new(committed, 1);
        progress.matched = committed - lag;
        progress.recent_active = recent_active;
        has_caught_up(&progress, committed)
    };
    assert_eq!([0, 64, 65].map(|lag| learner(lag, true)), [true, true, false]);
    assert!(!learner(0, false), "an inactive learner has not caught up");
}
