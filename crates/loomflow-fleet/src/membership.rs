//! Membership by SWIM with suspicion, from the library `foca`. Its inputs are packets and times, its outputs
//! packets to send.
//!
//! The library decides which members are alive, suspect and down, and refutes false suspicions;
//! [`failure_detection`] sets its periods. This module adds the last load report of each member, with its
//! time of receipt, and the time of the last change of state. The number of members is bounded by
//! [`MAX_MEMBERS`].

pub mod failure_detection;
mod suspicion;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use foca::{
    AccumulatingRuntime, Foca, NoCustomBroadcast, OwnedNotification, PostcardCodec, State as SwimState, Timer,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::suspicion::Suspicions;
use crate::member::{LoadReport, MemberIdentity, ReceivedReport, Replica, ServerName};
use crate::time::{IntegerMillis, whole_millis};

/// Maximum number of members, this one included; further members in a packet are ignored.
pub const MAX_MEMBERS: usize = 2_048;
/// Interval at which configured voters that are unknown or down are contacted, ms.
const REJOIN_PERIOD_MILLIS: IntegerMillis = 2_000;
/// Maximum number of pending timers: four for each member.
const MAX_TIMERS: usize = 4 * MAX_MEMBERS;

/// Another member, as known to this one.
#[derive(Clone, Debug)]
pub struct KnownMember {
    /// The member's identity, with its last known incarnation.
    pub identity: MemberIdentity,
    /// State in the membership protocol: alive, suspect or down.
    pub swim_state: SwimState,
    /// The last load report; `None` until one arrives from this incarnation of the member.
    pub load_report: Option<ReceivedReport>,
    /// The member's replica of the log, if it is a voter.
    pub replica: Option<Replica>,
    /// Time at which `swim_state` last changed.
    pub since: IntegerMillis,
}

/// The members of the fleet as this one sees them.
pub struct Membership {
    foca: Foca<MemberIdentity, PostcardCodec, SmallRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<MemberIdentity>,
    timers: BinaryHeap<Reverse<DueTimer>>,
    /// Number of timers set so far: orders timers that are due at the same time.
    timer_sequence: u64,
    known: BTreeMap<ServerName, KnownMember>,
    suspicions: Suspicions,
    /// The configured voters other than this member, contacted while they are unknown or down.
    seeds: Vec<MemberIdentity>,
    next_rejoin_at: IntegerMillis,
    next_refresh_at: IntegerMillis,
    refresh_period: IntegerMillis,
    /// Number of packets that could not be decoded.
    pub malformed: u64,
    outgoing: Vec<(MemberIdentity, Vec<u8>)>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DueTimer {
    at: IntegerMillis,
    sequence: u64,
    timer: Timer<MemberIdentity>,
}

impl Membership {
    /// Creates a membership that joins the fleet through `seeds`, the names and addresses of the voters; this
    /// member may be among them.
    pub fn new(
        identity: MemberIdentity,
        seeds: Vec<MemberIdentity>,
        random_seed: u64,
        now: IntegerMillis,
    ) -> Membership {
        let is_voter = seeds.iter().any(|voter| voter.name == identity.name);
        let seeds = seeds.into_iter().filter(|other| other.name != identity.name).collect();
        let foca = Foca::new(
            identity,
            failure_detection::swim_config(),
            SmallRng::seed_from_u64(random_seed),
            PostcardCodec,
        );
        Membership {
            foca,
            runtime: AccumulatingRuntime::new(),
            timers: BinaryHeap::new(),
            timer_sequence: 0,
            known: BTreeMap::new(),
            suspicions: Suspicions::default(),
            seeds,
            next_rejoin_at: now,
            next_refresh_at: now,
            refresh_period: failure_detection::refresh_period(is_voter),
            malformed: 0,
            outgoing: Vec::new(),
        }
    }

    /// The identity of this member.
    pub fn identity(&self) -> &MemberIdentity {
        self.foca.identity()
    }

    /// All other members, including those that are down and not yet forgotten.
    pub fn known(&self) -> &BTreeMap<ServerName, KnownMember> {
        &self.known
    }

    /// Another member by its name.
    pub fn get(&self, name: &str) -> Option<&KnownMember> {
        self.known.get(name)
    }

    /// Handles a packet of the membership protocol. One that cannot be decoded is counted in
    /// [`Membership::malformed`].
    pub fn handle_packet(&mut self, bytes: &[u8], now: IntegerMillis) {
        use foca::Error::{DataTooBig, Decode, MalformedPacket};
        let result = self.foca.handle_data(bytes, &mut self.runtime);
        if matches!(result, Err(MalformedPacket | Decode(_) | DataTooBig)) {
            self.malformed += 1;
        }
        self.process_events(now);
    }

    /// Stores a member's load report. The report is ignored if it is invalid, the member is unknown, or the
    /// report comes from another incarnation than the one known.
    pub fn handle_load_report(
        &mut self,
        from: &MemberIdentity,
        report: LoadReport,
        replica: Option<Replica>,
        now: IntegerMillis,
    ) {
        if let Some(known) = self.known.get_mut(&from.name)
            && known.identity.incarnation == from.incarnation
            && report.is_valid()
        {
            known.load_report = Some(ReceivedReport { at: now, report });
            known.replica = replica;
        }
    }

