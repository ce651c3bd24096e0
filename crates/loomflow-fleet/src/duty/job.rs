//! The operators' jobs, decided without a process: when an owner begins a run and what it writes down ([`Runs`]), and when
//! the process that does it has to end ([`Ward`]).
//!
//! A run begins only when the record has its number: so no time is run twice. It is ended before its owner's lease can be
//! over, first by a word that it may heed, then by force. What still goes on after that, such as a process that left its
//! group, the fences of its receivers refuse.

use super::{DutyName, Grant, Note, Refusal, Terms, Token};
use crate::member::Ms;

/// A run that failed is tried again after this, ms.
const AGAIN: Ms = 1_000;
/// A job has so much of the lease left when it is told to end, and when it is ended by force: it is kept four times a
/// lease, so that neither comes while the fleet answers.
const TERM_LEFT: f64 = 0.3;
const KILL_LEFT: f64 = 0.1;

/// How a run's process ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Exit {
    Done,
    Failed(String),
    /// Its owner was to hand the duty over, or lost it: the run is the next owner's.
    GaveUp,
}

/// What the owner is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    Write(Note),
    /// Start the process of this run.
    Start(u64),
    Term,
    /// Nothing goes on any more: the duty may go to the next.
    Release,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Idle,
    /// Its beginning is on its way into the record.
    Asked(u64),
    Runs {
        run: u64,
        termed: bool,
    },
}

/// The runs of one duty under one token.
#[derive(Clone, Debug)]
pub struct Runs {
    pub duty: DutyName,
    pub token: Token,
    last: u64,
    unended: bool,
    /// The operator's wish was taken up, and the grant does not know yet.
    heeded: bool,
    again_at: Ms,
    state: State,
}

impl Runs {
    pub fn new(grant: &Grant) -> Runs {
        Runs {
            duty: grant.duty.clone(),
            token: grant.token,
            last: grant.last_run,
            unended: grant.unended,
            heeded: false,
            again_at: 0,
            state: State::Idle,
        }
    }

    pub fn is_running(&self) -> bool {
        matches!(self.state, State::Runs { .. })
    }

    /// Whether its process was told to end.
    pub fn is_ending(&self) -> bool {
        matches!(self.state, State::Runs { termed: true, .. })
    }

    /// What is to be done now. `grant`: what is owned, none where it is no longer. `wall`: Unix seconds.
    pub fn step(&mut self, grant: Option<&Grant>, now: Ms, wall: u64) -> Option<Act> {
        let grant = grant.filter(|grant| grant.token == self.token);
        let leaves = grant.is_none_or(|grant| grant.recalled);
        match &mut self.state {
            State::Runs { termed, .. } if leaves && !*termed => {
                *termed = true;
                Some(Act::Term)
            }
            State::Idle if leaves => grant.map(|_| Act::Release),
            State::Idle => {
                let grant = grant?;
                self.heeded &= grant.wanted;
                let run = self.due(grant, now, wall)?;
                self.state = State::Asked(run);
                Some(Act::Write(Note::Began(run)))
            }
            _ => None,
        }
    }

    fn due(&self, grant: &Grant, now: Ms, wall: u64) -> Option<u64> {
        if now < self.again_at {
            return None;
        }
        if self.unended {
            return Some(self.last);
        }
        let wanted = grant.wanted && !self.heeded;
        let scheduled = grant.schedule.as_ref().and_then(|schedule| schedule.due(self.last, wall));
        scheduled.or_else(|| wanted.then(|| wall.max(self.last + 1)))
    }

    /// What came of writing down that a run begins; none where nothing is known.
    pub fn written(
        &mut self,
        answer: Option<&Result<(), Refusal>>,
        grant: Option<&Grant>,
        now: Ms,
    ) -> Option<Act> {
        let State::Asked(run) = self.state else { return None };
        self.state = State::Idle;
        match answer {
            Some(Ok(())) => {
                (self.last, self.unended, self.heeded) = (run, true, true);
                let owned = grant.is_some_and(|grant| grant.token == self.token && !grant.recalled);
                if !owned {
                    return None;
                }
                self.state = State::Runs { run, termed: false };
                Some(Act::Start(run))
            }
            Some(Err(Refusal::Begun { run, .. })) => {
                (self.last, self.unended) = (*run, false);
                None
            }
            _ => {
                self.again_at = now + AGAIN;
                None
            }
        }
    }

