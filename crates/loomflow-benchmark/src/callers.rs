//! Recovery of a simulated fleet (`loomflow-overload-simulation`) that loses some of its callers or servers for two
//! seconds: whether service is back at its previous level within ten seconds of their return, for several fleet sizes,
//! handshake prices, faults and seeds.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

use loomflow_overload_simulation::fault::FaultKind;
use loomflow_overload_simulation::quota::{SteadyTenant, over_quota_part};
use loomflow_overload_simulation::recovery::{Recovery, Timeline, recovery};
use loomflow_overload_simulation::setup::IdlePolicy;
use loomflow_overload_simulation::setup::Setup;

use crate::report::Report;

/// Fleet sizes: numbers of servers and of callers.
const SIZES: [(usize, usize); 3] = [(20, 60), (80, 240), (250, 800)];
/// Pairs of the work of a request, as a multiple of the work of a handshake, and the load, as a fraction of the
/// capacity. At this load a fleet recovers if it keeps connections open and its connection tables have capacity.
const HANDSHAKE_PRICES_AND_LOADS: [(f64, f64); 3] = [(60.0, 0.87), (10.0, 0.87), (3.0, 0.7)];
/// Faults, with their names in the table.
const FAULTS: [(&str, FaultKind); 2] = [
    ("a third of the callers", FaultKind::CallersDown { fraction: 1.0 / 3.0 }),
    ("a fifth of the servers", FaultKind::ServersDown { fraction: 0.2 }),
];
/// The controller's policy for idle connections, and the baselines it is compared with.
const POLICIES: [IdlePolicy; 4] =
    [IdlePolicy::Controller, IdlePolicy::NeverClose, IdlePolicy::CloseWhenFull, IdlePolicy::CloseImmediately];
/// Sizes of the fleet of the steady tenant, servers.
const FLEET_SIZES: [usize; 3] = [20, 100, 590];
/// Quota of the steady tenant over the whole fleet, requests per second.
const QUOTA_PER_S: f64 = 4.0;
/// Request rates of the steady tenant, as fractions of its quota.
const SENT_PARTS: [f64; 3] = [0.5, 0.9, 2.0];
/// Number of cases that are simulated in parallel.
const THREADS: usize = 4;

