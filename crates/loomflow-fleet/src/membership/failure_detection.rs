//! Settings of the failure detector, and the state of a member derived from it.
//!
//! The library implements SWIM. The probe periods are those that it recommends for a local network. The time
//! that a suspect has for its refutation and the number of transmissions of an update should grow with the
//! logarithm of the fleet's size; they are constants here, set for the largest fleet supported.

use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Config, PeriodicParams, State as SwimState};

use super::KnownMember;
use crate::member::{LoadReport, MemberState, Phase, ReceivedReport, is_report_recent};
use crate::time::IntegerMillis;

/// Interval between a member's probes, ms.
const PROBE_PERIOD_MILLIS: u64 = 1_000;
/// Time without a response after which a probe is repeated through other members, ms.
const PROBE_TIMEOUT_MILLIS: u64 = 500;
/// Number of members through which a probe is repeated.
const INDIRECT_PROBES: usize = 3;
/// Time within which a suspect must refute the suspicion, or it is declared down, ms.
pub(super) const SUSPECT_TO_DOWN_MILLIS: u64 = 4_000;
/// Maximum number of times that a member transmits the same update.
const MAX_TRANSMISSIONS: u8 = 12;
/// Time for which a member that left or is down is remembered and counts as missing, ms.
pub const FORGET_AFTER_MILLIS: IntegerMillis = 60 * 60 * 1000;
/// Interval at which updates are sent in addition to those in probes, ms.
const GOSSIP_PERIOD_MILLIS: u64 = 200;
/// Number of members that receive updates in each [`GOSSIP_PERIOD_MILLIS`].
const GOSSIP_MEMBERS: usize = 3;
/// Interval at which a member announces itself to others, ms.
const ANNOUNCE_PERIOD_MILLIS: u64 = 30_000;
/// Number of members that receive each announcement.
const ANNOUNCE_MEMBERS: usize = 1;
/// Interval at which a member announces itself to members that it considers down, ms.
const ANNOUNCE_TO_DOWN_PERIOD_MILLIS: u64 = 3_000;
/// Number of members considered down that receive each of these announcements.
const ANNOUNCE_TO_DOWN_MEMBERS: usize = 2;
/// Maximum size of a packet, bytes: it fits into one Ethernet frame.
const MAX_PACKET_BYTES: usize = 1_400;
/// Interval at which a voter reads the states of all members, ms. While packets arrive, a voter notices a
/// suspicion within this time.
const VOTER_REFRESH_PERIOD_MILLIS: IntegerMillis = 500;
/// Interval at which a member that is not a voter reads the states of all members, ms. It is longer than that
/// of a voter because other members make no decisions by these states, and reading them is the main cost of
/// membership in a large fleet.
const NON_VOTER_REFRESH_PERIOD_MILLIS: IntegerMillis = 5_000;

/// The configuration of the membership library.
pub(super) fn swim_config() -> Config {
    let non_zero = |n| NonZeroUsize::new(n).expect("a count or size of the failure detector is zero");
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
        max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).expect("MAX_TRANSMISSIONS is zero"),
        suspect_to_down_after: Duration::from_millis(SUSPECT_TO_DOWN_MILLIS),
        remove_down_after: Some(Duration::from_millis(FORGET_AFTER_MILLIS)),
        max_packet_size: non_zero(MAX_PACKET_BYTES),
        notify_down_members: true,
        periodic_announce: periodic(ANNOUNCE_PERIOD_MILLIS, ANNOUNCE_MEMBERS),
        // After a partition each side considers the other down; without these announcements neither would
        // contact the other.
        periodic_announce_to_down_members: periodic(ANNOUNCE_TO_DOWN_PERIOD_MILLIS, ANNOUNCE_TO_DOWN_MEMBERS),
        periodic_gossip: periodic(GOSSIP_PERIOD_MILLIS, GOSSIP_MEMBERS),
    }
}

/// Interval at which a member, a voter or not, reads the states of all members from `foca`, ms. The states
/// are read periodically because `foca` does not notify of suspicions.
pub(super) fn refresh_period(is_voter: bool) -> IntegerMillis {
    if is_voter { VOTER_REFRESH_PERIOD_MILLIS } else { NON_VOTER_REFRESH_PERIOD_MILLIS }
}

impl KnownMember {
    /// The member's state by the membership and its last load report; tickets are not considered.
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

    /// Whether the membership has declared the member down.
    pub fn is_down(&self) -> bool {
        self.swim_state == SwimState::Down
    }

    /// Whether the member has been down for [`FORGET_AFTER_MILLIS`] and no longer counts as missing.
    pub(super) fn is_forgotten(&self, now: IntegerMillis) -> bool {
        self.is_down() && now >= self.since + FORGET_AFTER_MILLIS
    }

    /// The last load report, if it is recent and the member is not down.
    pub fn recent_report(&self, now: IntegerMillis) -> Option<LoadReport> {
        let ReceivedReport { at, report } = self.load_report?;
        (!self.is_down() && is_report_recent(at, now)).then_some(report)
    }
}
