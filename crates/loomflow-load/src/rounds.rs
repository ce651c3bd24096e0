//! Each machine of a fleet taken out once under load: the fleet itself decides on the order; here the machines' part is
//! played (whoever has ended is started again after its work), and it is counted from outside how many were out at once.

use std::time::{Duration, Instant};

use loomflow_test_servers::fleet::Fleet;

/// One round.
pub struct Round {
    /// How long a machine's maintenance takes.
    pub work: Duration,
    /// After so long one that runs and is not on its way out is killed, and started again a while later.
    pub kill_after: Option<Duration>,
    /// The round is abandoned after this.
    pub limit: Duration,
}

/// What was observed of a round from outside.
pub struct RoundReport {
    /// Machines that were out of service at once because they ended by themselves, at the most.
    pub max_out: usize,
    /// Machines that ended by themselves, in their order.
    pub departures: Vec<usize>,
    /// Exit codes other than 0.
    pub failed_exits: usize,
    /// How long the round took.
    pub took: Duration,
    /// Every machine was out once and no ticket is open.
    pub complete: bool,
    /// What happened, since the start of the round.
    pub timeline: Vec<(Duration, String)>,
}

/// A killed machine is started again after this.
const RESTART_AFTER: Duration = Duration::from_secs(2);
/// How often the open tickets are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How often the machines are looked at.
const LOOP_INTERVAL: Duration = Duration::from_millis(10);
/// Maintenance is requested for so much longer than it takes, s.
const REQUESTED_MARGIN_SECONDS: u64 = 30;

/// Why a machine does not run, and until when.
#[derive(Clone, Copy)]
enum Absence {
    Maintenance(Instant),
    Killed(Instant),
}

impl Absence {
    fn until(self) -> Instant {
        match self {
            Absence::Maintenance(until) | Absence::Killed(until) => until,
        }
    }
}

/// A round that is under way.
struct RunningRound<'a> {
    fleet: &'a mut Fleet,
    round: &'a Round,
    start: Instant,
    report: RoundReport,
    absences: Vec<Option<Absence>>,
    has_killed: bool,
    polled_at: Instant,
    /// All have gone and no ticket is open.
    has_ended: bool,
}

fn name(member: usize) -> String {
    format!("n{}", member + 1)
}

/// Plays the round: requests tickets for all machines, and sees it through.
pub fn play(fleet: &mut Fleet, round: &Round) -> RoundReport {
    let report = RoundReport {
        max_out: 0,
        departures: Vec::new(),
        failed_exits: 0,
        took: Duration::ZERO,
        complete: false,
        timeline: Vec::new(),
    };
    let start = Instant::now();
    let absences = vec![None; fleet.members.len()];
    let has_killed = round.kill_after.is_none();
    let (polled_at, has_ended) = (start, false);
    let mut running =
        RunningRound { fleet, round, start, report, absences, has_killed, polled_at, has_ended };
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

    /// Requests a ticket for each machine; false where that is refused.
    fn request_all(&mut self) -> bool {
        let duration = format!("{}s", self.round.work.as_secs() + REQUESTED_MARGIN_SECONDS);
        let words = ["work", "ask", "--all", "--reason", "round", "--for", &duration];
        let (code, output, errors) = self.fleet.run_command(0, &words);
        self.note(format!("asked for all: {}{}", output.trim(), errors.trim()));
        code == 0
    }

    fn step(&mut self) {
        for member in 0..self.absences.len() {
            match self.absences[member] {
                Some(absence) if Instant::now() >= absence.until() => self.restart(member),
                None if !self.fleet.is_running(member) => self.departed(member),
                _ => {}
            }
        }
        if !self.has_killed && self.round.kill_after.is_some_and(|after| self.start.elapsed() >= after) {
            self.kill_one();
        }
        let is_anybody_absent = self.absences.iter().any(Option::is_some);
        let have_all_departed = self.report.departures.len() >= self.absences.len();
        if have_all_departed && !is_anybody_absent && self.polled_at.elapsed() >= POLL_INTERVAL {
            self.poll_tickets();
        }
    }

    fn restart(&mut self, member: usize) {
        self.note(format!("{} is back", name(member)));
        self.fleet.start_member(member);
        self.absences[member] = None;
    }

    /// A machine has ended by itself.
    fn departed(&mut self, member: usize) {
        let code = self.fleet.members[member].fixture.exit_code();
        self.report.failed_exits += usize::from(code != Some(0));
        self.report.departures.push(member);
        self.absences[member] = Some(Absence::Maintenance(Instant::now() + self.round.work));
        let out = self.absences.iter().filter(|absence| matches!(absence, Some(Absence::Maintenance(_))));
        let out = out.count();
        self.report.max_out = self.report.max_out.max(out);
        self.note(format!("{} has drained and is out, {out} at once", name(member)));
    }

    /// Kills a machine that is not the fleet's next: one that has been out already and is back.
    fn kill_one(&mut self) {
        let is_back =
            |member: &usize| self.report.departures.contains(member) && self.absences[*member].is_none();
        let Some(member) = (0..self.absences.len()).find(is_back) else { return };
        self.has_killed = true;
        self.note(format!("{} is killed", name(member)));
        self.fleet.kill(member);
        self.absences[member] = Some(Absence::Killed(Instant::now() + RESTART_AFTER));
    }

    /// The round ends when no ticket is open; it is complete if every machine was out once.
    fn poll_tickets(&mut self) {
        self.polled_at = Instant::now();
        let (code, open, _) = self.fleet.run_command(0, &["work", "list", "--json"]);
        if code == 0 && open.trim() == "[]" {
            self.has_ended = true;
            self.report.complete = self.has_killed && self.report.departures.len() == self.absences.len();
        }
    }

    fn finish(&mut self) {
        self.report.took = self.start.elapsed();
        let end = if self.report.complete { "all have been out and are back" } else { "not all came back" };
        self.note(end.into());
    }
}
