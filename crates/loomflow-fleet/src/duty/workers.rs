//! The processes on a server that do the work of its duties: which of them may still be at work. The server releases a duty
//! only when none is.
//!
//! A process is known to be at an end only if it reports so, or if the ownership that was confirmed to it last has expired:
//! its supervisor kills it before then (see [`super::supervisor`]). That it sends nothing shows nothing.

use std::collections::BTreeMap;

use super::DutyName;
use crate::time::IntegerMillis;

/// Maximum number of processes that may do the work of one duty on one server.
pub const MAX_WORKERS_PER_DUTY: usize = 64;

/// Identifies a process on the server's machine: its process id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerId(pub i32);

impl WorkerId {
    /// A process whose id is not visible in the server's PID namespace. Several processes may have this id, so the end of one
    /// is not known before the ownership confirmed to all of them has expired.
    pub const UNKNOWN: WorkerId = WorkerId(0);
}

/// A duty has [`MAX_WORKERS_PER_DUTY`] processes already.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{MAX_WORKERS_PER_DUTY} processes already do the work of duty {0}")]
pub struct TooManyWorkers(pub DutyName);

/// The processes that may be doing the work of a server's duties. All times are ms on the server's boot-time clock.
#[derive(Clone, Debug, Default)]
pub struct Workers {
    /// For each process the end of the ownership that was confirmed to it last.
    owned_until: BTreeMap<DutyName, BTreeMap<WorkerId, IntegerMillis>>,
}

impl Workers {
    /// Records that a process is told that the server owns a duty until `owned_until`: it may work until then. A process that
    /// asks for the first time when the duty is already recalled does not start to work, and is not recorded.
    ///
    /// # Errors
    /// The duty has too many processes, and this one must not be told that it may work.
    pub fn ownership_confirmed(
        &mut self,
        duty: &str,
        worker: WorkerId,
        is_recalled: bool,
        owned_until: IntegerMillis,
    ) -> Result<(), TooManyWorkers> {
        let workers = self.owned_until.get(duty);
        let is_known = workers.is_some_and(|workers| workers.contains_key(&worker));
        if is_recalled && !is_known {
            return Ok(());
        }
        if !is_known && workers.is_some_and(|workers| workers.len() >= MAX_WORKERS_PER_DUTY) {
            return Err(TooManyWorkers(duty.to_owned()));
        }
        let until = self.owned_until.entry(duty.to_owned()).or_default().entry(worker).or_default();
        *until = owned_until.max(*until);
        Ok(())
    }

    /// Records that the work of a process on a duty has ended. Has no effect for [`WorkerId::UNKNOWN`].
    pub fn ended(&mut self, duty: &str, worker: WorkerId) {
        if worker == WorkerId::UNKNOWN {
            return;
        }
        if let Some(workers) = self.owned_until.get_mut(duty) {
            workers.remove(&worker);
        }
    }

    /// Whether a process may be doing the work of a duty at `now`.
    pub fn is_any_at_work(&self, duty: &str, now: IntegerMillis) -> bool {
        let mut workers = self.owned_until.get(duty).into_iter().flatten();
        workers.any(|(_, owned_until)| now < *owned_until)
    }

    /// Removes the processes that have ended by `now` because the ownership confirmed to them has expired.
    pub fn expire(&mut self, now: IntegerMillis) {
        for workers in self.owned_until.values_mut() {
            workers.retain(|_, owned_until| now < *owned_until);
        }
        self.owned_until.retain(|_, workers| !workers.is_empty());
    }
}

#[cfg(test)]
mod tests;
