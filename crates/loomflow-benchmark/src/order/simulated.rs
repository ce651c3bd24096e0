//! Simulated fleets: days of faults for many seeds, cost of a member by fleet size, and detection of deaths.

use std::time::Instant;

use loomflow_fleet::time::{IntegerMillis, seconds};
use loomflow_fleet_simulation::{Fault, Scenario, Simulation, SimulationConfig, core_count, run_parallel};

use crate::quantile::quantile;
use crate::report::Report;

pub fn measure(report: &mut Report, quick: bool) {
    measure_days_of_faults(report, quick);
    measure_cost_by_size(report, quick);
    measure_deaths(report, quick);
}

/// Simulates days of faults. Larger fleets get fewer seeds, because their simulation takes longer.
fn measure_days_of_faults(report: &mut Report, quick: bool) {
    let counts: [(usize, u64); 4] = if quick {
        [(6, 420), (30, 70), (300, 8), (1_000, 2)]
    } else {
        [(6, 8_000), (30, 1_900), (300, 84), (1_000, 16)]
    };
    let mut rows = Vec::new();
    let mut violations = 0;
    for (machines, count) in counts {
        let started_at = Instant::now();
        let violations_of = |seed| day_of_faults(machines, seed);
        let failed: Vec<String> =
            run_parallel(core_count(), 0..count, violations_of).into_iter().flatten().collect();
        for violation in failed.iter().take(1) {
            println!("{violation}");
        }
        violations += failed.len();
        rows.push(vec![
            machines.to_string(),
            count.to_string(),
            failed.len().to_string(),
            format!("{:.0}", started_at.elapsed().as_secs_f64()),
        ]);
    }
    report.table("Days of faults in virtual time", &["members", "seeds", "violations", "took s"], rows);
    report.require_max("sim_violations", violations as f64, 0.0);
}

/// Simulates a day of faults. Returns the violation of an invariant, if any.
fn day_of_faults(machines: usize, seed: u64) -> Option<String> {
    let voters = if machines >= 5 { 5 } else { 3 };
    let config = SimulationConfig {
        machines,
        voters,
        zones: 3,
        max_clock_drift: 0.001,
        ..SimulationConfig::default()
    };
    // At most eight machines request maintenance: the days show violations, not how long maintenance of all takes.
    let mut scenario = Scenario::random(seed, machines, voters, 12_000, 40_000);
    if let Some((_, Fault::RequestWork(who, _))) = scenario.steps.first_mut() {
        who.truncate(8);
    }
    let mut simulation = Simulation::new(config, seed);
    simulation.invariants.compares_states = machines <= 30;
    let violation = simulation.run(&scenario, 60_000).err()?;
    Some(format!("{machines} members, seed {seed}: {violation}"))
}

/// Cost of a member of a quiet fleet, per second.
struct MemberCost {
    messages: f64,
    bytes: f64,
    /// CPU usage in cores, including the simulation's own.
    cores: f64,
}

/// Compares the cost of a member in small and large fleets.
fn measure_cost_by_size(report: &mut Report, quick: bool) {
    let duration = if quick { 10_000 } else { 60_000 };
    let sizes = [30, 300, 1_000];
    let costs = sizes.map(|machines| cost_of_member(machines, duration));
    let row = |(machines, cost): (&usize, &MemberCost)| {
        vec![
            machines.to_string(),
            format!("{:.1}", cost.messages),
            format!("{:.0}", cost.bytes),
            format!("{:.4}", 100.0 * cost.cores),
        ]
    };
    report.table(
        "A member of a quiet fleet, each second",
        &["members", "messages", "bytes", "% of a core, the simulation's part included"],
        sizes.iter().zip(&costs).map(row).collect(),
    );
    let [of_30, of_300, of_1000] = costs;
    report.require_max("messages_1000_over_30", of_1000.messages / of_30.messages, 1.3);
    report.require_max("bytes_1000_over_30", of_1000.bytes / of_30.bytes, 1.3);
    report.require_max("core_at_300", of_300.cores, 0.01);
}

