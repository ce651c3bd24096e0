//! The cores of a server, shared evenly among all jobs on them (processor sharing).
//!
//! Every job gets the same rate, so one number, the work that a job present from the start would have received, shows the
//! progress of all of them.

use loomflow::time::Millis;

use crate::clock::{SimulationMicros, from_millis, to_millis};

/// Work left below this, in milliseconds, counts as done: rounding of the clock to microseconds.
const DONE_WITHIN: Millis = 1e-3;

/// Names one attempt of a caller at a server.
pub type AttemptId = u32;

/// What a core is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Job {
    /// The handshake of a new connection, if it is one, and the reading of a request.
    Read(AttemptId),
    /// The run of a request.
    Run(AttemptId),
}

/// A number of cores and the jobs on them.
pub struct Cores {
    count: f64,
    speed: f64,
    received: Millis,
    busy: Millis,
    updated: SimulationMicros,
    /// Each job, with the value of `received` at which it is done.
    jobs: Vec<(Job, Millis)>,
}

impl Cores {
    /// Idle cores at full speed.
    pub fn new(count: f64, now: SimulationMicros) -> Cores {
        Cores { count, speed: 1.0, received: 0.0, busy: 0.0, updated: now, jobs: Vec::new() }
    }

    /// Puts a job that needs this many milliseconds of one full-speed core on them.
    pub fn add(&mut self, now: SimulationMicros, job: Job, work: Millis) {
        self.advance(now);
        self.jobs.push((job, self.received + work));
    }

    /// Takes an unfinished job off; false where it is not there.
    pub fn remove(&mut self, now: SimulationMicros, job: Job) -> bool {
        self.advance(now);
        let before = self.jobs.len();
        self.jobs.retain(|(other, _)| *other != job);
        self.jobs.len() < before
    }

    /// Changes the speed of every core; 1 is full speed.
    pub fn set_speed(&mut self, now: SimulationMicros, speed: f64) {
        self.advance(now);
        self.speed = speed;
    }

    /// Takes off one job that is done by now, if there is one.
    pub fn take_done(&mut self, now: SimulationMicros) -> Option<Job> {
        self.advance(now);
        let done = self.jobs.iter().position(|(_, at)| *at <= self.received + DONE_WITHIN)?;
        Some(self.jobs.remove(done).0)
    }

    /// When the next job is done if nothing changes.
    pub fn next_done(&self) -> Option<SimulationMicros> {
        let first = self.jobs.iter().map(|(_, at)| *at).reduce(f64::min)?;
        let left = (first - self.received).max(0.0);
        Some(self.updated + from_millis(left / self.rate()))
    }

    /// Whether that job is on the cores.
    pub fn has(&self, job: Job) -> bool {
        self.jobs.iter().any(|(other, _)| *other == job)
    }

    /// The number of jobs.
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }

    /// The sum over time of the busy share of the cores, in milliseconds.
    pub fn busy_time(&mut self, now: SimulationMicros) -> Millis {
        self.advance(now);
        self.busy
    }

    fn rate(&self) -> f64 {
        self.speed * (self.count / self.jobs.len().max(1) as f64).min(1.0)
    }

    fn advance(&mut self, now: SimulationMicros) {
        let elapsed = to_millis(now - self.updated);
        self.updated = now;
        self.received += elapsed * self.rate();
        self.busy += elapsed * (self.jobs.len() as f64 / self.count).min(1.0);
    }
}
