use super::*;
use crate::duty::{DutyCommand, DutySpec, LeaseSettings, ServerInstance};
use crate::member::{LoadReport, MemberState, Zone};

const MAY_MOVE_AT: FleetMillis = 30_000;

/// Six duties that the server "a" owns since time 0, and a server "b" that may acquire them.
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

/// The number of duties recalled at `at` from an owner with this share and weight; `slot_holder` holds a maintenance slot.
fn recall_count(at: FleetMillis, share_of_owner: f32, weight: f64, slot_holder: Option<&str>) -> usize {
    let mut duties = duties();
    duties.advance_time(at);
    let candidates = [
        Candidate { name: "a".into(), weight, can_acquire: share_of_owner >= 0.9 },
        Candidate { name: "b".into(), weight: 1.0, can_acquire: true },
    ];
    recalls(&duties, &members(share_of_owner), &candidates, &|name| Some(name) == slot_holder).len()
}

#[test]
fn owner_in_overload_or_over_bound_releases_4_after_30_s() {
    let cases = [
        // The owner has 9/10 of the total weight: its bound is 6.75, so only overload causes recalls.
        (MAY_MOVE_AT, 0.49, 9.0, 4),
        (MAY_MOVE_AT - 1, 0.49, 9.0, 0),
        (MAY_MOVE_AT, 0.5, 9.0, 0),
        // Six duties on two equal servers: the bound is 3.75, and the owner exceeds it by two duties.
        (MAY_MOVE_AT, 0.5, 1.0, 4),
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
fn owner_with_a_maintenance_slot_releases_all_at_once() {
    assert_eq!(recall_count(0, 1.0, 9.0, Some("a")), 6);
}
