//! Rounds of faults on five real servers with twenty duties. A round is one fault, drawn from the seed: servers killed,
//! terminated, stopped with all that they started, isolated, links that lose and delay. The receiver alone judges.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

use loomflow_fleet::duty::Token;
use loomflow_fleet_simulation::run_parallel;
use loomflow_test_servers::fleet::{Fleet, Plan, WAIT_TIMEOUT};
use loomflow_test_servers::relay::LinkFault;
use serde_json::Value;

use super::effects::Receiver;
use super::judge::{Wrong, judge};
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
/// Every duty has an owner so soon after the last fault, s.
const OWNED_WITHIN: f64 = 10.0;

#[derive(Default)]
struct Sum {
    rounds: u64,
    wrong: Wrong,
    without_owner: u64,
    /// Without an owner, s: after a kill, and after a server was terminated.
    killed: Vec<f64>,
    left: Vec<f64>,
    /// Duties that changed hands when one server died, and those that it owned.
    migrated: u64,
    owned_by_dead: u64,
    diagnostics: Vec<String>,
}

impl Sum {
    /// Duties that changed hands over those that had to.
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
    report.require_max("of_old_owners", fenced.wrong.by_former_owners as f64, 0.0);
    report.require_max("interleaved", fenced.wrong.interleaved as f64, 0.0);
    report.require_max("not_linearizable", fenced.wrong.not_linear as f64, 0.0);
    report.require_max("without_owner", fenced.without_owner as f64, 0.0);
    report.require_min("harm_without_fence", unfenced.wrong.by_former_owners as f64, 1.0);
    report.require_max("killed_p99_leases", quantile_or_zero(&fenced.killed, 0.99) / LEASE_S, 1.5);
    report.require_max("left_p99_s", quantile_or_zero(&fenced.left, 0.99), 0.2);
    report.require_max("moves_over_least", fenced.migration_ratio(), 1.2);
}

/// The value below which this part of the times is; 0 where there are none.
fn quantile_or_zero(times: &[f64], part: f64) -> f64 {
    quantile(times, part).unwrap_or(0.0)
}

