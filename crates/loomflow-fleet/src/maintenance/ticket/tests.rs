use super::*;
use crate::fixtures::ticket_request;

#[test]
fn the_table_has_each_transition_of_each_stage_once() {
    for (at, rule) in TABLE.iter().enumerate() {
        let twins = TABLE
            .iter()
            .filter(|other| other.from == rule.from && other.transition == rule.transition)
            .count();
        assert_eq!(twins, 1, "rule {at}");
        assert!(!rule.from.is_closed(), "nothing moves once it is over");
    }
}

#[test]
fn every_transition_of_every_stage_by_every_actor_is_made_or_rejected_with_its_reason() {
    for from in TicketStage::ALL {
        for transition in Transition::ALL {
            let rule = TABLE.iter().find(|rule| rule.from == from && rule.transition == transition);
            for actor in [Actor::Leader, Actor::Server, Actor::Operator] {
                let made = next_stage(from, transition, actor);
                match (rule, made) {
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
fn a_begun_ticket_is_not_withdrawn_and_a_requested_one_is_not_abandoned() {
    assert_eq!(
        next_stage(TicketStage::Begun, Transition::Withdraw, Actor::Operator),
        Err(Rejection::TooLate(TicketStage::Begun))
    );
    assert_eq!(
        next_stage(TicketStage::Requested, Transition::Abandon, Actor::Operator),
        Err(Rejection::TooEarly(TicketStage::Requested))
    );
    assert_eq!(
        next_stage(TicketStage::Requested, Transition::Begin, Actor::Server),
        Err(Rejection::TooEarly(TicketStage::Requested))
    );
}

#[test]
fn a_place_is_reserved_from_the_grant_until_the_ticket_is_done_or_abandoned() {
    // No way leads from a stage that has a place to one that does not, but these.
    for rule in TABLE.iter().filter(|rule| rule.from.has_place() && !rule.to.has_place()) {
        let free = matches!(
            (rule.from, rule.transition),
            (TicketStage::Granted, Transition::Recall | Transition::Lapse | Transition::Withdraw)
                | (TicketStage::Ready, Transition::Finish)
                | (_, Transition::Abandon)
        );
        assert!(free, "{:?} by {:?}", rule.from, rule.transition);
    }
}

#[test]
fn a_request_beyond_a_limit_is_rejected_with_the_limit() {
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
