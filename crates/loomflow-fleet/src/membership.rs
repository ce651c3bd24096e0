//! Who is here: SWIM with suspicion, by `foca`. Fed packets and times; what it wants sent comes out.
//!
//! The library decides who is alive, suspect and down, and refutes a false word by itself. Ours is what is remembered of
//! each member beside that: its last digest with the moment it came, whether it said that it leaves, and since when it is
//! as it is. Members are bounded by [`MOST_MEMBERS`] and forgotten [`FORGOTTEN`] after they were last here.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{
    AccumulatingRuntime, Config, Foca, NoCustomBroadcast, OwnedNotification, PeriodicParams, PostcardCodec,
    State as Swim, Timer,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::member::{DIGEST_OLD, Digest, Me, Ms, Name, Phase, Seat, Standing};

/// So many are known at the most, this one included; a packet that names more is taken without them.
pub const MOST_MEMBERS: usize = 2_048;
/// A member that left or died is remembered for so long, ms: until then it counts as one that is missing.
pub const FORGOTTEN: Ms = 60 * 60 * 1000;
/// How often those that are named in the settings and not here are spoken to, ms.
const KNOCK: Ms = 2_000;
/// How late a suspicion may be seen by a voter, ms, while there are packets at all. The others decide nothing by it, and
/// looking at all members is what membership costs in a large fleet.
const LOOK: Ms = 500;
const LOOK_OF_OTHERS: Ms = 5_000;
/// Timers that may stand at once: a few for each member.
const MOST_TIMERS: usize = 4 * MOST_MEMBERS;

/// What is known of one member.
#[derive(Clone, Debug)]
pub struct Known {
    pub me: Me,
    pub swim: Swim,
    /// Its last digest and when it came; none yet from this start of it.
    pub digest: Option<(Ms, Digest)>,
    pub seat: Option<Seat>,
    /// Since when `swim` is what it is.
    pub since: Ms,
}

impl Known {
    /// How it stands by its own word and the membership; tickets are not looked at.
    pub fn standing(&self) -> Standing {
        let phase = self.digest.map(|(_, digest)| digest.phase);
        match (self.swim, phase) {
            (Swim::Down, Some(Phase::Leaving)) => Standing::Gone,
            (Swim::Down, _) => Standing::Down,
            (Swim::Suspect, _) => Standing::Suspect,
            (Swim::Alive, Some(Phase::Serving)) => Standing::Serving,
            (Swim::Alive, Some(Phase::Leaving)) => Standing::Leaving,
            (Swim::Alive, Some(Phase::Cold) | None) => Standing::Cold,
        }
    }

    /// Its digest, if it is young enough to be evidence, and of one who is here.
    pub fn evidence(&self, now: Ms) -> Option<Digest> {
        let (at, digest) = self.digest?;
        (self.swim != Swim::Down && now.saturating_sub(at) <= DIGEST_OLD).then_some(digest)
    }
}

pub struct Membership {
    foca: Foca<Me, PostcardCodec, SmallRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Me>,
    timers: BinaryHeap<Reverse<Due>>,
    /// Breaks ties between timers of one moment, in the order they were set.
    set: u64,
    known: BTreeMap<Name, Known>,
    /// Whom to speak to when they are not here: voters by their settings.
    seeds: Vec<Me>,
    knock_at: Ms,
    look_at: Ms,
    look_every: Ms,
    /// Packets that could not be read.
    pub malformed: u64,
    out: Vec<(Me, Vec<u8>)>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: Ms,
    set: u64,
    timer: Timer<Me>,
}

/// The library's settings. Periods are those it recommends for a local network; how long a suspect has to answer and how
/// often a word is passed on grow with the logarithm of the fleet, and are set for the largest there may be.
fn config() -> Config {
    let some = |n| NonZeroUsize::new(n).expect("not zero");
    Config {
        probe_period: Duration::from_millis(1_000),
        probe_rtt: Duration::from_millis(500),
        num_indirect_probes: some(3),
        max_transmissions: NonZeroU8::new(12).expect("not zero"),
        suspect_to_down_after: Duration::from_secs(4),
        remove_down_after: Some(Duration::from_millis(FORGOTTEN)),
        max_packet_size: some(1_400),
        notify_down_members: true,
        periodic_announce: Some(PeriodicParams { frequency: Duration::from_secs(30), num_members: some(1) }),
        // After a cut is mended both sides hold the other for down: without this they would not speak again.
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: Duration::from_secs(3),
            num_members: some(2),
        }),
        periodic_gossip: Some(PeriodicParams { frequency: Duration::from_millis(200), num_members: some(3) }),
    }
}

