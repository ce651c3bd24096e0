//! Compares maintenance by the headroom rule, which limits the utilization of the remaining machines, with maintenance
//! in fixed batches of three, on a simulated day with a burst of load.

use loomflow_fleet::maintenance::rules::{Limit, Rules};
use loomflow_fleet::maintenance::ticket::{TicketStage, Urgency};
use loomflow_fleet::time::{IntegerMillis, millis_of_seconds};
use loomflow_fleet_simulation::{Fault, Simulation, SimulationConfig, core_count, run_parallel};

use crate::report::Report;

const MACHINES: usize = 10;
/// Capacity of each machine, in concurrent runs.
const CAPACITY: f64 = 8.0;
/// Load of each machine outside of a burst, in concurrent runs.
const USUAL_LOAD: f64 = 5.0;
/// Load of each machine during a burst, in concurrent runs.
const BURST_LOAD: f64 = 7.4;
const DAY_SECONDS: u64 = 1_800;
const BURST_SECONDS: u64 = 600;
/// Time at which maintenance of all machines is requested, s.
const REQUESTED_AT_SECOND: u64 = 240;
/// How long a machine is out for its maintenance, s.
const MAINTENANCE_SECONDS: u64 = 30;
/// Maximum number of machines out at once by the rules, and the size of a fixed batch.
const MAX_OUT: usize = 3;
/// Starts of the bursts, s: before, while and after the first machines are out.
const BURST_STARTS: [u64; 6] = [200, 250, 270, 290, 310, 400];
/// Maximum time until load reports show a burst, ms. A grant before that does not count as made within the burst.
const MAX_REPORT_DELAY_MILLIS: IntegerMillis = 5_000;

/// The load of each machine in a second of the day, in concurrent runs.
fn load_at(second: u64, burst_start: u64) -> f64 {
    if is_in_burst(second, burst_start) { BURST_LOAD } else { USUAL_LOAD }
}

fn is_in_burst(second: u64, burst_start: u64) -> bool {
    (burst_start..burst_start + BURST_SECONDS).contains(&second)
}

/// Measures the load that is lost: the part that exceeds the capacity of the serving machines. A burst cannot be
/// foreseen: load lost because of grants within the burst is bounded separately, by 0, while load lost because of
/// machines that were out when it began is not.
pub fn measure(report: &mut Report) {
    let days = run_parallel(core_count(), 0..BURST_STARTS.len() as u64, |index| {
        let burst_start = BURST_STARTS[index as usize];
        Days { by_fleet: day_by_the_fleet(burst_start), in_batches: day_in_fixed_batches(burst_start) }
    });
    print(report, &days);
    let lost: f64 = days.iter().map(|days| days.by_fleet.lost).sum();
    let lost_in_burst: f64 = days.iter().map(|days| days.by_fleet.lost_by_grants_in_burst).sum();
    let lost_in_batches: f64 = days.iter().map(|days| days.in_batches.lost).sum();
    let done_after = days.iter().map(|days| days.by_fleet.done_after_seconds.unwrap_or(DAY_SECONDS));
    let slowest = done_after.max().unwrap_or(0);
    report.require_max("headroom_lost_in_burst", lost_in_burst, 0.0);
    report.require_max("headroom_lost_over_plain", lost / lost_in_batches.max(1.0), 0.25);
    let max_seconds = (DAY_SECONDS - REQUESTED_AT_SECOND) as f64 - 1.0;
    report.require_max("headroom_done_s", slowest as f64, max_seconds);
}

/// Outcomes of one day with maintenance scheduled by the fleet, and in fixed batches.
struct Days {
    by_fleet: Day,
    in_batches: Day,
}

/// Outcome of a day.
#[derive(Default)]
struct Day {
    /// Sum of the load, in concurrent runs times seconds.
    requested: f64,
    /// Load that exceeded the capacity, in the same unit.
    lost: f64,
    /// The part of `lost` that was lost while a machine was out for maintenance that had been granted within the burst.
    lost_by_grants_in_burst: f64,
    /// Time from the request until all maintenance was done; `None` if it was not done within the day.
    done_after_seconds: Option<u64>,
}

impl Day {
    /// Adds one second and returns the load that was lost in it.
    fn count_second(&mut self, requested: f64, capacity: f64) -> f64 {
        let lost = (requested - capacity).max(0.0);
        self.requested += requested;
        self.lost += lost;
        lost
    }
}

