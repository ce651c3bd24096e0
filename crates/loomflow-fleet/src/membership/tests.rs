use super::*;
use crate::member::{MemberState, Phase, Zone};
use foca::{Header, Message, ProbeNumber};

/// Time by which the members of a new cluster know each other, ms.
const JOINED_AT: IntegerMillis = 10_000;
const STEP_MILLIS: IntegerMillis = 10;

/// A sent packet, described by its header.
struct SentPacket {
    at: IntegerMillis,
    from: usize,
    to: ServerName,
    message: Message<MemberIdentity>,
}

/// Members "a", "b" and "c" that exchange packets while `is_connected`.
struct Cluster {
    members: Vec<Membership>,
    now: IntegerMillis,
    is_connected: bool,
    /// The member whose packets are all lost, while it still receives those of the others.
    muted: Option<usize>,
    sent: Vec<SentPacket>,
}

impl Cluster {
    /// Two voters that know each other.
    fn pair() -> Cluster {
        Cluster::joined(2, 2)
    }

    /// `count` members that know each other, the first `voters` of which are voters.
    fn joined(count: usize, voters: usize) -> Cluster {
        let identity = |name: &str, port: u16| {
            MemberIdentity::new(name.into(), Zone::new(), ([127, 0, 0, 1], port).into(), 1)
        };
        let identities = &[identity("a", 1), identity("b", 2), identity("c", 3)][..count];
        let member =
            |n: usize| Membership::new(identities[n].clone(), identities[..voters].to_vec(), n as u64, 0);
        let members = (0..count).map(member).collect();
        let mut cluster = Cluster { members, now: 0, is_connected: true, muted: None, sent: Vec::new() };
        while cluster.now < JOINED_AT {
            cluster.step();
        }
        cluster.report(Phase::Serving);
        cluster
    }

    fn step(&mut self) {
        self.now += STEP_MILLIS;
        for from in 0..self.members.len() {
            self.members[from].tick(self.now);
            for (to, packet) in self.members[from].take_packets() {
                let (header, _) = postcard::take_from_bytes::<Header<MemberIdentity>>(&packet).unwrap();
                let message = header.message;
                self.sent.push(SentPacket { at: self.now, from, to: to.name.clone(), message });
                let is_receiver = |member: &&mut Membership| member.identity().name == to.name;
                let receiver = self.members.iter_mut().find(is_receiver).unwrap();
                if self.is_connected && self.muted != Some(from) {
                    receiver.handle_packet(&packet, self.now);
                }
            }
        }
    }

    fn run_for(&mut self, duration: IntegerMillis) {
        let until = self.now + duration;
        while self.now < until {
            self.step();
        }
    }

    /// The first member receives a load report of the second.
    fn report(&mut self, phase: Phase) {
        let (identity, report) =
            (self.members[1].identity().clone(), LoadReport { phase, ..LoadReport::default() });
        self.members[0].handle_load_report(&identity, report, None, self.now);
    }

    /// The second member as known to the first.
    fn known(&self) -> Option<&KnownMember> {
        self.members[0].get("b")
    }

    fn state(&self) -> Option<MemberState> {
        self.known().map(KnownMember::state)
    }

    /// The time until the second member has this state, ms.
    fn millis_until(&mut self, state: MemberState) -> IntegerMillis {
        let start = self.now;
        while self.state() != Some(state) {
            assert!(self.now < start + 60_000, "the state is still {:?} after 60 s", self.state());
            self.step();
        }
        self.now - start
    }
}

#[test]
fn a_disconnected_member_is_suspect_within_3_s_and_down_4_s_later() {
    let mut pair = Cluster::pair();
    assert_eq!(pair.state(), Some(MemberState::Serving));
    pair.is_connected = false;
    let until_suspect = pair.millis_until(MemberState::Suspect);
    assert!((500..=3_000).contains(&until_suspect), "suspect after {until_suspect} ms");
    let until_down = pair.millis_until(MemberState::Down);
    assert!((3_500..=4_500).contains(&until_down), "down {until_down} ms later");
    pair.is_connected = true;
    let until_serving = pair.millis_until(MemberState::Serving);
    assert!(until_serving <= 5_000, "serving again after {until_serving} ms");
}

/// Guards against suspicions that never end: a member that was declared down renews its identity, and the
/// library then drops the timers of its suspicions of others.
#[test]
fn members_recover_from_one_way_partitions_of_any_length() {
    for muted in [0, 1] {
        for partition_millis in (500..=12_000).step_by(250) {
            let mut pair = Cluster::pair();
            pair.muted = Some(muted);
            pair.run_for(partition_millis);
            pair.muted = None;
            pair.run_for(10_000);
            let states =
                [pair.members[0].get("b"), pair.members[1].get("a")].map(|known| known.unwrap().swim_state);
            assert_eq!(states, [SwimState::Alive; 2], "member {muted} muted for {partition_millis} ms");
        }
    }
}