/// Parameters of one row of the table.
struct Case {
    size: (usize, usize),
    price: f64,
    load: f64,
    fault: (&'static str, FaultKind),
    policy: IdlePolicy,
    seeds: u64,
}

/// Simulates all cases. `not_back` is bounded for the controller's policy only; the baselines are for comparison.
pub fn measure(quick: bool) -> Report {
    let mut report = Report::new("callers");
    let cases = cases(quick);
    let results = simulate_all(&cases);
    let rows = cases.iter().zip(&results).map(|(case, recoveries)| row(case, recoveries)).collect();
    let head = [
        "servers x callers, handshake, lost, idle connections",
        "before",
        "during",
        "after",
        "worst after / before",
        "back after s",
        "handshakes a s before",
        "after",
        "attempts a request after",
        "closing at the end",
    ];
    report.table("Service of a fleet that has lost a part of itself for two seconds", &head, rows);
    let of_controller =
        || cases.iter().zip(&results).filter(|(case, _)| case.policy == IdlePolicy::Controller);
    let not_back = of_controller()
        .flat_map(|(_, recoveries)| recoveries)
        .filter(|recovery| !recovery.has_recovered())
        .count();
    let violations = results.iter().flatten().map(|recovery| recovery.violations.len()).sum::<usize>();
    measure_steady_tenant(&mut report);
    report.figure("plays", of_controller().map(|(_, recoveries)| recoveries.len()).sum::<usize>() as f64);
    report.require_max("not_back", not_back as f64, 0.0);
    report.require_max("violations", violations as f64, 0.0);
    report
}

/// Fraction of a steady tenant's requests that the controllers count as over its quota. No bound yet; the target is 0.05
/// at 0.9 of the quota.
fn measure_steady_tenant(report: &mut Report) {
    let over_quota = |servers, sent_part| {
        over_quota_part(SteadyTenant {
            servers,
            quota_per_s: QUOTA_PER_S,
            sent_part,
            seconds: 1_000.0,
            seed: 1,
        })
    };
    let row = |servers: usize| {
        let shares = SENT_PARTS.iter().map(|sent_part| format!("{:.3}", over_quota(servers, *sent_part)));
        std::iter::once(servers.to_string()).chain(shares).collect()
    };
    let rows = FLEET_SIZES.iter().map(|servers| row(*servers)).collect();
    let head = ["servers", "sends 0.5 of its quota", "sends 0.9", "sends twice"];
    report.table("Part of a steady tenant's requests judged beyond its quota of 4 a second", &head, rows);
}

fn cases(quick: bool) -> Vec<Case> {
    let sizes: &[(usize, usize)] = if quick { &SIZES[..2] } else { &SIZES };
    let seeds = if quick { 1 } else { 3 };
    let mut cases = Vec::new();
    for &size in sizes {
        for (price, load) in HANDSHAKE_PRICES_AND_LOADS {
            for fault in FAULTS {
                for policy in POLICIES {
                    cases.push(Case { size, price, load, fault, policy, seeds });
                }
            }
        }
    }
    cases
}

/// Results of each case by seed, in the order of the cases.
fn simulate_all(cases: &[Case]) -> Vec<Vec<Recovery>> {
    let next = AtomicUsize::new(0);
    let results_by_case = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(case) = cases.get(index) else { return };
                    let recoveries = (1..=case.seeds).map(|seed| simulate(case, seed)).collect::<Vec<_>>();
                    results_by_case.lock().unwrap_or_else(PoisonError::into_inner).push((index, recoveries));
                }
            });
        }
    });
    let mut results_by_case = results_by_case.into_inner().unwrap_or_else(PoisonError::into_inner);
    results_by_case.sort_by_key(|(index, _)| *index);
    results_by_case.into_iter().map(|(_, recoveries)| recoveries).collect()
}

fn simulate(case: &Case, seed: u64) -> Recovery {
    let mut setup = Setup::fleet(case.size.0, case.size.1, seed);
    setup.server.handshake_work = setup.mean_work / case.price;
    setup.server.idle_policy = case.policy;
    setup.load = case.load;
    recovery(setup, case.fault.1, Timeline::default())
}

fn row(case: &Case, recoveries: &[Recovery]) -> Vec<String> {
    let mean = |value: &dyn Fn(&Recovery) -> f64| {
        recoveries.iter().map(value).sum::<f64>() / recoveries.len() as f64
    };
    let worst =
        recoveries.iter().map(|recovery| recovery.after / recovery.before).fold(f64::INFINITY, f64::min);
    let slowest = recoveries
        .iter()
        .map(|recovery| recovery.recovered_after_s)
        .max_by_key(|took| took.unwrap_or(usize::MAX))
        .flatten();
    let (servers, callers) = case.size;
    let policy = match case.policy {
        IdlePolicy::Controller => "module",
        IdlePolicy::NeverClose => "kept",
        IdlePolicy::CloseWhenFull => "kept, room made",
        IdlePolicy::CloseImmediately => "closed",
    };
    vec![
        format!("{servers} x {callers}, 1/{}, {}, {policy}", case.price, case.fault.0),
        format!("{:.3}", mean(&|recovery| recovery.before)),
        format!("{:.3}", mean(&|recovery| recovery.during)),
        format!("{:.3}", mean(&|recovery| recovery.after)),
        format!("{worst:.3}"),
        slowest.map_or("never".to_owned(), |seconds| seconds.to_string()),
        format!("{:.0}", mean(&|recovery| recovery.handshakes_before)),
        format!("{:.0}", mean(&|recovery| recovery.handshakes_after)),
        format!("{:.2}", mean(&|recovery| recovery.attempts_after)),
        format!("{:.2}", mean(&|recovery| recovery.closing_at_end())),
    ]
}
