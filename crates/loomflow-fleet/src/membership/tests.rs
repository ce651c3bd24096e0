use super::*;
use crate::member::{MemberState, Phase, Zone};

/// Long enough for two members to know each other, ms.
const JOINED_AT: WholeMillis = 10_000;
const STEP_MILLIS: WholeMillis = 10;

/// Two voters that exchange their packets while `is_connected`.
struct Pair {
    members: [Membership; 2],
    now: WholeMillis,
    is_connected: bool,
    /// The one whose packets are lost although they are connected.
    unheard: Option<usize>,
}

impl Pair {
    fn joined() -> Pair {
        let identity = |name: &str, port: u16| {
            MemberIdentity::new(name.into(), Zone::new(), ([127, 0, 0, 1], port).into(), 1)
        };
        let identities = [identity("a", 1), identity("b", 2)];
        let member = |n: usize| Membership::new(identities[n].clone(), identities.to_vec(), n as u64, 0);
        let mut pair = Pair { members: [member(0), member(1)], now: 0, is_connected: true, unheard: None };
        while pair.now < JOINED_AT {
            pair.step();
        }
        pair.report(Phase::Serving);
        pair
    }

    fn step(&mut self) {
        self.now += STEP_MILLIS;
        for n in 0..2 {
            self.members[n].tick(self.now);
            for (_, packet) in self.members[n].take_packets() {
                if self.is_connected && self.unheard != Some(n) {
                    self.members[1 - n].handle_packet(&packet, self.now);
                }
            }
        }
    }

    /// The first member receives a load report of the second.
    fn report(&mut self, phase: Phase) {
        let (identity, report) =
            (self.members[1].identity().clone(), LoadReport { phase, ..LoadReport::default() });
        self.members[0].handle_load_report(&identity, report, None, self.now);
    }

    /// What the first member knows of the second.
    fn known(&self) -> Option<&KnownMember> {
        self.members[0].get("b")
    }

    fn state(&self) -> Option<MemberState> {
        self.known().map(KnownMember::state)
    }

    /// The time until the second member has this state, ms.
    fn millis_until(&mut self, state: MemberState) -> WholeMillis {
        let start = self.now;
        while self.state() != Some(state) {
            assert!(self.now < start + 60_000, "still {:?}", self.state());
            self.step();
        }
        self.now - start
    }
}

#[test]
fn a_silent_member_is_suspect_within_three_seconds_and_down_four_seconds_later() {
    let mut pair = Pair::joined();
    assert_eq!(pair.state(), Some(MemberState::Serving));
    pair.is_connected = false;
    let until_suspect = pair.millis_until(MemberState::Suspect);
    assert!((500..=3_000).contains(&until_suspect), "{until_suspect} ms");
    let until_down = pair.millis_until(MemberState::Down);
    assert!((3_500..=4_500).contains(&until_down), "{until_down} ms");
    pair.is_connected = true;
    let until_back = pair.millis_until(MemberState::Serving);
    assert!(until_back <= 5_000, "{until_back} ms");
}

/// A member that is told it is down renews its identity, and the library drops its timers then: the suspicions that it had
/// must end all the same.
#[test]
fn both_members_are_serving_again_after_a_one_way_partition_of_any_length() {
    for unheard in [0, 1] {
        for partition_millis in (500..=12_000).step_by(250) {
            let mut pair = Pair::joined();
            pair.unheard = Some(unheard);
            let healed_at = pair.now + partition_millis;
            while pair.now < healed_at {
                pair.step();
            }
            pair.unheard = None;
            let until_settled = pair.now + 10_000;
            while pair.now < until_settled {
                pair.step();
            }
            let states =
                [pair.members[0].get("b"), pair.members[1].get("a")].map(|known| known.unwrap().swim_state);
            assert_eq!(states, [SwimState::Alive; 2], "{unheard} unheard for {partition_millis} ms");
        }
    }
}

#[test]
fn a_member_that_drained_is_gone_and_is_forgotten_after_an_hour() {
    let mut pair = Pair::joined();
    pair.report(Phase::Draining);
    assert_eq!(pair.state(), Some(MemberState::Draining));
    pair.is_connected = false;
    pair.millis_until(MemberState::Left);
    let since = pair.known().unwrap().since;
    let hour = 3_600_000;
    for (at, is_known) in [(since + hour - 1, true), (since + hour + 1_000, false)] {
        pair.members[0].tick(at);
        assert_eq!(pair.known().is_some(), is_known, "at {at}");
    }
}

#[test]
fn a_load_report_is_relied_on_until_three_were_missed_and_the_member_is_not_down() {
    let mut pair = Pair::joined();
    let known = pair.known().unwrap().clone();
    let is_relied_on = |known: &KnownMember, age| known.recent_report(JOINED_AT + age).is_some();
    assert_eq!([0, 3_500, 3_501].map(|age| is_relied_on(&known, age)), [true, true, false]);
    pair.is_connected = false;
    pair.millis_until(MemberState::Down);
    pair.report(Phase::Serving);
    assert_eq!(pair.known().unwrap().recent_report(pair.now), None);
}
