//! One member of the fleet: membership, agreement and order put together. Fed messages, times and the server's load; what
//! it wants done comes out as [`Effect`]s.
//!
//! - this file: who it is, what comes in and where it goes;
//! - `asks`: requests on their way to the leader and answers on their way back;
//! - `own`: what it does about a ticket of its own: begin, drain, leave;
//! - `lead`: the leader's round: voters, moves, the next grant;
//! - `duties`: its session, and the duties that it owns;
//! - `lead_duties`: the leader's part in them.

mod asks;
pub mod duties;
mod lead;
mod lead_duties;
mod own;
mod status;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::agreement::Agreement;
use crate::agreement::disk::Disk;
use crate::duty::tenure::Change;
use crate::member::{DIGEST_OLD, DIGEST_PERIOD, Digest, Me, Ms, Name, Phase, RequestId, Seat, Zone};
use crate::membership::Membership;
use crate::order::headroom::{Headroom, Seen};
use crate::order::rules::Rules;
use crate::order::state::Order;
use crate::order::ticket::TicketId;
use crate::order::{Answer, Ask};
use crate::record::Record;
use crate::wire::{self, Body, Malformed, Message, Notice};

use asks::Asks;
use duties::Duties;
use lead::Lead;
use own::Own;

/// What a member is told at its start.
#[derive(Clone, Debug)]
pub struct Setup {
    pub fleet: String,
    pub name: Name,
    pub zone: Zone,
    /// Where the others reach it.
    pub address: SocketAddr,
    /// Names and addresses of those who shall vote; all others join by them.
    pub voters: Vec<(Name, SocketAddr)>,
    /// Other ways to members than the addresses they tell.
    pub via: BTreeMap<Name, SocketAddr>,
    pub rules: Rules,
    /// None where this fleet has no duties.
    pub duties: Option<duties::Setup>,
    /// Of everything drawn here; the same seed and the same inputs give the same outputs.
    pub seed: u64,
    /// Unix ms at the start.
    pub wall: u64,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A sealed message; lost ones are made up for.
    Send {
        to: Name,
        address: SocketAddr,
        bytes: Vec<u8>,
    },
    /// Its begin is agreed on: the server is to leave as on SIGTERM.
    Leave(TicketId),
    Answered(RequestId, Answer),
    /// It came to own a duty, is to hand it over, or no longer owns it.
    Duty(Change),
    /// For the log.
    Note(String),
}

pub struct Node {
    setup: Setup,
    membership: Membership,
    /// Voters only.
    agreement: Option<Agreement<Record>>,
    /// Why the folder cannot be used.
    fault: Option<String>,
    rng: SmallRng,
    /// The server's load, and when it was told.
    load: Option<(Ms, Digest)>,
    phase: Phase,
    digest_at: Ms,
    /// The newest that a voter told: term and index of its log, and what it knows.
    heard: Option<(Ms, Notice)>,
    own: Own,
    asks: Asks,
    lead: Lead,
    duties: Duties,
    headroom: Headroom,
    effects: Vec<Effect>,
    /// Messages that could not be read, or are another fleet's.
    pub malformed: u64,
}

impl Node {
    /// A member that joins by the voters. `disk` holds what must outlast it; a voter whose folder cannot be used goes on
    /// without a vote.
    pub fn start(setup: Setup, mut disk: Box<dyn Disk>, now: Ms) -> Node {
        let mut rng = SmallRng::seed_from_u64(setup.seed);
        let votes = setup.voters.iter().any(|(name, _)| *name == setup.name);
        let mut incarnation = setup.wall;
        let (mut agreement, mut fault) = (None, None);
        if votes {
            let begun = Agreement::start(setup.name.clone(), disk, rng.random(), setup.wall, now);
            incarnation = begun.incarnation();
            agreement = Some(begun);
        } else {
            match own::count_start(&mut *disk, setup.wall) {
                Ok(counted) => incarnation = counted,
                Err(why) => fault = Some(why),
            }
        }
        let me = Me::new(setup.name.clone(), setup.zone.clone(), setup.address, incarnation);
        let seed = |(name, address): &(Name, SocketAddr)| Me::new(name.clone(), Zone::new(), *address, 0);
        let seeds = setup.voters.iter().map(seed).collect();
        Node {
            membership: Membership::new(me, seeds, rng.random(), now),
            agreement,
            fault,
            rng,
            load: None,
            phase: Phase::Cold,
            digest_at: now,
            heard: None,
            own: Own::default(),
            asks: Asks::default(),
            lead: Lead::default(),
            duties: Duties::default(),
            headroom: Headroom::default(),
            effects: Vec::new(),
            malformed: 0,
            setup,
        }
    }

