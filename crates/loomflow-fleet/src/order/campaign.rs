//! Campaigns: many tickets in batches, carried by whoever owns the duty for it. The record keeps how far each has come, so
//! that an owner that takes over goes on where the last one stopped, and a batch that is asked for once more is refused.
//!
//! A batch is asked for when all of the one before are done. A campaign halts when one of its tickets did not come to its
//! end in order, or when those that came back ask for clearly less of their usual traffic than before: what was rolled out
//! is worse, and the rest of the fleet is spared it. An operator resumes it or drops it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::state::Order;
use super::ticket::{Refusal, Stage, TicketId, Wanted};
use crate::duty::{Token, cut};
use crate::member::{Name, RequestId, Seen};

/// Campaigns that are kept, those that are over among them.
pub const MOST: usize = 16;
/// Tickets of one campaign.
pub const MOST_TICKETS: usize = 10_000;
/// A batch came back worse when its servers' mean share fell by more than this.
pub const WORSE: f32 = 0.1;
const LONGEST_NAME: usize = 64;

/// How a campaign stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Stand {
    Runs,
    Halted(String),
    Done,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Campaign {
    pub by: String,
    wanted: Vec<Wanted>,
    /// Tickets asked for at once.
    pub batch: u32,
    /// The first that was not asked for yet.
    pub next: u32,
    /// Of the last batch, with its servers' mean share before it was asked for.
    tickets: Vec<TicketId>,
    base: f32,
    pub stand: Stand,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// By an operator.
    Start {
        name: String,
        wanted: Vec<Wanted>,
        batch: u32,
    },
    Resume(String),
    Drop(String),
    /// By the owner of the duty: the batch from this place on, whose servers ask for this share in the mean.
    Next {
        name: String,
        from: u32,
        base: f32,
        token: Token,
    },
    Halt {
        name: String,
        from: u32,
        reason: String,
        token: Token,
    },
}

impl Command {
    /// The owner's token, where it is an owner's word.
    pub fn token(&self) -> Option<Token> {
        match self {
            Command::Next { token, .. } | Command::Halt { token, .. } => Some(*token),
            _ => None,
        }
    }
}

/// What the owner goes by, as the leader sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct View {
    pub name: String,
    pub by: String,
    pub stand: Stand,
    pub next: u32,
    pub all: u32,
    /// The last batch: its servers with the stages of their tickets; none where a ticket is no longer told of.
    pub last: Vec<(Name, Option<Stage>)>,
    /// Mean share of its servers before it was asked for, and now; none where one of them is not seen.
    pub base: f32,
    pub now: Option<f32>,
    /// The same of those that would be next.
    pub coming: Option<f32>,
}

/// What the owner does about one campaign.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Next { from: u32, base: f32 },
    Halt { from: u32, reason: String },
}

