//! Who is here: SWIM with suspicion, by `foca`. Fed packets and times; what it wants sent comes out.
//!
//! The library decides who is alive, suspect and down, and refutes a false suspicion by itself; [`failure_detection`] has
//! the periods by which it does. This file stores what else is known of each member: its last load report with the moment
//! it came, whether it is shutting down, and since when it is in its state. Members are bounded by [`MAX_MEMBERS`].

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

/// Maximum number of members, this one included; a packet that names more is taken without them.
pub const MAX_MEMBERS: usize = 2_048;
/// How often voters that are named in the settings and not here are contacted, ms.
const REJOIN_PERIOD_MILLIS: IntegerMillis = 2_000;
/// Maximum number of timers: several for each member.
const MAX_TIMERS: usize = 4 * MAX_MEMBERS;

/// What is known of one member.
#[derive(Clone, Debug)]
pub struct KnownMember {
    /// Who it is.
    pub identity: MemberIdentity,
    /// Its state by the membership protocol.
    pub swim_state: SwimState,
    /// Its last load report; none yet from this start of it.
    pub load_report: Option<ReceivedReport>,
    /// Its replica, if it is a voter.
    pub replica: Option<Replica>,
    /// Since when it is in its state.
    pub since: IntegerMillis,
}

/// The members of the fleet as this one sees them.
pub struct Membership {
    foca: Foca<MemberIdentity, PostcardCodec, SmallRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<MemberIdentity>,
    timers: BinaryHeap<Reverse<DueTimer>>,
    /// Orders timers of one moment by when they were set.
    timer_sequence: u64,
    known: BTreeMap<ServerName, KnownMember>,
    suspicions: Suspicions,
    /// Whom to contact when they are not here: voters by their settings.
    seeds: Vec<MemberIdentity>,
    next_rejoin_at: IntegerMillis,
    next_refresh_at: IntegerMillis,
    refresh_period: IntegerMillis,
    /// Packets that could not be read.
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
    /// `seeds`: name and address of the voters, to join by; this member may be among them.
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

    /// Who this member is.
    pub fn identity(&self) -> &MemberIdentity {
        self.foca.identity()
    }

    /// All members but this one, dead ones that are not yet forgotten included.
    pub fn known(&self) -> &BTreeMap<ServerName, KnownMember> {
        &self.known
    }

    /// One member.
    pub fn get(&self, name: &str) -> Option<&KnownMember> {
        self.known.get(name)
    }

    /// Takes a packet. One that cannot be read is counted and changes nothing.
    pub fn handle_packet(&mut self, bytes: &[u8], now: IntegerMillis) {
        use foca::Error::{DataTooBig, Decode, MalformedPacket};
        let result = self.foca.handle_data(bytes, &mut self.runtime);
        if matches!(result, Err(MalformedPacket | Decode(_) | DataTooBig)) {
            self.malformed += 1;
        }
        self.process_events(now);
    }

    /// Takes a member's load report. It is ignored where the membership does not know the member yet, or knows a later start.
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

    /// Does what is due.
    pub fn tick(&mut self, now: IntegerMillis) {
        while self.timers.peek().is_some_and(|Reverse(due)| due.at <= now) {
            let Some(Reverse(due)) = self.timers.pop() else { break };
            // A machine that slept finds probes whose round is over: the library begins the next one.
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

    /// When something is due next.
    pub fn next_wake(&self) -> IntegerMillis {
        let next_timer = self.timers.peek().map(|Reverse(due)| due.at);
        next_timer.map_or(self.next_rejoin_at, |at| at.min(self.next_rejoin_at))
    }

    /// Announces to the others that this member shuts down. It is of no further use then.
    pub fn leave(&mut self, now: IntegerMillis) {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.process_events(now);
    }

    /// Packets to send since this was last called. Of a seed only name and address are known, not its incarnation.
    pub fn take_packets(&mut self) -> Vec<(MemberIdentity, Vec<u8>)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes over what the library wants done, and what it has learnt.
    fn process_events(&mut self, now: IntegerMillis) {
        self.drain_runtime(now);
        // Suspicion is not notified, so the state of all members is read periodically.
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

    /// Reads the state of all members, ends suspicions that nothing else ends, and forgets members that have been down for
    /// long.
    fn refresh(&mut self, now: IntegerMillis) {
        let declared_down = self.suspicions.update(self.foca.iter_membership_state(), now);
        let _ = self.foca.apply_many(declared_down.into_iter(), true, &mut self.runtime);
        for member in self.foca.iter_membership_state() {
            update_member(&mut self.known, member.id(), member.state(), now);
        }
        self.known.retain(|_, known| !known.is_forgotten(now));
    }
}

/// Takes over a member's state by the library.
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
        // A new start: nothing that the former one reported is true of it.
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
