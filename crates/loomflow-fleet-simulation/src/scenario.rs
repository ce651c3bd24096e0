//! Scenarios: faults and operator requests with their times, scripted or random.

use loomflow_fleet::maintenance::ticket::{TicketId, Urgency};
use loomflow_fleet::time::IntegerMillis;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::config::MachineId;

/// Number of equally likely cases in [`ScenarioGenerator::add_random_fault`].
const RANDOM_FAULT_KINDS: u32 = 12;

/// A fault, an operator's request or a change of the conditions, to be injected into a simulation.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Kills the process of a machine; its disk is kept.
    Kill(MachineId),
    /// Starts the process of a machine, unless it runs.
    Start(MachineId),
    /// Pauses the process for a duration, ms (SIGSTOP); messages to it are delivered when it resumes.
    Stop(MachineId, IntegerMillis),
    /// Replaces the machine's disk by an empty one, which the process uses from its next start.
    LoseDisk(MachineId),
    /// Sets whether the machine's disk is full, so that every write fails.
    FillDisk(MachineId, bool),
    /// Drops all messages from the first machine to the second; the other direction still works.
    CutLink(MachineId, MachineId),
    /// Cuts all links between these machines and all others, in both directions.
    Isolate(Vec<MachineId>),
    /// Restores all cut links.
    HealNetwork,
    /// Sets the fraction of messages that is lost and the fraction that is duplicated, 0 to 1 each.
    SetLoss(f64, f64),
    /// Sets the maximum delay of a message, ms.
    SetMaxDelay(IntegerMillis),
    /// Requests tickets for these machines, at the first machine that serves and is not paused.
    RequestWork(Vec<MachineId>, Urgency),
    /// Withdraws a ticket, as an operator.
    Withdraw(TicketId),
    /// Abandons a ticket, as an operator: its machine is not expected to return.
    Abandon(TicketId),
    /// Sets the fleet's load, in concurrent runs per machine of the fleet, serving or not.
    SetLoad(f64),
    /// Sets the duration of a machine's maintenance, ms; `None` if it never restarts.
    SetMaintenance(MachineId, Option<IntegerMillis>),
    /// Sends SIGTERM to a server, which then drains without a ticket.
    Terminate(MachineId),
    /// Fixes the send share of a machine's controller, 0 to 1, whatever its load.
    SetShare(MachineId, f32),
}

/// Faults ordered by time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scenario {
    /// Each fault with its time in virtual time, ms, in ascending order.
    pub steps: Vec<(IntegerMillis, Fault)>,
}

impl Scenario {
    /// Creates a scenario, sorted by time; faults at the same time keep their order.
    pub fn new(steps: impl IntoIterator<Item = (IntegerMillis, Fault)>) -> Scenario {
        let mut steps: Vec<_> = steps.into_iter().collect();
        steps.sort_by_key(|(at, _)| *at);
        Scenario { steps }
    }

    /// Creates a random scenario: tickets for all machines are requested at `from`, faults follow until `to`,
    /// and at `to` the network and the disks of the voters are repaired. At most a minority of the voters
    /// loses its disk.
    pub fn random(
        seed: u64,
        machines: usize,
        voters: usize,
        from: IntegerMillis,
        to: IntegerMillis,
    ) -> Scenario {
        let mut generator = ScenarioGenerator {
            rng: SmallRng::seed_from_u64(seed ^ 0x5EED),
            machines,
            voters,
            remaining_disk_losses: (voters - 1) / 2,
            steps: vec![(from, Fault::RequestWork((0..machines).collect(), Urgency::Routine))],
        };
        let mut at = from;
        while at < to {
            at += generator.rng.random_range(300..4_000);
            generator.add_random_fault(at);
        }
        let mut steps = generator.steps;
        let repairs = [Fault::HealNetwork, Fault::SetLoss(0.0, 0.0), Fault::SetMaxDelay(5)];
        steps.extend(repairs.into_iter().map(|fault| (to, fault)));
        steps.extend((0..voters).map(|voter| (to, Fault::FillDisk(voter, false))));
        Scenario::new(steps.into_iter().map(|(at, fault)| (at.min(to), fault)))
    }
}

/// Generates the faults of a random scenario.
struct ScenarioGenerator {
    rng: SmallRng,
    machines: usize,
    voters: usize,
    /// Number of voters whose disk may still be lost.
    remaining_disk_losses: usize,
    steps: Vec<(IntegerMillis, Fault)>,
}

impl ScenarioGenerator {
    /// Adds a random fault at `at` and, for a killed process or a full disk, its later restart or
    /// repair.
    fn add_random_fault(&mut self, at: IntegerMillis) {
        let machine = self.rng.random_range(0..self.machines);
        match self.rng.random_range(0..RANDOM_FAULT_KINDS) {
            0 | 1 => {
                let restart = at + self.rng.random_range(500..9_000);
                self.steps.extend([(at, Fault::Kill(machine)), (restart, Fault::Start(machine))]);
            }
            2 | 3 => {
                let duration_millis = self.rng.random_range(200..9_000);
                self.steps.push((at, Fault::Stop(machine, duration_millis)));
            }
            4 if self.remaining_disk_losses > 0 => self.add_disk_loss(at),
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

    /// Adds the loss of a random voter's disk, with a restart of the voter.
    fn add_disk_loss(&mut self, at: IntegerMillis) {
        self.remaining_disk_losses -= 1;
        let restart = at + self.rng.random_range(500..5_000);
        let voter = self.rng.random_range(0..self.voters);
        self.steps.extend([
            (at, Fault::Kill(voter)),
            (at, Fault::LoseDisk(voter)),
            (restart, Fault::Start(voter)),
        ]);
    }
}
