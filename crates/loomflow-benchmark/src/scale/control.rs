//! Measures the control traffic and CPU time of a fleet of the size that the operators expect: the servers' state
//! machines are simulated in virtual time, without sockets. Bytes are those of the messages, without the overhead of
//! TCP and IP.

use std::time::Duration;

use loomflow_fleet_simulation::machine::Traffic;
use loomflow_fleet_simulation::{Fault, Simulation, SimulationConfig, run_parallel};

use super::proc;
use crate::process;
use crate::report::Report;

/// Sizes of the simulated fleets with `--quick`, members.
const QUICK_SIZES: [usize; 2] = [50, 150];
/// Sizes of the simulated fleets, members; the last one is the size that the operators expect.
const SIZES: [usize; 4] = [50, 150, 300, 590];
const VOTERS: usize = 5;
/// The fleet that the operators expect is taken to have six zones in all, two in each region. This is the harder
/// interpretation of their figures, because each zone and region is larger.
const ZONES: usize = 6;
const ZONES_PER_REGION: usize = 2;
const RACK_SIZE: usize = 20;
/// Simulated time after which a new fleet has formed and is quiet, ms.
const FORMED_MS: u64 = 25_000;
/// Maximum control traffic that a server sends, bytes per second.
const MAX_BYTES_PER_S: f64 = 3.0 * 1024.0;
/// Maximum growth of a figure from 150 to 590 members, as a factor beyond the growth that its formula states. The bounded
/// figures should not grow.
const MAX_GROWTH_FACTOR: f64 = 1.2;
/// Simulations that run in parallel; not one for each core, because the machine is shared.
const THREADS: usize = 4;

/// What happens to the fleet while its traffic is measured.
#[derive(Clone, Copy, PartialEq)]
enum Event {
    Quiet,
    Restarts,
    RackLost,
    ZoneLost,
    RegionCut,
    RegionBack,
    AllRestarted,
}

const EVENTS: [(Event, &str); 7] = [
    (Event::Quiet, "quiet"),
    (Event::Restarts, "a restart every 2 s"),
    (Event::RackLost, "20 lost at once"),
    (Event::ZoneLost, "the leader's zone lost"),
    (Event::RegionCut, "the leader's region cut off"),
    (Event::RegionBack, "that region back"),
    (Event::AllRestarted, "all restarted at once"),
];

/// Mean control traffic that a member with one role sends, in messages and bytes per second.
#[derive(Clone, Copy, Default)]
struct Sent {
    messages_per_s: f64,
    bytes_per_s: f64,
    /// Maximum number of bytes that any member with this role sends in any second.
    max_bytes_per_s: f64,
}

/// Traffic of each role during an event, and the mean CPU usage of a member.
struct ControlTraffic {
    server: Sent,
    voter: Sent,
    leader: Sent,
    /// CPU usage of a member, percent of a core, including the simulation's own part.
    cpu_percent: f64,
}

pub fn measure(report: &mut Report, quick: bool) {
    let sizes: &[usize] = if quick { &QUICK_SIZES } else { &SIZES };
    let cases: Vec<(usize, Event, &str)> =
        sizes.iter().flat_map(|size| EVENTS.map(|(event, name)| (*size, event, name))).collect();
    // The memory is measured first: a later fleet would reuse memory that earlier simulations have freed, which would
    // not be counted.
    let memory_kb = memory_kb_a_member(sizes[sizes.len() - 1]);
    let traffic = run_parallel(THREADS, 0..cases.len() as u64, |index| {
        let (size, event, _) = cases[index as usize];
        simulate(size, event)
    });
    print(report, &cases, &traffic);
    let known_after_s: Vec<f64> =
        run_parallel(THREADS, 0..sizes.len() as u64, |at| death_known_s(sizes[at as usize]));
    let rows =
        sizes.iter().zip(&known_after_s).map(|(size, known)| vec![size.to_string(), format!("{known:.1}")]);
    report.table("A death in simulation", &["members", "known to all after s"], rows.collect());
    let quiet = |size: usize| {
        let index =
            cases.iter().position(|(case_size, event, _)| *case_size == size && *event == Event::Quiet);
        &traffic[index.expect("quiet fleets of every size are simulated")]
    };
    let (middle, largest) = (quiet(150), quiet(sizes[sizes.len() - 1]));
    report.require_max("control_bytes_a_second", largest.server.bytes_per_s, MAX_BYTES_PER_S);
    report.require_max(
        "control_bytes_bend",
        largest.server.bytes_per_s / middle.server.bytes_per_s,
        MAX_GROWTH_FACTOR,
    );
    report.require_max(
        "control_messages_bend",
        largest.server.messages_per_s / middle.server.messages_per_s,
        MAX_GROWTH_FACTOR,
    );
    report.figure("member_kb_simulated", memory_kb.round());
    report.figure("leader_bytes_a_second", largest.leader.bytes_per_s.round());
}

