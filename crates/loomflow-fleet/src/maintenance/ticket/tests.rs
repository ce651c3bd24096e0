use super::*;
use crate::fixtures::ticket_request;

#[test]
fn table_has_each_stage_and_transition_once() {
    for (index, rule) in TABLE.iter().enumerate() {
        let occurrences = TABLE
            .iter()
            .filter(|other| other.from == rule.from && other.transition == rule.transition)
            .count();
        assert_eq!(occurrences, 1, "rule {index}: {:?} by {:?}", rule.from, rule.transition);
        assert!(!rule.from.is_closed(), "rule {index} leads out of the closed stage {:?}", rule.from);
    }
}

#[test]
fn every_stage_transition_and_actor_is_accepted_or_rejected_with_the_reason() {
    for from in TicketStage::ALL {
        for transition in Transition::ALL {
            let rule = TABLE.iter().find(|rule| rule.from == from && rule.transition == transition);
            for actor in [Actor::Leader, Actor::Server, Actor::Operator] {
                let result = next_stage(from, transition, actor);
                match (rule, result) {
                    (Some(rule), Ok(to)) => assert!(rule.to == to && rule.actor.includes(actor)),
                    (Some(rule), Err(Rejection::NotPermitted)) => assert!(!rule.actor.includes(actor)),
                    (None, Err(Rejection::Closed(stage))) => assert!(stage == from && from.is_closed()),
                    (None, Err(Rejection::TooLate(stage) | Rejection::TooEarly(stage))) => {
                        assert!(stage == from && !from.is_closed());
                    }
                    (_, other) => panic!("{from:?} {transition:?} {actor:?}: {other:?}"),
                }
            }
        }
    }
}

#[test]
fn transition_outside_its_stages_is_too_early_or_too_late() {
    assert_eq!(
        next_stage(TicketStage::Accepted, Transition::Withdraw, Actor::Operator),
        Err(Rejection::TooLate(TicketStage::Accepted))
    );
    assert_eq!(
        next_stage(TicketStage::Requested, Transition::Abandon, Actor::Operator),
        Err(Rejection::TooEarly(TicketStage::Requested))
    );
    assert_eq!(
        next_stage(TicketStage::Requested, Transition::Accept, Actor::Server),
        Err(Rejection::TooEarly(TicketStage::Requested))
    );
}

#[test]
fn slot_is_released_only_by_the_listed_transitions() {
    for rule in TABLE.iter().filter(|rule| rule.from.has_slot() && !rule.to.has_slot()) {
        let may_release = matches!(
            (rule.from, rule.transition),
            (TicketStage::Granted, Transition::Revoke | Transition::Lapse | Transition::Withdraw)
                | (TicketStage::Ready, Transition::Finish)
                | (_, Transition::Abandon)
        );
        assert!(may_release, "{:?} by {:?}", rule.from, rule.transition);
    }
}

#[test]
fn invalid_request_is_rejected_with_the_limit() {
    let request = ticket_request("n1");
    let check = |request: TicketRequest| request.check().map_err(|rejection| rejection.to_string());
    assert_eq!(check(request.clone()), Ok(()));
    assert_eq!(
        check(TicketRequest { zone: "z".repeat(65), ..request.clone() }),
        Err("n1: server: a name has 1 to 64 bytes".into())
    );
    assert_eq!(
        check(TicketRequest { reason: "r".repeat(257), ..request }),
        Err("n1: reason: at most 256 bytes".into())
    );
}
