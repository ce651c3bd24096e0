//! What the log is applied to: the order of work, the duties and the campaigns. Each checks its own commands; here stands who may say which
//! command on duties, and that both go by the same time.

use crate::agreement::Machine;
use crate::duty::state::Duties;
use crate::duty::{self, Refusal};
use crate::member::{Name, RequestId};
use crate::order::campaign::{self, Campaigns};
use crate::order::state::Order;
use crate::order::{self, Answer, By, Command, Entry};

#[derive(Clone, Debug, Default)]
pub struct Record {
    pub order: Order,
    pub duties: Duties,
    pub campaigns: Campaigns,
}

/// The duty that carries campaigns.
pub const CAMPAIGN: &str = "campaign";

impl Record {
    /// On a campaign: an operator's word, or its owner's with a token that counts.
    fn campaign(&mut self, entry: &Entry, command: &campaign::Command) -> Answer {
        let by = match (&entry.by, command.token()) {
            (By::Operator(who), None) => who,
            (By::Server { name, .. }, Some(token)) => match self.duties.admits(CAMPAIGN, token) {
                Ok(()) => name,
                Err(why) => return Answer::Duty(duty::Answer::Refused(why)),
            },
            _ => return Answer::Refused(order::ticket::Refusal::NotYours),
        };
        let done = self.campaigns.apply(&mut self.order, entry.id, by, command);
        done.map_or_else(Answer::Refused, Answer::Done)
    }
}

/// Whether this hand may say this on a duty. What an owner says is checked by its token as well.
fn may(by: &By, command: &duty::Command) -> bool {
    use duty::Command::*;
    match (by, command) {
        (By::Leader, Declare(..) | KeepAlive(_) | Assign(_) | Recall(_)) => true,
        (By::Server { name, incarnation }, End(holder)) => {
            *name == holder.name && *incarnation == holder.incarnation
        }
        (By::Server { .. }, Release { .. } | Write { .. }) => true,
        (By::Operator(_), Recall(_) | Park(..) | Resume(_) | Run(..)) => true,
        _ => false,
    }
}

impl Machine for Record {
    type Output = (RequestId, Answer);

    fn apply(&mut self, entry: &[u8]) -> Option<(RequestId, Answer)> {
        let entry: Entry = postcard::from_bytes(entry).ok()?;
        self.duties.pass(entry.at);
        let answer = match &entry.command {
            Command::Duty(command) => {
                self.order.at(entry.at);
                Answer::Duty(if may(&entry.by, command) {
                    self.duties.apply(command)
                } else {
                    duty::Answer::Refused(Refusal::Bad("that is not this hand's to say".into()))
                })
            }
            Command::Campaign(command) => {
                self.order.at(entry.at);
                self.campaign(&entry, command)
            }
            _ => self.order.take(&entry),
        };
        Some((entry.id, answer))
    }

    fn voters(&mut self, names: Vec<Name>) {
        self.order.voters(names);
    }

    fn made_anew(&mut self) {
        self.order.made_anew();
        self.duties.made_anew();
    }

    fn save(&self) -> Vec<u8> {
        postcard::to_stdvec(&(self.order.save(), self.duties.save(), &self.campaigns)).unwrap_or_default()
    }

    fn load(bytes: &[u8]) -> Result<Record, String> {
        let (order, duties, campaigns): (Vec<u8>, Vec<u8>, Campaigns) =
            postcard::from_bytes(bytes).map_err(|e| format!("the record cannot be read: {e}"))?;
        Ok(Record { order: Order::load(&order)?, duties: Duties::load(&duties)?, campaigns })
    }
}