/// What is to be done now; nothing where something is waited for.
pub fn step(view: &View) -> Option<Step> {
    if view.stand != Stand::Runs {
        return None;
    }
    let halt = |reason: String| Some(Step::Halt { from: view.next, reason });
    let ended = |stage: Stage| !matches!(stage, Stage::Done);
    for (server, stage) in &view.last {
        match stage {
            Some(stage) if stage.is_over() && ended(*stage) => {
                return halt(format!("the ticket of {server} is {}", stage.word()));
            }
            Some(Stage::Overdue) => return halt(format!("{server} is overdue")),
            _ => {}
        }
    }
    if view.last.iter().any(|(_, stage)| stage.is_some_and(|stage| !stage.is_over())) {
        return None;
    }
    // Those that are not seen are waited for: nothing is known of them.
    if !view.last.is_empty() {
        let now = view.now?;
        if now < view.base - WORSE {
            return halt(format!("the last batch came back worse: share {now:.2}, {:.2} before", view.base));
        }
    }
    if view.next >= view.all {
        return Some(Step::Next { from: view.next, base: 1.0 });
    }
    Some(Step::Next { from: view.next, base: view.coming? })
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Campaigns(BTreeMap<String, Campaign>);

impl Campaigns {
    pub fn any_runs(&self) -> bool {
        self.0.values().any(|one| one.stand == Stand::Runs)
    }

    /// Applies one command; an owner's token was looked at before. Tickets go into the order by the entry's own number.
    pub fn apply(
        &mut self,
        order: &mut Order,
        key: RequestId,
        by: &str,
        command: &Command,
    ) -> Result<Vec<TicketId>, Refusal> {
        match command {
            Command::Start { name, wanted, batch } => {
                self.start(name, wanted, *batch, by).map(|()| Vec::new())
            }
            Command::Resume(name) => {
                let one = self.one(name)?;
                if let Stand::Halted(_) = one.stand {
                    // What it halted for is the operator's business now.
                    (one.stand, one.tickets) = (Stand::Runs, Vec::new());
                }
                Ok(Vec::new())
            }
            Command::Drop(name) => self.0.remove(name).map(|_| Vec::new()).ok_or_else(|| unknown(name)),
            Command::Next { name, from, base, .. } => {
                let one = self.running(name, *from)?;
                let end = (one.next as usize + one.batch as usize).min(one.wanted.len());
                let batch = &one.wanted[one.next as usize..end];
                if batch.is_empty() {
                    one.stand = Stand::Done;
                    return Ok(Vec::new());
                }
                let tickets = order.ask_for(key, &format!("{} ({name})", one.by), batch)?;
                (one.next, one.tickets, one.base) = (end as u32, tickets.clone(), *base);
                Ok(tickets)
            }
            Command::Halt { name, from, reason, .. } => {
                self.running(name, *from)?.stand = Stand::Halted(cut(reason));
                Ok(Vec::new())
            }
        }
    }

    fn start(&mut self, name: &str, wanted: &[Wanted], batch: u32, by: &str) -> Result<(), Refusal> {
        let bad = |what: &str| Err(Refusal::Bad(format!("campaign {name:?}: {what}")));
        if !(1..=LONGEST_NAME).contains(&name.len()) {
            return bad("a name has 1 to 64 bytes");
        }
        if batch == 0 || wanted.is_empty() || wanted.len() > MOST_TICKETS {
            return bad("a batch of one at least, and 1 to 10,000 tickets");
        }
        if self.0.get(name).is_some_and(|one| one.stand != Stand::Done) {
            return bad("it is there already");
        }
        wanted.iter().try_for_each(Wanted::check)?;
        if self.0.len() >= MOST && !self.0.contains_key(name) {
            let over = self.0.iter().find(|(_, one)| one.stand == Stand::Done).map(|(name, _)| name.clone());
            let Some(over) = over else { return Err(Refusal::TooMany(MOST as u32)) };
            self.0.remove(&over);
        }
        let one = Campaign {
            by: by.to_owned(),
            wanted: wanted.to_vec(),
            batch,
            next: 0,
            tickets: Vec::new(),
            base: 1.0,
            stand: Stand::Runs,
        };
        self.0.insert(name.to_owned(), one);
        Ok(())
    }

    fn one(&mut self, name: &str) -> Result<&mut Campaign, Refusal> {
        self.0.get_mut(name).ok_or_else(|| unknown(name))
    }

    /// One that runs, and has come as far as whoever speaks of it believes: said twice, the second time is refused.
    fn running(&mut self, name: &str, from: u32) -> Result<&mut Campaign, Refusal> {
        let one = self.one(name)?;
        if one.stand != Stand::Runs || one.next != from {
            return Err(Refusal::Bad(format!("campaign {name:?} stands at {} and not at {from}", one.next)));
        }
        Ok(one)
    }

    /// What is known of all, for their owner and for operators.
    pub fn views(&self, order: &Order, members: &BTreeMap<Name, Seen>) -> Vec<View> {
        let share = |servers: &mut dyn Iterator<Item = &Name>| {
            let shares = servers.map(|name| members.get(name).and_then(|seen| seen.digest).map(|d| d.share));
            let shares: Option<Vec<f32>> = shares.collect();
            shares.filter(|all| !all.is_empty()).map(|all| all.iter().sum::<f32>() / all.len() as f32)
        };
        let view = |(name, one): (&String, &Campaign)| {
            let next = one.next as usize;
            let last = &one.wanted[next.saturating_sub(one.tickets.len())..next];
            let coming = &one.wanted[next..(next + one.batch as usize).min(one.wanted.len())];
            let stage = |ticket: &TicketId| order.find(*ticket).map(|ticket| ticket.stage);
            View {
                name: name.clone(),
                by: one.by.clone(),
                stand: one.stand.clone(),
                next: one.next,
                all: one.wanted.len() as u32,
                last: last.iter().map(|w| w.server.clone()).zip(one.tickets.iter().map(stage)).collect(),
                base: one.base,
                now: share(&mut last.iter().map(|wanted| &wanted.server)),
                coming: share(&mut coming.iter().map(|wanted| &wanted.server)),
            }
        };
        self.0.iter().map(view).collect()
    }
}

fn unknown(name: &str) -> Refusal {
    Refusal::Bad(format!("no campaign is called {name:?}"))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::order::ticket::Urgency;

    fn wanted(server: &str) -> Wanted {
        let (zone, reason) = (String::new(), String::new());
        Wanted { server: server.into(), zone, reason, urgency: Urgency::Routine, lasts: 60_000, window: None }
    }

    fn started() -> (Campaigns, Order) {
        let (mut campaigns, mut order) = (Campaigns::default(), Order::default());
        let wanted = ["a", "b", "c"].map(wanted).to_vec();
        let start = Command::Start { name: "kernel".into(), wanted, batch: 2 };
        assert_eq!(campaigns.apply(&mut order, 1, "ops", &start), Ok(vec![]));
        (campaigns, order)
    }

    fn next(from: u32) -> Command {
        Command::Next { name: "kernel".into(), from, base: 0.9, token: 1 }
    }

    fn view(last: &[(&str, Option<Stage>)], now: Option<f32>) -> View {
        View {
            name: "kernel".into(),
            by: "ops".into(),
            stand: Stand::Runs,
            next: 2,
            all: 3,
            last: last.iter().map(|(name, stage)| (name.to_string(), *stage)).collect(),
            base: 0.9,
            now,
            coming: Some(0.8),
        }
    }

    #[test]
    fn a_batch_that_is_asked_for_again_is_refused_and_the_next_goes_on_where_it_stopped() {
        let (mut campaigns, mut order) = started();
        assert_eq!(campaigns.apply(&mut order, 2, "n1", &next(0)), Ok(vec![1, 2]));
        assert!(
            campaigns.apply(&mut order, 3, "n2", &next(0)).is_err(),
            "by another owner, from what it knew"
        );
        assert_eq!(order.open().len(), 2);
        assert_eq!(campaigns.apply(&mut order, 4, "n2", &next(2)), Ok(vec![3]));
        assert_eq!(campaigns.apply(&mut order, 5, "n2", &next(3)), Ok(vec![]));
        assert!(!campaigns.any_runs());
    }

    #[test]
    fn it_halts_when_a_batch_comes_back_worse_or_not_at_all() {
        let done = Some(Stage::Done);
        let both = |a, b| [("a", a), ("b", b)];
        assert_eq!(step(&view(&both(done, Some(Stage::Out)), Some(0.9))), None, "one is still out");
        let on = Some(Step::Next { from: 2, base: 0.8 });
        assert_eq!(step(&view(&both(done, done), Some(0.85))), on);
        assert_eq!(step(&view(&both(done, done), None)), None, "nothing is known of them");
        assert_eq!(step(&view(&[], None)), on, "resumed, or the first");
        for (last, now) in [
            (both(done, done), Some(0.7)),
            (both(done, Some(Stage::Overdue)), Some(0.9)),
            (both(Some(Stage::Lapsed), Some(Stage::Out)), Some(0.9)),
        ] {
            assert!(matches!(step(&view(&last, now)), Some(Step::Halt { from: 2, .. })), "{last:?}");
        }
        let halted = View { stand: Stand::Halted(String::new()), ..view(&both(done, done), Some(0.9)) };
        assert_eq!(step(&halted), None);
    }

    #[test]
    fn halted_it_goes_on_only_when_it_is_resumed() {
        let (mut campaigns, mut order) = started();
        campaigns.apply(&mut order, 2, "n1", &next(0)).unwrap();
        let halt = Command::Halt { name: "kernel".into(), from: 2, reason: "worse".into(), token: 1 };
        assert_eq!(campaigns.apply(&mut order, 3, "n1", &halt), Ok(vec![]));
        assert!(campaigns.apply(&mut order, 4, "n1", &next(2)).is_err());
        assert_eq!(campaigns.apply(&mut order, 5, "ops", &Command::Resume("kernel".into())), Ok(vec![]));
        assert_eq!(campaigns.apply(&mut order, 6, "n1", &next(2)), Ok(vec![3]));
        assert!(campaigns.apply(&mut order, 7, "ops", &Command::Drop("other".into())).is_err());
    }
}
