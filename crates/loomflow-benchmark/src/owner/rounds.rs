//! Rounds of faults on five real servers with twenty duties. A round is one fault, drawn from the seed: servers killed,
//! terminated, stopped with all that they started, isolated, links that lose and delay. The receiver alone judges.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

use loomflow_fleet::duty::{DutyName, Token};
use loomflow_fleet::member::ServerName;
use loomflow_fleet_simulation::run_parallel;
use loomflow_test_servers::fleet::{Fleet, Plan, WAIT_TIMEOUT};
use loomflow_test_servers::relay::LinkFault;
use serde_json::Value;

use super::effects::{Effect, Receiver};
use super::judge::{HistoryViolations, judge};
use crate::quantile::quantile;
use crate::report::Report;

const MEMBERS: usize = 5;
const DUTIES: usize = 20;
const LEASE_S: f64 = 2.0;
/// Settings of the fleet and its duties, without the jobs.
const DUTY_OPTIONS: &str = "  begin_within_s: 3\n  warm_for_s: 1\n  duties:\n    lease_s: 2\n    attempts: 100\n    programs: \
                            true\n    jobs:\n";
/// Fleets side by side, each with its part of the rounds.
const FLEETS: u64 = 2;
/// Every duty has an owner again within this time after the last fault, s.
const MAX_SECONDS_WITHOUT_OWNER: f64 = 10.0;

/// What all rounds show.
#[derive(Default)]
struct RoundTotals {
    rounds: u64,
    violations: HistoryViolations,
    /// Rounds after which a duty was without an owner for too long.
    without_owner: u64,
    /// How long a duty was without an owner after a kill, s.
    seconds_after_kill: Vec<f64>,
    /// The same after a server was terminated.
    seconds_after_terminate: Vec<f64>,
    /// Duties that changed their owner when a server was killed.
    migrated: u64,
    /// Duties that the killed servers owned.
    owned_by_dead: u64,
    diagnostics: Vec<String>,
}

impl RoundTotals {
    /// Duties that changed their owner over those that had to.
    fn migration_ratio(&self) -> f64 {
        self.migrated as f64 / self.owned_by_dead.max(1) as f64
    }
}

pub fn measure(report: &mut Report, quick: bool, program: &Path) {
    let rounds = if quick { 50 } else { 1_000 };
    let fenced = play(rounds, true, program);
    let unfenced = play(if quick { 10 } else { 100 }, false, program);
    print_violations(report, &fenced, &unfenced);
    print_times(report, &fenced);
    for diagnostics in fenced.diagnostics.iter().take(1) {
        println!("{diagnostics}");
    }
    report.figure("owner_rounds", fenced.rounds as f64);
    report.require_max("of_old_owners", fenced.violations.by_former_owners as f64, 0.0);
    report.require_max("interleaved", fenced.violations.interleaved as f64, 0.0);
    report.require_max("not_linearizable", fenced.violations.not_linearizable as f64, 0.0);
    report.require_max("without_owner", fenced.without_owner as f64, 0.0);
    report.require_min("harm_without_fence", unfenced.violations.by_former_owners as f64, 1.0);
    report.require_max(
        "killed_p99_leases",
        quantile_or_zero(&fenced.seconds_after_kill, 0.99) / LEASE_S,
        1.5,
    );
    report.require_max("left_p99_s", quantile_or_zero(&fenced.seconds_after_terminate, 0.99), 0.2);
    report.require_max("moves_over_least", fenced.migration_ratio(), 1.2);
}

/// The value below which this part of the times is; 0 where there are none.
fn quantile_or_zero(times: &[f64], part: f64) -> f64 {
    quantile(times, part).unwrap_or(0.0)
}

fn print_violations(report: &Report, fenced: &RoundTotals, unfenced: &RoundTotals) {
    let row = |name: &str, sum: &RoundTotals| {
        vec![
            name.to_owned(),
            sum.rounds.to_string(),
            sum.violations.by_former_owners.to_string(),
            sum.violations.interleaved.to_string(),
            format!("{} of {}", sum.violations.not_linearizable, sum.violations.windows),
            sum.violations.rejected.to_string(),
            sum.without_owner.to_string(),
        ]
    };
    report.table(
        "Rounds of faults on five servers with twenty duties, by the outside receiver",
        &[
            "receiver",
            "rounds",
            "let in of old owners",
            "interleaved",
            "windows not linearizable",
            "refused",
            "no owner after 10 s",
        ],
        vec![row("with its fence", fenced), row("without comparing", unfenced)],
    );
}

