//! What a member knows of its own session and of the duties that it owns. It goes by its own boot-time clock alone, counted
//! from before it asked: an answer that comes late is worth what is left of it, and after a long sleep nothing is left.

use std::collections::BTreeMap;

use super::{DutyName, Grant, Kept, SessionId, Terms, Token};
use crate::member::{Ms, RequestId};

/// A session is kept so many times within its length.
const KEEPS: u64 = 4;
/// A server that was told of something new asks at most so often, ms.
const SOON: Ms = 20;

/// What a server comes to own, or no longer owns.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    Took(Grant),
    /// It is to be finished or checkpointed, and released.
    HandOver(DutyName, Token),
    /// It is over: nothing more may be done for it.
    Lost(DutyName, Token),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Tenure {
    session: SessionId,
    terms: Terms,
    /// The session counts until then.
    until: Ms,
    held: BTreeMap<DutyName, Grant>,
    /// What this session let go of: no grant up to this token is for it again.
    let_go: BTreeMap<DutyName, Token>,
    /// The word that is under way, and when it was first said.
    asked: Option<(RequestId, Ms)>,
    next: Ms,
    changes: Vec<Change>,
}

impl Tenure {
    /// What it owns at this moment. Nobody else does, as far as clocks keep to [`super::DRIFT`].
    pub fn owns(&self, duty: &str, now: Ms) -> Option<Token> {
        if now >= self.until {
            return None;
        }
        self.held.get(duty).map(|grant| grant.token)
    }

    pub fn held(&self) -> impl Iterator<Item = &Grant> {
        self.held.values()
    }

    pub fn grant(&self, duty: &str) -> Option<&Grant> {
        self.held.get(duty)
    }

    /// Until when what it owns is its own, on its own clock.
    pub fn until(&self) -> Ms {
        self.until
    }

    pub fn session(&self) -> SessionId {
        self.session
    }

    pub fn next_wake(&self) -> Ms {
        if self.held.is_empty() { self.next } else { self.next.min(self.until) }
    }

    /// Whether the session is to be kept now; what was asked before counts no more then.
    pub fn is_due(&mut self, now: Ms) -> bool {
        now >= self.next
    }

    /// It has been asked for. Gives the request before, if it was not answered.
    pub fn asked(&mut self, id: RequestId, now: Ms) -> Option<RequestId> {
        self.next = now + (self.terms.lease / KEEPS).max(SOON);
        self.asked.replace((id, now)).map(|(before, _)| before)
    }

    /// Whether this request was one that keeps the session.
    pub fn is_own(&self, id: RequestId) -> bool {
        self.asked.is_some_and(|(own, _)| own == id)
    }

    /// The record's answer to a word that was first said at `asked_at`.
    pub fn answered(&mut self, kept: Kept, asked_at: Ms, now: Ms) {
        self.asked = None;
        self.expire(now);
        let until = asked_at + kept.terms.holder_counts();
        if kept.session < self.session || until <= now {
            return;
        }
        if kept.session > self.session {
            // Another session: whatever was owned by the one before is over.
            self.lose_all();
            self.let_go.clear();
            self.session = kept.session;
            self.until = 0;
        }
        self.terms = kept.terms;
        self.until = self.until.max(until);
        self.take(kept.held);
        // What the record took back without our word is no longer told: only a session that is over does that.
    }

    /// Told without having asked: counts for the session that holds, and does not make it longer.
    pub fn told(&mut self, kept: Kept, now: Ms) {
        self.expire(now);
        if kept.session == self.session && now < self.until {
            self.take(kept.held);
        } else if kept.session > self.session {
            self.next = self.next.min(now + SOON);
        }
    }

    /// The server let go of a duty, or is about to say so.
    pub fn let_go(&mut self, duty: &str) -> Option<Token> {
        let grant = self.held.remove(duty)?;
        let last = self.let_go.entry(duty.to_owned()).or_default();
        *last = grant.token.max(*last);
        Some(grant.token)
    }

    /// All that it owns is to be handed over: the server leaves.
    pub fn recall_all(&mut self) {
        for grant in self.held.values_mut().filter(|grant| !grant.recalled) {
            grant.recalled = true;
            self.changes.push(Change::HandOver(grant.duty.clone(), grant.token));
        }
    }

    /// The session is over by its own word: the record gives it nothing more.
    pub fn end(&mut self) {
        self.lose_all();
        (self.until, self.next, self.asked) = (0, Ms::MAX, None);
    }

