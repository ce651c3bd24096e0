//! Who goes next, and why each of the others waits. Asked by the leader alone; what it chooses is checked again when it
//! is agreed on.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::Census;
use super::headroom::{Estimate, FILL, Headroom, Seen};
use super::state::Order;
use super::ticket::{FleetMs, Refusal, Stage, Ticket, TicketId};
use crate::member::{Incarnation, Name, Standing, Zone};

/// A ticket rises by one urgency for each so long that it waits, ms.
pub const AGEING: FleetMs = 30 * 60 * 1000;
/// One that has waited so long for a place is not passed by others, ms: a place that comes free is kept for it.
pub const NOT_PASSED: FleetMs = 2 * AGEING;
/// Tickets that are looked at in one round.
const LOOKED_AT: usize = 256;

/// What a ticket has to pass, in the order in which it is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Check {
    /// No pause of the operators.
    Pause,
    /// Its window is open.
    Window,
    /// The server is known and does not hold a place by another ticket.
    Server,
    /// All members are seen by young digests, or count as out.
    Evidence,
    /// Budget in all, and by zone.
    Budget,
    /// A majority of the voters stays, and does not hang on one machine.
    Voters,
    /// Those who stay bear what the fleet carries.
    Headroom,
    /// The leader has handed over.
    Leader,
    /// Nobody is before it.
    Turn,
}

/// How one check came out, with its figures.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finding {
    pub check: Check,
    pub holds: bool,
    pub have: f64,
    pub need: f64,
    pub who: Option<String>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (have, need) = (self.have, self.need);
        let who = self.who.as_deref().unwrap_or_default();
        match self.check {
            Check::Pause if self.holds => write!(f, "work is not paused"),
            Check::Pause => write!(f, "work is paused: {who}"),
            Check::Window if self.holds => write!(f, "its window is open"),
            Check::Window => write!(f, "its window opens in {:.0} s", have / 1000.0),
            Check::Server if self.holds => write!(f, "the server is here"),
            Check::Server => write!(f, "{who}"),
            Check::Evidence => write!(f, "{have:.0} of {need:.0} members are seen by young digests"),
            Check::Budget if who.is_empty() => {
                write!(f, "{have:.0} would be out at once, {need:.0} may be")
            }
            Check::Budget => write!(f, "{have:.0} would be out at once in zone {who}, {need:.0} may be"),
            Check::Voters => write!(f, "{have:.0} voters would stay well, {need:.0} are needed"),
            Check::Headroom => write!(
                f,
                "those who stay would carry {have:.1} runs at once, and bear {:.1}: {:.0}% of the {:.0}% that may be",
                need,
                100.0 * have / need.max(f64::MIN_POSITIVE),
                100.0 * FILL
            ),
            Check::Leader if self.holds => write!(f, "it does not lead"),
            Check::Leader => write!(f, "it leads, and has to hand over first"),
            Check::Turn if self.holds => write!(f, "nobody is before it"),
            Check::Turn => write!(f, "{have:.0} are before it, the next is {who}"),
        }
    }
}

/// Why a server waits, or that it does not.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explained {
    pub server: Name,
    pub standing: Option<Standing>,
    /// The ticket that it is about, with its stage; none where none is open.
    pub ticket: Option<(TicketId, Stage)>,
    pub findings: Vec<Finding>,
    /// The headroom's estimate if this one went.
    pub estimate: Estimate,
}

/// What the leader goes by.
pub struct View<'a> {
    pub order: &'a Order,
    pub members: &'a BTreeMap<Name, Seen>,
    pub headroom: &'a Headroom,
    /// The fleet's time.
    pub now: FleetMs,
    pub leader: &'a str,
}

/// What to do about the one who is next.
#[derive(Clone, Debug, PartialEq)]
pub enum Turn {
    Grant {
        ticket: TicketId,
        incarnation: Incarnation,
    },
    /// It leads: another has to, before it goes.
    HandOver,
}

