//! Requests on their way to the leader, and answers on their way back. A request is repeated under its number until it
//! is answered or given up, and the log does it once.

use std::collections::BTreeMap;

use super::{Effect, Node};
use crate::agreement::NotNow;
use crate::duty;
use crate::member::{Ms, Name, RequestId};
use crate::order::ticket::Refusal;
use crate::order::{Answer, Ask, Command, Entry};
use crate::wire::Body;

/// A request without an answer is said again after this, to another voter, ms.
const AGAIN: Ms = 700;
/// It is given up after this, ms.
pub const GIVEN_UP: Ms = 10_000;
/// Requests of others that are remembered until their answer comes.
const MOST_OWED: usize = 4_096;
/// Requests of our own at once.
const MOST_OWN: usize = 1_024;

/// One of our own.
struct Pending {
    ask: Ask,
    again_at: Ms,
    until: Ms,
    tries: usize,
}

#[derive(Default)]
pub(super) struct Asks {
    own: BTreeMap<RequestId, Pending>,
    /// Whose answer it is, and until when it is remembered.
    owed: BTreeMap<RequestId, (Name, Ms)>,
}

impl Asks {
    pub fn next_wake(&self) -> Ms {
        self.own.values().map(|one| one.again_at.min(one.until)).min().unwrap_or(Ms::MAX)
    }
}

impl Node {
    pub(super) fn submit_as(&mut self, id: RequestId, ask: Ask, now: Ms) {
        if self.asks.own.len() >= MOST_OWN {
            self.effects.push(Effect::Answered(id, Answer::Refused(Refusal::TooMany(MOST_OWN as u32))));
            return;
        }
        let pending = Pending { ask, again_at: now, until: now + GIVEN_UP, tries: 0 };
        self.asks.own.insert(id, pending);
        self.say_ask(id, now);
    }

    /// One of our own is no longer wanted.
    pub(super) fn forget(&mut self, id: RequestId) {
        self.asks.own.remove(&id);
    }

    /// Says again what has no answer, and gives up what is over.
    pub(super) fn ask_again(&mut self, now: Ms) {
        let due: Vec<(RequestId, bool)> = self
            .asks
            .own
            .iter()
            .filter(|(_, one)| now >= one.again_at || now >= one.until)
            .map(|(id, one)| (*id, now >= one.until))
            .collect();
        for (id, over) in due {
            if over {
                self.answered(id, Answer::Refused(Refusal::NoLeader), now);
            } else {
                self.say_ask(id, now);
            }
        }
        self.asks.owed.retain(|_, (_, until)| *until > now);
    }

    fn say_ask(&mut self, id: RequestId, now: Ms) {
        let leader = self.leader().cloned();
        let Some(pending) = self.asks.own.get_mut(&id) else { return };
        pending.again_at = now + AGAIN;
        pending.tries += 1;
        let (ask, tries) = (pending.ask.clone(), pending.tries);
        if self.leads() {
            let name = self.setup.name.clone();
            return self.asked(name, id, 0, ask, now);
        }
        let others = self.other_voters();
        // The leader first; then round the voters, as what is known of it may be old.
        let to = match leader.filter(|_| tries % 2 == 1) {
            Some(leader) if leader != self.setup.name => Some(leader),
            _ => others.get((tries / 2) % others.len().max(1)).cloned(),
        };
        if let Some(to) = to {
            self.send(&to, Body::Ask { id, hops: 0, ask });
        }
    }

    /// Somebody's request, or one of our own where we lead.
    pub(super) fn asked(&mut self, from: Name, id: RequestId, hops: u8, ask: Ask, now: Ms) {
        if self.asks.owed.len() < MOST_OWED {
            self.asks.owed.insert(id, (from, now + GIVEN_UP));
        }
        if self.leads() {
            match ask {
                Ask::Do { command: Command::Duty(duty::Command::KeepAlive(holders)), .. } => {
                    self.keeps(id, holders, now);
                }
                Ask::Do { by, mut command } => {
                    if let Command::Duty(duty::Command::Release { duty, to, .. }) = &mut command {
                        *to = self.next_owner(duty, now);
                    }
                    let entry = Entry { id, at: self.fleet_now(now), by, command };
                    // What is not taken now is asked again by whoever wants it.
                    if self.propose(&entry) == Err(NotNow::NotLeader) {
                        self.asks.owed.remove(&id);
                    }
                }
                read => {
                    if let Some(answer) = self.read(&read, now) {
                        self.came_of(id, answer, now);
                    }
                }
            }
        } else if hops == 0
            && let Some(leader) = self.leader().cloned().filter(|leader| *leader != self.setup.name)
        {
            self.send(&leader, Body::Ask { id, hops: 1, ask });
        }
    }

    /// An answer is there: it goes to whoever is owed it.
    pub(super) fn came_of(&mut self, id: RequestId, answer: Answer, now: Ms) {
        match self.asks.owed.remove(&id) {
            Some((to, _)) if to != self.setup.name => self.send(&to, Body::Answer { id, answer }),
            _ => self.answered(id, answer, now),
        }
    }

    /// An answer has come: to one of our own, or to pass on.
    pub(super) fn answered(&mut self, id: RequestId, answer: Answer, now: Ms) {
        if let Some(pending) = self.asks.own.remove(&id) {
            let asked_at = pending.until - GIVEN_UP;
            if !self.own_answered(id, &answer, asked_at, now)
                && !self.duty_answered(id, &answer, asked_at, now)
            {
                self.effects.push(Effect::Answered(id, answer));
            }
        } else if let Some((to, _)) = self.asks.owed.remove(&id)
            && to != self.setup.name
        {
            self.send(&to, Body::Answer { id, answer });
        }
    }

    pub(super) fn propose(&mut self, entry: &Entry) -> Result<(), NotNow> {
        let Some(agreement) = &mut self.agreement else { return Err(NotNow::NotLeader) };
        agreement.propose(postcard::to_stdvec(entry).map_err(|_| NotNow::Dropped)?)
    }
}