    /// Its process has ended.
    pub fn ended(&mut self, exit: Exit, now: Ms) -> Option<Act> {
        let State::Runs { run, .. } = self.state else { return None };
        self.state = State::Idle;
        match exit {
            Exit::Done => {
                self.unended = false;
                Some(Act::Write(Note::Done(run)))
            }
            Exit::Failed(why) => {
                self.again_at = now + AGAIN;
                Some(Act::Write(Note::Failed(run, why)))
            }
            Exit::GaveUp => None,
        }
    }
}

/// Why a process was told to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// Its owner is to hand the duty over, or was told to end.
    HandOver,
    /// Its lease was about to be over.
    Lease,
    TooLong,
}

/// What is done to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Blow {
    Term,
    Kill,
}

/// Watches over one process of an owner.
#[derive(Clone, Debug)]
pub struct Ward {
    terms: Terms,
    started: Ms,
    longest: Ms,
    /// Until when its owner surely owns the duty.
    until: Ms,
    over: Option<(Ms, Why)>,
    killed: bool,
}

impl Ward {
    pub fn new(terms: Terms, until: Ms, longest: Ms, now: Ms) -> Ward {
        Ward { terms, started: now, longest, until, over: None, killed: false }
    }

    /// It is still owned, until then.
    pub fn owned(&mut self, until: Ms) {
        self.until = self.until.max(until);
    }

    /// Its owner wants it to end.
    pub fn hand_over(&mut self, now: Ms) {
        self.over.get_or_insert((now, Why::HandOver));
    }

    /// It is no longer owned, whatever time was left.
    pub fn lost(&mut self, now: Ms) {
        self.until = self.until.min(now);
        self.over.get_or_insert((now, Why::Lease));
    }

    /// Why it was told to end; none where it was not.
    pub fn why(&self) -> Option<Why> {
        self.over.map(|(_, why)| why)
    }

