//! Rounds of random faults, drawn from a seed, on fleets of five to seven processes. Violations are detected from outside:
//! by which processes run, and by the tickets that the fleet lists at the end.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

use loomflow_fleet::maintenance::ticket::TicketId;
use loomflow_fleet_simulation::run_parallel;
use loomflow_test_servers::fleet::{Fleet, Plan, WAIT_TIMEOUT};
use loomflow_test_servers::relay::LinkFault;
use serde_json::Value;

use crate::quantile::quantile;
use crate::report::Report;

/// Rounds that run in parallel.
const PARALLEL_ROUNDS: usize = 3;
/// Maximum time from the last fault to the next grant, s.
const MAX_SECONDS_TO_GRANT: f64 = 10.0;

/// A grant that took longer than [`MAX_SECONDS_TO_GRANT`].
struct LateGrant {
    seed: u64,
    /// Time since the last fault; infinite if there was no grant.
    seconds: f64,
}

/// Totals of all rounds.
#[derive(Default)]
struct FaultTotals {
    rounds: u64,
    /// Rounds in which more servers were out of service at once than the rules allow.
    too_many_out: u64,
    /// Servers that shut down by themselves while no ticket of theirs had begun.
    departed_without_begin: u64,
    lost_tickets: u64,
    late_grants: Vec<LateGrant>,
    /// Time from the last fault of a round to the next grant, s.
    seconds_to_grant: Vec<f64>,
    /// Diagnostics of the rounds that failed.
    failed: Vec<String>,
}

impl FaultTotals {
    fn add(&mut self, seed: u64, round: RoundOutcome) {
        self.rounds += 1;
        self.too_many_out += u64::from(round.has_too_many_out);
        self.departed_without_begin += round.departed_without_begin;
        self.lost_tickets += round.lost_tickets;
        let seconds = round.seconds_to_grant.unwrap_or(f64::INFINITY);
        if seconds > MAX_SECONDS_TO_GRANT {
            self.late_grants.push(LateGrant { seed, seconds });
        }
        self.seconds_to_grant.extend(round.seconds_to_grant);
        if round.has_failed() {
            self.failed.push(round.diagnostics);
        }
    }

    /// Time to the next grant at a quantile, s; a dash if there was no grant.
    fn grant_quantile(&self, fraction: f64) -> String {
        quantile(&self.seconds_to_grant, fraction).map_or("-".into(), |seconds| format!("{seconds:.1}"))
    }
}

pub fn measure(report: &mut Report, quick: bool, program: &Path) {
    let rounds = if quick { 20 } else { 200 };
    let mut totals = FaultTotals::default();
    for (seed, round) in run_parallel(PARALLEL_ROUNDS, 1..rounds + 1, |seed| (seed, run_round(seed, program)))
    {
        totals.add(seed, round);
    }
    print(report, &totals);
    report.figure("fault_rounds", totals.rounds as f64);
    report.require_max("over_budget", totals.too_many_out as f64, 0.0);
    report.require_max("left_without_begin", totals.departed_without_begin as f64, 0.0);
    report.require_max("tickets_lost", totals.lost_tickets as f64, 0.0);
    report.require_max("grants_late", totals.late_grants.len() as f64, 0.0);
}

fn print(report: &Report, totals: &FaultTotals) {
    report.table(
        "Rounds of faults",
        &["rounds", "over budget", "left without a begin", "tickets lost", "next grant p50 s", "worst s"],
        vec![vec![
            totals.rounds.to_string(),
            totals.too_many_out.to_string(),
            totals.departed_without_begin.to_string(),
            totals.lost_tickets.to_string(),
            totals.grant_quantile(0.5),
            totals.grant_quantile(1.0),
        ]],
    );
    for diagnostics in totals.failed.iter().take(1) {
        println!("{diagnostics}");
    }
    for LateGrant { seed, seconds } in &totals.late_grants {
        println!("seed {seed}: the next grant came {seconds:.1} s after the last fault");
    }
}

/// Outcome of one round.
struct RoundOutcome {
    has_too_many_out: bool,
    departed_without_begin: u64,
    lost_tickets: u64,
    /// Time from the last fault to the next grant, s; `None` if there was no grant.
    seconds_to_grant: Option<f64>,
    diagnostics: String,
}

impl RoundOutcome {
    fn has_failed(&self) -> bool {
        self.has_too_many_out
            || self.departed_without_begin + self.lost_tickets > 0
            || self.seconds_to_grant.is_none()
    }
}

/// Runs a round on a fleet of its own: requests a ticket for each server, injects faults for some seconds, then ends them.
fn run_round(seed: u64, program: &Path) -> RoundOutcome {
    let mut rng = fastrand::Rng::with_seed(seed);
    let plan = plan(seed);
    let mut fleet = Fleet::start_with(plan, program).bootstrap(plan);
    let tickets: Tickets =
        (0..plan.members).map(|server| (fleet.request_ticket(0, server), server)).collect();
    let mut watch = ProcessWatch::default();
    for _ in 0..rng.usize(3..6) {
        watch.wait(&mut fleet, Duration::from_millis(rng.u64(300..1_500)));
        inject_fault(&mut fleet, &mut watch, &mut rng);
    }
    watch.wait(&mut fleet, Duration::from_millis(500));
    fleet.set_fault_on_all_links(LinkFault::default());
    // The last fault has ended once all processes run.
    watch.wait_until_all_run(&mut fleet);
    let seconds_to_grant = seconds_to_next_grant(&mut fleet, &mut watch);
    let known = stages(&fleet);
    let has_begun = |server: usize| has_begun(&fleet, &tickets, server);
    RoundOutcome {
        has_too_many_out: watch.has_too_many_out,
        departed_without_begin: watch.departed.iter().filter(|server| !has_begun(**server)).count() as u64,
        lost_tickets: tickets.keys().filter(|ticket| !known.contains_key(ticket)).count() as u64,
        seconds_to_grant,
        diagnostics: fleet.diagnostics(),
    }
}

