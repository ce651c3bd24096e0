//! What goes wrong in a play, and when.

use crate::clock::Micros;

/// The kinds of trouble.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// A part of the callers is gone, and comes back with empty pools.
    CallersGone {
        /// The part, 0 to 1.
        part: f64,
    },
    /// A part of the servers is gone, and starts again cold.
    ServersGone {
        /// The part, 0 to 1.
        part: f64,
    },
    /// A part of the servers is slow.
    ServersSlow {
        /// The part, 0 to 1.
        part: f64,
        /// The speed left, 0 to 1.
        speed: f64,
    },
}

/// One trouble from its start to its end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// What happens.
    pub trouble: Trouble,
    /// When it begins.
    pub from: Micros,
    /// When it is over.
    pub to: Micros,
}

impl Trouble {
    /// How many of `all` it strikes.
    pub fn strikes(&self, all: usize) -> usize {
        let (Trouble::CallersGone { part }
        | Trouble::ServersGone { part }
        | Trouble::ServersSlow { part, .. }) = self;
        (part * all as f64).round() as usize
    }
}