fn print_times(report: &Report, sum: &RoundTotals) {
    report.table(
        "Without an owner, over the lease of two seconds; and moves when one dies",
        &["after a kill p50", "p99", "after leaving, s p50", "p99", "moves over the least"],
        vec![vec![
            format!("{:.2}", quantile_or_zero(&sum.seconds_after_kill, 0.5) / LEASE_S),
            format!("{:.2}", quantile_or_zero(&sum.seconds_after_kill, 0.99) / LEASE_S),
            format!("{:.3}", quantile_or_zero(&sum.seconds_after_terminate, 0.5)),
            format!("{:.3}", quantile_or_zero(&sum.seconds_after_terminate, 0.99)),
            format!("{:.2}", sum.migration_ratio()),
        ]],
    );
}

fn play(rounds: u64, compares: bool, program: &Path) -> RoundTotals {
    let each = rounds / FLEETS;
    let mut all = RoundTotals::default();
    for sum in
        run_parallel(FLEETS as usize, 0..FLEETS, |seed| play_on_one_fleet(seed, each, compares, program))
    {
        all.rounds += sum.rounds;
        all.violations.add(&sum.violations);
        all.without_owner += sum.without_owner;
        all.seconds_after_kill.extend(sum.seconds_after_kill);
        all.seconds_after_terminate.extend(sum.seconds_after_terminate);
        all.migrated += sum.migrated;
        all.owned_by_dead += sum.owned_by_dead;
        all.diagnostics.extend(sum.diagnostics);
    }
    all
}

fn options(receiver: &Receiver) -> String {
    let program = std::env::current_exe().expect("this program");
    let job = |duty: usize| {
        let (program, address) = (program.display(), receiver.address);
        format!("      - {{name: d{duty}, every: 1s, run: [\"{program}\", effects, \"{address}\"]}}")
    };
    let jobs: Vec<String> = (0..DUTIES).map(job).collect();
    format!("{DUTY_OPTIONS}{}\n", jobs.join("\n"))
}

/// What is done to a fleet in one round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultKind {
    Kill,
    Terminate,
    Pause,
    Isolate,
    StallLink,
    DisturbLinks,
}

impl FaultKind {
    const ALL: [FaultKind; 6] = [
        FaultKind::Kill,
        FaultKind::Terminate,
        FaultKind::Pause,
        FaultKind::Isolate,
        FaultKind::StallLink,
        FaultKind::DisturbLinks,
    ];
}

/// Plays some rounds on one fleet.
fn play_on_one_fleet(seed: u64, rounds: u64, compares: bool, program: &Path) -> RoundTotals {
    let receiver = Receiver::start(compares);
    let mut rng = fastrand::Rng::with_seed(seed);
    let extra: &'static str = Box::leak(options(&receiver).into_boxed_str());
    let plan = Plan { members: MEMBERS, zones: 1, extra, cores: 2, work: Duration::from_millis(5), seed };
    let mut fleet = Fleet::start_with(plan, program).bootstrap(plan);
    let mut sum = RoundTotals::default();
    wait_for_owners(&fleet, &receiver, Instant::now());
    for round in 0..rounds {
        let fault = RoundFault::draw(&mut rng, compares);
        sum.play_round(&mut fleet, &receiver, &mut rng, round, fault);
    }
    for effects in receiver.effects().values() {
        judge(effects, &mut sum.violations);
    }
    sum
}

/// The fault of one round.
#[derive(Clone, Copy)]
struct RoundFault {
    kind: FaultKind,
    member: usize,
    span: Duration,
}

impl RoundFault {
    fn draw(rng: &mut fastrand::Rng, compares: bool) -> RoundFault {
        let member = rng.usize(0..MEMBERS);
        // Without the comparison only effects of former owners are of interest.
        let kind =
            if compares { FaultKind::ALL[rng.usize(0..FaultKind::ALL.len())] } else { FaultKind::Pause };
        let span = Duration::from_millis(rng.u64(2_000..3_500));
        RoundFault { kind, member, span }
    }
}

impl RoundTotals {
    /// Injects a fault, ends it, and waits until every duty has an owner again.
    fn play_round(
        &mut self,
        fleet: &mut Fleet,
        receiver: &Receiver,
        rng: &mut fastrand::Rng,
        round: u64,
        fault: RoundFault,
    ) {
        let RoundFault { kind, member, .. } = fault;
        let before = owners(fleet);
        let began = Instant::now();
        inject_fault(fleet, rng, fault);
        if kind == FaultKind::Kill {
            wait_for_owners(fleet, receiver, Instant::now());
            self.record_migrations(&before, &owners(fleet), member);
            fleet.start_member(member);
        }
        fleet.set_fault_on_all_links(LinkFault::default());
        let seconds = wait_for_owners(fleet, receiver, Instant::now());
        if seconds > MAX_SECONDS_WITHOUT_OWNER {
            self.without_owner += 1;
            let diagnostics = fleet.diagnostics();
            self.diagnostics.push(format!("round {round}, fault {kind:?}: {seconds:.1} s\n{diagnostics}"));
        }
        match kind {
            FaultKind::Kill => self.seconds_after_kill.extend(gaps(receiver, began)),
            FaultKind::Terminate => self.seconds_after_terminate.extend(gaps(receiver, began)),
            _ => {}
        }
        self.rounds += 1;
    }

