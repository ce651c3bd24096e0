use super::*;
use crate::duty::{DutyCommand, LeaseSettings, OwnerUpdate, ServerInstance};

#[test]
fn each_duty_command_is_limited_to_its_issuers() {
    let own = ServerInstance { name: "a".into(), incarnation: 2 };
    let previous_start = ServerInstance { incarnation: 1, ..own.clone() };
    let other_server = ServerInstance { name: "b".into(), incarnation: 2 };
    let (duty, update) = ("d".to_owned(), OwnerUpdate::Done(1));
    // For each command: whether the leader, the server "a" in its second incarnation, and an operator may
    // issue it.
    let cases = [
        (DutyCommand::Declare(LeaseSettings::default(), Vec::new()), [true, false, false]),
        (DutyCommand::KeepAlive(vec![own.clone()]), [true, false, false]),
        (DutyCommand::Assign(Vec::new()), [true, false, false]),
        (DutyCommand::Recall(duty.clone()), [true, false, true]),
        (DutyCommand::End(own), [false, true, false]),
        (DutyCommand::End(previous_start), [false, false, false]),
        (DutyCommand::End(other_server), [false, false, false]),
        (DutyCommand::Release { duty: duty.clone(), token: 1, successor: None }, [false, true, false]),
        (DutyCommand::Write { duty: duty.clone(), token: 1, update }, [false, true, false]),
        (DutyCommand::Park(duty.clone(), String::new()), [false, false, true]),
        (DutyCommand::Resume(duty.clone()), [false, false, true]),
        (DutyCommand::Run(duty, 1), [false, false, true]),
    ];
    let issuers =
        [Issuer::Leader, Issuer::Server { name: "a".into(), incarnation: 2 }, Issuer::Operator("ops".into())];
    for (command, expected) in cases {
        assert_eq!(issuers.each_ref().map(|issuer| is_permitted(issuer, &command)), expected, "{command:?}");
    }
}