    /// What it owned is over where its time is.
    pub fn expire(&mut self, now: Ms) {
        if now >= self.until {
            self.lose_all();
        }
    }

    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    fn take(&mut self, grants: Vec<Grant>) {
        for grant in grants {
            let gone = self.let_go.get(&grant.duty).copied().unwrap_or(0);
            if grant.token <= gone {
                continue;
            }
            match self.held.get_mut(&grant.duty) {
                Some(known) if known.token > grant.token => continue,
                Some(known) if known.token == grant.token => {
                    if grant.recalled && !known.recalled {
                        self.changes.push(Change::HandOver(grant.duty.clone(), grant.token));
                    }
                    // An older word does not unsay a recall.
                    let recalled = grant.recalled || known.recalled;
                    *known = Grant { recalled, ..grant };
                    continue;
                }
                _ => {}
            }
            self.changes.push(Change::Took(grant.clone()));
            if grant.recalled {
                self.changes.push(Change::HandOver(grant.duty.clone(), grant.token));
            }
            self.held.insert(grant.duty.clone(), grant);
        }
    }

    fn lose_all(&mut self) {
        let lost = std::mem::take(&mut self.held);
        self.changes.extend(lost.into_values().map(|grant| Change::Lost(grant.duty, grant.token)));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn grant(duty: &str, token: Token) -> Grant {
        Grant {
            duty: duty.into(),
            token,
            recalled: false,
            checkpoint: Vec::new(),
            last_run: 0,
            unended: false,
            wanted: false,
            schedule: None,
        }
    }

    fn kept(session: SessionId, held: &[(&str, Token)]) -> Kept {
        let held = held.iter().map(|(duty, token)| grant(duty, *token)).collect();
        Kept { session, terms: Terms { lease: 1_000, attempts: 3 }, held }
    }

    #[test]
    fn the_deadline_counts_from_before_it_was_asked_less_the_drift() {
        let mut tenure = Tenure::default();
        tenure.asked(1, 100);
        tenure.answered(kept(1, &[("d", 1)]), 100, 900);
        assert_eq!((tenure.owns("d", 1_089), tenure.owns("d", 1_090)), (Some(1), None));
        tenure.expire(1_090);
        assert!(tenure.changes().contains(&Change::Lost("d".into(), 1)));
    }

    #[test]
    fn an_answer_later_than_the_lease_is_worth_nothing() {
        let mut tenure = Tenure::default();
        tenure.answered(kept(1, &[("d", 1)]), 100, 1_200);
        assert_eq!((tenure.owns("d", 1_200), tenure.changes()), (None, vec![]));
    }

    #[test]
    fn a_grant_that_is_heard_again_after_the_release_is_not_taken_up() {
        let mut tenure = Tenure::default();
        tenure.answered(kept(1, &[("d", 4)]), 0, 1);
        assert_eq!(tenure.let_go("d"), Some(4));
        tenure.told(kept(1, &[("d", 4)]), 2);
        tenure.answered(kept(1, &[("d", 4), ("e", 2)]), 0, 3);
        assert_eq!((tenure.owns("d", 4), tenure.owns("e", 4)), (None, Some(2)));
        // Given anew, under another token, it is.
        tenure.told(kept(1, &[("d", 5)]), 5);
        assert_eq!(tenure.owns("d", 6), Some(5));
    }

    #[test]
    fn words_of_another_session_neither_give_nor_keep() {
        let mut tenure = Tenure::default();
        tenure.answered(kept(2, &[("d", 7)]), 0, 1);
        tenure.told(kept(1, &[("e", 3)]), 2);
        tenure.answered(kept(1, &[("e", 3)]), 1_500, 1_501);
        assert_eq!((tenure.owns("e", 3), tenure.until()), (None, 990));
        // A later session ends what the former owned, whatever it still had left.
        tenure.answered(kept(3, &[]), 3, 4);
        assert_eq!(tenure.owns("d", 5), None);
        assert!(tenure.changes().contains(&Change::Lost("d".into(), 7)));
    }

    #[test]
    fn what_is_told_without_asking_makes_nothing_longer() {
        let mut tenure = Tenure::default();
        tenure.answered(kept(1, &[]), 0, 1);
        tenure.told(kept(1, &[("d", 1)]), 900);
        assert_eq!((tenure.owns("d", 989), tenure.owns("d", 990)), (Some(1), None));
    }

    #[test]
    fn a_recall_is_told_once_and_not_unsaid_by_an_older_word() {
        let mut tenure = Tenure::default();
        tenure.answered(kept(1, &[("d", 1)]), 0, 1);
        let mut recalled = kept(1, &[("d", 1)]);
        recalled.held[0].recalled = true;
        tenure.told(recalled.clone(), 2);
        tenure.told(recalled, 3);
        tenure.told(kept(1, &[("d", 1)]), 4);
        let overs = tenure.changes().into_iter().filter(|c| matches!(c, Change::HandOver(..))).count();
        assert_eq!((overs, tenure.grant("d").map(|g| g.recalled)), (1, Some(true)));
    }
}
