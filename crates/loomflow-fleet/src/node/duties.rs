//! What a member does about duties: it keeps its session, takes up what it is given, hands over what it is to let go of, and
//! carries the duties that are there from the start.

use rand::RngExt;

use super::{Effect, Node};
use crate::duty::fence::Fence;
use crate::duty::summary::{self, Summary};
use crate::duty::tenure::{Change, Tenure};
use crate::duty::{self, Command, Declared, DutyName, Holder, Kept, Note, Terms, Token};
use crate::member::{Ms, Name, Phase, RequestId};
use crate::order::campaign::{self, Step};
use crate::order::{Answer, Ask, By, Told};
use crate::record::CAMPAIGN;
use crate::wire::Body;

/// How often whoever carries campaigns looks at them, ms.
const CAMPAIGN_LOOK: Ms = 1_000;
/// The duty that sums the fleet up.
pub const SUMMARY: &str = "summary";

/// What a member is told of duties at its start; the same on all members.
#[derive(Clone, Debug, PartialEq)]
pub struct Setup {
    pub terms: Terms,
    /// The operators' own.
    pub declared: Vec<Declared>,
    /// How often the fleet is summed up, ms.
    pub summary_every: Ms,
}

impl Setup {
    /// All duties there are: the operators' and those that are there from the start.
    pub(super) fn all(&self) -> Vec<Declared> {
        self.declared.iter().cloned().chain([SUMMARY, CAMPAIGN].map(Declared::plain)).collect()
    }
}

#[derive(Default)]
pub(super) struct Duties {
    pub tenure: Tenure,
    /// For what owners tell members.
    fence: Fence,
    /// The last summary, whose it is, and when it was told.
    told: Option<(Ms, Name, Token, Summary)>,
    /// When the next one is due, and the question for it that is under way.
    sum_at: Ms,
    sum_asked: Option<(RequestId, Token)>,
    /// The same of campaigns.
    campaign_at: Ms,
    campaign_asked: Option<(RequestId, Token)>,
    /// The word that the session is over: under way, and said.
    ending: Option<RequestId>,
    ended: bool,
}

impl Duties {
    pub fn next_wake(&self) -> Ms {
        let sums = self.tenure.grant(SUMMARY).is_some();
        let sum_at = if sums { self.sum_at } else { Ms::MAX };
        let carries = self.tenure.grant(CAMPAIGN).is_some();
        let campaign_at = if carries { self.campaign_at } else { Ms::MAX };
        if self.ended { Ms::MAX } else { self.tenure.next_wake().min(sum_at).min(campaign_at) }
    }

    /// Whether nothing is owned that has to be handed over, and that is said.
    pub fn is_over(&self) -> bool {
        self.ended
    }
}

impl Node {
    /// What this member owns of a duty at this moment; none where it is not its owner, or not surely.
    pub fn owns(&self, duty: &str, now: Ms) -> Option<Token> {
        self.setup.duties.as_ref()?;
        self.duties.tenure.owns(duty, now)
    }

    /// All that it owns at this moment, with tokens.
    pub fn owned(&self, now: Ms) -> Vec<(DutyName, Token)> {
        let held = self.duties.tenure.held();
        held.filter_map(|grant| Some((grant.duty.clone(), self.owns(&grant.duty, now)?))).collect()
    }

    /// What is known of a duty that it owns.
    pub fn grant(&self, duty: &str) -> Option<&duty::Grant> {
        self.duties.tenure.grant(duty)
    }

    /// The terms that the operators set, as this member has them.
    pub fn terms(&self) -> Terms {
        self.setup.duties.as_ref().map_or_else(Terms::default, |setup| setup.terms)
    }

    /// Until when, by its own clock, what it owns is its own.
    pub fn owned_until(&self) -> Ms {
        self.duties.tenure.until()
    }

    /// The server has finished with a duty, or left it where the next owner can go on.
    pub fn release(&mut self, duty: &str, now: Ms) {
        if let Some(token) = self.duties.tenure.let_go(duty) {
            let command = Command::Release { duty: duty.to_owned(), token, to: None };
            self.say_duty(command, now);
        }
        self.end_session(now);
        self.settle(now);
    }

