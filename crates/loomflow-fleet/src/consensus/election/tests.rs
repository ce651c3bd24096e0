use super::*;
use crate::consensus::storage::MemoryStorage;
use crate::maintenance::state::MaintenanceState;

const GROUP: u64 = 3;
const VOTERS: usize = 3;

/// Three voters, the first of which leads; messages arrive at once.
struct Voters {
    voters: Vec<Consensus<MaintenanceState>>,
    /// The one that no message reaches, and none leaves.
    unreachable: Option<usize>,
}

fn name(voter: usize) -> ServerName {
    format!("n{voter}")
}

impl Voters {
    fn elected() -> Voters {
        let start =
            |voter| Consensus::start(name(voter), Box::new(MemoryStorage::default()), voter as u64 + 1, 1, 0);
        let mut voters = Voters { voters: (0..VOTERS).map(start).collect(), unreachable: None };
        voters.voters[0].bootstrap(GROUP).unwrap();
        let wanted: Vec<(ServerName, Option<u64>)> =
            (0..VOTERS).map(|voter| (name(voter), Some(voters.voters[voter].replica().id))).collect();
        let mut now = 0;
        while voters.voters.iter().any(|voter| voter.voters().len() < VOTERS) {
            now += TICK_MILLIS;
            voters.voters[0].change_voters_towards(&wanted);
            voters.voters.iter_mut().for_each(|voter| voter.tick(now));
            voters.deliver();
            assert!(now < 60_000, "they do not form a group");
        }
        voters
    }

    /// Delivers messages until there are none.
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
fn the_voter_with_the_most_complete_log_leads_next() {
    for (behind, next_leader) in [(1, 2), (2, 1)] {
        let mut voters = Voters::elected();
        voters.unreachable = Some(behind);
        voters.voters[0].propose(b"an entry".to_vec()).unwrap();
        voters.deliver();
        voters.unreachable = None;
        assert!(voters.voters[0].transfer_leadership(&|_| true));
        voters.deliver();
        assert_eq!(voters.voters[0].leader(), Some(&name(next_leader)), "n{behind} lags");
    }
}
