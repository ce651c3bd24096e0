//! Rounds of faults drawn from a seed on five to seven processes, judged by their processes alone and by the tickets that
//! are known in the end.

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

/// Rounds that are played side by side.
const PARALLEL_ROUNDS: usize = 3;
/// The next grant has to come within this time after the last fault, s.
const MAX_SECONDS_TO_GRANT: f64 = 10.0;

/// A grant that came late.
struct LateGrant {
    seed: u64,
    /// From the last fault on; infinite where none came.
    seconds: f64,
}

/// What all rounds show.
#[derive(Default)]
struct FaultTotals {
    rounds: u64,
    /// Rounds in which more servers were out than the rules allow.
    too_many_out: u64,
    /// Servers that shut down by themselves while no ticket of theirs had begun.
    departed_without_begin: u64,
    lost_tickets: u64,
    late_grants: Vec<LateGrant>,
    /// From the last fault of a round to the next grant, s.
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

    /// The time within which this part of the grants came, s; a dash where there was none.
    fn grant_quantile(&self, part: f64) -> String {
        quantile(&self.seconds_to_grant, part).map_or("-".into(), |seconds| format!("{seconds:.1}"))
    }
}

pub fn measure(report: &mut Report, quick: bool, program: &Path) {
    let rounds = if quick { 20 } else { 200 };
    let mut sum = FaultTotals::default();
    for (seed, round) in
        run_parallel(PARALLEL_ROUNDS, 1..rounds + 1, |seed| (seed, play_round(seed, program)))
    {
        sum.add(seed, round);
    }
    print(report, &sum);
    report.figure("fault_rounds", sum.rounds as f64);
    report.require_max("over_budget", sum.too_many_out as f64, 0.0);
    report.require_max("left_without_begin", sum.departed_without_begin as f64, 0.0);
    report.require_max("tickets_lost", sum.lost_tickets as f64, 0.0);
    report.require_max("grants_late", sum.late_grants.len() as f64, 0.0);
}

fn print(report: &Report, sum: &FaultTotals) {
    report.table(
        "Rounds of faults",
        &["rounds", "over budget", "left without a begin", "tickets lost", "next grant p50 s", "worst s"],
        vec![vec![
            sum.rounds.to_string(),
            sum.too_many_out.to_string(),
            sum.departed_without_begin.to_string(),
            sum.lost_tickets.to_string(),
            sum.grant_quantile(0.5),
            sum.grant_quantile(1.0),
        ]],
    );
    for diagnostics in sum.failed.iter().take(1) {
        println!("{diagnostics}");
    }
    for LateGrant { seed, seconds } in &sum.late_grants {
        println!("seed {seed}: the next grant came {seconds:.1} s after the last fault");
    }
}

/// What one round shows.
struct RoundOutcome {
    has_too_many_out: bool,
    departed_without_begin: u64,
    lost_tickets: u64,
    /// From the last fault to the next grant, s; none where none came.
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

/// Plays a round on a fleet of its own: a ticket for each server, faults for some seconds, then none.
fn play_round(seed: u64, program: &Path) -> RoundOutcome {
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
    // The last fault is over when all processes run.
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

/// The server of each ticket.
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

/// Whether a ticket of a server has begun, by the history.
fn has_begun(fleet: &Fleet, tickets: &Tickets, server: usize) -> bool {
    let events = events(fleet);
    let has_begun = |ticket: &TicketId| {
        events.iter().any(|event| event["ticket"] == *ticket && event["stage"] == "Begun")
    };
    tickets.iter().any(|(ticket, of)| *of == server && has_begun(ticket))
}

/// Draws one fault and begins it.
fn inject_fault(fleet: &mut Fleet, watch: &mut ProcessWatch, rng: &mut fastrand::Rng) {
    let members = fleet.members.len();
    let member = rng.usize(0..members);
    match rng.usize(0..6) {
        0 if fleet.is_running(member) => {
            fleet.kill(member);
            watch.dead.insert(member, Instant::now() + Duration::from_millis(rng.u64(300..3_000)));
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

/// How long the next grant takes, s; none where none comes.
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

/// Looks at the processes, and starts again those that have been away for long enough.
#[derive(Default)]
struct ProcessWatch {
    /// Machines that ended by themselves.
    departed: Vec<usize>,
    /// Those that are out for maintenance, and until when.
    out: BTreeMap<usize, Instant>,
    /// Those that were killed, and until when they stay down.
    dead: BTreeMap<usize, Instant>,
    has_too_many_out: bool,
}

impl ProcessWatch {
    fn wait(&mut self, fleet: &mut Fleet, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            self.check_members(fleet);
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn check_members(&mut self, fleet: &mut Fleet) {
        for member in 0..fleet.members.len() {
            let away = self.out.get(&member).or_else(|| self.dead.get(&member)).copied();
            match away {
                Some(until) if Instant::now() >= until => {
                    fleet.start_member(member);
                    self.out.remove(&member);
                    self.dead.remove(&member);
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

    /// Waits until every member that is out or dead was started again.
    fn wait_until_all_run(&mut self, fleet: &mut Fleet) {
        while !self.out.is_empty() || !self.dead.is_empty() {
            self.wait(fleet, Duration::from_millis(50));
        }
    }
}

/// The history of tickets, from the first member that answers.
fn events(fleet: &Fleet) -> Vec<Value> {
    for member in 0..fleet.members.len() {
        let (code, output, _) = fleet.run_command(member, &["work", "history", "--json"]);
        if let (0, Ok(Value::Array(events))) = (code, serde_json::from_str(&output)) {
            return events;
        }
    }
    Vec::new()
}

/// The last stage of each ticket, by the history.
fn stages(fleet: &Fleet) -> BTreeMap<TicketId, String> {
    let events = events(fleet);
    let stage = |event: &Value| Some((event["ticket"].as_u64()?, event["stage"].as_str()?.to_owned()));
    events.iter().filter_map(stage).collect()
}

/// The number of the last grant.
fn last_grant(fleet: &Fleet) -> u64 {
    events(fleet).iter().filter_map(|event| event["grant"].as_u64()).max().unwrap_or(0)
}
