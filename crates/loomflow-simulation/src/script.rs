//! What happens when, as data.

use loomflow_fleet::maintenance::ticket::{TicketId, Urgency};
use loomflow_fleet::member::Millis;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// One thing that happens. Machines by their number.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The process dies at once; its disk stays.
    Kill(usize),
    /// A dead one starts again.
    Start(usize),
    /// The process stands still for so long; what is sent to it waits.
    Stop(usize, Millis),
    /// Its folder is lost. Counts from its next start.
    LoseDisk(usize),
    /// Its disk takes nothing more, or does again.
    FillDisk(usize, bool),
    /// Nothing gets from the first to the second.
    Cut(usize, usize),
    /// Nothing gets between these and all others, in either way.
    Isolate(Vec<usize>),
    /// All cuts are mended.
    Mend,
    /// So much of all messages is lost, and so much is doubled, 0 to 1.
    Loss(f64, f64),
    /// The longest that a message takes, ms.
    Delay(Millis),
    /// Tickets for these are asked for by the first machine that runs.
    RequestWork(Vec<usize>, Urgency),
    Withdraw(TicketId),
    WriteOff(TicketId),
    /// What the fleet carries, in runs at once for each machine there is.
    Demand(f64),
    /// A machine that is taken out stays out so long; never to return where it is none.
    Work(usize, Option<Millis>),
    /// SIGTERM, without a ticket.
    Terminate(usize),
    /// Its module asks for this share of its usual traffic from now on, whatever it carries.
    Share(usize, f32),
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script {
    pub steps: Vec<(Millis, Fault)>,
}

impl Script {
    pub fn new(steps: impl IntoIterator<Item = (Millis, Fault)>) -> Script {
        let mut steps: Vec<_> = steps.into_iter().collect();
        steps.sort_by_key(|(at, _)| *at);
        Script { steps }
    }

    /// Tickets for all, and faults drawn from the seed between `from` and `to`; all is mended after that. Of the voters at
    /// most a minority is without its disk in the end.
    pub fn drawn(seed: u64, machines: usize, voters: usize, from: Millis, to: Millis) -> Script {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x5EED);
        let mut steps = vec![(from, Fault::RequestWork((0..machines).collect(), Urgency::Routine))];
        let mut disks = (voters - 1) / 2;
        let mut at = from;
        while at < to {
            at += rng.random_range(300..4_000);
            let one = rng.random_range(0..machines);
            match rng.random_range(0..12) {
                0 | 1 => {
                    let back = at + rng.random_range(500..9_000);
                    steps.extend([(at, Fault::Kill(one)), (back, Fault::Start(one))]);
                }
                2 | 3 => steps.push((at, Fault::Stop(one, rng.random_range(200..9_000)))),
                4 if disks > 0 => {
                    disks -= 1;
                    let back = at + rng.random_range(500..5_000);
                    let lost = rng.random_range(0..voters);
                    steps.extend([
                        (at, Fault::Kill(lost)),
                        (at, Fault::LoseDisk(lost)),
                        (back, Fault::Start(lost)),
                    ]);
                }
                5 => {
                    let full = rng.random_range(0..voters);
                    let free = at + rng.random_range(500..6_000);
                    steps.extend([(at, Fault::FillDisk(full, true)), (free, Fault::FillDisk(full, false))]);
                }
                6 => steps.push((at, Fault::Cut(one, rng.random_range(0..machines)))),
                7 | 8 => {
                    let side = (0..machines).filter(|_| rng.random_bool(0.4)).collect();
                    steps.push((at, Fault::Isolate(side)));
                }
                9 => steps.push((at, Fault::Loss(rng.random_range(0.0..0.3), rng.random_range(0.0..0.2)))),
                10 => steps.push((at, Fault::Delay(rng.random_range(5..1_500)))),
                _ => steps.push((at, Fault::Mend)),
            }
        }
        let mended = [Fault::Mend, Fault::Loss(0.0, 0.0), Fault::Delay(5)];
        steps.extend(mended.into_iter().map(|fault| (to, fault)));
        steps.extend((0..voters).map(|one| (to, Fault::FillDisk(one, false))));
        Script::new(steps.into_iter().map(|(at, fault)| (at.min(to), fault)))
    }
}
