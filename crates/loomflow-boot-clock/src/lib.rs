//! The boot-time clock of the machine (`CLOCK_BOOTTIME`), which leases and heartbeats are timed by. It advances while
//! the machine is suspended, and unlike the wall clock it cannot be set.

use rustix::time::{ClockId, clock_gettime};

const MILLIS_PER_SECOND: u64 = 1_000;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// Returns the time since the machine was booted, in whole milliseconds. It is the same in all processes of the
/// machine.
pub fn boot_millis() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * MILLIS_PER_SECOND + now.tv_nsec as u64 / NANOS_PER_MILLI
}
