//! Clients: each sends one request, retries it after failures, and abandons it at its timeout.

use fastrand::Rng;
use loomflow::time::Millis;

use crate::clock::{MILLISECOND, SimulationMicros};
use crate::cores::AttemptId;

/// Deadlines and retries of clients.
#[derive(Clone, Debug)]
pub struct ClientPolicy {
    /// Latency objective, from the first attempt on; later responses do not count as served in time.
    pub objective: SimulationMicros,
    /// Time after which a client abandons its request, over all attempts.
    pub timeout: SimulationMicros,
    /// Maximum number of retries; each client draws its limit from 1 to this. 0 disables retries.
    pub max_retries: u32,
    /// Maximum backoff before a retry; each backoff is drawn from 0 to this.
    pub max_backoff: SimulationMicros,
    /// Time after which an attempt without a response is abandoned and retried, if retries are left.
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

/// State of a client's request over all its attempts.
pub struct Request {
    /// Time of the first attempt.
    pub sent_at: SimulationMicros,
    /// Work of a run, ms on one core.
    pub work: Millis,
    /// Work as estimated by the callers, ms on one core.
    pub estimated_work: Millis,
    /// Number of retries left.
    pub retries_left: u32,
    /// Number of the client's current attempt or backoff; timers with an earlier number are ignored.
    pub serial: u32,
    /// The caller of the current attempt.
    pub caller: usize,
    /// Servers that the caller has tried in the current attempt.
    pub servers_tried: Vec<usize>,
    /// The caller's attempt at a server that is in progress, if any.
    pub attempt: Option<AttemptId>,
    /// Whether the request has been sent to a server before.
    pub was_attempted: bool,
    /// Whether the request was served, failed for good or was abandoned.
    pub is_finished: bool,
}

impl Request {
    /// Draws a request with work of `mean` ± `spread` × `mean`, and an estimate within 20 % of the work.
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
            was_attempted: false,
            is_finished: false,
        }
    }
}
