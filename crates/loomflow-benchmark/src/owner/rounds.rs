//! Rounds of faults on five real servers with twenty duties. Each round injects one random fault, drawn from a seed: a
//! server is killed, terminated, paused with the processes it started, or isolated, or links stall, lose or delay messages.
//! Violations are detected only from the history of the external receiver.

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
use super::history::{HistoryViolations, check_history};
use crate::quantile::quantile;
use crate::report::Report;

const MEMBERS: usize = 5;
const DUTIES: usize = 20;
const LEASE_S: f64 = 2.0;
/// Options of the fleet and its duties, without the jobs.
const DUTY_OPTIONS: &str = "  begin_within_s: 3\n  warm_for_s: 1\n  duties:\n    lease_s: 2\n    attempts: 100\n    programs: \
                            true\n    jobs:\n";
/// Fleets that run in parallel, each with an equal number of rounds.
const FLEETS: u64 = 2;
/// Maximum time after the end of a fault until every duty has an owner again, s.
const MAX_SECONDS_WITHOUT_OWNER: f64 = 10.0;

/// Totals of all rounds.
#[derive(Default)]
struct RoundTotals {
    rounds: u64,
    violations: HistoryViolations,
    /// Rounds after which a duty was without an owner for more than [`MAX_SECONDS_WITHOUT_OWNER`].
    without_owner: u64,
    /// Time that each duty was without an owner after its server was killed, s.
    seconds_after_kill: Vec<f64>,
    /// Time that each duty was without an owner after its server was terminated, s.
    seconds_after_terminate: Vec<f64>,
    /// Duties that changed their owner when a server was killed.
    migrated: u64,
    /// Duties that the killed servers owned.
    owned_by_killed: u64,
    diagnostics: Vec<String>,
}

impl RoundTotals {
    /// Ratio of the duties that changed their owner to those that the killed servers owned.
    fn migration_ratio(&self) -> f64 {
        self.migrated as f64 / self.owned_by_killed.max(1) as f64
    }
}

