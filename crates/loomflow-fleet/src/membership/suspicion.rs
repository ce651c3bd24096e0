//! Ends suspicions whose timer was lost, by declaring the suspect down.
//!
//! The member that suspects another one sets a timer, and declares the suspect down when the timer expires
//! without a refutation. The timer is lost if that member shuts down, or is itself declared down: the library
//! drops all timers when a member renews its identity. A suspect that did not receive the suspicion would
//! then remain suspect forever, so every member also measures how long each suspicion lasts. A suspect that
//! is wrongly declared down renews its identity and rejoins after one packet.

use std::collections::BTreeMap;

use foca::{Incarnation, Member, State as SwimState};

use super::failure_detection::SUSPECT_TO_DOWN_MILLIS;
use crate::member::{MemberIdentity, ServerName};
use crate::time::IntegerMillis;

/// A suspicion that has lasted this long must have lost its timer, ms: twice the timer's duration.
const SUSPICION_LIMIT_MILLIS: IntegerMillis = 2 * SUSPECT_TO_DOWN_MILLIS;

struct Suspicion {
    identity: MemberIdentity,
    /// The member's incarnation in the membership protocol, which rises when it refutes a suspicion.
    swim_incarnation: Incarnation,
    since: IntegerMillis,
}

impl Suspicion {
    fn is_of(&self, member: &Member<MemberIdentity>) -> bool {
        self.identity == *member.id() && self.swim_incarnation == member.incarnation()
    }
}

/// The current suspects and the start of each suspicion; at most one entry for each member.
#[derive(Default)]
pub(super) struct Suspicions {
    by_name: BTreeMap<ServerName, Suspicion>,
}

impl Suspicions {
    /// Updates the suspicions from the states of all members. Returns the suspects to declare down: those
    /// whose suspicion has lasted [`SUSPICION_LIMIT_MILLIS`].
    pub(super) fn update<'a>(
        &mut self,
        members: impl Iterator<Item = &'a Member<MemberIdentity>>,
        now: IntegerMillis,
    ) -> Vec<Member<MemberIdentity>> {
        let mut previous = std::mem::take(&mut self.by_name);
        let mut declared_down = Vec::new();
        for member in members.filter(|member| member.state() == SwimState::Suspect) {
            let known = previous.remove(&member.id().name).filter(|suspicion| suspicion.is_of(member));
            let since = known.map_or(now, |suspicion| suspicion.since);
            if now >= since + SUSPICION_LIMIT_MILLIS {
                declared_down.push(Member::new(member.id().clone(), member.incarnation(), SwimState::Down));
                continue;
            }
            let suspicion =
                Suspicion { identity: member.id().clone(), swim_incarnation: member.incarnation(), since };
            self.by_name.insert(member.id().name.clone(), suspicion);
        }
        declared_down
    }
}
