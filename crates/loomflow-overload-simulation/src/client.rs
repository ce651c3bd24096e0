//! Clients: each sends one request, retries it when it fails, and abandons it in the end.

use fastrand::Rng;
use loomflow::time::Millis;

use crate::clock::{MILLISECOND, SimulationMicros};
use crate::cores::AttemptId;

/// Behaviour of clients.
#[derive(Clone, Debug)]
pub struct ClientPolicy {
    /// A response within this time of the first attempt counts, a later one does not.
    pub objective: SimulationMicros,
    /// How long a client waits over all attempts.
    pub timeout: SimulationMicros,
    /// Upper bound of the number of retries, which is drawn for each client from 1 on.
    pub max_retries: u32,
    /// Upper bound of the backoff before a retry, which is drawn for each.
    pub max_backoff: SimulationMicros,
    /// An attempt without a response for this long is abandoned for another one, if retries are left.
    pub attempt_timeout: SimulationMicros,
}

impl Default for ClientPolicy {
    fn default() -> Self {
        ClientPolicy {
            objective: 1_800 * MILLISECOND,
            timeout: 4_500 * MILLISECOND,
            max_retries: 2,
            max_backoff: 400 * MILLISECOND,
            attempt_timeout: 1_800 * MILLISECOND,
        }
    }
}

/// A client's request over all attempts.
pub struct Request {
    /// When it was sent first.
    pub sent_at: SimulationMicros,
    /// Work, ms on one core.
    pub work: Millis,
    /// Work as callers estimate it, ms on one core.
    pub estimated_work: Millis,
    /// Retries that are left.
    pub retries_left: u32,
    /// Number of the attempt, by which timers of earlier ones are ignored.
    pub serial: u32,
    /// The caller of the current attempt.
    pub caller: usize,
    /// The servers tried in the current attempt.
    pub servers_tried: Vec<usize>,
    /// The caller's attempt in progress.
    pub attempt: Option<AttemptId>,
    /// Whether it was attempted before.
    pub attempted: bool,
    /// Whether it was answered or abandoned.
    pub is_finished: bool,
}

impl Request {
    /// Draws a request around the mean work; its estimate is within a fifth.
    pub fn draw(
        policy: &ClientPolicy,
        now: SimulationMicros,
        mean: Millis,
        spread: f64,
        rng: &mut Rng,
    ) -> Request {
        let work = mean * (1.0 + spread * (2.0 * rng.f64() - 1.0));
        Request {
            sent_at: now,
            work,
            estimated_work: work * (0.8 + 0.4 * rng.f64()),
            retries_left: if policy.max_retries == 0 { 0 } else { rng.u32(1..=policy.max_retries) },
            serial: 0,
            caller: 0,
            servers_tried: Vec::new(),
            attempt: None,
            attempted: false,
            is_finished: false,
        }
    }
}
