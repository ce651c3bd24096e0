//! Clients: each asks for one thing, tries again on its own when it fails, and gives up in the end.

use fastrand::Rng;

use crate::clock::{MILLISECOND, Micros};
use crate::cores::AttemptId;

/// What clients do of their own accord.
#[derive(Clone, Debug)]
pub struct ClientHabits {
    /// An answer within this of the first try is worth its full worth, later ones nothing.
    pub aim: Micros,
    /// A client waits no longer than this, over all its tries.
    pub give_up: Micros,
    /// A client tries again at most so often; how often is drawn for each from 1 to this.
    pub tries_again: u32,
    /// The longest pause before a try after a failure; drawn for each.
    pub longest_pause: Micros,
    /// A try without an answer for this long is left for another, where there is one left.
    pub patience: Micros,
}

impl Default for ClientHabits {
    fn default() -> Self {
        ClientHabits {
            aim: 1_800 * MILLISECOND,
            give_up: 4_500 * MILLISECOND,
            tries_again: 2,
            longest_pause: 400 * MILLISECOND,
            patience: 1_800 * MILLISECOND,
        }
    }
}

/// One client's request over all its tries.
pub struct Request {
    /// When it was asked first.
    pub asked: Micros,
    /// Milliseconds of one core that it needs.
    pub work: f64,
    /// The same as callers estimate it.
    pub estimate: f64,
    /// Tries that are left after this one.
    pub tries_left: u32,
    /// Counts its tries, so that what was scheduled for an old one is passed over.
    pub serial: u32,
    /// The caller of the present try.
    pub caller: usize,
    /// The servers asked in the present try.
    pub tried: Vec<usize>,
    /// The attempt under way.
    pub attempt: Option<AttemptId>,
    /// Some attempt was made before.
    pub attempted: bool,
    /// It was answered or given up.
    pub over: bool,
}

impl Request {
    /// A new request of about that work, estimated within a fifth.
    pub fn draw(habits: &ClientHabits, now: Micros, mean: f64, spread: f64, rng: &mut Rng) -> Request {
        let work = mean * (1.0 + spread * (2.0 * rng.f64() - 1.0));
        Request {
            asked: now,
            work,
            estimate: work * (0.8 + 0.4 * rng.f64()),
            tries_left: if habits.tries_again == 0 { 0 } else { rng.u32(1..=habits.tries_again) },
            serial: 0,
            caller: 0,
            tried: Vec::new(),
            attempt: None,
            attempted: false,
            over: false,
        }
    }
}