#[test]
fn a_member_that_drained_has_left_and_is_forgotten_after_an_hour() {
    let mut pair = Cluster::pair();
    pair.report(Phase::Draining);
    assert_eq!(pair.state(), Some(MemberState::Draining));
    pair.is_connected = false;
    pair.millis_until(MemberState::Left);
    let since = pair.known().unwrap().since;
    let hour = 3_600_000;
    for (at, is_known) in [(since + hour - 1, true), (since + hour + 1_000, false)] {
        pair.members[0].tick(at);
        assert_eq!(pair.known().is_some(), is_known, "{} ms after it was down", at - since);
    }
}

#[test]
fn a_load_report_is_recent_for_3500_ms_while_the_member_is_not_down() {
    let mut pair = Cluster::pair();
    let known = pair.known().unwrap().clone();
    let is_recent = |known: &KnownMember, age| known.recent_report(JOINED_AT + age).is_some();
    assert_eq!([0, 3_500, 3_501].map(|age| is_recent(&known, age)), [true, true, false]);
    pair.is_connected = false;
    pair.millis_until(MemberState::Down);
    pair.report(Phase::Serving);
    assert_eq!(pair.known().unwrap().recent_report(pair.now), None);
}

#[test]
fn a_failed_probe_is_repeated_through_another_member_after_500_ms() {
    let mut cluster = Cluster::joined(3, 3);
    cluster.muted = Some(1);
    cluster.run_for(5_000);
    let probed_at = |from: usize, target: &MemberIdentity, probe_number: ProbeNumber| {
        let is_probe = |packet: &&SentPacket| {
            packet.from == from && packet.to == target.name && packet.message == Message::Ping(probe_number)
        };
        cluster.sent.iter().find(is_probe).expect("a direct probe precedes the indirect one").at
    };
    let delay = |packet: &SentPacket| match &packet.message {
        Message::PingReq { target, probe_number } => {
            Some(packet.at - probed_at(packet.from, target, *probe_number))
        }
        _ => None,
    };
    let delays: Vec<IntegerMillis> = cluster.sent.iter().filter_map(delay).collect();
    assert!(!delays.is_empty(), "no probe was repeated through another member");
    assert!(delays.iter().all(|delay| *delay == 500), "delays of the indirect probes: {delays:?} ms");
}

#[test]
fn a_member_announces_itself_every_3_s_to_a_member_that_is_down() {
    // The third member is not a voter: voters that are down receive announcements more often, for joining.
    let mut cluster = Cluster::joined(3, 2);
    cluster.muted = Some(2);
    cluster.run_for(10_000);
    assert!(cluster.members[0].get("c").is_some_and(KnownMember::is_down));
    cluster.sent.clear();
    cluster.run_for(30_000);
    let is_announcement =
        |packet: &&SentPacket| packet.from == 0 && packet.to == "c" && packet.message == Message::Announce;
    let announced_at: Vec<IntegerMillis> =
        cluster.sent.iter().filter(is_announcement).map(|packet| packet.at).collect();
    assert_eq!(announced_at.len(), 10, "announced at {announced_at:?} ms");
    assert!(
        announced_at.windows(2).all(|pair| pair[1] - pair[0] == 3_000),
        "announced at {announced_at:?} ms"
    );
}

/// The states are read with the first packet or timer after the period; these occur at least every 200 ms.
#[test]
fn member_states_are_read_every_500_ms_by_voters_and_every_5_s_by_others() {
    let mut cluster = Cluster::joined(2, 1);
    for (member, period) in [(0, 500), (1, 5_000)] {
        let mut read_at = Vec::new();
        let until = cluster.now + 60_000;
        while cluster.now < until {
            let next_before = cluster.members[member].next_refresh_at;
            cluster.step();
            if cluster.members[member].next_refresh_at != next_before {
                read_at.push(cluster.now);
            }
        }
        let gaps: Vec<IntegerMillis> = read_at.windows(2).map(|pair| pair[1] - pair[0]).collect();
        assert!(gaps.len() > 5, "intervals of member {member}: {gaps:?} ms");
        assert!(
            gaps.iter().all(|gap| (period..=period + 200).contains(gap)),
            "intervals of member {member}: {gaps:?} ms"
        );
    }
}