impl View<'_> {
    /// Who is there by zone, and who counts as out whatever the tickets say.
    pub fn census(&self) -> Census {
        let mut zones: BTreeMap<Zone, u32> = BTreeMap::new();
        for seen in self.members.values() {
            *zones.entry(seen.zone.clone()).or_default() += 1;
        }
        let away = self.members.iter().filter(|(_, seen)| !seen.serves());
        Census {
            zones: zones.into_iter().collect(),
            away: away.map(|(name, seen)| (name.clone(), seen.zone.clone())).collect(),
        }
    }

    /// The next grant, if there is one.
    pub fn turn(&self) -> Option<Turn> {
        let census = self.census();
        for ticket in self.in_order().into_iter().take(LOOKED_AT) {
            let wrong = self.checks(ticket, &census).find(|finding| !finding.holds);
            match wrong.map(|finding| finding.check) {
                None => {
                    let incarnation = self.members.get(&ticket.wanted.server)?.incarnation;
                    return Some(Turn::Grant { ticket: ticket.id, incarnation });
                }
                Some(Check::Leader) => return Some(Turn::HandOver),
                // These hold for all the same.
                Some(Check::Pause | Check::Evidence) => return None,
                Some(Check::Budget | Check::Voters | Check::Headroom)
                    if self.now.saturating_sub(ticket.asked_at) >= NOT_PASSED =>
                {
                    return None;
                }
                Some(_) => {}
            }
        }
        None
    }

    /// Whether a grant that was not taken up yet still rests on something: what those who would stay bear. What has been
    /// agreed on since is in the budget already.
    pub fn still_holds(&self, ticket: &Ticket) -> bool {
        self.evidence().holds && self.estimate(&ticket.wanted.server).holds()
    }

    /// Why a server waits, check by check.
    pub fn explain(&self, server: &str) -> Explained {
        let ticket = self
            .order
            .tickets_of(server)
            .find(|ticket| ticket.stage.holds_place())
            .or_else(|| self.order.tickets_of(server).next());
        let mut findings = Vec::new();
        if let Some(ticket) = ticket.filter(|ticket| ticket.stage == Stage::Asked) {
            findings = self.checks(ticket, &self.census()).collect();
            let before: Vec<&Ticket> =
                self.in_order().into_iter().take_while(|other| other.id != ticket.id).collect();
            findings.push(Finding {
                check: Check::Turn,
                holds: before.is_empty(),
                have: before.len() as f64,
                need: 0.0,
                who: before.first().map(|first| first.wanted.server.clone()),
            });
        }
        Explained {
            server: server.to_owned(),
            standing: self.members.get(server).map(|seen| seen.standing),
            ticket: ticket.map(|ticket| (ticket.id, ticket.stage)),
            findings,
            estimate: self.estimate(server),
        }
    }

    /// Those that ask, in the order in which they are looked at: the leader last; urgency with age; a voter not right after
    /// another; a zone not right after itself, nor in its busiest moment; then who asked first.
    fn in_order(&self) -> Vec<&Ticket> {
        let mut asked: Vec<&Ticket> =
            self.order.open().values().filter(|ticket| ticket.stage == Stage::Asked).collect();
        let (last_server, last_zone) = self.order.last();
        let votes = |name: &str| self.order.voter_names().iter().any(|voter| voter == name);
        let after_voter = votes(last_server);
        let mut busy: BTreeMap<&str, bool> = BTreeMap::new();
        for ticket in &asked {
            let zone = ticket.wanted.zone.as_str();
            busy.entry(zone).or_insert_with(|| self.headroom.is_busy(zone, self.members));
        }
        asked.sort_by_cached_key(|ticket| {
            let (server, zone) = (ticket.wanted.server.as_str(), ticket.wanted.zone.as_str());
            let age = self.now.saturating_sub(ticket.asked_at);
            (
                server == self.leader && age < NOT_PASSED,
                Reverse(ticket.wanted.urgency as u64 + age / AGEING),
                after_voter && votes(server),
                zone == last_zone,
                busy.get(zone).copied().unwrap_or(false),
                ticket.id,
            )
        });
        asked
    }

    /// Every check but that of its turn, one after the other; later ones are only looked at when asked for.
    fn checks<'a>(&'a self, ticket: &'a Ticket, census: &'a Census) -> impl Iterator<Item = Finding> + 'a {
        let server = ticket.wanted.server.as_str();
        let plain = |check, holds, who| Finding { check, holds, have: 0.0, need: 0.0, who };
        let all: [Box<dyn Fn() -> Finding + 'a>; 8] = [
            Box::new(move || {
                let paused = self.order.paused();
                plain(Check::Pause, paused.is_none(), paused.map(str::to_owned))
            }),
            Box::new(move || {
                let wait = ticket.opens(self.now).err();
                Finding { have: wait.unwrap_or(0) as f64, ..plain(Check::Window, wait.is_none(), None) }
            }),
            Box::new(move || {
                let wrong = match (self.members.get(server), self.order.holders().get(server)) {
                    (_, Some(other)) => Some(format!("it holds a place by ticket {other}")),
                    (None, _) => Some("no server of that name was ever here".into()),
                    // It could not hear the grant; one that is suspect may be back at once.
                    (Some(seen), _)
                        if matches!(seen.standing, Standing::Down | Standing::Gone | Standing::Suspect) =>
                    {
                        Some(format!("the server is {}", seen.standing.word()))
                    }
                    _ => None,
                };
                plain(Check::Server, wrong.is_none(), wrong)
            }),
            Box::new(move || self.evidence()),
            Box::new(move || self.budget(ticket, census)),
            Box::new(move || self.voters(ticket, census)),
            Box::new(move || self.headroom_for(server)),
            Box::new(move || plain(Check::Leader, server != self.leader, None)),
        ];
        all.into_iter().map(|check| check())
    }

    /// Those who are alive and have no young digest may be overloaded, or be cut off from us alone: nothing is known.
    fn evidence(&self) -> Finding {
        let alive =
            self.members.values().filter(|seen| !matches!(seen.standing, Standing::Down | Standing::Gone));
        let (seen, all) =
            alive.fold((0, 0), |(seen, all), one| (seen + usize::from(one.digest.is_some()), all + 1));
        Finding { check: Check::Evidence, holds: seen == all, have: seen as f64, need: all as f64, who: None }
    }

    fn budget(&self, ticket: &Ticket, census: &Census) -> Finding {
        let place = self.order.place(&ticket.wanted.server, &ticket.wanted.zone, census);
        let finding = |holds, have, need, who| Finding { check: Check::Budget, holds, have, need, who };
        match place {
            Err(Refusal::NoPlace { out, most, zone }) => {
                finding(false, f64::from(out) + 1.0, f64::from(most), zone)
            }
            _ => {
                let all = census.zones.iter().map(|(_, count)| count).sum();
                let most = self.order.rules().cloned().unwrap_or_default().out.of(all);
                let mut out: std::collections::BTreeSet<&str> =
                    census.away.iter().map(|(name, _)| name.as_str()).collect();
                out.extend(self.order.holders().keys().map(String::as_str));
                out.insert(&ticket.wanted.server);
                finding(true, out.len() as f64, f64::from(most), None)
            }
        }
    }

    fn voters(&self, ticket: &Ticket, census: &Census) -> Finding {
        let finding = |holds, have, need| Finding { check: Check::Voters, holds, have, need, who: None };
        match self.order.place(&ticket.wanted.server, &ticket.wanted.zone, census) {
            Err(Refusal::Voters { stay, needed }) => finding(false, f64::from(stay), f64::from(needed)),
            _ => {
                let all = self.order.voter_names().len() as u32;
                let needed = super::rules::voters_needed(all);
                finding(true, f64::from(all.max(needed)), f64::from(needed))
            }
        }
    }

    fn headroom_for(&self, server: &str) -> Finding {
        let estimate = self.estimate(server);
        Finding {
            check: Check::Headroom,
            holds: estimate.holds(),
            have: estimate.now.max(estimate.most),
            need: estimate.stay,
            who: None,
        }
    }

    fn estimate(&self, going: &str) -> Estimate {
        let holders = self.order.holders();
        self.headroom.estimate(self.members, &|name| name != going && !holders.contains_key(name))
    }
}
