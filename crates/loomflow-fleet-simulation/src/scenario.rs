//! What happens when, as data.

use loomflow_fleet::maintenance::ticket::{TicketId, Urgency};
use loomflow_fleet::time::IntegerMillis;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::config::MachineId;

/// Kinds of faults that [`Scenario::random`] draws from.
const RANDOM_FAULT_KINDS: u32 = 12;

/// One thing that happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The process dies at once; its disk stays.
    Kill(MachineId),
    /// A dead one starts again.
    Start(MachineId),
    /// The process stands still for this long, ms; what is sent to it waits.
    Stop(MachineId, IntegerMillis),
    /// Its disk is lost. Counts from its next start.
    LoseDisk(MachineId),
    /// Its disk takes nothing more, or does again.
    FillDisk(MachineId, bool),
    /// Nothing gets from the first to the second.
    CutLink(MachineId, MachineId),
    /// Nothing gets between these and all others, in either direction.
    Isolate(Vec<MachineId>),
    /// All cut links work again.
    HealNetwork,
    /// This fraction of all messages is lost, and this one is sent twice, 0 to 1.
    SetLoss(f64, f64),
    /// Maximum delay of a message, ms.
    SetMaxDelay(IntegerMillis),
    /// Tickets for these are requested at the first machine that runs.
    RequestWork(Vec<MachineId>, Urgency),
    /// An operator takes a ticket back.
    Withdraw(TicketId),
    /// An operator gives a ticket's machine up.
    Abandon(TicketId),
    /// The fleet's load, in concurrent runs for each machine there is.
    SetLoad(f64),
    /// A machine that is taken out stays out this long, ms; none where it never comes back.
    SetMaintenance(MachineId, Option<IntegerMillis>),
    /// SIGTERM, without a ticket.
    Terminate(MachineId),
    /// Its controller requests this share of its usual traffic from now on, whatever its load.
    SetShare(MachineId, f32),
}

/// Faults with their moments, in their order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scenario {
    /// The moment of each fault, ms.
    pub steps: Vec<(IntegerMillis, Fault)>,
}

impl Scenario {
    /// Puts faults in their order.
    pub fn new(steps: impl IntoIterator<Item = (IntegerMillis, Fault)>) -> Scenario {
        let mut steps: Vec<_> = steps.into_iter().collect();
        steps.sort_by_key(|(at, _)| *at);
        Scenario { steps }
    }

    /// Tickets for all, and faults drawn from the seed between `from` and `to`; all is repaired after that. Of the voters at
    /// most a minority is without its disk in the end.
    pub fn random(
        seed: u64,
        machines: usize,
        voters: usize,
        from: IntegerMillis,
        to: IntegerMillis,
    ) -> Scenario {
        let mut drawing = Drawing {
            rng: SmallRng::seed_from_u64(seed ^ 0x5EED),
            machines,
            voters,
            disks_to_lose: (voters - 1) / 2,
            steps: vec![(from, Fault::RequestWork((0..machines).collect(), Urgency::Routine))],
        };
        let mut at = from;
        while at < to {
            at += drawing.rng.random_range(300..4_000);
            drawing.draw_fault(at);
        }
        let mut steps = drawing.steps;
        let repairs = [Fault::HealNetwork, Fault::SetLoss(0.0, 0.0), Fault::SetMaxDelay(5)];
        steps.extend(repairs.into_iter().map(|fault| (to, fault)));
        steps.extend((0..voters).map(|voter| (to, Fault::FillDisk(voter, false))));
        Scenario::new(steps.into_iter().map(|(at, fault)| (at.min(to), fault)))
    }
}

/// A scenario that is being drawn.
struct Drawing {
    rng: SmallRng,
    machines: usize,
    voters: usize,
    /// Voters whose disk may still be lost.
    disks_to_lose: usize,
    steps: Vec<(IntegerMillis, Fault)>,
}

impl Drawing {
    /// Draws one fault, with its repair where it has one of its own.
    fn draw_fault(&mut self, at: IntegerMillis) {
        let machine = self.rng.random_range(0..self.machines);
        match self.rng.random_range(0..RANDOM_FAULT_KINDS) {
            0 | 1 => {
                let restart = at + self.rng.random_range(500..9_000);
                self.steps.extend([(at, Fault::Kill(machine)), (restart, Fault::Start(machine))]);
            }
            2 | 3 => {
                let span = self.rng.random_range(200..9_000);
                self.steps.push((at, Fault::Stop(machine, span)));
            }
            4 if self.disks_to_lose > 0 => self.draw_lost_disk(at),
            5 => {
                let voter = self.rng.random_range(0..self.voters);
                let freed_at = at + self.rng.random_range(500..6_000);
                let faults = [(at, Fault::FillDisk(voter, true)), (freed_at, Fault::FillDisk(voter, false))];
                self.steps.extend(faults);
            }
            6 => {
                let to = self.rng.random_range(0..self.machines);
                self.steps.push((at, Fault::CutLink(machine, to)));
            }
            7 | 8 => {
                let side = (0..self.machines).filter(|_| self.rng.random_bool(0.4)).collect();
                self.steps.push((at, Fault::Isolate(side)));
            }
            9 => {
                let (loss, duplication) = (self.rng.random_range(0.0..0.3), self.rng.random_range(0.0..0.2));
                self.steps.push((at, Fault::SetLoss(loss, duplication)));
            }
            10 => {
                let delay = self.rng.random_range(5..1_500);
                self.steps.push((at, Fault::SetMaxDelay(delay)));
            }
            _ => self.steps.push((at, Fault::HealNetwork)),
        }
    }

    fn draw_lost_disk(&mut self, at: IntegerMillis) {
        self.disks_to_lose -= 1;
        let restart = at + self.rng.random_range(500..5_000);
        let voter = self.rng.random_range(0..self.voters);
        self.steps.extend([
            (at, Fault::Kill(voter)),
            (at, Fault::LoseDisk(voter)),
            (restart, Fault::Start(voter)),
        ]);
    }
}
