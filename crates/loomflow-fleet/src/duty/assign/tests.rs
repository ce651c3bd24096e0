use super::*;
use crate::duty::load::{MAX_IMBALANCE, imbalance};
use crate::duty::{DutySpec, LeaseSettings, ServerInstance};
use proptest::prelude::*;

fn candidates(count: usize) -> Vec<Candidate> {
    (0..count).map(|n| Candidate { name: format!("n{n}"), weight: 1.0, can_acquire: true }).collect()
}

/// The given numbers of duties, all free, and of servers with a session.
fn duties_and_sessions(duties: usize, servers: usize) -> Duties {
    let mut state = Duties::default();
    let declared = (0..duties).map(|n| DutySpec::plain(&format!("d{n}"))).collect();
    state.apply(&DutyCommand::Declare(LeaseSettings::default(), declared));
    let instance = |n| ServerInstance { name: format!("n{n}"), incarnation: 1 };
    state.apply(&DutyCommand::KeepAlive((0..servers).map(instance).collect()));
    state
}

fn owners(duties: &Duties) -> BTreeMap<DutyName, ServerName> {
    let owner = |(name, duty): (&DutyName, &Duty)| Some((name.clone(), duty.lease.as_ref()?.owner.clone()));
    duties.duties().iter().filter_map(owner).collect()
}

#[test]
fn when_one_dies_only_its_duties_move_and_all_stay_within_the_bound() {
    let mut duties = duties_and_sessions(1_000, 300);
    let all = candidates(300);
    duties.apply(&DutyCommand::Assign(assign_available(&duties, &all, &|_| false)));
    assert!(imbalance(&duties, &all) <= MAX_IMBALANCE, "{}", imbalance(&duties, &all));
    let before = owners(&duties);
    let (dead, rest): (Vec<_>, Vec<_>) = all.into_iter().partition(|duty| duty.name == "n7");
    duties.apply(&DutyCommand::End(ServerInstance { name: dead[0].name.clone(), incarnation: 1 }));
    duties.apply(&DutyCommand::Assign(assign_available(&duties, &rest, &|_| false)));
    let after = owners(&duties);
    let moved = before.iter().filter(|(duty, owner)| after[*duty] != **owner).count();
    assert_eq!(moved, before.values().filter(|owner| **owner == "n7").count());
    assert!(imbalance(&duties, &rest) <= MAX_IMBALANCE);
}

#[test]
fn an_overloaded_server_acquires_nothing_new_unless_all_are_overloaded() {
    let mut duties = duties_and_sessions(40, 4);
    let mut servers = candidates(4);
    (servers[0].can_acquire, servers[0].weight) = (false, 0.3);
    duties.apply(&DutyCommand::Assign(assign_available(&duties, &servers, &|_| false)));
    assert!(owners(&duties).values().all(|owner| owner != "n0"));
    assert_eq!(owners(&duties).len(), 40);
    let mut duties = duties_and_sessions(40, 4);
    for server in &mut servers {
        server.can_acquire = false;
    }
    duties.apply(&DutyCommand::Assign(assign_available(&duties, &servers, &|_| false)));
    assert_eq!(owners(&duties).len(), 40, "a duty without an owner is worse");
}

#[test]
fn fewer_duties_than_servers_go_to_one_each() {
    let mut duties = duties_and_sessions(5, 20);
    let all = candidates(20);
    duties.apply(&DutyCommand::Assign(assign_available(&duties, &all, &|_| false)));
    let owners = owners(&duties);
    let names: std::collections::BTreeSet<&ServerName> = owners.values().collect();
    assert_eq!((owners.len(), names.len()), (5, 5));
}

#[test]
fn first_owners_wait_for_one_lease_and_only_servers_that_stay_are_candidates() {
    let report = |share| crate::member::LoadReport { share, healthy: true, ..Default::default() };
    let view = |share| MemberView {
        zone: String::new(),
        state: crate::member::MemberState::Serving,
        incarnation: 1,
        load_report: Some(report(share)),
    };
    let mut duties = duties_and_sessions(1, 4);
    let mut members: BTreeMap<ServerName, MemberView> = [("n0", 0.89), ("n1", 0.9), ("n2", 0.0), ("n3", 1.0)]
        .map(|(name, share)| (name.into(), view(share)))
        .into();
    members.insert("without a session".into(), view(1.0));
    let candidates = super::candidates(&duties, &members, &|name| name == "n3");
    let summary: Vec<_> =
        candidates.iter().map(|one| (one.name.as_str(), one.weight as f32, one.can_acquire)).collect();
    assert_eq!(summary, [("n0", 0.89, false), ("n1", 0.9, true), ("n2", 0.01, false)]);
    let lease = duties.lease_settings().lease_millis;
    duties.advance_time(lease - 1);
    assert_eq!(commands(&duties, &members, &|_| false), []);
    duties.advance_time(lease);
    assert!(matches!(commands(&duties, &members, &|_| false)[..], [DutyCommand::Assign(_)]));
}

#[test]
fn a_server_that_leaves_changes_only_the_owners_of_its_own_part() {
    let duties = duties_and_sessions(1, 20);
    let (all, rest) = (candidates(20), candidates(19));
    let owner = |candidates: &[Candidate], n: usize| {
        Loads::new(&duties, candidates).place(&format!("duty {n}"), 1).unwrap()
    };
    let before: Vec<ServerName> = (0..200).map(|n| owner(&all, n)).collect();
    for (n, before) in before.iter().enumerate().filter(|(_, owner)| *owner != "n19") {
        assert_eq!(owner(&rest, n), *before, "duty {n}");
    }
    let owned_by_most = all.iter().map(|one| before.iter().filter(|owner| **owner == one.name).count()).max();
    assert!(owned_by_most <= Some(25), "spread evenly: {owned_by_most:?}");
}

#[test]
fn the_successor_is_another_server_and_a_parked_duty_has_none() {
    let mut duties = duties_and_sessions(1, 3);
    let all = candidates(3);
    let next = successor(&duties, &all, "d0", "n1").unwrap();
    assert_ne!(next, "n1");
    assert_eq!(successor(&duties, &all[1..2], "d0", "n1"), None, "there is no other");
    duties.apply(&DutyCommand::Park("d0".into(), "incident".into()));
    assert_eq!(successor(&duties, &all, "d0", "n1"), None);
}

proptest! {
    #[test]
    fn every_free_duty_has_an_owner_that_takes(
        count in 1usize..120,
        servers in proptest::collection::vec((0.01f64..1.0, any::<bool>()), 1..12),
    ) {
        let mut duties = duties_and_sessions(count, servers.len());
        let candidates: Vec<Candidate> = servers
            .iter()
            .enumerate()
            .map(|(n, (weight, can_acquire))| Candidate { name: format!("n{n}"), weight: *weight, can_acquire: *can_acquire })
            .collect();
        duties.apply(&DutyCommand::Assign(assign_available(&duties, &candidates, &|_| false)));
        let owners = owners(&duties);
        prop_assert_eq!(owners.len(), count);
        if candidates.iter().any(|duty| duty.can_acquire) {
            let can_acquire = |name: &ServerName| candidates.iter().any(|duty| duty.name == *name && duty.can_acquire);
            prop_assert!(owners.values().all(can_acquire));
        }
        prop_assert!(assign_available(&duties, &candidates, &|_| false).is_empty());
    }
}
