//! When a member counts as suspect and as down, and what its state follows from.
//!
//! The SWIM protocol itself is the library's. The probe periods are those that it recommends for a local network. How long
//! a suspect has to answer and how often an update is passed on grow with the logarithm of the fleet's size, and are set
//! for the largest fleet there may be.

use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Config, PeriodicParams, State as SwimState};

use super::KnownMember;
use crate::member::{LoadReport, MemberState, Phase, ReceivedReport, is_report_recent};
use crate::time::IntegerMillis;

/// How often a member probes another one, ms.
const PROBE_PERIOD_MILLIS: u64 = 1_000;
/// A probe without an answer for this long is repeated through other members, ms.
const PROBE_TIMEOUT_MILLIS: u64 = 500;
/// Members through which a probe is repeated.
const INDIRECT_PROBES: usize = 3;
/// A suspect that does not refute the suspicion within this time is declared down, ms.
pub(super) const SUSPECT_TO_DOWN_MILLIS: u64 = 4_000;
/// How often a member passes on one update.
const MAX_TRANSMISSIONS: u8 = 12;
/// A member that left or died is remembered for this long, ms: until then it counts as missing.
pub const FORGET_AFTER_MILLIS: IntegerMillis = 60 * 60 * 1000;
/// How often updates are sent beside those in probes, ms, and to how many members.
const GOSSIP_PERIOD_MILLIS: u64 = 200;
const GOSSIP_MEMBERS: usize = 3;
/// How often a member announces itself to others, ms, and to how many.
const ANNOUNCE_PERIOD_MILLIS: u64 = 30_000;
const ANNOUNCE_MEMBERS: usize = 1;
/// How often a member announces itself to those that it takes for down, ms, and to how many.
const ANNOUNCE_TO_DOWN_PERIOD_MILLIS: u64 = 3_000;
const ANNOUNCE_TO_DOWN_MEMBERS: usize = 2;
/// Largest packet, bytes: it fits into one Ethernet frame.
const MAX_PACKET_BYTES: usize = 1_400;
/// How late a voter may learn of a suspicion, ms, while packets arrive. The other members decide nothing by it, and reading
/// the state of all members is the main cost of membership in a large fleet.
const REFRESH_PERIOD_OF_VOTERS_MILLIS: IntegerMillis = 500;
const REFRESH_PERIOD_OF_OTHERS_MILLIS: IntegerMillis = 5_000;

/// The settings of the membership library.
pub(super) fn swim_config() -> Config {
    let non_zero = |n| NonZeroUsize::new(n).expect("not zero");
    let periodic = |period_millis, members| {
        Some(PeriodicParams {
            frequency: Duration::from_millis(period_millis),
            num_members: non_zero(members),
        })
    };
    Config {
        probe_period: Duration::from_millis(PROBE_PERIOD_MILLIS),
        probe_rtt: Duration::from_millis(PROBE_TIMEOUT_MILLIS),
        num_indirect_probes: non_zero(INDIRECT_PROBES),
        max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).expect("not zero"),
        suspect_to_down_after: Duration::from_millis(SUSPECT_TO_DOWN_MILLIS),
        remove_down_after: Some(Duration::from_millis(FORGET_AFTER_MILLIS)),
        max_packet_size: non_zero(MAX_PACKET_BYTES),
        notify_down_members: true,
        periodic_announce: periodic(ANNOUNCE_PERIOD_MILLIS, ANNOUNCE_MEMBERS),
        // After a partition heals, each side takes the other for down, and without this neither would contact the other.
        periodic_announce_to_down_members: periodic(ANNOUNCE_TO_DOWN_PERIOD_MILLIS, ANNOUNCE_TO_DOWN_MEMBERS),
        periodic_gossip: periodic(GOSSIP_PERIOD_MILLIS, GOSSIP_MEMBERS),
    }
}

/// How often the states of all members are read from the library, ms: it does not notify of suspicions.
pub(super) fn refresh_period(is_voter: bool) -> IntegerMillis {
    if is_voter { REFRESH_PERIOD_OF_VOTERS_MILLIS } else { REFRESH_PERIOD_OF_OTHERS_MILLIS }
}

impl KnownMember {
    /// Its state by its own report and the membership; tickets are not considered.
    pub fn state(&self) -> MemberState {
        let phase = self.load_report.map(|received| received.report.phase);
        match (self.swim_state, phase) {
            (SwimState::Down, Some(Phase::Draining)) => MemberState::Left,
            (SwimState::Down, _) => MemberState::Down,
            (SwimState::Suspect, _) => MemberState::Suspect,
            (SwimState::Alive, Some(Phase::Serving)) => MemberState::Serving,
            (SwimState::Alive, Some(Phase::Draining)) => MemberState::Draining,
            (SwimState::Alive, Some(Phase::Cold) | None) => MemberState::Cold,
        }
    }

    /// Whether the membership has declared it down.
    pub fn is_down(&self) -> bool {
        self.swim_state == SwimState::Down
    }

    /// Whether it has been down for [`FORGET_AFTER_MILLIS`] and no longer counts as missing.
    pub(super) fn is_forgotten(&self, now: IntegerMillis) -> bool {
        self.is_down() && now >= self.since + FORGET_AFTER_MILLIS
    }

    /// Its load report, if that is recent and the member is not down.
    pub fn recent_report(&self, now: IntegerMillis) -> Option<LoadReport> {
        let ReceivedReport { at, report } = self.load_report?;
        (!self.is_down() && is_report_recent(at, now)).then_some(report)
    }
}