/// Index of the server of each ticket.
type Tickets = BTreeMap<TicketId, usize>;

fn plan(seed: u64) -> Plan {
    Plan {
        members: 5 + (seed % 3) as usize,
        zones: 1 + (seed % 2) as usize,
        extra: "  begin_within_s: 3\n  warm_for_s: 1\n",
        cores: 2,
        work: Duration::from_millis(5),
        seed,
    }
}

/// Whether the history contains the start of maintenance for a ticket of the server.
fn has_begun(fleet: &Fleet, tickets: &Tickets, server: usize) -> bool {
    let events = events(fleet);
    let has_begun = |ticket: &TicketId| {
        events.iter().any(|event| event["ticket"] == *ticket && event["stage"] == "Begun")
    };
    tickets.iter().any(|(ticket, ticket_server)| *ticket_server == server && has_begun(ticket))
}

/// Injects a random fault.
fn inject_fault(fleet: &mut Fleet, watch: &mut ProcessWatch, rng: &mut fastrand::Rng) {
    let members = fleet.members.len();
    let member = rng.usize(0..members);
    match rng.usize(0..6) {
        0 if fleet.is_running(member) => {
            fleet.kill(member);
            watch.killed.insert(member, Instant::now() + Duration::from_millis(rng.u64(300..3_000)));
        }
        1 if fleet.is_running(member) => {
            fleet.pause(member);
            watch.wait(fleet, Duration::from_millis(rng.u64(200..4_000)));
            fleet.resume(member);
        }
        2 => {
            let side: Vec<usize> = (0..members).filter(|_| rng.f64() < 0.4).collect();
            fleet.isolate(&side, LinkFault { is_cut: true, ..LinkFault::default() });
        }
        3 => {
            let cut = LinkFault { is_cut: true, ..LinkFault::default() };
            fleet.set_link_fault(member, rng.usize(0..members), cut);
        }
        4 => {
            let stalled = LinkFault { is_stalled: true, ..LinkFault::default() };
            fleet.set_link_fault(member, rng.usize(0..members), stalled);
        }
        _ => {
            let (lost, delay) = (rng.f64() * 0.3, Duration::from_millis(rng.u64(0..300)));
            let fault = LinkFault { lost, duplicated: 0.2, reordered: 0.2, delay, ..LinkFault::default() };
            fleet.set_fault_on_all_links(fault);
        }
    }
}

/// Time until the next grant, or until all tickets are done, s. `None` if neither happens within three times
/// `WAIT_TIMEOUT`.
fn seconds_to_next_grant(fleet: &mut Fleet, watch: &mut ProcessWatch) -> Option<f64> {
    let since = Instant::now();
    let before = last_grant(fleet);
    let are_all_done = |fleet: &Fleet| stages(fleet).values().all(|stage| stage == "Done");
    while since.elapsed() < WAIT_TIMEOUT * 3 {
        watch.wait(fleet, Duration::from_millis(100));
        if last_grant(fleet) > before || are_all_done(fleet) {
            return Some(since.elapsed().as_secs_f64());
        }
    }
    None
}

/// Watches the processes of a fleet, and restarts those that have been down for the intended time.
#[derive(Default)]
struct ProcessWatch {
    /// Members that exited without being killed, in order.
    departed: Vec<usize>,
    /// Members that are out for maintenance, with the time of their restart.
    out: BTreeMap<usize, Instant>,
    /// Members that were killed, with the time of their restart.
    killed: BTreeMap<usize, Instant>,
    has_too_many_out: bool,
}

impl ProcessWatch {
    fn wait(&mut self, fleet: &mut Fleet, duration: Duration) {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            self.check_members(fleet);
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn check_members(&mut self, fleet: &mut Fleet) {
        for member in 0..fleet.members.len() {
            let restart_at = self.out.get(&member).or_else(|| self.killed.get(&member)).copied();
            match restart_at {
                Some(until) if Instant::now() >= until => {
                    fleet.start_member(member);
                    self.out.remove(&member);
                    self.killed.remove(&member);
                }
                None if !fleet.is_running(member) => {
                    self.departed.push(member);
                    self.out.insert(member, Instant::now() + Duration::from_millis(800));
                    self.has_too_many_out |= self.out.len() > 1;
                }
                _ => {}
            }
        }
    }

    /// Waits until every member that is out or killed has been restarted.
    fn wait_until_all_run(&mut self, fleet: &mut Fleet) {
        while !self.out.is_empty() || !self.killed.is_empty() {
            self.wait(fleet, Duration::from_millis(50));
        }
    }
}

/// The history of tickets, from the first member that responds.
fn events(fleet: &Fleet) -> Vec<Value> {
    for member in 0..fleet.members.len() {
        let (code, output, _) = fleet.run_command(member, &["work", "history", "--json"]);
        if let (0, Ok(Value::Array(events))) = (code, serde_json::from_str(&output)) {
            return events;
        }
    }
    Vec::new()
}

/// The last stage of each ticket in the history.
fn stages(fleet: &Fleet) -> BTreeMap<TicketId, String> {
    let events = events(fleet);
    let stage = |event: &Value| Some((event["ticket"].as_u64()?, event["stage"].as_str()?.to_owned()));
    events.iter().filter_map(stage).collect()
}

/// Number of the last grant in the history; 0 if there is none.
fn last_grant(fleet: &Fleet) -> u64 {
    events(fleet).iter().filter_map(|event| event["grant"].as_u64()).max().unwrap_or(0)
}