    pub fn me(&self) -> &Me {
        self.membership.me()
    }

    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The order as this voter has applied it.
    pub fn order(&self) -> Option<&Order> {
        self.record().map(|record| &record.order)
    }

    /// All that was agreed on, as this voter has applied it.
    pub fn record(&self) -> Option<&Record> {
        self.agreement.as_ref().map(Agreement::machine)
    }

    pub fn agreement(&self) -> Option<&Agreement<Record>> {
        self.agreement.as_ref()
    }

    pub fn leads(&self) -> bool {
        self.agreement.as_ref().is_some_and(Agreement::leads)
    }

    /// Who leads, as far as is known here.
    pub fn leader(&self) -> Option<&Name> {
        let own = self.agreement.as_ref().filter(|agreement| agreement.seat().group != 0);
        own.and_then(Agreement::leader).or_else(|| self.heard.as_ref()?.1.leader.as_ref())
    }

    /// The server's load, told every second or so. Without it this member says nothing of itself.
    pub fn load(&mut self, now: Ms, digest: Digest) {
        self.load = Some((now, digest));
        if self.phase != Phase::Leaving {
            self.phase = digest.phase;
        }
    }

    /// Its last digest, if it is young.
    fn own_digest(&self, now: Ms) -> Option<Digest> {
        let (at, digest) = self.load?;
        (now.saturating_sub(at) <= DIGEST_OLD).then_some(Digest { phase: self.phase, ..digest })
    }

    /// A message's bytes, without the length. Errors: nothing after it on that stream is to be trusted.
    pub fn message(&mut self, bytes: &[u8], now: Ms) -> Result<(), Malformed> {
        let message = wire::open(&self.setup.fleet, bytes).inspect_err(|_| self.malformed += 1)?;
        let Message { from, body, .. } = message;
        match body {
            Body::Swim(packet) => self.membership.packet(&packet, now),
            Body::Raft { group, bytes } => {
                if let Some(agreement) = &mut self.agreement {
                    agreement.step(&from.name, group, &bytes);
                }
            }
            Body::Digest { sent, digest, seat } => {
                self.membership.digest(&from, digest, seat, now);
                self.notify(&from.name, sent);
            }
            Body::Notice(notice) => self.noticed(notice, now),
            Body::Ask { id, hops, ask } => self.asked(from.name, id, hops, ask, now),
            Body::Answer { id, answer } => self.answered(id, answer, now),
            Body::Duties(kept) => self.duties_told(kept, now),
            Body::Summary { token, summary } => self.summary_told(from.name, token, summary, now),
        }
        self.settle(now);
        Ok(())
    }

    /// Does what is due. To be called at [`Node::next_wake`] and after a pause.
    pub fn tick(&mut self, now: Ms) {
        self.membership.tick(now);
        if let Some(agreement) = &mut self.agreement {
            agreement.tick(now);
        }
        if now >= self.digest_at {
            self.digest_at = now + DIGEST_PERIOD;
            self.say_digest(now);
            // Only voters are told of loads.
            if self.agreement.is_some() {
                let members = self.seen(now);
                self.headroom.observe(now, &members);
            }
        }
        self.ask_again(now);
        self.round(now);
        self.keep_sessions(now);
        self.see_to_duties(now);
        self.settle(now);
    }

    pub fn next_wake(&self) -> Ms {
        let agreement = self.agreement.as_ref().map_or(Ms::MAX, Agreement::next_wake);
        let duties = if self.setup.duties.is_some() { self.duties.next_wake() } else { Ms::MAX };
        let duties = if self.leads() { duties.min(self.next_round()) } else { duties };
        self.membership.next_wake().min(agreement).min(self.digest_at).min(self.asks.next_wake()).min(duties)
    }

    /// Something wanted on this machine; its answer comes as an effect.
    pub fn submit(&mut self, ask: Ask, now: Ms) -> RequestId {
        let id = self.rng.random();
        self.submit_as(id, ask, now);
        self.settle(now);
        id
    }

    /// Begins a fleet, or makes it anew, with this voter alone. Errors in words for the operator.
    pub fn begin_alone(&mut self, anew: bool, now: Ms) -> Result<(), String> {
        let known = self.membership.known().values().find(|k| k.seat.is_some_and(|seat| seat.group != 0));
        if let (Some(other), false) = (known, anew) {
            return Err(format!("{} already belongs to a fleet: this voter will be let in", other.me.name));
        }
        let group = self.rng.random();
        let fault = self.fault.clone();
        let agreement = self
            .agreement
            .as_mut()
            .ok_or_else(|| fault.unwrap_or_else(|| "this server is not among fleet.voters".into()))?;
        if anew {
            agreement.recover(group)?
        } else {
            agreement.found(group)?
        }
        self.settle(now);
        Ok(())
    }

