//! What is told of the fleet to whoever asks.

use super::Node;
use crate::agreement::Agreement;
use crate::member::{Ms, Standing};
use crate::order::choose::View;
use crate::order::state::Order;
use crate::order::{Answer, Ask, MemberRow, Status};

/// Tickets told at once; a fleet's worth of open ones and the last that are over.
const MOST_TOLD: usize = 12_000;
/// Things that happened that are told at once.
const MOST_EVENTS_TOLD: usize = 500;

impl Node {
    /// The answer to a question, as far as this one knows. None where it knows nothing of the order.
    pub fn read(&self, ask: &Ask, now: Ms) -> Option<Answer> {
        match ask {
            Ask::Do { .. } => None,
            Ask::Status => Some(Answer::Status(Box::new(self.status(now)))),
            Ask::Tickets => {
                let order = self.order()?;
                Some(Answer::Tickets {
                    open: order.open().values().take(MOST_TOLD).cloned().collect(),
                    over: order.over().rev().take(MOST_EVENTS_TOLD).cloned().collect(),
                    events: order.events().rev().take(MOST_EVENTS_TOLD).cloned().collect(),
                })
            }
            Ask::Duties => {
                let listed = self.record()?.duties.list();
                Some(Answer::Duty(crate::duty::Answer::List(Box::new(listed))))
            }
            Ask::Campaigns => {
                let record = self.record()?;
                Some(Answer::Campaigns(record.campaigns.views(&record.order, &self.seen(now))))
            }
            Ask::Explain(server) => {
                let (order, members) = (self.order()?, self.seen(now));
                let leader = self.setup.name.as_str();
                let now = self.fleet_now(now);
                let view = View { order, members: &members, headroom: &self.headroom, now, leader };
                Some(Answer::Explained(view.explain(server)))
            }
        }
    }

    /// The fleet as it is seen from here; `fresh` only where this one leads.
    pub fn status(&self, now: Ms) -> Status {
        let empty = Order::default();
        let order = self.order().unwrap_or(&empty);
        let held = |name: &str| {
            let id = order.holders().get(name)?;
            Some((*id, order.open().get(id)?.stage))
        };
        let voters = self.agreement.as_ref().map(Agreement::voters).unwrap_or_default();
        let members = self.seen(now).into_iter().map(|(name, seen)| {
            let known = self.membership.get(&name);
            let told = known.map_or(self.load, |known| known.digest);
            let ticket = held(&name);
            let out = ticket.is_some_and(|(_, stage)| !matches!(stage, crate::order::ticket::Stage::Granted));
            let gone = matches!(seen.standing, Standing::Down | Standing::Gone);
            MemberRow {
                zone: seen.zone,
                address: known.map_or(self.setup.address, |known| known.me.address).to_string(),
                incarnation: seen.incarnation,
                standing: if out && gone { Standing::Out } else { seen.standing },
                voter: voters.contains(&name),
                digest: told.map(|(_, digest)| digest),
                age: told.map(|(at, _)| now.saturating_sub(at)),
                ticket,
                name,
            }
        });
        Status {
            fleet: self.setup.fleet.clone(),
            leader: self.leader().cloned(),
            term: self.agreement.as_ref().map_or(0, Agreement::term),
            index: self.agreement.as_ref().map_or(0, Agreement::applied),
            voters: voters.clone(),
            fresh: self.leads(),
            members: members.collect(),
            rules: order.rules().cloned().unwrap_or_else(|| self.setup.rules.clone()),
            paused: order.paused().map(str::to_owned),
            open: order.open().len() as u32,
            out: order.holders().len() as u32,
            unasked: order.unasked(),
            time: order.time(),
            fault: self.fault.clone(),
            summary: self.told(now),
            refused: self.refused(),
        }
    }
}