    /// Counts the duties of a killed member, and those that changed their owner.
    fn record_migrations(&mut self, before: &Owners, after: &Owners, killed: usize) {
        let killed = format!("n{}", killed + 1);
        self.owned_by_dead += before.values().filter(|owner| owner.server == killed).count() as u64;
        let has_changed =
            |duty: &DutyName, owner: &DutyOwner| after.get(duty).is_some_and(|now| now != owner);
        self.migrated += before.iter().filter(|(duty, owner)| has_changed(duty, owner)).count() as u64;
    }
}

/// Carries out a fault and waits until it is over; a machine that was killed is not started again.
fn inject_fault(fleet: &mut Fleet, rng: &mut fastrand::Rng, fault: RoundFault) {
    let RoundFault { kind, member, span } = fault;
    match kind {
        FaultKind::Kill => {
            fleet.kill(member);
            std::thread::sleep(span);
        }
        FaultKind::Terminate => {
            fleet.members[member].fixture.terminate();
            fleet.wait_for_exit(member);
            std::thread::sleep(span / 2);
            fleet.start_member(member);
        }
        FaultKind::Pause => {
            let processes = fleet.pause_process_tree(member);
            std::thread::sleep(span * 2);
            fleet.resume_processes(&processes);
        }
        FaultKind::Isolate => {
            fleet.isolate(&[member], LinkFault { is_cut: true, ..LinkFault::default() });
            std::thread::sleep(span * 2);
        }
        FaultKind::StallLink => {
            let other = rng.usize(0..MEMBERS);
            fleet.set_link_fault(member, other, LinkFault { is_stalled: true, ..LinkFault::default() });
            std::thread::sleep(span);
        }
        FaultKind::DisturbLinks => {
            let (lost, delay) = (rng.f64() * 0.2, Duration::from_millis(rng.u64(0..100)));
            let fault = LinkFault { lost, duplicated: 0.2, reordered: 0.2, delay, ..LinkFault::default() };
            fleet.set_fault_on_all_links(fault);
            std::thread::sleep(span);
        }
    }
}

/// Waits until an effect of every duty was admitted after a moment; returns how long that took, s.
fn wait_for_owners(fleet: &Fleet, receiver: &Receiver, since: Instant) -> f64 {
    while receiver.received_since(since) < DUTIES {
        assert!(since.elapsed() < WAIT_TIMEOUT, "duties without an owner\n{}", fleet.diagnostics());
        std::thread::sleep(Duration::from_millis(20));
    }
    since.elapsed().as_secs_f64()
}

/// For how long each duty that changed its owner since then was without effects of an owner, s.
fn gaps(receiver: &Receiver, since: Instant) -> Vec<f64> {
    let gap = |effects: Vec<Effect>| {
        let admitted: Vec<Effect> = effects.into_iter().filter(|effect| effect.admitted).collect();
        let at = (1..admitted.len())
            .find(|at| admitted[*at].token != admitted[at - 1].token && admitted[*at].ended > since)?;
        Some(admitted[at].ended.duration_since(admitted[at - 1].ended).as_secs_f64())
    };
    receiver.effects().into_values().filter_map(gap).collect()
}

/// The owner of a duty and its token.
#[derive(PartialEq)]
struct DutyOwner {
    server: ServerName,
    token: Token,
}

type Owners = BTreeMap<DutyName, DutyOwner>;

/// The owner of each duty, from the first member that answers.
fn owners(fleet: &Fleet) -> Owners {
    for member in 0..MEMBERS {
        let (code, output, _) = fleet.run_command(member, &["duty", "list", "--json"]);
        if let (0, Ok(Value::Array(rows))) = (code, serde_json::from_str(&output)) {
            let row = |row: &Value| {
                let server = row["owner"]["name"].as_str()?.to_owned();
                let token = row["token"].as_u64()?;
                Some((row["duty"].as_str()?.to_owned(), DutyOwner { server, token }))
            };
            return rows.iter().filter_map(row).collect();
        }
    }
    BTreeMap::new()
}
