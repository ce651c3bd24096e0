use super::*;
use crate::consensus::storage::MemoryStorage;
use crate::fixtures;
use crate::maintenance::ticket::{Rejection, Ticket, TicketStage};
use crate::wire::LENGTH_BYTES;

const FLEET: &str = "f";
const VOTER: &str = "voter";

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// A member without a vote, in a fleet with one voter.
fn member() -> Node {
    let config = NodeConfig {
        fleet: FLEET.into(),
        name: "a".into(),
        zone: Zone::new(),
        address: address(1),
        voters: vec![(VOTER.into(), address(2))],
        address_overrides: BTreeMap::new(),
        rules: Rules::default(),
        duties: None,
        seed: 7,
        unix_millis: 1,
    };
    Node::start(config, Box::new(MemoryStorage::default()), 0)
}

/// A ticket whose maintenance the member has started.
fn started_ticket(node: &Node) -> Ticket {
    let incarnation = node.identity().incarnation;
    Ticket { id: 4, incarnation, deadline: 60_000, ..fixtures::ticket(TicketStage::Accepted) }
}

/// Whether the member drains on a notification for a load report of `sent_at` that it receives at `now`.
fn drains_on_notification(sent_at: IntegerMillis, now: IntegerMillis) -> bool {
    let mut node = member();
    let ticket = Some(started_ticket(&node));
    let notification = Notification { sent_at, leader: Some(VOTER.into()), term: 1, index: 1, ticket };
    let from = MemberIdentity::new(VOTER.into(), Zone::new(), address(2), 1);
    let message = Message { fleet: FLEET.into(), from, body: Body::Notification(notification) };
    let bytes = wire::encode(&message).unwrap();
    node.handle_message(&bytes[LENGTH_BYTES..], now).unwrap();
    node.take_effects().contains(&Effect::Drain(4))
}

#[test]
fn a_server_drains_only_on_a_notification_of_the_last_two_seconds() {
    assert_eq!([5_000, 7_000, 7_001].map(|now| drains_on_notification(5_000, now)), [true, true, false]);
}

/// The number of requests that the member sends at `now`, and the responses that it returns.
fn requests_and_responses(node: &mut Node, now: IntegerMillis) -> (usize, Vec<FleetResponse>) {
    node.tick(now);
    let (mut requests, mut responses) = (0, Vec::new());
    for effect in node.take_effects() {
        match effect {
            Effect::Send { bytes, .. } => {
                let message = wire::decode(FLEET, &bytes[LENGTH_BYTES..]).unwrap();
                requests += usize::from(matches!(message.body, Body::Request { .. }));
            }
            Effect::Responded(_, response) => responses.push(response),
            _ => {}
        }
    }
    (requests, responses)
}

#[test]
fn a_request_is_retried_every_700_ms_and_fails_after_10_s() {
    let mut node = member();
    node.submit(FleetRequest::Status, 0);
    assert_eq!(requests_and_responses(&mut node, 1).0, 1);
    let retried = [699, 700, 701, 1_399, 1_400].map(|now| requests_and_responses(&mut node, now).0);
    assert_eq!(retried, [0, 1, 0, 0, 1]);
    assert_eq!(requests_and_responses(&mut node, 9_999).1, []);
    let responses = requests_and_responses(&mut node, 10_000).1;
    assert_eq!(responses, [FleetResponse::Rejected(Rejection::NoLeader)]);
}
