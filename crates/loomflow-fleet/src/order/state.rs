//! The machine that the log is applied to. It checks every move against the table and the budget by itself: what the
//! leader saw may be old by the time it is agreed on, and the budget holds all the same.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::rules::{Rules, voters_needed};
use super::ticket::{FleetMs, Hand, Move, Refusal, Stage, Ticket, TicketId, Wanted, step};
use super::{Answer, By, Census, Command, Entry};
use crate::agreement::Machine;
use crate::member::{Incarnation, Name, RequestId, Zone};

/// Tickets that are open at the most; the next are refused.
pub const MOST_OPEN: usize = 12_000;
/// Tickets that are over and still told of.
pub const MOST_OVER: usize = 1_000;
/// Things that happened and are still told of.
pub const MOST_EVENTS: usize = 2_000;
/// Answers that a repeat of a request gets again.
const MOST_ANSWERS: usize = 1_024;
/// A ticket whose grants lapsed so often is over.
const MOST_LAPSES: u8 = 3;
/// How far numbers jump when a fleet is made anew: beyond any that the lost ones may have given out.
const LEAP: u64 = 1 << 20;

/// One thing that happened, for the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Happened {
    pub at: FleetMs,
    pub ticket: TicketId,
    pub server: Name,
    pub stage: Stage,
    pub grant: u64,
}

/// What of the state is kept; the rest follows from it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Kept {
    time: FleetMs,
    last_ticket: TicketId,
    last_grant: u64,
    open: BTreeMap<TicketId, Ticket>,
    over: VecDeque<Ticket>,
    rules: Option<Rules>,
    voters: Vec<Name>,
    paused: Option<String>,
    unasked: u64,
    /// Who was granted last, and where it stands.
    last: (Name, Zone),
    events: VecDeque<Happened>,
    answers: VecDeque<(RequestId, Answer)>,
}

#[derive(Clone, Debug, Default)]
pub struct Order {
    kept: Kept,
    /// Servers that hold a place, with the ticket by which.
    holders: BTreeMap<Name, TicketId>,
    /// When time has something to do with a ticket.
    dues: BTreeSet<(FleetMs, TicketId)>,
    /// Tickets of each server that are open.
    of: BTreeMap<Name, BTreeSet<TicketId>>,
}

impl Order {
    pub fn time(&self) -> FleetMs {
        self.kept.time
    }

    pub fn open(&self) -> &BTreeMap<TicketId, Ticket> {
        &self.kept.open
    }

    pub fn over(&self) -> impl DoubleEndedIterator<Item = &Ticket> {
        self.kept.over.iter()
    }

    pub fn events(&self) -> impl DoubleEndedIterator<Item = &Happened> {
        self.kept.events.iter()
    }

    /// The rules that count, or none before any were agreed on.
    pub fn rules(&self) -> Option<&Rules> {
        self.kept.rules.as_ref()
    }

    pub fn voter_names(&self) -> &[Name] {
        &self.kept.voters
    }

    pub fn paused(&self) -> Option<&str> {
        self.kept.paused.as_deref()
    }

    pub fn unasked(&self) -> u64 {
        self.kept.unasked
    }

    /// Who was granted last, and where it stands.
    pub fn last(&self) -> (&str, &str) {
        (&self.kept.last.0, &self.kept.last.1)
    }

    /// Servers that hold a place, with the ticket by which.
    pub fn holders(&self) -> &BTreeMap<Name, TicketId> {
        &self.holders
    }

    /// A server's open tickets, oldest first.
    pub fn tickets_of(&self, server: &str) -> impl Iterator<Item = &Ticket> {
        self.of.get(server).into_iter().flatten().filter_map(|id| self.kept.open.get(id))
    }

    /// Any ticket that is still told of.
    pub fn find(&self, id: TicketId) -> Option<&Ticket> {
        self.kept.open.get(&id).or_else(|| self.kept.over.iter().find(|ticket| ticket.id == id))
    }

    /// When time has something to do next.
    pub fn next_due(&self) -> Option<FleetMs> {
        self.dues.first().map(|(at, _)| *at)
    }

