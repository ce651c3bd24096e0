use super::*;
use crate::duty::load::{MAX_IMBALANCE, imbalance};
use crate::duty::{DutySpec, LeaseSettings, ServerInstance};
use proptest::prelude::*;

fn candidates(count: usize) -> Vec<Candidate> {
    (0..count).map(|n| Candidate { name: format!("n{n}"), weight: 1.0, can_acquire: true }).collect()
}

/// A state with this many available duties and this many servers with a session.
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
fn only_duties_of_a_lost_server_move_and_loads_stay_in_bound() {
    let mut duties = duties_and_sessions(1_000, 300);
    let all = candidates(300);
    duties.apply(&DutyCommand::Assign(assign_available(&duties, &all, &|_| false)));
    assert!(imbalance(&duties, &all) <= MAX_IMBALANCE, "{}", imbalance(&duties, &all));
    let before = owners(&duties);
    let (lost, rest): (Vec<_>, Vec<_>) = all.into_iter().partition(|candidate| candidate.name == "n7");
    duties.apply(&DutyCommand::End(ServerInstance { name: lost[0].name.clone(), incarnation: 1 }));
    duties.apply(&DutyCommand::Assign(assign_available(&duties, &rest, &|_| false)));
    let after = owners(&duties);
    let moved = before.iter().filter(|(duty, owner)| after[*duty] != **owner).count();
    assert_eq!(moved, before.values().filter(|owner| **owner == "n7").count());
    assert!(imbalance(&duties, &rest) <= MAX_IMBALANCE);
}

#[test]
fn overloaded_server_acquires_only_if_all_are_overloaded() {
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
    assert_eq!(owners(&duties).len(), 40, "with all servers overloaded, every duty must still have an owner");
}

#[test]
fn fewer_duties_than_servers_go_to_distinct_servers() {
    let mut duties = duties_and_sessions(5, 20);
    let all = candidates(20);
    duties.apply(&DutyCommand::Assign(assign_available(&duties, &all, &|_| false)));
    let owners = owners(&duties);
    let names: std::collections::BTreeSet<&ServerName> = owners.values().collect();
    assert_eq!((owners.len(), names.len()), (5, 5));
}

#[test]
fn first_assignment_waits_one_lease_and_skips_ineligible_servers() {
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
    let summary: Vec<_> = candidates
        .iter()
        .map(|server| (server.name.as_str(), server.weight as f32, server.can_acquire))
        .collect();
    assert_eq!(summary, [("n0", 0.89, false), ("n1", 0.9, true), ("n2", 0.01, false)]);
    let lease = duties.lease_settings().lease_millis;
    duties.advance_time(lease - 1);
    assert_eq!(commands(&duties, &members, &|_| false), []);
    duties.advance_time(lease);
    assert!(matches!(commands(&duties, &members, &|_| false)[..], [DutyCommand::Assign(_)]));
}

#[test]
fn removed_candidate_changes_only_owners_of_its_duties() {
    let duties = duties_and_sessions(1, 20);
    let (all, rest) = (candidates(20), candidates(19));
    let owner = |candidates: &[Candidate], n: usize| {
        Loads::new(&duties, candidates).place(&format!("duty {n}"), 1).unwrap()
    };
    let before: Vec<ServerName> = (0..200).map(|n| owner(&all, n)).collect();
    for (n, before) in before.iter().enumerate().filter(|(_, owner)| *owner != "n19") {
        assert_eq!(owner(&rest, n), *before, "duty {n}");
    }
    let most_owned =
        all.iter().map(|server| before.iter().filter(|owner| **owner == server.name).count()).max();
    assert!(most_owned <= Some(25), "a server owns {most_owned:?} of 200 duties, the limit is 25");
}

#[test]
fn successor_is_another_server_and_parked_duty_has_none() {
    let mut duties = duties_and_sessions(1, 3);
    let all = candidates(3);
    let next = successor(&duties, &all, "d0", "n1").unwrap();
    assert_ne!(next, "n1");
    assert_eq!(successor(&duties, &all[1..2], "d0", "n1"), None, "the owner is the only candidate");
    duties.apply(&DutyCommand::Park("d0".into(), "incident".into()));
    assert_eq!(successor(&duties, &all, "d0", "n1"), None);
}

proptest! {
    #[test]
    fn every_available_duty_gets_an_owner_that_can_acquire(
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
        if candidates.iter().any(|candidate| candidate.can_acquire) {
            let can_acquire = |name: &ServerName| {
                candidates.iter().any(|candidate| candidate.name == *name && candidate.can_acquire)
            };
            prop_assert!(owners.values().all(can_acquire));
        }
        prop_assert!(assign_available(&duties, &candidates, &|_| false).is_empty());
    }
}
