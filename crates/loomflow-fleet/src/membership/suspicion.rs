//! A suspicion that nothing ends: the suspect is declared down.
//!
//! The member that suspects another one sets a timer, and declares the suspect down unless it refutes the suspicion first. The
//! timer is lost where that member shuts down, and where it is itself declared down: the library drops all timers when a
//! member renews its identity. A suspect that never heard of the suspicion would then be suspect for good. So every member
//! also counts how long a suspicion lasts. A suspect that is declared down without cause renews its identity and is back
//! after one packet.

use std::collections::BTreeMap;

use foca::{Incarnation, Member, State as SwimState};

use super::failure_detection::SUSPECT_TO_DOWN_MILLIS;
use crate::member::{MemberIdentity, ServerName};
use crate::time::IntegerMillis;

/// A suspicion that lasts this long has lost its timer, ms: the timer ends after half of it.
const SUSPICION_LIMIT_MILLIS: IntegerMillis = 2 * SUSPECT_TO_DOWN_MILLIS;

struct Suspicion {
    identity: MemberIdentity,
    /// By the membership protocol: rises when the member refutes a suspicion.
    swim_incarnation: Incarnation,
    since: IntegerMillis,
}

impl Suspicion {
    fn is_of(&self, member: &Member<MemberIdentity>) -> bool {
        self.identity == *member.id() && self.swim_incarnation == member.incarnation()
    }
}

/// The members that are suspect now, and since when. At most one entry for each member.
#[derive(Default)]
pub(super) struct Suspicions {
    by_name: BTreeMap<ServerName, Suspicion>,
}

impl Suspicions {
    /// Updates the suspicions by the state of all members; returns the suspects whose suspicion has lasted too long, to be
    /// declared down.
    pub(super) fn update<'a>(
        &mut self,
        members: impl Iterator<Item = &'a Member<MemberIdentity>>,
        now: IntegerMillis,
    ) -> Vec<Member<MemberIdentity>> {
        let mut former = std::mem::take(&mut self.by_name);
        let mut declared_down = Vec::new();
        for member in members.filter(|member| member.state() == SwimState::Suspect) {
            let known = former.remove(&member.id().name).filter(|suspicion| suspicion.is_of(member));
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
