//! What control costs at the operators' size, in simulation: the servers' own state machines in virtual time, without
//! sockets. Bytes are those of the messages; what TCP and IP add is not in them.

use std::time::Duration;

use loomflow_fleet_simulation::machine::Traffic;
use loomflow_fleet_simulation::{Fault, Simulation, SimulationConfig, run_parallel};

use super::proc;
use crate::process;
use crate::report::Report;

/// Fleets that are simulated; the last of them is the operators' size.
const QUICK_SIZES: [usize; 2] = [50, 150];
const SIZES: [usize; 4] = [50, 150, 300, 590];
const VOTERS: usize = 5;
/// Six zones in all, two to a region: the harder reading, as each zone and region is larger.
const ZONES: usize = 6;
const ZONES_PER_REGION: usize = 2;
const RACK_SIZE: usize = 20;
/// A new fleet is quiet by then, ms.
const FORMED_MS: u64 = 25_000;
/// A server may spend 3 KB a second on control.
const MAX_BYTES_PER_S: f64 = 3.0 * 1024.0;
/// From 150 to 590 members a figure may grow by this factor more than the growth that its formula states.
const MAX_GROWTH_FACTOR: f64 = 1.2;
/// Plays at once: the machine is shared.
const THREADS: usize = 4;

/// What happens to the fleet while its traffic is watched.
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

/// Bytes and messages that one kind of member sends a second.
#[derive(Clone, Copy, Default)]
struct Sent {
    messages_per_s: f64,
    bytes_per_s: f64,
    /// Of any member of the kind in any one second.
    max_bytes_per_s: f64,
}

struct ControlTraffic {
    server: Sent,
    voter: Sent,
    leader: Sent,
    cpu_percent: f64,
}

