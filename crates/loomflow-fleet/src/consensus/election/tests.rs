use super::*;
use crate::consensus::storage::MemoryStorage;
use crate::maintenance::state::MaintenanceState;

const GROUP: u64 = 3;
const VOTERS: usize = 3;

/// A Raft group of three voters, led by the first one, with instant message delivery.
struct Group {
    voters: Vec<Consensus<MaintenanceState>>,
    /// The voter whose messages are dropped in both directions.
    unreachable: Option<usize>,
}

fn name(voter: usize) -> ServerName {
    format!("n{voter}")
}

impl Group {
    fn formed() -> Group {
        let start =
            |voter| Consensus::start(name(voter), Box::new(MemoryStorage::default()), voter as u64 + 1, 1, 0);
        let mut group = Group { voters: (0..VOTERS).map(start).collect(), unreachable: None };
        group.voters[0].bootstrap(GROUP).unwrap();
        let desired: Vec<(ServerName, Option<u64>)> =
            (0..VOTERS).map(|voter| (name(voter), Some(group.voters[voter].replica().id))).collect();
        let mut now = 0;
        while group.voters.iter().any(|voter| voter.voters().len() < VOTERS) {
            now += TICK_MILLIS;
            group.voters[0].reconcile_voters(&desired);
            group.voters.iter_mut().for_each(|voter| voter.tick(now));
            group.deliver();
            assert!(now < 60_000, "not all {VOTERS} voters are in the group after {now} ms");
        }
        group
    }

    /// Delivers messages until no voter sends any.
    fn deliver(&mut self) {
        loop {
            let mut is_idle = true;
            for from in 0..VOTERS {
                for (to, bytes) in self.voters[from].take_messages() {
                    is_idle = false;
                    let to = (0..VOTERS).find(|voter| name(*voter) == to).unwrap();
                    if ![Some(from), Some(to)].contains(&self.unreachable) {
                        self.voters[to].step(&name(from), GROUP, &bytes);
                    }
                }
            }
            if is_idle {
                return;
            }
        }
    }
}

#[test]
fn leadership_is_transferred_to_the_voter_with_the_most_complete_log() {
    for (behind, next_leader) in [(1, 2), (2, 1)] {
        let mut group = Group::formed();
        group.unreachable = Some(behind);
        group.voters[0].propose(b"an entry".to_vec()).unwrap();
        group.deliver();
        group.unreachable = None;
        assert!(group.voters[0].transfer_leadership(&|_| true));
        group.deliver();
        assert_eq!(group.voters[0].leader(), Some(&name(next_leader)), "n{behind} lags");
    }
}
