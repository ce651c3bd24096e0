//! Runs a round of maintenance: every machine of a fleet is maintained once under load, in an order that the fleet
//! decides on. This module restarts each machine that has exited, once the time of its maintenance is over, and counts
//! from outside how many machines were out of service at once.

use std::time::{Duration, Instant};

use loomflow_test_servers::fleet::Fleet;

/// Configuration of a round.
pub struct Round {
    /// Duration of the maintenance of a machine, from its exit to its restart.
    pub work: Duration,
    /// Time after which one machine that has returned from maintenance is killed; it is restarted two seconds later. `None`:
    /// none is killed.
    pub kill_after: Option<Duration>,
    /// The round is abandoned after this time.
    pub limit: Duration,
}

/// Observations of a round from outside the fleet.
pub struct RoundReport {
    /// Maximum number of machines that were out for maintenance at once.
    pub max_out: usize,
    /// Machines that exited without being killed, in order.
    pub departures: Vec<usize>,
    /// Number of machines in `departures` that exited with a code other than 0.
    pub failed_exits: usize,
    /// Duration of the round.
    pub took: Duration,
    /// Whether every machine was out once, no ticket is open, and a machine was killed if that was required.
    pub complete: bool,
    /// Events with their time since the start of the round.
    pub timeline: Vec<(Duration, String)>,
}

/// Time from the kill of a machine to its restart.
const RESTART_AFTER: Duration = Duration::from_secs(2);
/// Interval at which the open tickets are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the processes of the machines are checked.
const LOOP_INTERVAL: Duration = Duration::from_millis(10);
/// Time by which the requested duration of maintenance exceeds the actual one, s.
const REQUESTED_MARGIN_SECONDS: u64 = 30;

/// Reason why a machine does not run, with the time of its restart.
#[derive(Clone, Copy)]
enum Downtime {
    Maintenance(Instant),
    Killed(Instant),
}

impl Downtime {
    fn restart_at(self) -> Instant {
        match self {
            Downtime::Maintenance(restart_at) | Downtime::Killed(restart_at) => restart_at,
        }
    }
}

/// State of a round in progress.
struct RunningRound<'a> {
    fleet: &'a mut Fleet,
    round: &'a Round,
    start: Instant,
    report: RoundReport,
    downtimes: Vec<Option<Downtime>>,
    /// Whether a machine has been killed, or none is to be killed.
    has_killed: bool,
    polled_at: Instant,
    /// Whether every machine was out for maintenance once and no ticket is open.
    has_ended: bool,
}

fn name(member: usize) -> String {
    format!("n{}", member + 1)
}

/// Runs a round: requests tickets for all machines and restarts those that exit, until no ticket is open or the limit is
/// reached.
pub fn run(fleet: &mut Fleet, round: &Round) -> RoundReport {
    let report = RoundReport {
        max_out: 0,
        departures: Vec::new(),
        failed_exits: 0,
        took: Duration::ZERO,
        complete: false,
        timeline: Vec::new(),
    };
    let start = Instant::now();
    let downtimes = vec![None; fleet.members.len()];
    let has_killed = round.kill_after.is_none();
    let (polled_at, has_ended) = (start, false);
    let mut running =
        RunningRound { fleet, round, start, report, downtimes, has_killed, polled_at, has_ended };
    if running.request_all() {
        running.polled_at = Instant::now();
        while running.start.elapsed() < round.limit && !running.has_ended {
            running.step();
            std::thread::sleep(LOOP_INTERVAL);
        }
        running.finish();
    }
    running.report
}

impl RunningRound<'_> {
    fn note(&mut self, text: String) {
        self.report.timeline.push((self.start.elapsed(), text));
    }

    /// Requests a ticket for each machine. Returns whether the request was accepted.
    fn request_all(&mut self) -> bool {
        let duration = format!("{}s", self.round.work.as_secs() + REQUESTED_MARGIN_SECONDS);
        let arguments = ["work", "ask", "--all", "--reason", "round", "--for", &duration];
        let (code, output, errors) = self.fleet.run_command(0, &arguments);
        self.note(format!("maintenance of all servers requested: {}{}", output.trim(), errors.trim()));
        code == 0
    }

    fn step(&mut self) {
        for member in 0..self.downtimes.len() {
            match self.downtimes[member] {
                Some(downtime) if Instant::now() >= downtime.restart_at() => self.restart(member),
                None if !self.fleet.is_running(member) => self.departed(member),
                _ => {}
            }
        }
        if !self.has_killed && self.round.kill_after.is_some_and(|after| self.start.elapsed() >= after) {
            self.kill_one();
        }
        let is_any_down = self.downtimes.iter().any(Option::is_some);
        let have_all_departed = self.report.departures.len() >= self.downtimes.len();
        if have_all_departed && !is_any_down && self.polled_at.elapsed() >= POLL_INTERVAL {
            self.poll_tickets();
        }
    }

    fn restart(&mut self, member: usize) {
        self.note(format!("{} is restarted", name(member)));
        self.fleet.start_member(member);
        self.downtimes[member] = None;
    }

    /// Records that a machine has exited without being killed.
    fn departed(&mut self, member: usize) {
        let code = self.fleet.members[member].fixture.exit_code();
        self.report.failed_exits += usize::from(code != Some(0));
        self.report.departures.push(member);
        self.downtimes[member] = Some(Downtime::Maintenance(Instant::now() + self.round.work));
        let out = self.downtimes.iter().filter(|downtime| matches!(downtime, Some(Downtime::Maintenance(_))));
        let out = out.count();
        self.report.max_out = self.report.max_out.max(out);
        self.note(format!("{} has drained and is out, {out} at once", name(member)));
    }

    /// Kills a machine that has already returned from maintenance, so that the fleet does not wait for its departure. Does
    /// nothing if there is none yet.
    fn kill_one(&mut self) {
        let is_back =
            |member: &usize| self.report.departures.contains(member) && self.downtimes[*member].is_none();
        let Some(member) = (0..self.downtimes.len()).find(is_back) else { return };
        self.has_killed = true;
        self.note(format!("{} is killed", name(member)));
        self.fleet.kill(member);
        self.downtimes[member] = Some(Downtime::Killed(Instant::now() + RESTART_AFTER));
    }

    /// Ends the round if no ticket is open.
    fn poll_tickets(&mut self) {
        self.polled_at = Instant::now();
        let (code, open, _) = self.fleet.run_command(0, &["work", "list", "--json"]);
        if code == 0 && open.trim() == "[]" {
            self.has_ended = true;
            self.report.complete = self.has_killed && self.report.departures.len() == self.downtimes.len();
        }
    }

    fn finish(&mut self) {
        self.report.took = self.start.elapsed();
        let end = if self.report.complete {
            "all servers were out once and are back"
        } else {
            "the round is not complete"
        };
        self.note(end.into());
    }
}