    /// Whether one more may be out: the budget in all and by zone, and the voters. Counts servers and not tickets, so that
    /// one that is down and holds a place is out once. Errors: the bound that it meets.
    pub fn place(&self, server: &str, zone: &str, census: &Census) -> Result<(), Refusal> {
        let rules = self.kept.rules.clone().unwrap_or_default();
        let mut out: BTreeMap<&str, &str> =
            census.away.iter().map(|(n, z)| (n.as_str(), z.as_str())).collect();
        for (name, id) in &self.holders {
            let zone = self.kept.open.get(id).map_or("", |ticket| ticket.wanted.zone.as_str());
            out.insert(name, zone);
        }
        out.insert(server, zone);
        let bound = |count: usize, most: u32, zone: Option<Zone>| {
            if count as u32 <= most {
                return Ok(());
            }
            Err(Refusal::NoPlace { out: count as u32 - 1, most, zone })
        };
        let all = census.zones.iter().map(|(_, count)| count).sum();
        bound(out.len(), rules.out.of(all), None)?;
        if let Some(most) = rules.zone_out {
            let here = census.zones.iter().find(|(name, _)| name == zone).map_or(0, |(_, count)| *count);
            let count = out.values().filter(|z| **z == zone).count();
            bound(count, most.of(here), Some(zone.to_owned()))?;
        }
        let voters = &self.kept.voters;
        if voters.iter().any(|voter| voter == server) {
            let stay = voters.iter().filter(|voter| !out.contains_key(voter.as_str())).count() as u32;
            let needed = voters_needed(voters.len() as u32);
            if stay < needed {
                return Err(Refusal::Voters { stay, needed });
            }
        }
        Ok(())
    }

    // ---- Entries ----

    fn carry_out(&mut self, entry: &Entry) -> Answer {
        let done = match &entry.command {
            Command::Ask(wanted) => self.ask(entry, wanted),
            Command::Grant { ticket, incarnation, census } => {
                self.grant(&entry.by, *ticket, *incarnation, census)
            }
            Command::Move { ticket, by, grant, incarnation } => {
                self.move_on(&entry.by, *ticket, *by, *grant, *incarnation)
            }
            Command::Pause(reason) => self.operator(entry).map(|()| {
                self.kept.paused = Some(reason.clone());
                Vec::new()
            }),
            Command::Resume => self.operator(entry).map(|()| {
                self.kept.paused = None;
                Vec::new()
            }),
            Command::Rules(rules) => {
                self.kept.rules = Some(rules.clone());
                Ok(Vec::new())
            }
            Command::Unasked(_) => {
                self.kept.unasked += 1;
                Ok(Vec::new())
            }
            Command::Clock => Ok(Vec::new()),
            Command::Duty(_) | Command::Campaign(_) => Err(Refusal::NotYours),
        };
        done.map_or_else(Answer::Refused, Answer::Done)
    }

    fn operator(&self, entry: &Entry) -> Result<(), Refusal> {
        if matches!(entry.by, By::Operator(_)) { Ok(()) } else { Err(Refusal::NotYours) }
    }

    fn ask(&mut self, entry: &Entry, wanted: &[Wanted]) -> Result<Vec<TicketId>, Refusal> {
        let by = match &entry.by {
            By::Operator(who) => who.clone(),
            By::Server { name, .. } => name.clone(),
            By::Leader => "the leader".into(),
        };
        self.ask_for(entry.id, &by, wanted)
    }

    /// Takes in tickets, all or none. `key`: of the request that they came with.
    pub fn ask_for(&mut self, key: RequestId, by: &str, wanted: &[Wanted]) -> Result<Vec<TicketId>, Refusal> {
        if self.kept.open.len() + wanted.len() > MOST_OPEN {
            return Err(Refusal::TooMany(self.kept.open.len() as u32));
        }
        let servers: BTreeSet<&Name> = wanted.iter().map(|one| &one.server).collect();
        if wanted.is_empty() || servers.len() < wanted.len() {
            return Err(Refusal::Bad("each server once, and at least one".into()));
        }
        wanted.iter().try_for_each(Wanted::check)?;
        let now = self.kept.time;
        let mut ids = Vec::with_capacity(wanted.len());
        for one in wanted {
            self.kept.last_ticket += 1;
            let id = self.kept.last_ticket;
            self.put(Ticket {
                id,
                key,
                wanted: one.clone(),
                by: by.to_owned(),
                stage: Stage::Asked,
                asked_at: now,
                since: now,
                grant: 0,
                incarnation: 0,
                returned: 0,
                lapses: 0,
                due: 0,
            });
            ids.push(id);
        }
        Ok(ids)
    }

