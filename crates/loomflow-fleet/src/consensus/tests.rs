use super::storage::MemoryStorage;
use super::*;
use crate::maintenance::state::MaintenanceState;
use raft::eraftpb::MessageType;

const GROUP: u64 = 3;

fn bootstrapped() -> Consensus<MaintenanceState> {
    let mut consensus = Consensus::start("n0".into(), Box::new(MemoryStorage::default()), 7, 1, 0);
    consensus.bootstrap(GROUP).unwrap();
    consensus
}

fn heartbeat_response(to: u64) -> Vec<u8> {
    let mut message = Message { to, from: 9, term: 1, ..Message::default() };
    message.set_msg_type(MessageType::MsgHeartbeatResponse);
    encode(&message).unwrap()
}

#[test]
fn messages_for_another_group_or_replica_are_rejected() {
    let mut consensus = bootstrapped();
    let replica = consensus.replica();
    assert!(consensus.is_leader());
    consensus.step(&"n1".into(), GROUP + 1, &heartbeat_response(replica.id));
    assert_eq!((consensus.replica(), consensus.rejected), (replica, 1), "message for another group");
    consensus.step(&"n1".into(), GROUP, &heartbeat_response(replica.id + 1));
    assert_eq!((consensus.replica(), consensus.rejected), (replica, 2), "message for another replica");
    consensus.step(&"n1".into(), GROUP, b"not a message");
    assert_eq!(consensus.rejected, 3, "malformed message");
    assert!(consensus.is_leader());
}

#[test]
fn a_voter_without_a_group_joins_the_group_of_the_leader_that_admits_it() {
    let mut consensus: Consensus<MaintenanceState> =
        Consensus::start("n0".into(), Box::new(MemoryStorage::default()), 7, 1, 0);
    let id = consensus.replica().id;
    consensus.step(&"n1".into(), GROUP, &heartbeat_response(id + 1));
    assert_eq!((consensus.replica().group, consensus.rejected), (0, 1), "message for another replica");
    consensus.step(&"n1".into(), GROUP, &heartbeat_response(id));
    assert_eq!(consensus.replica().group, GROUP);
    assert!(matches!(consensus.bootstrap(GROUP + 1), Err(ConsensusError::AlreadyInFleet)));
}