fn print_violations(report: &Report, fenced: &Sum, unfenced: &Sum) {
    let row = |name: &str, sum: &Sum| {
        vec![
            name.to_owned(),
            sum.rounds.to_string(),
            sum.wrong.by_former_owners.to_string(),
            sum.wrong.interleaved.to_string(),
            format!("{} of {}", sum.wrong.not_linear, sum.wrong.windows),
            sum.wrong.rejected.to_string(),
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

fn print_times(report: &Report, sum: &Sum) {
    report.table(
        "Without an owner, over the lease of two seconds; and moves when one dies",
        &["after a kill p50", "p99", "after leaving, s p50", "p99", "moves over the least"],
        vec![vec![
            format!("{:.2}", quantile_or_zero(&sum.killed, 0.5) / LEASE_S),
            format!("{:.2}", quantile_or_zero(&sum.killed, 0.99) / LEASE_S),
            format!("{:.3}", quantile_or_zero(&sum.left, 0.5)),
            format!("{:.3}", quantile_or_zero(&sum.left, 0.99)),
            format!("{:.2}", sum.migration_ratio()),
        ]],
    );
}

fn play(rounds: u64, compares: bool, program: &Path) -> Sum {
    let each = rounds / FLEETS;
    let mut all = Sum::default();
    for sum in run_parallel(FLEETS as usize, 0..FLEETS, |seed| fleet(seed, each, compares, program)) {
        all.rounds += sum.rounds;
        all.wrong.by_former_owners += sum.wrong.by_former_owners;
        all.wrong.interleaved += sum.wrong.interleaved;
        all.wrong.not_linear += sum.wrong.not_linear;
        all.wrong.windows += sum.wrong.windows;
        all.wrong.rejected += sum.wrong.rejected;
        all.without_owner += sum.without_owner;
        all.killed.extend(sum.killed);
        all.left.extend(sum.left);
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

/// Some rounds on one fleet.
fn fleet(seed: u64, rounds: u64, compares: bool, program: &Path) -> Sum {
    let receiver = Receiver::start(compares);
    let mut rng = fastrand::Rng::with_seed(seed);
    let extra: &'static str = Box::leak(options(&receiver).into_boxed_str());
    let plan = Plan { members: MEMBERS, zones: 1, extra, cores: 2, work: Duration::from_millis(5), seed };
    let mut fleet = Fleet::start_with(plan, program).bootstrap(plan);
    let mut sum = Sum::default();
    settle(&fleet, &receiver, Instant::now());
    for round in 0..rounds {
        let member = rng.usize(0..MEMBERS);
        // Without the comparison only effects of former owners are of interest.
        let kind =
            if compares { FaultKind::ALL[rng.usize(0..FaultKind::ALL.len())] } else { FaultKind::Pause };
        let span = Duration::from_millis(rng.u64(2_000..3_500));
        let before = owners(&fleet);
        let began = Instant::now();
        inject_fault(&mut fleet, &mut rng, kind, member, span);
        if kind == FaultKind::Kill {
            settle(&fleet, &receiver, Instant::now());
            record_migrations(&mut sum, &before, &owners(&fleet), member);
            fleet.start_member(member);
        }
        fleet.set_fault_on_all_links(LinkFault::default());
        let took = settle(&fleet, &receiver, Instant::now());
        if took > OWNED_WITHIN {
            sum.without_owner += 1;
            sum.diagnostics
                .push(format!("round {round}, fault {kind:?}: {took:.1} s\n{}", fleet.diagnostics()));
        }
        match kind {
            FaultKind::Kill => sum.killed.extend(gaps(&receiver, began)),
            FaultKind::Terminate => sum.left.extend(gaps(&receiver, began)),
            _ => {}
        }
        sum.rounds += 1;
    }
    for effects in receiver.effects().values() {
        judge(effects, &mut sum.wrong);
    }
    sum
}

/// Carries out a fault and waits until it is over; a machine that was killed is not started again.
fn inject_fault(fleet: &mut Fleet, rng: &mut fastrand::Rng, kind: FaultKind, member: usize, span: Duration) {
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

/// Waits until every duty was heard of after a moment; gives how long that took, s.
fn settle(fleet: &Fleet, receiver: &Receiver, since: Instant) -> f64 {
    while receiver.received_since(since) < DUTIES {
        assert!(since.elapsed() < WAIT_TIMEOUT, "duties without an owner\n{}", fleet.diagnostics());
        std::thread::sleep(Duration::from_millis(20));
    }
    since.elapsed().as_secs_f64()
}

/// For how long each duty that changed hands since then was without effects of an owner, s.
fn gaps(receiver: &Receiver, since: Instant) -> Vec<f64> {
    let gap = |effects: Vec<super::effects::Effect>| {
        let admitted: Vec<_> = effects.into_iter().filter(|one| one.admitted).collect();
        let at = (1..admitted.len())
            .find(|at| admitted[*at].token != admitted[at - 1].token && admitted[*at].ended > since)?;
        Some(admitted[at].ended.duration_since(admitted[at - 1].ended).as_secs_f64())
    };
    receiver.effects().into_values().filter_map(gap).collect()
}

/// Owner and token of each duty, from the first member that answers.
fn owners(fleet: &Fleet) -> BTreeMap<String, (String, Token)> {
    for one in 0..MEMBERS {
        let (code, diagnostics, _) = fleet.run_command(one, &["duty", "list", "--json"]);
        if let (0, Ok(Value::Array(rows))) = (code, serde_json::from_str(&diagnostics)) {
            let row = |row: &Value| {
                let owner = row["owner"]["name"].as_str()?.to_owned();
                Some((row["duty"].as_str()?.to_owned(), (owner, row["token"].as_u64()?)))
            };
            return rows.iter().filter_map(row).collect();
        }
    }
    BTreeMap::new()
}

fn record_migrations(
    sum: &mut Sum,
    before: &BTreeMap<String, (String, Token)>,
    after: &BTreeMap<String, (String, Token)>,
    dead: usize,
) {
    let dead = format!("n{}", dead + 1);
    sum.owned_by_dead += before.values().filter(|(owner, _)| *owner == dead).count() as u64;
    sum.migrated +=
        before.iter().filter(|(duty, was)| after.get(*duty).is_some_and(|now| now != *was)).count() as u64;
}