    fn grant(
        &mut self,
        by: &By,
        id: TicketId,
        incarnation: Incarnation,
        census: &Census,
    ) -> Result<Vec<TicketId>, Refusal> {
        let ticket = self.ticket(id)?;
        let to = step(ticket.stage, Move::Grant, hand(by, ticket)?)?;
        let (server, zone) = (ticket.wanted.server.clone(), ticket.wanted.zone.clone());
        if self.kept.paused.is_some() {
            return Err(Refusal::Paused);
        }
        ticket.opens(self.kept.time).map_err(|_| Refusal::Window)?;
        if let Some(other) = self.holders.get(&server) {
            return Err(Refusal::HoldsPlace(*other));
        }
        self.place(&server, &zone, census)?;
        self.kept.last_grant += 1;
        self.kept.last = (server, zone);
        let grant = self.kept.last_grant;
        let due = self.kept.time + self.kept.rules.clone().unwrap_or_default().begin_within;
        self.change(id, |ticket| {
            (ticket.stage, ticket.grant, ticket.incarnation, ticket.due) = (to, grant, incarnation, due);
        });
        Ok(vec![id])
    }

    fn move_on(
        &mut self,
        by: &By,
        id: TicketId,
        what: Move,
        grant: u64,
        incarnation: Incarnation,
    ) -> Result<Vec<TicketId>, Refusal> {
        let ticket = self.ticket(id)?;
        // A grant comes with a census, and what time does nobody says.
        if matches!(what, Move::Grant | Move::Lapse | Move::Expire | Move::Overrun) {
            return Err(Refusal::NotYours);
        }
        let hand = hand(by, ticket)?;
        // Whatever rests on a grant is nothing once that grant is not the one that holds.
        let rests_on_grant = matches!(what, Move::Begin | Move::Recall | Move::Drain | Move::Leave);
        if rests_on_grant && grant != ticket.grant {
            return Err(Refusal::Superseded { grant, holds: ticket.grant });
        }
        let to = step(ticket.stage, what, hand)?;
        let own = match what {
            // One that came back is another incarnation than whoever went.
            Move::Return if incarnation <= ticket.incarnation || incarnation < ticket.returned => {
                return Err(Refusal::OtherIncarnation);
            }
            Move::Begin | Move::Drain => ticket.incarnation,
            Move::Leave if hand == Hand::Server => ticket.incarnation.max(ticket.returned),
            Move::Warm | Move::Cool | Move::Finish => ticket.returned,
            _ => incarnation,
        };
        if own != incarnation {
            return Err(Refusal::OtherIncarnation);
        }
        let time = self.kept.time;
        self.change(id, |ticket| {
            ticket.stage = to;
            match what {
                Move::Begin => ticket.due = time + ticket.wanted.lasts,
                Move::Return => ticket.returned = incarnation,
                _ => {}
            }
        });
        Ok(vec![id])
    }

    /// Lets time do its part, in the order of its moments.
    fn pass(&mut self) {
        while let Some((at, id)) = self.dues.first().copied().filter(|(at, _)| *at <= self.kept.time) {
            self.dues.remove(&(at, id));
            let Some(ticket) = self.kept.open.get(&id) else { continue };
            let what = match ticket.stage {
                Stage::Asked => Move::Expire,
                Stage::Granted => Move::Lapse,
                _ => Move::Overrun,
            };
            let Ok(mut to) = step(ticket.stage, what, Hand::Leader) else { continue };
            self.change(id, |ticket| {
                if what == Move::Lapse {
                    ticket.lapses += 1;
                    if ticket.lapses >= MOST_LAPSES {
                        to = Stage::Lapsed;
                    }
                }
                ticket.stage = to;
            });
        }
    }

    // ---- Tickets and what follows from them ----

    fn ticket(&self, id: TicketId) -> Result<&Ticket, Refusal> {
        if let Some(ticket) = self.kept.open.get(&id) {
            return Ok(ticket);
        }
        match self.kept.over.iter().find(|ticket| ticket.id == id) {
            Some(ticket) => Err(Refusal::Over(ticket.stage)),
            None => Err(Refusal::Unknown),
        }
    }

    /// When time does something with a ticket as it is.
    fn due(ticket: &Ticket) -> Option<FleetMs> {
        match ticket.stage {
            Stage::Asked => ticket.closes(),
            Stage::Granted | Stage::Begun | Stage::Draining | Stage::Out => Some(ticket.due),
            _ => None,
        }
    }