pub fn measure(report: &mut Report, quick: bool) {
    let sizes: &[usize] = if quick { &QUICK_SIZES } else { &SIZES };
    let cases: Vec<(usize, Event, &str)> =
        sizes.iter().flat_map(|size| EVENTS.map(|(event, name)| (*size, event, name))).collect();
    // First, so that no memory that was freed meanwhile is used again.
    let memory_kb = memory_kb_a_member(sizes[sizes.len() - 1]);
    let plays = run_parallel(THREADS, 0..cases.len() as u64, |at| {
        let (size, event, _) = cases[at as usize];
        play(size, event)
    });
    print(report, &cases, &plays);
    let known: Vec<f64> =
        run_parallel(THREADS, 0..sizes.len() as u64, |at| death_known_s(sizes[at as usize]));
    let rows = sizes.iter().zip(&known).map(|(size, known)| vec![size.to_string(), format!("{known:.1}")]);
    report.table("A death in simulation", &["members", "known to all after s"], rows.collect());
    let quiet = |size: usize| {
        let at = cases.iter().position(|(of, event, _)| *of == size && *event == Event::Quiet);
        &plays[at.expect("it was played")]
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

fn print(report: &Report, cases: &[(usize, Event, &str)], plays: &[ControlTraffic]) {
    let sent = |sent: Sent| {
        [
            format!("{:.1}", sent.messages_per_s),
            format!("{:.0}", sent.bytes_per_s),
            format!("{:.0}", sent.max_bytes_per_s),
        ]
    };
    let row = |((size, _, name), play): (&(usize, Event, &str), &ControlTraffic)| {
        let mut row = vec![(*name).to_owned(), size.to_string()];
        row.extend([play.server, play.voter, play.leader].into_iter().flat_map(sent));
        row.push(format!("{:.3}", play.cpu_percent));
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
        cases.iter().zip(plays).map(row).collect(),
    );
}

fn play(machines: usize, event: Event) -> ControlTraffic {
    let mut simulation = formed(machines);
    if event == Event::RegionBack {
        cut_region(&mut simulation);
        go(&mut simulation, 60_000);
        simulation.inject(&Fault::HealNetwork);
    }
    begin(&mut simulation, event);
    let seconds = 30;
    let mut monitor = TrafficMonitor::new(&simulation);
    let cpu = proc::own_thread_cpu_ns();
    for second in 0..seconds {
        if event == Event::Restarts && second % 2 == 0 {
            restart(&mut simulation, VOTERS + second % (machines - VOTERS));
        }
        go(&mut simulation, 1_000);
        monitor.second(&simulation);
    }
    let cpu = Duration::from_nanos(proc::own_thread_cpu_ns() - cpu).as_secs_f64();
    let cpu_percent = cpu / seconds as f64 / machines as f64 * 100.0;
    let [server, voter, leader] = monitor.kinds.map(MemberTotals::sent);
    ControlTraffic { server, voter, leader, cpu_percent }
}

/// A quiet fleet.
fn formed(machines: usize) -> Simulation {
    let mut simulation = Simulation::new(
        SimulationConfig { machines, voters: VOTERS, zones: ZONES, ..SimulationConfig::default() },
        3,
    );
    simulation.invariants.compares_states = false;
    go(&mut simulation, FORMED_MS);
    simulation
}

fn go(simulation: &mut Simulation, span_ms: u64) {
    let until = simulation.now + span_ms;
    simulation.run_until(until).expect("no rule of the fleet is broken");
}

fn begin(simulation: &mut Simulation, event: Event) {
    let machines = simulation.machines.len();
    match event {
        Event::Quiet | Event::Restarts | Event::RegionBack => {}
        Event::RackLost => {
            (machines - RACK_SIZE..machines).for_each(|one| simulation.inject(&Fault::Kill(one)));
        }
        Event::ZoneLost => {
            let zone = leader(simulation) % ZONES;
            let lost = (0..machines).filter(|one| one % ZONES == zone);
            lost.for_each(|one| simulation.inject(&Fault::Kill(one)));
        }
        Event::RegionCut => cut_region(simulation),
        Event::AllRestarted => (0..machines).for_each(|one| restart(simulation, one)),
    }
}

fn restart(simulation: &mut Simulation, one: usize) {
    simulation.inject(&Fault::Kill(one));
    simulation.inject(&Fault::Start(one));
}

/// Cuts off the region in which the leader stands.
fn cut_region(simulation: &mut Simulation) {
    let region = |one: usize| one % ZONES / ZONES_PER_REGION;
    let cut = region(leader(simulation));
    let side = (0..simulation.machines.len()).filter(|one| region(*one) == cut).collect();
    simulation.inject(&Fault::Isolate(side));
}

fn leader(simulation: &Simulation) -> usize {
    simulation.leader().unwrap_or(0)
}

/// What members of one kind have sent so far.
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

/// Watches what each member sends, second by second.
struct TrafficMonitor {
    before: Vec<Traffic>,
    /// Servers, voters that follow, the leader.
    kinds: [MemberTotals; 3],
}

impl TrafficMonitor {
    fn new(simulation: &Simulation) -> TrafficMonitor {
        TrafficMonitor { before: sent_by_all(simulation), kinds: [MemberTotals::default(); 3] }
    }

    /// Counts the second that has just passed. A machine that is dead sends nothing and does not count.
    fn second(&mut self, simulation: &Simulation) {
        let (now, leader) = (sent_by_all(simulation), simulation.leader());
        let here = |one: &usize| simulation.machines[*one].node.is_some();
        for one in (0..simulation.machines.len()).filter(here) {
            let kind = match one {
                one if Some(one) == leader => 2,
                one if one < VOTERS => 1,
                _ => 0,
            };
            let messages = now[one].messages - self.before[one].messages;
            let bytes = now[one].bytes - self.before[one].bytes;
            let kind = &mut self.kinds[kind];
            kind.member_seconds += 1;
            kind.messages += messages;
            kind.bytes += bytes;
            kind.max_bytes = kind.max_bytes.max(bytes);
        }
        self.before = now;
    }
}

fn sent_by_all(simulation: &Simulation) -> Vec<Traffic> {
    simulation.machines.iter().map(|machine| machine.sent).collect()
}

/// How long it takes until every member knows that one has died, s.
fn death_known_s(machines: usize) -> f64 {
    let mut simulation = formed(machines);
    let (last, died) = (machines - 1, simulation.now);
    simulation.inject(&Fault::Kill(last));
    while !simulation.is_known_down(last) && simulation.now < died + 120_000 {
        go(&mut simulation, 100);
    }
    (simulation.now - died) as f64 / 1000.0
}

/// Memory that this process takes for each member of a simulated fleet, KB: state machines and simulation together.
fn memory_kb_a_member(machines: usize) -> f64 {
    let own = std::process::id();
    let before = process::memory(own);
    let _world = formed(machines);
    (process::memory(own) - before) * 1024.0 / machines as f64
}
