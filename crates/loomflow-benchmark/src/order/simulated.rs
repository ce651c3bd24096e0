//! The fleet in virtual time: many seeds, large fleets, long hours, and headroom against "N at once".

use std::time::Instant;

use loomflow_fleet::maintenance::rules::{Limit, Rules};
use loomflow_fleet::maintenance::ticket::{TicketStage, Urgency};
use loomflow_fleet::time::seconds;
use loomflow_fleet_simulation::{Fault, Scenario, Simulation, SimulationConfig, core_count, run_parallel};

use crate::quantile::quantile;
use crate::report::Report;

pub fn measure(report: &mut Report, quick: bool) {
    seeds(report, quick);
    size(report, quick);
    deaths(report, quick);
    headroom(report);
}

/// Days of faults: small fleets in full, larger ones for as long as the machine allows.
fn seeds(report: &mut Report, quick: bool) {
    let counts: [(usize, u64); 4] = if quick {
        [(6, 420), (30, 70), (300, 8), (1_000, 2)]
    } else {
        [(6, 8_000), (30, 1_900), (300, 84), (1_000, 16)]
    };
    let mut rows = Vec::new();
    let mut violations = 0;
    for (machines, count) in counts {
        let began = Instant::now();
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
            format!("{:.0}", began.elapsed().as_secs_f64()),
        ]);
    }
    report.table("Days of faults in virtual time", &["members", "seeds", "violations", "took s"], rows);
    report.require_max("sim_violations", violations as f64, 0.0);
}

/// The violation of an invariant on a day of faults, if there is one.
fn day_of_faults(machines: usize, seed: u64) -> Option<String> {
    let voters = if machines >= 5 { 5 } else { 3 };
    let config = SimulationConfig {
        machines,
        voters,
        zones: 3,
        max_clock_drift: 0.001,
        ..SimulationConfig::default()
    };
    // Some of the machines request maintenance: violations are what counts, not how long all take.
    let mut scenario = Scenario::random(seed, machines, voters, 12_000, 40_000);
    if let Some((_, Fault::RequestWork(who, _))) = scenario.steps.first_mut() {
        who.truncate(8);
    }
    let mut simulation = Simulation::new(config, seed);
    simulation.invariants.compares_states = machines <= 30;
    let violation = simulation.run(&scenario, 60_000).err()?;
    Some(format!("{machines} members, seed {seed}: {violation}"))
}

/// Messages and bytes that a member sends in a second of a quiet fleet.
fn size(report: &mut Report, quick: bool) {
    let span = if quick { 10_000 } else { 60_000 };
    let mut rows = Vec::new();
    let mut figures = Vec::new();
    for machines in [30, 300, 1_000] {
        let mut simulation = Simulation::new(
            SimulationConfig { machines, voters: 5, zones: 3, ..SimulationConfig::default() },
            3,
        );
        simulation.invariants.compares_states = false;
        // Forming is over by then.
        let formed = 25_000;
        let _ = simulation.run_until(formed);
        let before = simulation.traffic();
        let began = Instant::now();
        let _ = simulation.run_until(formed + span);
        let core = began.elapsed().as_secs_f64() / seconds(span) / machines as f64;
        let after = simulation.traffic();
        let each = |count: u64| count as f64 / machines as f64 / seconds(span);
        let one = (each(after.messages - before.messages), each(after.bytes - before.bytes), core);
        rows.push(vec![
            machines.to_string(),
            format!("{:.1}", one.0),
            format!("{:.0}", one.1),
            format!("{:.4}", 100.0 * one.2),
        ]);
        figures.push(one);
    }
    report.table(
        "A member of a quiet fleet, each second",
        &["members", "messages", "bytes", "% of a core, the simulation's part included"],
        rows,
    );
    report.require_max("messages_1000_over_30", figures[2].0 / figures[0].0, 1.3);
    report.require_max("bytes_1000_over_30", figures[2].1 / figures[0].1, 1.3);
    report.require_max("core_at_300", figures[1].2, 0.01);
}