    fn change(&mut self, id: TicketId, change: impl FnOnce(&mut Ticket)) {
        let Some(mut ticket) = self.kept.open.remove(&id) else { return };
        self.unlink(&ticket);
        let before = ticket.stage;
        change(&mut ticket);
        if ticket.stage != before {
            ticket.since = self.kept.time;
        }
        self.put(ticket);
    }

    fn put(&mut self, ticket: Ticket) {
        self.kept.events.push_back(Happened {
            at: self.kept.time,
            ticket: ticket.id,
            server: ticket.wanted.server.clone(),
            stage: ticket.stage,
            grant: ticket.grant,
        });
        if self.kept.events.len() > MOST_EVENTS {
            self.kept.events.pop_front();
        }
        if ticket.stage.is_over() {
            self.kept.over.push_back(ticket);
            if self.kept.over.len() > MOST_OVER {
                self.kept.over.pop_front();
            }
            return;
        }
        self.link(&ticket);
        self.kept.open.insert(ticket.id, ticket);
    }

    fn link(&mut self, ticket: &Ticket) {
        if let Some(at) = Self::due(ticket) {
            self.dues.insert((at, ticket.id));
        }
        if ticket.stage.holds_place() {
            self.holders.insert(ticket.wanted.server.clone(), ticket.id);
        }
        self.of.entry(ticket.wanted.server.clone()).or_default().insert(ticket.id);
    }

    fn unlink(&mut self, ticket: &Ticket) {
        if let Some(at) = Self::due(ticket) {
            self.dues.remove(&(at, ticket.id));
        }
        if ticket.stage.holds_place() {
            self.holders.remove(&ticket.wanted.server);
        }
        if let Some(of) = self.of.get_mut(&ticket.wanted.server) {
            of.remove(&ticket.id);
            if of.is_empty() {
                self.of.remove(&ticket.wanted.server);
            }
        }
    }
}

/// By whose hand an entry moves a ticket. Errors: it is another server's.
fn hand(by: &By, ticket: &Ticket) -> Result<Hand, Refusal> {
    match by {
        By::Leader => Ok(Hand::Leader),
        By::Operator(_) => Ok(Hand::Operator),
        By::Server { name, .. } if *name == ticket.wanted.server => Ok(Hand::Server),
        By::Server { .. } => Err(Refusal::NotYours),
    }
}

impl Order {
    /// The fleet's time moves on.
    pub fn at(&mut self, time: FleetMs) {
        self.kept.time = self.kept.time.max(time);
        self.pass();
    }

    /// Takes in one entry. A repeat gets what the first one got, and does nothing.
    pub fn take(&mut self, entry: &Entry) -> Answer {
        if let Some((_, answer)) = self.kept.answers.iter().rev().find(|(id, _)| *id == entry.id) {
            return answer.clone();
        }
        self.at(entry.at);
        let answer = self.carry_out(entry);
        if !matches!(entry.by, By::Leader) {
            self.kept.answers.push_back((entry.id, answer.clone()));
            if self.kept.answers.len() > MOST_ANSWERS {
                self.kept.answers.pop_front();
            }
        }
        answer
    }
}

impl Machine for Order {
    type Output = (RequestId, Answer);

    fn apply(&mut self, entry: &[u8]) -> Option<(RequestId, Answer)> {
        let entry: Entry = postcard::from_bytes(entry).ok()?;
        Some((entry.id, self.take(&entry)))
    }

    fn voters(&mut self, names: Vec<Name>) {
        self.kept.voters = names;
    }

    fn made_anew(&mut self) {
        self.kept.last_ticket += LEAP;
        self.kept.last_grant += LEAP;
        // Who was granted may have begun by what is lost: those grants are void, and those servers ask again.
        let granted: Vec<TicketId> =
            self.kept.open.values().filter(|t| t.stage == Stage::Granted).map(|t| t.id).collect();
        for id in granted {
            self.change(id, |ticket| ticket.stage = Stage::Asked);
        }
    }

    fn save(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.kept).unwrap_or_default()
    }

    fn load(bytes: &[u8]) -> Result<Order, String> {
        let kept: Kept = postcard::from_bytes(bytes).map_err(|e| format!("the state cannot be read: {e}"))?;
        let mut order = Order { kept, ..Order::default() };
        let open: Vec<Ticket> = order.kept.open.values().cloned().collect();
        open.iter().for_each(|ticket| order.link(ticket));
        Ok(order)
    }
}