    /// What is to be done to it now: each blow once.
    pub fn step(&mut self, now: Ms) -> Option<Blow> {
        let lease = self.terms.lease as f64;
        let left = self.until.saturating_sub(now) as f64;
        let before = self.over;
        if left <= lease * TERM_LEFT {
            self.over.get_or_insert((now, Why::Lease));
        }
        if now.saturating_sub(self.started) >= self.longest {
            self.over.get_or_insert((now, Why::TooLong));
        }
        let (since, _) = self.over?;
        let grace = self.terms.lease / 2;
        if !self.killed && (left <= lease * KILL_LEFT || now.saturating_sub(since) >= grace) {
            self.killed = true;
            return Some(Blow::Kill);
        }
        (before.is_none() || since == now).then_some(Blow::Term).filter(|_| !self.killed)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::duty::schedule::{Missed, Schedule, When};

    fn grant(last_run: u64, unended: bool) -> Grant {
        Grant {
            duty: "d".into(),
            token: 3,
            recalled: false,
            checkpoint: Vec::new(),
            last_run,
            unended,
            wanted: false,
            schedule: Some(Schedule { when: When::Every(60), missed: Missed::Skip }),
        }
    }

    #[test]
    fn a_run_starts_when_the_record_has_its_number_and_never_twice() {
        let grant = grant(600, false);
        let mut runs = Runs::new(&grant);
        assert_eq!(runs.step(Some(&grant), 0, 630), None);
        assert_eq!(runs.step(Some(&grant), 0, 661), Some(Act::Write(Note::Began(660))));
        assert_eq!(runs.step(Some(&grant), 0, 662), None, "it is on its way");
        assert_eq!(runs.written(Some(&Ok(())), Some(&grant), 1), Some(Act::Start(660)));
        assert_eq!(runs.ended(Exit::Done, 2), Some(Act::Write(Note::Done(660))));
        assert_eq!(runs.step(Some(&grant), 3, 665), None);
        // Another owner had begun it: the record says so, and it is not started.
        assert_eq!(runs.step(Some(&grant), 3, 721), Some(Act::Write(Note::Began(720))));
        let begun = Err(Refusal::Begun { duty: "d".into(), run: 720 });
        assert_eq!(runs.written(Some(&begun), Some(&grant), 4), None);
        assert_eq!(runs.step(Some(&grant), 5, 722), None);
    }

    #[test]
    fn what_a_former_owner_left_unended_is_begun_again() {
        let grant = grant(600, true);
        let mut runs = Runs::new(&grant);
        assert_eq!(runs.step(Some(&grant), 0, 700), Some(Act::Write(Note::Began(600))));
    }

    #[test]
    fn handed_over_while_it_runs_it_is_told_to_end_and_released_after() {
        let mut grant = grant(600, true);
        let mut runs = Runs::new(&grant);
        runs.step(Some(&grant), 0, 700);
        runs.written(Some(&Ok(())), Some(&grant), 0);
        grant.recalled = true;
        assert_eq!(runs.step(Some(&grant), 1, 700), Some(Act::Term));
        assert_eq!(runs.step(Some(&grant), 2, 700), None);
        assert_eq!(
            runs.ended(Exit::GaveUp, 3),
            None,
            "neither done nor failed: the next owner begins it again"
        );
        assert_eq!(runs.step(Some(&grant), 4, 700), Some(Act::Release));
    }

    #[test]
    fn recalled_between_the_number_and_the_start_nothing_starts() {
        let mut grant = grant(600, true);
        let mut runs = Runs::new(&grant);
        runs.step(Some(&grant), 0, 700);
        grant.recalled = true;
        assert_eq!(runs.written(Some(&Ok(())), Some(&grant), 1), None);
        assert_eq!(runs.step(Some(&grant), 2, 700), Some(Act::Release));
        assert!(!runs.is_running());
    }

    #[test]
    fn an_operators_wish_is_run_once() {
        let mut grant = Grant { schedule: None, wanted: true, ..grant(600, false) };
        let mut runs = Runs::new(&grant);
        assert_eq!(runs.step(Some(&grant), 0, 700), Some(Act::Write(Note::Began(700))));
        runs.written(Some(&Ok(())), Some(&grant), 0);
        runs.ended(Exit::Done, 1);
        assert_eq!(runs.step(Some(&grant), 2, 701), None, "the grant does not know yet");
        grant.wanted = false;
        assert_eq!(runs.step(Some(&grant), 3, 702), None);
        grant.wanted = true;
        assert_eq!(runs.step(Some(&grant), 4, 702), Some(Act::Write(Note::Began(702))));
    }

    #[test]
    fn a_process_ends_before_its_lease_can_be_over() {
        let terms = Terms { lease: 1_000, attempts: 3 };
        let mut ward = Ward::new(terms, 990, 60_000, 0);
        assert_eq!(ward.step(600), None);
        ward.owned(1_400);
        assert_eq!(ward.step(1_000), None, "it was kept");
        assert_eq!(ward.step(1_100), Some(Blow::Term));
        assert_eq!(ward.step(1_110), None);
        assert_eq!(ward.step(1_300), Some(Blow::Kill));
        assert_eq!((ward.step(1_310), ward.why()), (None, Some(Why::Lease)));
    }

    #[test]
    fn one_that_takes_too_long_has_its_grace_and_one_that_is_lost_has_none() {
        let terms = Terms { lease: 1_000, attempts: 3 };
        let mut ward = Ward::new(terms, 100_000, 5_000, 0);
        assert_eq!((ward.step(4_999), ward.step(5_000)), (None, Some(Blow::Term)));
        assert_eq!((ward.step(5_499), ward.step(5_500)), (None, Some(Blow::Kill)));
        assert_eq!(ward.why(), Some(Why::TooLong));
        let mut ward = Ward::new(terms, 100_000, 60_000, 0);
        ward.lost(10);
        assert_eq!((ward.step(10), ward.step(11)), (Some(Blow::Kill), None));
        let mut ward = Ward::new(terms, 100_000, 60_000, 0);
        ward.hand_over(10);
        assert_eq!(
            (ward.step(10), ward.step(20), ward.step(510)),
            (Some(Blow::Term), None, Some(Blow::Kill))
        );
    }
}