/// How soon a death is known to all, and who is taken for dead that is not.
fn deaths(report: &mut Report, quick: bool) {
    let known_s: Vec<f64> = run_parallel(core_count(), 0..if quick { 30 } else { 200 }, death_known_s);
    let known_s_at = |part: f64| quantile(&known_s, part).expect("deaths were simulated");
    // In pieces side by side.
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

/// A fleet that has formed, on a network that loses one packet in fifty.
fn lossy_fleet(machines: usize, voters: usize, seed: u64) -> Simulation {
    let config = SimulationConfig { machines, voters, ..SimulationConfig::default() };
    let mut simulation = Simulation::new(config, seed);
    simulation.invariants.compares_states = false;
    let _ = simulation.run_until(20_000);
    simulation.inject(&Fault::SetLoss(0.02, 0.0));
    simulation
}

/// How long it takes until the death of one of 30 members is known to all, s.
fn death_known_s(seed: u64) -> f64 {
    let mut simulation = lossy_fleet(30, 5, seed);
    let died = simulation.now;
    simulation.inject(&Fault::Kill(29));
    while simulation.now < died + 60_000 && !simulation.is_known_dead(29) {
        let next = simulation.now + 50;
        let _ = simulation.run_until(next);
    }
    seconds(simulation.now - died)
}

/// How often one of ten members is taken for dead in an hour with short stops.
fn false_deaths_in_an_hour(seed: u64) -> u64 {
    let mut simulation = lossy_fleet(10, 3, seed);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut count = 0;
    let mut before = simulation.believed_dead();
    for _ in 0..720 {
        simulation.inject(&Fault::Stop(rng.usize(0..10), 300));
        let next = simulation.now + 5_000;
        let _ = simulation.run_until(next);
        let now = simulation.believed_dead();
        count += now.difference(&before).count() as u64;
        before = now;
    }
    count
}

/// How the day with a burst is made: ten servers of eight runs at once, 30 minutes, a burst of ten minutes in it; each
/// maintenance is requested in the fourth minute and is out for 30 s. Seconds.
const MACHINES: usize = 10;
const BEARS: f64 = 8.0;
const DAY: u64 = 1_800;
const REQUESTED_AT: u64 = 240;
const BURST_SECONDS: u64 = 600;
const WORK: u64 = 30;

/// The headroom rule against "three at once", over bursts that begin before, while and after the first are out. What those
/// who are there do not bear is lost. Nobody can foresee a burst: what is lost for those who were out when it began is counted
/// apart from what is lost for grants within it.
fn headroom(report: &mut Report) {
    let bursts = [200, 250, 270, 290, 310, 400];
    let demand =
        |burst: u64, second: u64| if (burst..burst + BURST_SECONDS).contains(&second) { 7.4 } else { 5.0 };
    let days = run_parallel(core_count(), 0..bursts.len() as u64, |at| {
        let burst = bursts[at as usize];
        (
            day_by_the_fleet(burst, &|second| demand(burst, second)),
            day_in_fixed_batches(&|second| demand(burst, second)),
        )
    });
    print_headroom(report, &bursts, &days);
    let lost: f64 = days.iter().map(|(by_fleet, _)| by_fleet.lost).sum();
    let lost_in_burst: f64 = days.iter().map(|(by_fleet, _)| by_fleet.granted_in_burst).sum();
    let lost_in_batches: f64 = days.iter().map(|(_, fixed)| fixed.lost).sum();
    let done = days.iter().map(|(by_fleet, _)| by_fleet.done.unwrap_or(DAY)).max().unwrap_or(0);
    report.require_max("headroom_lost_in_burst", lost_in_burst, 0.0);
    report.require_max("headroom_lost_over_plain", lost / lost_in_batches.max(1.0), 0.25);
    report.require_max("headroom_done_s", done as f64, (DAY - REQUESTED_AT) as f64 - 1.0);
}

fn print_headroom(report: &Report, bursts: &[u64], days: &[(Day, Day)]) {
    let time = |day: &Day| day.done.map_or("not within the day".into(), |seconds| seconds.to_string());
    let row = |(burst, (by_fleet, fixed)): (&u64, &(Day, Day))| {
        vec![
            burst.to_string(),
            format!("{:.4}", by_fleet.lost / by_fleet.requested),
            format!("{:.4}", by_fleet.granted_in_burst / by_fleet.requested),
            time(by_fleet),
            format!("{:.4}", fixed.lost / fixed.requested),
            time(fixed),
        ]
    };
    report.table(
        "Ten servers out in turn around a burst: headroom with three at the most, and three at once",
        &[
            "burst from s",
            "worth lost",
            "by grants in it",
            "done after s",
            "three at once: lost",
            "done after s",
        ],
        bursts.iter().zip(days).map(row).collect(),
    );
}

/// Reports that show a burst have at most this age, ms: what was granted before they came was not granted in it.
const REPORTED_WITHIN: u64 = 5_000;

fn day_by_the_fleet(burst: u64, demand: &dyn Fn(u64) -> f64) -> Day {
    let mut simulation = Simulation::new(
        SimulationConfig {
            machines: MACHINES,
            voters: 5,
            rules: Rules { max_out: Limit::Count(3), ..Rules::default() },
            maintenance_millis: WORK * 1000,
            ..SimulationConfig::default()
        },
        5,
    );
    simulation.invariants.compares_states = false;
    let _ = simulation.run_until(20_000);
    let start = simulation.now;
    let mut day = Day::default();
    for second in 0..DAY {
        simulation.inject(&Fault::SetLoad(demand(second)));
        if second == REQUESTED_AT {
            simulation.inject(&Fault::RequestWork((0..MACHINES).collect(), Urgency::Routine));
        }
        let _ = simulation.run_until(start + (second + 1) * 1_000);
        let lost = day.second(demand(second) * MACHINES as f64, BEARS * simulation.serving_count() as f64);
        let is_burst = (burst..burst + BURST_SECONDS).contains(&second);
        if is_burst && is_out_since(&simulation, start + burst * 1_000 + REPORTED_WITHIN) {
            day.granted_in_burst += lost;
        }
        let tickets = simulation.tickets();
        if tickets.len() == MACHINES && tickets.iter().all(|ticket| ticket.stage == TicketStage::Done) {
            day.done.get_or_insert(second - REQUESTED_AT);
        }
    }
    day
}

/// Whether a machine is out that left after this time, ms.
fn is_out_since(simulation: &Simulation, since: u64) -> bool {
    let mut departures = simulation.invariants.departures.iter();
    departures.any(|departure| departure.at > since && departure.at + WORK * 1000 > simulation.now)
}

/// Three at once, one after the other, whatever is carried: the same cycle of drain, work and warming.
fn day_in_fixed_batches(demand: &dyn Fn(u64) -> f64) -> Day {
    const AWAY: u64 = WORK + 4;
    const CYCLE: u64 = AWAY + 10;
    let groups = MACHINES.div_ceil(3) as u64;
    let mut day = Day::default();
    for second in 0..DAY {
        let since = second.saturating_sub(REQUESTED_AT);
        let at = since / CYCLE;
        let group = if second < REQUESTED_AT || at >= groups { 0 } else { 3.min(MACHINES - 3 * at as usize) };
        let away = if since % CYCLE < AWAY { group } else { 0 };
        day.second(demand(second) * MACHINES as f64, BEARS * (MACHINES - away) as f64);
        if at >= groups {
            day.done.get_or_insert(second - REQUESTED_AT);
        }
    }
    day
}

#[derive(Default)]
struct Day {
    requested: f64,
    lost: f64,
    /// Of it, while somebody was out who was let go in the burst.
    granted_in_burst: f64,
    done: Option<u64>,
}

impl Day {
    fn second(&mut self, requested: f64, borne: f64) -> f64 {
        let lost = (requested - borne).max(0.0);
        self.requested += requested;
        self.lost += lost;
        lost
    }
}