    /// Writes something of a duty into the fleet's record. The answer comes as an effect.
    pub fn write(&mut self, duty: &str, token: Token, note: Note, now: Ms) -> RequestId {
        let id = self.say_duty(Command::Write { duty: duty.to_owned(), token, note }, now);
        self.settle(now);
        id
    }

    fn say_duty(&mut self, command: Command, now: Ms) -> RequestId {
        let id = self.rng.random();
        let (name, incarnation) = (self.me().name.clone(), self.me().incarnation);
        let command = crate::order::Command::Duty(command);
        self.submit_as(id, Ask::Do { by: By::Server { name, incarnation }, command }, now);
        id
    }

    /// Keeps the session, sums up, and ends what is over by time. What came of it is an effect.
    pub(super) fn see_to_duties(&mut self, now: Ms) {
        let Some(setup) = &self.setup.duties else { return };
        if self.duties.ended {
            return;
        }
        let every = setup.summary_every;
        self.duties.tenure.expire(now);
        self.end_session(now);
        if self.duties.ending.is_none() && self.duties.tenure.is_due(now) {
            let me = self.me();
            let holder = Holder { name: me.name.clone(), incarnation: me.incarnation };
            let id = self.rng.random();
            if let Some(before) = self.duties.tenure.asked(id, now) {
                self.forget(before);
            }
            let by = By::Server { name: holder.name.clone(), incarnation: holder.incarnation };
            let command = crate::order::Command::Duty(Command::KeepAlive(vec![holder]));
            self.submit_as(id, Ask::Do { by, command }, now);
        }
        if let Some(token) = self.owns(SUMMARY, now)
            && now >= self.duties.sum_at
        {
            self.duties.sum_at = now + every;
            let id = self.rng.random();
            self.duties.sum_asked = Some((id, token));
            self.submit_as(id, Ask::Status, now);
        }
        if let Some(token) = self.owns(CAMPAIGN, now)
            && now >= self.duties.campaign_at
        {
            self.duties.campaign_at = now + CAMPAIGN_LOOK;
            let id = self.rng.random();
            self.duties.campaign_asked = Some((id, token));
            self.submit_as(id, Ask::Campaigns, now);
        }
        self.heed_changes(now);
    }

    /// What is to be done about each campaign: said with the token, so that an owner that is no longer one changes nothing.
    fn carry_campaigns(&mut self, token: Token, views: &[campaign::View], now: Ms) {
        for view in views {
            let name = view.name.clone();
            let command = match campaign::step(view) {
                None => continue,
                Some(Step::Next { from, base }) => campaign::Command::Next { name, from, base, token },
                Some(Step::Halt { from, reason }) => {
                    self.note(format!("campaign {name} halts: {reason}"));
                    campaign::Command::Halt { name, from, reason, token }
                }
            };
            let (server, incarnation) = (self.me().name.clone(), self.me().incarnation);
            let command = crate::order::Command::Campaign(command);
            self.submit(Ask::Do { by: By::Server { name: server, incarnation }, command }, now);
        }
    }

    fn heed_changes(&mut self, now: Ms) {
        // What comes while this server leaves is handed over at once.
        if self.phase == Phase::Leaving {
            self.duties.tenure.recall_all();
        }
        for change in self.duties.tenure.changes() {
            match &change {
                Change::Took(grant) => self.note(format!("owns {} by token {}", grant.duty, grant.token)),
                Change::Lost(duty, token) => self.note(format!("no longer owns {duty}, token {token}")),
                // Nothing of these is worth finishing: the record has how far they are.
                Change::HandOver(duty, _) if duty == SUMMARY || duty == CAMPAIGN => {
                    let duty = duty.clone();
                    self.release(&duty, now);
                    continue;
                }
                Change::HandOver(..) => {}
            }
            self.effects.push(Effect::Duty(change));
        }
    }