fn print(report: &Report, cases: &[(usize, Event, &str)], traffic: &[ControlTraffic]) {
    let sent = |sent: Sent| {
        [
            format!("{:.1}", sent.messages_per_s),
            format!("{:.0}", sent.bytes_per_s),
            format!("{:.0}", sent.max_bytes_per_s),
        ]
    };
    let row = |((size, _, name), traffic): (&(usize, Event, &str), &ControlTraffic)| {
        let mut row = vec![(*name).to_owned(), size.to_string()];
        row.extend([traffic.server, traffic.voter, traffic.leader].into_iter().flat_map(sent));
        row.push(format!("{:.3}", traffic.cpu_percent));
        row
    };
    report.table(
        "Control in simulation: sent a second by a server, a voter that follows, the leader (most: of any in any second)",
        &[
            "what happens",
            "members",
            "server messages",
            "bytes",
            "most",
            "voter messages",
            "bytes",
            "most",
            "leader messages",
            "bytes",
            "most",
            "mean % of a core",
        ],
        cases.iter().zip(traffic).map(row).collect(),
    );
}

fn simulate(machines: usize, event: Event) -> ControlTraffic {
    let mut simulation = formed(machines);
    if event == Event::RegionBack {
        cut_region(&mut simulation);
        run_for(&mut simulation, 60_000);
        simulation.inject(&Fault::HealNetwork);
    }
    inject_event(&mut simulation, event);
    let seconds = 30;
    let mut monitor = TrafficMonitor::new(&simulation);
    let cpu = proc::own_thread_cpu_ns();
    for second in 0..seconds {
        if event == Event::Restarts && second % 2 == 0 {
            restart(&mut simulation, VOTERS + second % (machines - VOTERS));
        }
        run_for(&mut simulation, 1_000);
        monitor.second(&simulation);
    }
    let cpu = Duration::from_nanos(proc::own_thread_cpu_ns() - cpu).as_secs_f64();
    let cpu_percent = cpu / seconds as f64 / machines as f64 * 100.0;
    let [server, voter, leader] = monitor.roles.map(MemberTotals::sent);
    ControlTraffic { server, voter, leader, cpu_percent }
}

/// A fleet that has formed and is quiet.
fn formed(machines: usize) -> Simulation {
    let mut simulation = Simulation::new(
        SimulationConfig { machines, voters: VOTERS, zones: ZONES, ..SimulationConfig::default() },
        3,
    );
    simulation.invariants.compares_states = false;
    run_for(&mut simulation, FORMED_MS);
    simulation
}

fn run_for(simulation: &mut Simulation, duration_ms: u64) {
    let until = simulation.now + duration_ms;
    simulation.run_until(until).expect("no invariant of the fleet is violated");
}