impl Membership {
    /// `seeds`: name and address of the voters, to join by; this one may be among them.
    pub fn new(me: Me, seeds: Vec<Me>, seed: u64, now: Ms) -> Membership {
        let votes = seeds.iter().any(|voter| voter.name == me.name);
        let seeds = seeds.into_iter().filter(|other| other.name != me.name).collect();
        let foca = Foca::new(me, config(), SmallRng::seed_from_u64(seed), PostcardCodec);
        Membership {
            foca,
            runtime: AccumulatingRuntime::new(),
            timers: BinaryHeap::new(),
            set: 0,
            known: BTreeMap::new(),
            seeds,
            knock_at: now,
            look_at: now,
            look_every: if votes { LOOK } else { LOOK_OF_OTHERS },
            malformed: 0,
            out: Vec::new(),
        }
    }

    pub fn me(&self) -> &Me {
        self.foca.identity()
    }

    /// All members but this one, dead ones that are not yet forgotten among them.
    pub fn known(&self) -> &BTreeMap<Name, Known> {
        &self.known
    }

    pub fn get(&self, name: &str) -> Option<&Known> {
        self.known.get(name)
    }

    /// A packet. What cannot be read is counted and changes nothing.
    pub fn packet(&mut self, bytes: &[u8], now: Ms) {
        let heard = self.foca.handle_data(bytes, &mut self.runtime);
        if matches!(
            heard,
            Err(foca::Error::MalformedPacket | foca::Error::Decode(_) | foca::Error::DataTooBig)
        ) {
            self.malformed += 1;
        }
        self.settle(now);
    }

    /// A member's word on its own load. One that the membership does not know yet, or knows by a later start, is not heard.
    pub fn digest(&mut self, from: &Me, digest: Digest, seat: Option<Seat>, now: Ms) {
        if let Some(known) = self.known.get_mut(&from.name)
            && known.me.incarnation == from.incarnation
            && digest.is_sound()
        {
            known.digest = Some((now, digest));
            known.seat = seat;
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Ms) {
        while self.timers.peek().is_some_and(|Reverse(due)| due.at <= now) {
            let Some(Reverse(due)) = self.timers.pop() else { break };
            // A machine that slept finds probes whose round is over: the library begins the next one.
            let _ = self.foca.handle_timer(due.timer, &mut self.runtime);
            self.settle(now);
        }
        if now >= self.knock_at {
            self.knock_at = now + KNOCK;
            for seed in self.seeds.clone() {
                if self.known.get(&seed.name).is_none_or(|known| known.swim == Swim::Down) {
                    let _ = self.foca.announce(seed, &mut self.runtime);
                }
            }
            self.settle(now);
        }
    }

    pub fn next_wake(&self) -> Ms {
        self.timers.peek().map_or(self.knock_at, |Reverse(due)| due.at.min(self.knock_at))
    }

    /// Tells the others that this one goes. It is of no further use then.
    pub fn leave(&mut self, now: Ms) {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.settle(now);
    }

    /// Packets to send since this was last asked. Of a seed only name and address are known, not its incarnation.
    pub fn take(&mut self) -> Vec<(Me, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    fn settle(&mut self, now: Ms) {
        while let Some((after, timer)) = self.runtime.to_schedule() {
            if self.timers.len() < MOST_TIMERS {
                self.set += 1;
                self.timers.push(Reverse(Due { at: now + after.as_millis() as Ms, set: self.set, timer }));
            }
        }
        while let Some((to, packet)) = self.runtime.to_send() {
            self.out.push((to, packet.to_vec()));
        }
        while let Some(note) = self.runtime.to_notify() {
            match note {
                OwnedNotification::MemberUp(me) => see(&mut self.known, &me, Swim::Alive, now),
                OwnedNotification::MemberDown(me) => see(&mut self.known, &me, Swim::Down, now),
                OwnedNotification::Rename(_, _) => self.look_at = now,
                _ => {}
            }
        }
        // Suspicion is not notified, so all members are looked at every so often.
        if now >= self.look_at {
            self.look_at = now + self.look_every;
            for member in self.foca.iter_membership_state() {
                see(&mut self.known, member.id(), member.state(), now);
            }
            self.known.retain(|_, known| known.swim != Swim::Down || now < known.since + FORGOTTEN);
        }
    }
}

/// Takes in how a member is by the library's word.
fn see(known: &mut BTreeMap<Name, Known>, me: &Me, swim: Swim, now: Ms) {
    let anew = || Known { me: me.clone(), swim, digest: None, seat: None, since: now };
    let room = known.len() < MOST_MEMBERS - 1;
    match known.get_mut(&me.name) {
        Some(known) if known.me.incarnation == me.incarnation => {
            if known.swim != swim {
                (known.swim, known.since) = (swim, now);
            }
            if known.me != *me {
                known.me = me.clone();
            }
        }
        // A new start: nothing that its former self said is true of it.
        Some(known) if known.me.incarnation < me.incarnation => *known = anew(),
        Some(_) => {}
        None if room => {
            known.insert(me.name.clone(), anew());
        }
        None => {}
    }
}
