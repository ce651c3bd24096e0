//! The leader's round: who votes, what is seen of servers that are out, and who goes next. Everything it decides goes
//! through the log, one thing after the other: nothing new is decided before the last is agreed on.

use std::collections::BTreeSet;

use rand::RngExt;

use super::lead_duties::Sessions;
use super::{Effect, Node};
use crate::agreement::Agreement;
use crate::member::{Ms, Name, Phase, RequestId, Standing};
use crate::order::choose::{Turn, View};
use crate::order::ticket::FleetMs;
use crate::order::{By, Command, Entry, watch};

/// How often it decides, ms.
const ROUND: Ms = 250;
/// What it proposed and has not heard of for so long is lost, ms.
const LOST: Ms = 5_000;
/// How often the fleet's time is written down while anything waits for it, ms: a new leader counts on from there.
const CLOCK: Ms = 5_000;

#[derive(Default)]
pub(super) struct Lead {
    /// When this one began to lead, and the fleet's time then.
    begun: Option<(Ms, FleetMs)>,
    round_at: Ms,
    /// What it proposed that is not agreed on yet, and until when that is waited for.
    open: BTreeSet<RequestId>,
    open_until: Ms,
    pub sessions: Sessions,
}

impl Lead {
    /// What it proposed is agreed on: what follows from it need not wait for the next round.
    pub fn came_of(&mut self, id: RequestId) {
        if self.open.remove(&id) && self.open.is_empty() {
            self.round_at = 0;
        }
    }
}

impl Node {
    /// The fleet's time, as this one would count it.
    pub(super) fn fleet_now(&self, now: Ms) -> FleetMs {
        let time = self.order().map_or(0, |order| order.time());
        self.lead.begun.map_or(time, |(since, from)| time.max(from + now.saturating_sub(since)))
    }

    pub(super) fn round(&mut self, now: Ms) {
        if !self.leads() {
            self.lead = Lead::default();
            return;
        }
        if self.lead.begun.is_none() {
            self.lead.begun = Some((now, self.order().map_or(0, |order| order.time())));
            self.effects.push(Effect::Note("leads the fleet".into()));
        }
        if now < self.next_round() {
            return;
        }
        self.lead.round_at = now + ROUND;
        self.seat_voters();
        if now >= self.lead.open_until {
            self.lead.open.clear();
        }
        if self.lead.open.is_empty() {
            let commands = [self.decisions(now), self.duty_decisions(now)].concat();
            for command in commands {
                self.lead_with(command, now);
            }
        }
    }

    /// When the leader is to look again: at its next round, or when time has something to do.
    pub(super) fn next_round(&self) -> Ms {
        let Some((since, from)) = self.lead.begun.filter(|_| self.lead.open.is_empty()) else {
            return self.lead.round_at;
        };
        let due = self.next_due().filter(|due| self.record().is_some_and(|r| r.order.time() < *due));
        due.map_or(self.lead.round_at, |due| self.lead.round_at.min(since + due.saturating_sub(from)))
    }

    /// When the fleet's time has something to do.
    fn next_due(&self) -> Option<FleetMs> {
        let record = self.record()?;
        record.order.next_due().into_iter().chain(record.duties.next_due()).min()
    }

    /// Brings the votes to whom the settings name, by the seats that they tell.
    fn seat_voters(&mut self) {
        let seat = |name: &Name| {
            if *name == self.setup.name {
                return self.seat().map(|seat| seat.id);
            }
            let known = self.membership.get(name)?;
            let here = matches!(known.standing(), Standing::Serving | Standing::Cold);
            known.seat.filter(|_| here).map(|seat| seat.id)
        };
        let wanted: Vec<_> = self.setup.voters.iter().map(|(name, _)| (name.clone(), seat(name))).collect();
        if let Some(agreement) = &mut self.agreement {
            agreement.reseat_towards(&wanted);
        }
    }

    fn decisions(&mut self, now: Ms) -> Vec<Command> {
        let fleet_now = self.fleet_now(now);
        let members = self.seen(now);
        let Some(order) = self.order() else { return Vec::new() };
        if order.rules() != Some(&self.setup.rules) {
            return vec![Command::Rules(self.setup.rules.clone())];
        }
        let waits = self.next_due();
        if waits.is_some_and(|at| at <= fleet_now || fleet_now >= order.time() + CLOCK) {
            return vec![Command::Clock];
        }
        let leader = self.setup.name.as_str();
        let view = View { order, members: &members, headroom: &self.headroom, now: fleet_now, leader };
        let moves = watch::moves(&view);
        if !moves.is_empty() {
            return moves;
        }
        match view.turn() {
            Some(Turn::Grant { ticket, incarnation }) => {
                vec![Command::Grant { ticket, incarnation, census: view.census() }]
            }
            Some(Turn::HandOver) => {
                self.give_up_lead();
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    fn lead_with(&mut self, command: Command, now: Ms) {
        let id = self.rng.random();
        let entry = Entry { id, at: self.fleet_now(now), by: By::Leader, command };
        self.lead.open.insert(id);
        self.lead.open_until = now + LOST;
        if self.propose(&entry).is_err() {
            self.lead.open.remove(&id);
        }
    }

    /// Lets the voter lead that is furthest, of those who serve and hold no place.
    pub(super) fn give_up_lead(&mut self) {
        let Some(agreement) = &self.agreement else { return };
        let busy: BTreeSet<Name> = agreement.machine().order.holders().keys().cloned().collect();
        let known = self.membership.known();
        let fit: BTreeSet<Name> = known
            .values()
            .filter(|one| {
                let leaving = one.digest.is_some_and(|(_, digest)| digest.phase == Phase::Leaving);
                one.swim == foca::State::Alive && !leaving && !busy.contains(&one.me.name)
            })
            .map(|one| one.me.name.clone())
            .collect();
        if self.agreement.as_mut().is_some_and(|a: &mut Agreement<_>| a.hand_over(&|name| fit.contains(name)))
        {
            self.note("hands the lead over".into());
        }
    }
}