/// Mean cost of a member over a period of simulated time, ms.
fn cost_of_member(machines: usize, duration: IntegerMillis) -> MemberCost {
    /// Simulated time after which all members know each other, ms.
    const FORMED_AT: IntegerMillis = 25_000;
    let config = SimulationConfig { machines, voters: 5, zones: 3, ..SimulationConfig::default() };
    let mut simulation = Simulation::new(config, 3);
    simulation.invariants.compares_states = false;
    let _ = simulation.run_until(FORMED_AT);
    let before = simulation.traffic();
    let started_at = Instant::now();
    let _ = simulation.run_until(FORMED_AT + duration);
    let cores = started_at.elapsed().as_secs_f64() / seconds(duration) / machines as f64;
    let after = simulation.traffic();
    let per_second = |count: u64| count as f64 / machines as f64 / seconds(duration);
    MemberCost {
        messages: per_second(after.messages - before.messages),
        bytes: per_second(after.bytes - before.bytes),
        cores,
    }
}

/// Measures how soon all members know of a death, and counts members that are considered down although they run.
fn measure_deaths(report: &mut Report, quick: bool) {
    let known_s: Vec<f64> = run_parallel(core_count(), 0..if quick { 30 } else { 200 }, death_known_s);
    let known_s_at = |fraction: f64| quantile(&known_s, fraction).expect("deaths were simulated");
    // One simulation per hour, in parallel.
    let hours = if quick { 4 } else { 100 };
    let false_deaths: u64 = run_parallel(core_count(), 0..hours, false_deaths_in_an_hour).into_iter().sum();
    report.table(
        "Deaths among 30 members, with 2% loss; and an hour of ten with stops of 300 ms each 5 s",
        &["known to all p50 s", "p99 s", "hours", "taken for dead that were not"],
        vec![vec![
            format!("{:.1}", known_s_at(0.5)),
            format!("{:.1}", known_s_at(0.99)),
            hours.to_string(),
            false_deaths.to_string(),
        ]],
    );
    report.require_max("death_known_p99_s", known_s_at(0.99), 30.0);
    report.require_max("false_deaths", false_deaths as f64, 0.0);
}

/// A fleet that has formed, on a network that loses 2% of all packets.
fn lossy_fleet(machines: usize, voters: usize, seed: u64) -> Simulation {
    let config = SimulationConfig { machines, voters, ..SimulationConfig::default() };
    let mut simulation = Simulation::new(config, seed);
    simulation.invariants.compares_states = false;
    let _ = simulation.run_until(20_000);
    simulation.inject(&Fault::SetLoss(0.02, 0.0));
    simulation
}

/// Time from the death of one of 30 members until all others know of it, s; 60 s at most.
fn death_known_s(seed: u64) -> f64 {
    let mut simulation = lossy_fleet(30, 5, seed);
    let killed_at = simulation.now;
    simulation.inject(&Fault::Kill(29));
    while simulation.now < killed_at + 60_000 && !simulation.is_known_down(29) {
        let next = simulation.now + 50;
        let _ = simulation.run_until(next);
    }
    seconds(simulation.now - killed_at)
}

/// Number of times that one of ten members is considered down in an hour in which a member stops for 300 ms every 5 s.
fn false_deaths_in_an_hour(seed: u64) -> u64 {
    let mut simulation = lossy_fleet(10, 3, seed);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut count = 0;
    let mut before = simulation.considered_down();
    for _ in 0..720 {
        simulation.inject(&Fault::Stop(rng.usize(0..10), 300));
        let next = simulation.now + 5_000;
        let _ = simulation.run_until(next);
        let now = simulation.considered_down();
        count += now.difference(&before).count() as u64;
        before = now;
    }
    count
}
