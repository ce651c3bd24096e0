use super::*;
use crate::duty::{DutyCommand, DutyRejection, DutyResponse, OwnerUpdate};

#[test]
fn stale_write_is_rejected_and_counted() {
    let mut duties = Duties::default();
    let duty: DutyName = "d".into();
    duties.apply(&DutyCommand::Declare(LeaseSettings::default(), vec![DutySpec::plain(&duty)]));
    let instances = ["a", "b"].map(|name| ServerInstance { name: name.into(), incarnation: 1 });
    duties.apply(&DutyCommand::KeepAlive(instances.to_vec()));
    duties.apply(&DutyCommand::Assign(vec![(duty.clone(), "a".into())]));
    let successor = Some("b".into());
    let release = DutyCommand::Release { duty: duty.clone(), token: 1, successor };
    assert_eq!(duties.apply(&release), DutyResponse::Done);
    let write = |token| {
        let update = OwnerUpdate::Checkpoint(vec![token as u8]);
        DutyCommand::Write { duty: "d".into(), token, update }
    };
    let stale = DutyRejection::Stale { duty: duty.clone(), token: 1, current: 2 };
    assert_eq!(duties.apply(&write(1)), DutyResponse::Rejected(stale));
    assert_eq!(duties.duties()[&duty].rejected_writes, 1);
    assert_eq!(duties.apply(&write(2)), DutyResponse::Done);
    assert_eq!(duties.ownership("b").duties[0].checkpoint, [2]);
}

#[test]
fn overlong_name_is_rejected_with_length_and_limit() {
    let check = |name: &str| crate::duty::check_name(name).map_err(|rejection| rejection.to_string());
    let expected = "a duty name must have 1 to 64 bytes and no control characters, this one has 65 bytes";
    assert_eq!(check(&"d".repeat(64)), Ok(()));
    assert_eq!(check(&"d".repeat(65)), Err(expected.into()));
}