pub fn measure(report: &mut Report, quick: bool, program: &Path) {
    let rounds = if quick { 50 } else { 1_000 };
    let fenced = run(rounds, true, program);
    let unfenced = run(if quick { 10 } else { 100 }, false, program);
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

/// Quantile of the times; 0 if there are none.
fn quantile_or_zero(times: &[f64], fraction: f64) -> f64 {
    quantile(times, fraction).unwrap_or(0.0)
}

fn print_violations(report: &Report, fenced: &RoundTotals, unfenced: &RoundTotals) {
    let row = |name: &str, totals: &RoundTotals| {
        vec![
            name.to_owned(),
            totals.rounds.to_string(),
            totals.violations.by_former_owners.to_string(),
            totals.violations.interleaved.to_string(),
            format!("{} of {}", totals.violations.not_linearizable, totals.violations.windows),
            totals.violations.rejected.to_string(),
            totals.without_owner.to_string(),
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

fn print_times(report: &Report, totals: &RoundTotals) {
    report.table(
        "Without an owner, over the lease of two seconds; and moves when one dies",
        &["after a kill p50", "p99", "after leaving, s p50", "p99", "moves over the least"],
        vec![vec![
            format!("{:.2}", quantile_or_zero(&totals.seconds_after_kill, 0.5) / LEASE_S),
            format!("{:.2}", quantile_or_zero(&totals.seconds_after_kill, 0.99) / LEASE_S),
            format!("{:.3}", quantile_or_zero(&totals.seconds_after_terminate, 0.5)),
            format!("{:.3}", quantile_or_zero(&totals.seconds_after_terminate, 0.99)),
            format!("{:.2}", totals.migration_ratio()),
        ]],
    );
}

fn run(rounds: u64, compares_tokens: bool, program: &Path) -> RoundTotals {
    let each = rounds / FLEETS;
    let mut all = RoundTotals::default();
    for totals in run_parallel(FLEETS as usize, 0..FLEETS, |seed| {
        run_on_one_fleet(seed, each, compares_tokens, program)
    }) {
        all.rounds += totals.rounds;
        all.violations.add(&totals.violations);
        all.without_owner += totals.without_owner;
        all.seconds_after_kill.extend(totals.seconds_after_kill);
        all.seconds_after_terminate.extend(totals.seconds_after_terminate);
        all.migrated += totals.migrated;
        all.owned_by_killed += totals.owned_by_killed;
        all.diagnostics.extend(totals.diagnostics);
    }
    all
}

fn options(receiver: &Receiver) -> String {
    let program = std::env::current_exe().expect("the path of this program is known");
    let job = |duty: usize| {
        let (program, address) = (program.display(), receiver.address);
        format!("      - {{name: d{duty}, every: 1s, run: [\"{program}\", effects, \"{address}\"]}}")
    };
    let jobs: Vec<String> = (0..DUTIES).map(job).collect();
    format!("{DUTY_OPTIONS}{}\n", jobs.join("\n"))
}

/// Kind of the fault of a round.
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

/// Runs rounds on one fleet.
fn run_on_one_fleet(seed: u64, rounds: u64, compares_tokens: bool, program: &Path) -> RoundTotals {
    let receiver = Receiver::start(compares_tokens);
    let mut rng = fastrand::Rng::with_seed(seed);
    let extra: &'static str = Box::leak(options(&receiver).into_boxed_str());
    let plan = Plan { members: MEMBERS, zones: 1, extra, cores: 2, work: Duration::from_millis(5), seed };
    let mut fleet = Fleet::start_with(plan, program).bootstrap(plan);
    let mut totals = RoundTotals::default();
    wait_for_owners(&fleet, &receiver, Instant::now());
    for round in 0..rounds {
        let fault = RoundFault::random(&mut rng, compares_tokens);
        totals.run_round(&mut fleet, &receiver, &mut rng, round, fault);
    }
    for effects in receiver.effects().values() {
        check_history(effects, &mut totals.violations);
    }
    totals
}

/// Fault of one round.
#[derive(Clone, Copy)]
struct RoundFault {
    kind: FaultKind,
    member: usize,
    duration: Duration,
}

impl RoundFault {
    fn random(rng: &mut fastrand::Rng, compares_tokens: bool) -> RoundFault {
        let member = rng.usize(0..MEMBERS);
        // Without the fence, only effects of former owners are looked for. A paused owner sends them when it resumes,
        // so every fault is a pause.
        let kind = if compares_tokens {
            FaultKind::ALL[rng.usize(0..FaultKind::ALL.len())]
        } else {
            FaultKind::Pause
        };
        let duration = Duration::from_millis(rng.u64(2_000..3_500));
        RoundFault { kind, member, duration }
    }
}

impl RoundTotals {
    /// Injects a fault, ends it, and waits until every duty has an owner again.
    fn run_round(
        &mut self,
        fleet: &mut Fleet,
        receiver: &Receiver,
        rng: &mut fastrand::Rng,
        round: u64,
        fault: RoundFault,
    ) {
        let RoundFault { kind, member, .. } = fault;
        let before = owners(fleet);
        let started_at = Instant::now();
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
            FaultKind::Kill => self.seconds_after_kill.extend(gaps(receiver, started_at)),
            FaultKind::Terminate => self.seconds_after_terminate.extend(gaps(receiver, started_at)),
            _ => {}
        }
        self.rounds += 1;
    }

    /// Counts the duties that a killed member owned, and the duties that changed their owner.
    fn record_migrations(&mut self, before: &Owners, after: &Owners, killed: usize) {
        let killed = format!("n{}", killed + 1);
        self.owned_by_killed += before.values().filter(|owner| owner.server == killed).count() as u64;
        let has_changed =
            |duty: &DutyName, owner: &DutyOwner| after.get(duty).is_some_and(|now| now != owner);
        self.migrated += before.iter().filter(|(duty, owner)| has_changed(duty, owner)).count() as u64;
    }
}

/// Injects a fault and waits for its duration. A killed member is not restarted, and faults of links are not cleared.
fn inject_fault(fleet: &mut Fleet, rng: &mut fastrand::Rng, fault: RoundFault) {
    let RoundFault { kind, member, duration } = fault;
    match kind {
        FaultKind::Kill => {
            fleet.kill(member);
            std::thread::sleep(duration);
        }
        FaultKind::Terminate => {
            fleet.members[member].fixture.terminate();
            fleet.wait_for_exit(member);
            std::thread::sleep(duration / 2);
            fleet.start_member(member);
        }
        FaultKind::Pause => {
            let processes = fleet.pause_process_tree(member);
            std::thread::sleep(duration * 2);
            fleet.resume_processes(&processes);
        }
        FaultKind::Isolate => {
            fleet.isolate(&[member], LinkFault { is_cut: true, ..LinkFault::default() });
            std::thread::sleep(duration * 2);
        }
        FaultKind::StallLink => {
            let other = rng.usize(0..MEMBERS);
            fleet.set_link_fault(member, other, LinkFault { is_stalled: true, ..LinkFault::default() });
            std::thread::sleep(duration);
        }
        FaultKind::DisturbLinks => {
            let (lost, delay) = (rng.f64() * 0.2, Duration::from_millis(rng.u64(0..100)));
            let fault = LinkFault { lost, duplicated: 0.2, reordered: 0.2, delay, ..LinkFault::default() };
            fleet.set_fault_on_all_links(fault);
            std::thread::sleep(duration);
        }
    }
}

/// Waits until an effect of every duty has been admitted after `since`. Returns the time since then, s.
fn wait_for_owners(fleet: &Fleet, receiver: &Receiver, since: Instant) -> f64 {
    while receiver.received_since(since) < DUTIES {
        assert!(
            since.elapsed() < WAIT_TIMEOUT,
            "{DUTIES} duties do not all have an owner within {WAIT_TIMEOUT:?}\n{}",
            fleet.diagnostics()
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    since.elapsed().as_secs_f64()
}

/// For each duty that changed its owner after `since`: the time between the last effect of the previous owner and the
/// first one of the next, s.
fn gaps(receiver: &Receiver, since: Instant) -> Vec<f64> {
    let gap = |effects: Vec<Effect>| {
        let admitted: Vec<Effect> = effects.into_iter().filter(|effect| effect.admitted).collect();
        let at = (1..admitted.len())
            .find(|at| admitted[*at].token != admitted[at - 1].token && admitted[*at].ended_at > since)?;
        Some(admitted[at].ended_at.duration_since(admitted[at - 1].ended_at).as_secs_f64())
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

/// The owner of each duty, from the first member that responds.
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