fn print(report: &Report, days: &[Days]) {
    let done_after =
        |day: &Day| day.done_after_seconds.map_or("not within the day".into(), |seconds| seconds.to_string());
    let row = |(burst_start, Days { by_fleet, in_batches }): (&u64, &Days)| {
        vec![
            burst_start.to_string(),
            format!("{:.4}", by_fleet.lost / by_fleet.requested),
            format!("{:.4}", by_fleet.lost_by_grants_in_burst / by_fleet.requested),
            done_after(by_fleet),
            format!("{:.4}", in_batches.lost / in_batches.requested),
            done_after(in_batches),
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
        BURST_STARTS.iter().zip(days).map(row).collect(),
    );
}

/// Simulates a day on which the fleet schedules maintenance by its rules.
fn day_by_the_fleet(burst_start: u64) -> Day {
    let config = SimulationConfig {
        machines: MACHINES,
        voters: 5,
        rules: Rules { max_out: Limit::Count(MAX_OUT as u32), ..Rules::default() },
        maintenance_millis: millis_of_seconds(MAINTENANCE_SECONDS),
        ..SimulationConfig::default()
    };
    let mut simulation = Simulation::new(config, 5);
    simulation.invariants.compares_states = false;
    let _ = simulation.run_until(20_000);
    let start = simulation.now;
    let reported_at = start + millis_of_seconds(burst_start) + MAX_REPORT_DELAY_MILLIS;
    let mut day = Day::default();
    for second in 0..DAY_SECONDS {
        let load = load_at(second, burst_start);
        simulation.inject(&Fault::SetLoad(load));
        if second == REQUESTED_AT_SECOND {
            simulation.inject(&Fault::RequestWork((0..MACHINES).collect(), Urgency::Routine));
        }
        let _ = simulation.run_until(start + millis_of_seconds(second + 1));
        let capacity = CAPACITY * simulation.serving_count() as f64;
        let lost = day.count_second(load * MACHINES as f64, capacity);
        if is_in_burst(second, burst_start) && is_out_since(&simulation, reported_at) {
            day.lost_by_grants_in_burst += lost;
        }
        if is_all_done(&simulation) {
            day.done_after_seconds.get_or_insert(second - REQUESTED_AT_SECOND);
        }
    }
    day
}

fn is_all_done(simulation: &Simulation) -> bool {
    let tickets = simulation.tickets();
    tickets.len() == MACHINES && tickets.iter().all(|ticket| ticket.stage == TicketStage::Done)
}

/// Whether a machine that departed after `since` is still out for maintenance.
fn is_out_since(simulation: &Simulation, since: IntegerMillis) -> bool {
    let maintenance_millis = millis_of_seconds(MAINTENANCE_SECONDS);
    let mut departures = simulation.invariants.departures.iter();
    departures.any(|departure| departure.at > since && departure.at + maintenance_millis > simulation.now)
}

/// Computes a day with fixed batches one after the other, regardless of the load. Each batch has the same cycle of drain,
/// maintenance and slow start.
fn day_in_fixed_batches(burst_start: u64) -> Day {
    const OUT_SECONDS: u64 = MAINTENANCE_SECONDS + 4;
    const CYCLE_SECONDS: u64 = OUT_SECONDS + 10;
    let batches = MACHINES.div_ceil(MAX_OUT) as u64;
    let mut day = Day::default();
    for second in 0..DAY_SECONDS {
        let since_request = second.saturating_sub(REQUESTED_AT_SECOND);
        let batch = since_request / CYCLE_SECONDS;
        let is_running = second >= REQUESTED_AT_SECOND && batch < batches;
        let batch_size = if is_running { MAX_OUT.min(MACHINES - MAX_OUT * batch as usize) } else { 0 };
        let out_count = if since_request % CYCLE_SECONDS < OUT_SECONDS { batch_size } else { 0 };
        let load = load_at(second, burst_start) * MACHINES as f64;
        day.count_second(load, CAPACITY * (MACHINES - out_count) as f64);
        if batch >= batches {
            day.done_after_seconds.get_or_insert(second - REQUESTED_AT_SECOND);
        }
    }
    day
}