/// Injects the event. [`Event::Restarts`] is injected during the measurement, [`Event::RegionBack`] before it.
fn inject_event(simulation: &mut Simulation, event: Event) {
    let machines = simulation.machines.len();
    match event {
        Event::Quiet | Event::Restarts | Event::RegionBack => {}
        Event::RackLost => {
            (machines - RACK_SIZE..machines).for_each(|machine| simulation.inject(&Fault::Kill(machine)));
        }
        Event::ZoneLost => {
            let zone = leader(simulation) % ZONES;
            let lost = (0..machines).filter(|machine| machine % ZONES == zone);
            lost.for_each(|machine| simulation.inject(&Fault::Kill(machine)));
        }
        Event::RegionCut => cut_region(simulation),
        Event::AllRestarted => (0..machines).for_each(|machine| restart(simulation, machine)),
    }
}

fn restart(simulation: &mut Simulation, machine: usize) {
    simulation.inject(&Fault::Kill(machine));
    simulation.inject(&Fault::Start(machine));
}

/// Isolates the region of the leader.
fn cut_region(simulation: &mut Simulation) {
    let region = |machine: usize| machine % ZONES / ZONES_PER_REGION;
    let cut = region(leader(simulation));
    let side = (0..simulation.machines.len()).filter(|machine| region(*machine) == cut).collect();
    simulation.inject(&Fault::Isolate(side));
}

fn leader(simulation: &Simulation) -> usize {
    simulation.leader().unwrap_or(0)
}

/// Control traffic that all members with one role have sent so far. `max_bytes` is the maximum of one member in one
/// second.
#[derive(Clone, Copy, Default)]
struct MemberTotals {
    member_seconds: u64,
    messages: u64,
    bytes: u64,
    max_bytes: u64,
}

impl MemberTotals {
    fn sent(self) -> Sent {
        let each = |count: u64| count as f64 / self.member_seconds.max(1) as f64;
        Sent {
            messages_per_s: each(self.messages),
            bytes_per_s: each(self.bytes),
            max_bytes_per_s: self.max_bytes as f64,
        }
    }
}

/// Counts the traffic of each member, second by second.
struct TrafficMonitor {
    before: Vec<Traffic>,
    /// Totals of members without a vote, of followers among the voters, and of the leader.
    roles: [MemberTotals; 3],
}

impl TrafficMonitor {
    fn new(simulation: &Simulation) -> TrafficMonitor {
        TrafficMonitor { before: sent_by_all(simulation), roles: [MemberTotals::default(); 3] }
    }

    /// Adds the traffic of the second that has just passed. A machine that does not run sends nothing and is not
    /// counted.
    fn second(&mut self, simulation: &Simulation) {
        let (now, leader) = (sent_by_all(simulation), simulation.leader());
        let is_running = |machine: &usize| simulation.machines[*machine].node.is_some();
        for machine in (0..simulation.machines.len()).filter(is_running) {
            let role = match machine {
                machine if Some(machine) == leader => 2,
                machine if machine < VOTERS => 1,
                _ => 0,
            };
            let messages = now[machine].messages - self.before[machine].messages;
            let bytes = now[machine].bytes - self.before[machine].bytes;
            let totals = &mut self.roles[role];
            totals.member_seconds += 1;
            totals.messages += messages;
            totals.bytes += bytes;
            totals.max_bytes = totals.max_bytes.max(bytes);
        }
        self.before = now;
    }
}

fn sent_by_all(simulation: &Simulation) -> Vec<Traffic> {
    simulation.machines.iter().map(|machine| machine.sent).collect()
}

/// Time from the death of a member until every other member considers it down, s.
fn death_known_s(machines: usize) -> f64 {
    let mut simulation = formed(machines);
    let (last, died) = (machines - 1, simulation.now);
    simulation.inject(&Fault::Kill(last));
    while !simulation.is_known_down(last) && simulation.now < died + 120_000 {
        run_for(&mut simulation, 100);
    }
    (simulation.now - died) as f64 / 1000.0
}

/// Memory of this process for each member of a simulated fleet, KB: its state machine and its part of the simulation.
fn memory_kb_a_member(machines: usize) -> f64 {
    let pid = std::process::id();
    let before = process::memory(pid);
    let _simulation = formed(machines);
    (process::memory(pid) - before) * 1024.0 / machines as f64
}