    pub fn take(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    fn note(&mut self, text: String) {
        self.effects.push(Effect::Note(text));
    }

    /// All members as they are seen from here, this one among them.
    fn seen(&self, now: Ms) -> BTreeMap<Name, Seen> {
        let others = self.membership.known().iter().map(|(name, known)| {
            let seen = Seen {
                zone: known.me.zone.clone(),
                standing: known.standing(),
                incarnation: known.me.incarnation,
                digest: known.evidence(now),
            };
            (name.clone(), seen)
        });
        let me = self.me();
        let own = Seen {
            zone: me.zone.clone(),
            standing: match self.phase {
                Phase::Cold => crate::member::Standing::Cold,
                Phase::Serving => crate::member::Standing::Serving,
                Phase::Leaving => crate::member::Standing::Leaving,
            },
            incarnation: me.incarnation,
            digest: self.own_digest(now),
        };
        others.chain([(me.name.clone(), own)]).collect()
    }

    /// Voters by the settings, but for this one.
    fn other_voters(&self) -> Vec<Name> {
        let names = self.setup.voters.iter().map(|(name, _)| name);
        names.filter(|name| **name != self.setup.name).cloned().collect()
    }

    fn seat(&self) -> Option<Seat> {
        self.agreement.as_ref().map(Agreement::seat)
    }

    fn say_digest(&mut self, now: Ms) {
        let Some(digest) = self.own_digest(now) else { return };
        let body = Body::Digest { sent: now, digest, seat: self.seat() };
        for voter in self.other_voters() {
            self.send(&voter, body.clone());
        }
    }

    /// Tells a member what this voter knows of it.
    fn notify(&mut self, to: &Name, sent: Ms) {
        let Some(agreement) = self.agreement.as_ref().filter(|a| a.seat().group != 0) else { return };
        let order = &agreement.machine().order;
        let notice = Notice {
            sent,
            leader: agreement.leader().cloned(),
            term: agreement.term(),
            index: agreement.applied(),
            ticket: order.holders().get(to).and_then(|id| order.open().get(id)).cloned(),
        };
        self.send(to, Body::Notice(notice));
    }

    fn noticed(&mut self, notice: Notice, now: Ms) {
        // What was asked before a long stop may long be otherwise.
        if now.saturating_sub(notice.sent) > own::FRESH {
            return;
        }
        let newer = self.heard.as_ref().is_none_or(|(_, last)| {
            (notice.term, notice.index) >= (last.term, last.index) || now > last.sent + DIGEST_OLD
        });
        if newer {
            self.heard = Some((now, notice));
        }
    }

    fn send(&mut self, to: &Name, body: Body) {
        let told = self.membership.get(to).map(|known| known.me.address);
        let set = || self.setup.voters.iter().find(|(name, _)| name == to).map(|(_, address)| *address);
        if let Some(address) = told.or_else(set) {
            self.send_to(to, address, body);
        }
    }

    fn send_to(&mut self, to: &Name, address: SocketAddr, body: Body) {
        let address = self.setup.via.get(to).copied().unwrap_or(address);
        let message = Message { fleet: self.setup.fleet.clone(), from: self.me().clone(), body };
        if let Some(bytes) = wire::seal(&message) {
            self.effects.push(Effect::Send { to: to.clone(), address, bytes });
        }
    }

    /// Says when the folder fails, and when it is good again.
    fn look_at_folder(&mut self) {
        let fault = self.agreement.as_ref().and_then(Agreement::fault).map(str::to_owned);
        if self.agreement.is_some() && fault != self.fault {
            self.note(match &fault {
                Some(why) => format!("takes no part in the agreement: {why}"),
                None => "takes part in the agreement again".into(),
            });
            self.fault = fault;
        }
    }

    /// Sees to all that came of what was just done.
    fn settle(&mut self, now: Ms) {
        self.look_at_folder();
        for (to, packet) in self.membership.take() {
            self.send_to(&to.name, to.address, Body::Swim(packet));
        }
        if let Some(agreement) = &mut self.agreement {
            let (said, outputs) = (agreement.take(), agreement.outputs());
            let group = agreement.seat().group;
            for (to, bytes) in said {
                self.send(&to, Body::Raft { group, bytes });
            }
            let any = !outputs.is_empty();
            for (id, answer) in outputs {
                self.lead.came_of(id);
                if !self.kept(id, now) {
                    self.came_of(id, answer, now);
                }
            }
            if any {
                self.tell_owners(now);
            }
        }
        self.see_to_own(now);
        // What this wanted proposed may have been agreed on at once, where one voter is all there are.
        if self.agreement.as_mut().is_some_and(|a| a.has_news()) {
            self.settle(now);
        }
    }
}
