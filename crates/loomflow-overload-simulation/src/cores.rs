//! The cores of a server under processor sharing: all jobs run at the same rate.
//!
//! One accumulator, the work that a job present from the start would have received, therefore gives the
//! progress of every job.

use loomflow::time::Millis;

use crate::clock::{SimulationMicros, from_millis, to_millis};

/// Remaining work at which a job counts as completed, ms: allows for the rounding of the clock to
/// microseconds.
const COMPLETION_TOLERANCE: Millis = 1e-3;

/// Id of a caller's attempt at a server, unique within a simulation.
pub type AttemptId = u32;

/// A job on the cores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Job {
    /// Reads a request, with the handshake if it arrived on a new connection.
    Read(AttemptId),
    /// Runs a request.
    Run(AttemptId),
}

/// The cores of a server and the jobs on them.
pub struct Cores {
    core_count: f64,
    /// Speed of every core; 1 is full speed.
    speed: f64,
    /// Work that a job present from the start would have received, ms on one core at full speed.
    work_per_job: Millis,
    /// Integral over time of the busy fraction of the cores, ms.
    busy_time: Millis,
    /// Time of the last update of the accumulators.
    updated_at: SimulationMicros,
    /// Each job, with the value of `work_per_job` at which it is completed.
    jobs: Vec<(Job, Millis)>,
}

impl Cores {
    /// Creates idle cores at full speed.
    pub fn new(core_count: f64, now: SimulationMicros) -> Cores {
        Cores { core_count, speed: 1.0, work_per_job: 0.0, busy_time: 0.0, updated_at: now, jobs: Vec::new() }
    }

    /// Adds a job; `work` is in milliseconds on one core at full speed.
    pub fn add(&mut self, now: SimulationMicros, job: Job, work: Millis) {
        self.advance(now);
        self.jobs.push((job, self.work_per_job + work));
    }

    /// Removes an unfinished job; returns false if it is not on the cores.
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

    /// Removes and returns a job that is completed at `now`, if any.
    pub fn take_completed(&mut self, now: SimulationMicros) -> Option<Job> {
        self.advance(now);
        let index = self.jobs.iter().position(|(_, at)| *at <= self.work_per_job + COMPLETION_TOLERANCE)?;
        Some(self.jobs.remove(index).0)
    }

    /// Returns when the next job completes if no job is added or removed and the speed stays the same.
    pub fn next_completion(&self) -> Option<SimulationMicros> {
        let first = self.jobs.iter().map(|(_, at)| *at).reduce(f64::min)?;
        let remaining = (first - self.work_per_job).max(0.0);
        Some(self.updated_at + from_millis(remaining / self.rate()))
    }

    /// Returns whether a job is on the cores.
    pub fn contains(&self, job: Job) -> bool {
        self.jobs.iter().any(|(other, _)| *other == job)
    }

    /// Returns the number of jobs on the cores.
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the integral over time of the busy fraction of the cores, ms.
    pub fn busy_time(&mut self, now: SimulationMicros) -> Millis {
        self.advance(now);
        self.busy_time
    }

    /// Work that each job receives per unit of time.
    fn rate(&self) -> f64 {
        self.speed * (self.core_count / self.jobs.len().max(1) as f64).min(1.0)
    }

    fn advance(&mut self, now: SimulationMicros) {
        let elapsed = to_millis(now - self.updated_at);
        self.updated_at = now;
        self.work_per_job += elapsed * self.rate();
        self.busy_time += elapsed * (self.jobs.len() as f64 / self.core_count).min(1.0);
    }
}
