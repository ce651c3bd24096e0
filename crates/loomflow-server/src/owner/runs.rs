//! Runs: what the engine tells, and what is said to it again.

use loomflow::choice::Choice;
use loomflow::interface::{Effect, Event, Outcome, RequestId};
use loomflow_protocol::engine::{Command, End, Notice};

use super::Owner;
use crate::call::Ended;
use crate::front::seam::{Answer, Failure};
use crate::keys::Over;
use crate::log;
use crate::mailbox::LinkNumber;
use crate::run::{self, Fate, Pending, Sent};
use crate::table::Work;

impl Owner {
    pub(super) fn notice(&mut self, notice: Notice) {
        match notice {
            Notice::Hello { starting, age } => {
                // One that is made now would know nothing of the notice to leave.
                if self.choice.is_none() && self.killed_at.is_none() {
                    let settings = run::warmed(&self.site.settings, starting, age);
                    self.warm_at = self.now.ms + if settings.cold { settings.cold_span } else { 0.0 };
                    self.choice = Some(Choice::new(settings, self.config.seed, self.now.ms));
                    self.touched = true;
                    self.fronts.open();
                }
                self.engine.attached(self.now.ms);
            }
            Notice::Stats { tag, values } => {
                if self.engine.stats(&tag, values, self.now.ms) {
                    self.say_again(true);
                }
            }
            Notice::Tested { tag, fine } => {
                if let Some(test) = tag.parse().ok().and_then(|tag: u64| self.tests.remove(&tag)) {
                    self.checked(&test, fine);
                }
            }
            Notice::Need { id, body, .. } => {
                let Some(id) = self.table.find(id) else { return };
                let Some(entry) = self.table.get(id) else { return };
                (entry.pending, entry.work, entry.call_body) = (None, Work::AtCall, body);
                entry.body = Vec::new();
                if entry.said_twice.take().is_some_and(|fence| !self.engine.has_read(fence)) {
                    return self.second_need(id);
                }
                self.events.push_back(Event::NeedsCall(id));
            }
            Notice::Done { id, end, took, result, .. } => {
                if let Some(id) = self.table.find(id) {
                    self.run_ended(id, end, took, &result);
                }
            }
            Notice::No { command, id } => {
                log!(part = "engine", command, "a command was not carried out");
                let id = id.and_then(|id| self.table.find(id)).filter(|_| command == "RUN");
                // Of one that has begun it can be no word: that a repeat may run would let an effect come twice.
                if let Some(id) =
                    id.filter(|id| self.table.get(*id).is_some_and(|entry| entry.is_asked_to_run()))
                {
                    self.run_ended(id, End::Late, 0.0, &[]);
                }
            }
            Notice::Note { .. } => {}
        }
    }

    /// What was said on a link that is over may have arrived or not.
    pub(super) fn link_over(&mut self, link: LinkNumber, written: u64) {
        let now = self.now.ms;
        for (_, entry) in self.table.iter_mut() {
            if let Some(pending) = &mut entry.pending {
                pending.fate = pending.after(link, written, now);
            }
        }
    }

    fn run_ended(&mut self, id: RequestId, end: End, took: f64, result: &[u8]) {
        self.ledger.give_up(id, self.now.ms);
        let outcome = match end {
            End::Fine => Outcome::Ok,
            End::Fault => Outcome::Error,
            End::BrokenOff => Outcome::Cancelled,
            End::Late => Outcome::Moot,
        };
        let Some(entry) = self.table.get(id) else { return };
        // Over: the answer needs no end to it.
        (entry.work, entry.pending) = (Work::Running, None);
        self.answer(
            id,
            match end {
                End::Fine => Answer::Served(result),
                End::Late => Answer::Failed(Failure::NeverRan),
                End::Fault | End::BrokenOff => Answer::Failed(Failure::MayHaveRun),
            },
        );
        self.events.push_back(Event::RunEnded { id, outcome, took });
        let over = match end {
            End::Fine => Over::Served(result),
            End::Late => Over::NeverRan,
            End::Fault | End::BrokenOff => Over::Failed,
        };
        self.remove(id, over);
    }

    /// A new link is ready, and all notices from before it are read. What cannot have arrived is said now. What
    /// may have: a run is asked for again, whatever its effect and however long ago it was said, for one that runs or is
    /// over is not begun twice.
    /// A reply is said again only where no effect hangs on it, and after a replay that is known to be whole: what
    /// came of the first would have been read by then. A question just before it tells whether the run has gone on
    /// to another call meanwhile, which would get that reply (`second_need`). Where the answer has been given
    /// meanwhile, no further word of the run is waited for.
    pub(super) fn say_again(&mut self, whole: bool) {
        let (engine, classes, now) = (&mut self.engine, &self.site.classes, self.now.ms);
        let mut over = Vec::new();
        for (id, entry) in self.table.iter_mut() {
            let Some(pending) = &mut entry.pending else { continue };
            match (pending.fate, &pending.what) {
                (Fate::Under(..), _) => continue,
                // A pause of the machine may have passed between the command and the word of the break, which makes that
                // look later than it was.
                (Fate::Arrived, Sent::Run) if !entry.answered => {}
                (Fate::Arrived, _) => {
                    (entry.pending, entry.body) = (None, Vec::new());
                    continue;
                }
                _ if entry.answered => {
                    over.push(id);
                    continue;
                }
                (Fate::Unsent | Fate::Unknown, Sent::Run) => {}
                // Its first copy may have arrived, though a second one that was to follow it has not: this is another second.
                (Fate::Unsent, _) if entry.said_twice.is_none() => {}
                (Fate::Unsent | Fate::Unknown, _) if whole && entry.effect == Effect::Safe => {
                    entry.said_twice = Some(engine.fence());
                }
                (Fate::Unsent | Fate::Unknown, _) => continue,
            }
            let id = entry.try_id;
            pending.said_at = now;
            pending.fate = match &pending.what {
                Sent::Run => engine.say(Command::Run { id, class: &classes[entry.class], body: &entry.body }),
                Sent::Feed(reply) => engine.say(Command::Feed { id, reply }),
                Sent::Skip => engine.say(Command::Skip { id }),
            };
        }
        for id in over {
            self.events.push_back(Event::RunEnded { id, outcome: Outcome::Cancelled, took: 0.0 });
            self.remove(id, Over::Failed);
        }
    }

    /// A run is at its next call, and whether that has got the reply that was said again is not known: it fails, for
    /// its result might be wrong.
    fn second_need(&mut self, id: RequestId) {
        log!("a reply that was said again may have met another call: its request fails");
        self.events.push_back(Event::CallerGone(id));
        self.answer(id, Answer::Failed(Failure::MayHaveRun));
    }

    pub(super) fn call_ended(&mut self, ended: Ended) {
        let Ended { id, outcome, took, reply } = ended;
        if let Some(entry) = self.table.get(id).filter(|_| outcome == Outcome::Ok) {
            let fate = self.engine.say(Command::Feed { id: entry.try_id, reply: &reply });
            entry.pending = Some(Pending { what: Sent::Feed(reply), fate, said_at: self.now.ms });
            entry.work = Work::Running;
        }
        self.events.push_back(Event::CallEnded { id, outcome, took });
    }
}