    /// Handles the timers that are due, and contacts voters that are unknown or down.
    pub fn tick(&mut self, now: IntegerMillis) {
        while self.timers.peek().is_some_and(|Reverse(due)| due.at <= now) {
            let Some(Reverse(due)) = self.timers.pop() else { break };
            // After a suspension of the machine, probe timers may belong to a past round: the library then
            // reports an error and starts the next round.
            let _ = self.foca.handle_timer(due.timer, &mut self.runtime);
            self.process_events(now);
        }
        if now >= self.next_rejoin_at {
            self.next_rejoin_at = now + REJOIN_PERIOD_MILLIS;
            self.announce_to_missing_seeds();
            self.process_events(now);
        }
    }

    fn announce_to_missing_seeds(&mut self) {
        for seed in self.seeds.clone() {
            let known = self.known.get(&seed.name);
            if known.is_none_or(KnownMember::is_down) {
                let _ = self.foca.announce(seed, &mut self.runtime);
            }
        }
    }

    /// The time of the next call of [`Membership::tick`].
    pub fn next_wake(&self) -> IntegerMillis {
        let next_timer = self.timers.peek().map(|Reverse(due)| due.at);
        next_timer.map_or(self.next_rejoin_at, |at| at.min(self.next_rejoin_at))
    }

    /// Announces that this member leaves the fleet. Afterwards the membership must only be used to take the
    /// packets to send.
    pub fn leave(&mut self, now: IntegerMillis) {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.process_events(now);
    }

    /// Takes the packets to send, each with its receiver. If the receiver is a seed, only the name and
    /// address of its identity are valid.
    pub fn take_packets(&mut self) -> Vec<(MemberIdentity, Vec<u8>)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Processes the library's outputs, and refreshes the states of all members when that is due.
    fn process_events(&mut self, now: IntegerMillis) {
        self.drain_runtime(now);
        // The library does not notify of suspicions, so the states of all members are read periodically.
        if now >= self.next_refresh_at {
            self.next_refresh_at = now + self.refresh_period;
            self.refresh(now);
            self.drain_runtime(now);
        }
    }

    fn drain_runtime(&mut self, now: IntegerMillis) {
        while let Some((after, timer)) = self.runtime.to_schedule() {
            if self.timers.len() < MAX_TIMERS {
                self.timer_sequence += 1;
                let at = now + whole_millis(after);
                self.timers.push(Reverse(DueTimer { at, sequence: self.timer_sequence, timer }));
            }
        }
        while let Some((to, packet)) = self.runtime.to_send() {
            self.outgoing.push((to, packet.to_vec()));
        }
        while let Some(notification) = self.runtime.to_notify() {
            match notification {
                OwnedNotification::MemberUp(member) => {
                    update_member(&mut self.known, &member, SwimState::Alive, now);
                }
                OwnedNotification::MemberDown(member) => {
                    update_member(&mut self.known, &member, SwimState::Down, now);
                }
                OwnedNotification::Rename(_, _) => self.next_refresh_at = now,
                _ => {}
            }
        }
    }

    /// Reads the states of all members, declares suspects down if the timer of their suspicion was lost (see
    /// [`suspicion`]), and forgets members that have been down for
    /// [`failure_detection::FORGET_AFTER_MILLIS`].
    fn refresh(&mut self, now: IntegerMillis) {
        let declared_down = self.suspicions.update(self.foca.iter_membership_state(), now);
        let _ = self.foca.apply_many(declared_down.into_iter(), true, &mut self.runtime);
        for member in self.foca.iter_membership_state() {
            update_member(&mut self.known, member.id(), member.state(), now);
        }
        self.known.retain(|_, known| !known.is_forgotten(now));
    }
}

/// Updates a member with the identity and state that the library reports.
fn update_member(
    known: &mut BTreeMap<ServerName, KnownMember>,
    identity: &MemberIdentity,
    swim_state: SwimState,
    now: IntegerMillis,
) {
    let new_member = || KnownMember {
        identity: identity.clone(),
        swim_state,
        load_report: None,
        replica: None,
        since: now,
    };
    let has_capacity = known.len() < MAX_MEMBERS - 1;
    match known.get_mut(&identity.name) {
        Some(member) if member.identity.incarnation == identity.incarnation => {
            if member.swim_state != swim_state {
                member.swim_state = swim_state;
                member.since = now;
            }
            if member.identity != *identity {
                member.identity = identity.clone();
            }
        }
        // A new incarnation: reports of the previous one no longer apply.
        Some(member) if member.identity.incarnation < identity.incarnation => *member = new_member(),
        Some(_) => {}
        None if has_capacity => {
            known.insert(identity.name.clone(), new_member());
        }
        None => {}
    }
}

#[cfg(test)]
mod tests;
