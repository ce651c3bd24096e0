use super::*;
use crate::duty::{DutyCommand, DutySpec, LeaseSettings, ServerInstance};
use crate::member::{LoadReport, MemberState, Zone};

const SETTLED_AT: FleetMillis = 30_000;

/// Six duties of the server "a" since time 0, and a server "b" that may acquire them.
fn duties() -> Duties {
    let mut duties = Duties::default();
    let names: Vec<DutyName> = (0..6).map(|n| format!("d{n}")).collect();
    let specs = names.iter().map(|name| DutySpec::plain(name)).collect();
    let settings = LeaseSettings { lease_millis: 3_600_000, ..LeaseSettings::default() };
    duties.apply(&DutyCommand::Declare(settings, specs));
    let instances = ["a", "b"].map(|name| ServerInstance { name: name.into(), incarnation: 1 });
    duties.apply(&DutyCommand::KeepAlive(instances.to_vec()));
    duties.apply(&DutyCommand::Assign(names.into_iter().map(|name| (name, "a".to_owned())).collect()));
    duties
}

fn members(share_of_owner: f32) -> BTreeMap<ServerName, MemberView> {
    let view = |share: f32| MemberView {
        zone: Zone::new(),
        state: MemberState::Serving,
        incarnation: 1,
        load_report: Some(LoadReport { share, healthy: true, ..LoadReport::default() }),
    };
    BTreeMap::from([("a".into(), view(share_of_owner)), ("b".into(), view(1.0))])
}

/// The number of duties that are recalled at a time, where the owner requests this share and has this weight.
fn recall_count(at: FleetMillis, share_of_owner: f32, weight: f64, with_place: Option<&str>) -> usize {
    let mut duties = duties();
    duties.advance_time(at);
    let candidates = [
        Candidate { name: "a".into(), weight, can_acquire: share_of_owner >= 0.9 },
        Candidate { name: "b".into(), weight: 1.0, can_acquire: true },
    ];
    recalls(&duties, &members(share_of_owner), &candidates, &|name| Some(name) == with_place).len()
}

#[test]
fn an_owner_in_overload_or_over_its_bound_releases_a_few_once_they_settled() {
    let cases = [
        // Nine tenths of the weight: the bound of the owner is 6.75, and only its overload counts.
        (SETTLED_AT, 0.49, 9.0, 4),
        (SETTLED_AT - 1, 0.49, 9.0, 0),
        (SETTLED_AT, 0.5, 9.0, 0),
        // Six duties for two servers: the bound is 3.75, so that the owner is over it by two duties.
        (SETTLED_AT, 0.5, 1.0, 4),
    ];
    for (at, share, weight, expected) in cases {
        assert_eq!(
            recall_count(at, share, weight, None),
            expected,
            "at {at}, share {share}, weight {weight}"
        );
    }
}

#[test]
fn an_owner_that_shuts_down_releases_all_at_once() {
    assert_eq!(recall_count(0, 1.0, 9.0, Some("a")), 6);
}
