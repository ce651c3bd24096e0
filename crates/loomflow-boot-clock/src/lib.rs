//! The boot-time clock of this machine, which leases and heartbeats are measured by. It goes on while the machine sleeps, and
//! nobody sets it.

use rustix::time::{ClockId, clock_gettime};

const MILLIS_PER_SECOND: u64 = 1_000;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// Time since the machine was started, whole ms. All processes of the machine read the same.
pub fn boot_millis() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * MILLIS_PER_SECOND + now.tv_nsec as u64 / NANOS_PER_MILLI
}