    /// The server leaves: all that it owns is to be handed over while it drains.
    pub(super) fn hand_over_all(&mut self, now: Ms) {
        self.duties.tenure.recall_all();
        self.heed_changes(now);
    }

    /// The server has drained: its session ends as soon as it owns nothing any more. What it still owns when the driver waits
    /// no longer is over by time alone.
    pub(super) fn end_session(&mut self, now: Ms) {
        if !self.own.drained || self.duties.ended || self.duties.ending.is_some() {
            return;
        }
        if self.setup.duties.is_none() {
            self.duties.ended = true;
            return;
        }
        if self.duties.tenure.held().next().is_some() {
            return;
        }
        self.duties.tenure.end();
        let me = self.me();
        let holder = Holder { name: me.name.clone(), incarnation: me.incarnation };
        self.duties.ending = Some(self.say_duty(Command::End(holder), now));
    }

    /// An answer to something that this member asked on duties; true where it was one.
    pub(super) fn duty_answered(&mut self, id: RequestId, answer: &Answer, asked_at: Ms, now: Ms) -> bool {
        if self.duties.ending == Some(id) {
            self.duties.ended = true;
            return true;
        }
        if let Some((_, token)) = self.duties.sum_asked.filter(|(asked, _)| *asked == id) {
            self.duties.sum_asked = None;
            if let Answer::Status(status) = answer
                && self.owns(SUMMARY, now) == Some(token)
            {
                let rows = status.members.iter().map(|member| summary::Row {
                    name: &member.name,
                    zone: &member.zone,
                    standing: member.standing,
                    digest: member.digest,
                });
                self.tell_summary(token, summary::fold(rows), now);
            }
            return true;
        }
        if let Some((_, token)) = self.duties.campaign_asked.filter(|(asked, _)| *asked == id) {
            self.duties.campaign_asked = None;
            if let Answer::Campaigns(views) = answer
                && self.owns(CAMPAIGN, now) == Some(token)
            {
                self.carry_campaigns(token, views, now);
            }
            return true;
        }
        if !self.duties.tenure.is_own(id) {
            return false;
        }
        if let Answer::Duty(duty::Answer::Kept(kept)) = answer {
            self.duties.tenure.answered(kept.clone(), asked_at, now);
        }
        self.heed_changes(now);
        true
    }

    /// The leader's word on what this member owns.
    pub(super) fn duties_told(&mut self, kept: Kept, now: Ms) {
        if self.setup.duties.is_some() && !self.duties.ended {
            self.duties.tenure.told(kept, now);
            self.heed_changes(now);
        }
    }

    fn tell_summary(&mut self, token: Token, summary: Summary, now: Ms) {
        let alive = self.membership.known().values().filter(|one| one.swim != foca::State::Down);
        let names: Vec<Name> = alive.map(|one| one.me.name.clone()).collect();
        for name in names {
            self.send(&name, Body::Summary { token, summary: summary.clone() });
        }
        self.summary_told(self.me().name.clone(), token, summary, now);
    }

    /// The owner of the summary tells it; one who no longer is is refused by its token.
    pub(super) fn summary_told(&mut self, by: Name, token: Token, summary: Summary, now: Ms) {
        // The fence is kept where the summary is: in this member's memory.
        match self.duties.fence.admit(SUMMARY, token, |_| Ok::<(), ()>(())) {
            Ok(()) => self.duties.told = Some((now, by, token, summary)),
            Err(why) => {
                if let duty::fence::Shut::Stale { token, seen } = why {
                    self.note(format!("a summary by {by} was refused: token {token}, {seen} was here"));
                }
            }
        }
    }

    /// The last summary, as it is told to operators.
    pub(super) fn told(&self, now: Ms) -> Option<Told> {
        let (at, by, token, summary) = self.duties.told.clone()?;
        Some(Told { by, token, age: now.saturating_sub(at), summary })
    }

    /// Orders of old owners that this member refused.
    pub(super) fn refused(&self) -> u64 {
        self.duties.fence.refused()
    }
}
