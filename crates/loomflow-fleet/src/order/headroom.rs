//! Whether those who stay bear what the fleet carries: judged from digests, by the figures that the decision modules
//! themselves go by.
//!
//! What a server **carries** is its runs in hand, times how far the hold time is over its aim where it is: what is held
//! longer than aimed at waits for runs that cannot begin. What it **bears** is its running limit, which rises only on runs
//! that ended well and is cut when they do not, times the share that it asks for: a server that wants half of its usual
//! traffic bears half. A fleet bears a departure when those who stay carry at most [`FILL`] of what they bear, with the
//! most that was carried in the last [`BURST`], and none of this rests on old digests.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

pub use crate::member::Seen;
use crate::member::{Ms, Name, Zone};

/// How full those who stay may be.
pub const FILL: f64 = 0.85;
/// The most that was carried within so long counts as carried now, ms.
pub const BURST: Ms = 5 * 60 * 1000;
/// Its grain, ms.
const GRAIN: Ms = 10_000;
/// A zone that carries so much of the most it carried of late is in its busiest moment.
const BUSY: f64 = 0.9;

/// What was carried of late, in the mean of each grain of the last [`BURST`]: what moves from one server to another is in
/// both their digests for a moment, and must not look like a burst.
#[derive(Clone, Debug, Default)]
pub struct Headroom {
    grains: VecDeque<Grain>,
}

#[derive(Clone, Debug, Default)]
struct Grain {
    from: Ms,
    looks: f64,
    /// Sums over the looks.
    zones: BTreeMap<Zone, f64>,
    all: f64,
}

impl Grain {
    fn all(&self) -> f64 {
        self.all / self.looks
    }

    fn zone(&self, zone: &str) -> f64 {
        self.zones.get(zone).copied().unwrap_or(0.0) / self.looks
    }
}

/// The estimate with its figures, in runs at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// Carried now, and the most of late.
    pub now: f64,
    pub most: f64,
    /// What those who would stay bear.
    pub stay: f64,
}

impl Estimate {
    /// How full those who stay would be.
    pub fn fill(&self) -> f64 {
        self.now.max(self.most) / self.stay.max(f64::MIN_POSITIVE)
    }

    pub fn holds(&self) -> bool {
        self.now.max(self.most) <= FILL * self.stay
    }
}

impl Headroom {
    /// Takes in what is seen now. To be called every second or so, on every voter: a new leader has seen it too.
    pub fn observe(&mut self, now: Ms, members: &BTreeMap<Name, Seen>) {
        if self.grains.back().is_none_or(|grain| now >= grain.from + GRAIN) {
            self.grains.push_back(Grain { from: now, ..Grain::default() });
        }
        while self.grains.front().is_some_and(|grain| grain.from + BURST < now) {
            self.grains.pop_front();
        }
        let Some(grain) = self.grains.back_mut() else { return };
        grain.looks += 1.0;
        for seen in members.values() {
            if let Some(digest) = &seen.digest {
                *grain.zones.entry(seen.zone.clone()).or_default() += digest.carries();
                grain.all += digest.carries();
            }
        }
    }

    /// What those of `members` for whom `stays` holds would bear, against what all carry.
    pub fn estimate(&self, members: &BTreeMap<Name, Seen>, stays: &dyn Fn(&str) -> bool) -> Estimate {
        let digests = || members.iter().filter_map(|(name, seen)| Some((name, seen, seen.digest?)));
        Estimate {
            now: digests().map(|(_, _, digest)| digest.carries()).sum(),
            most: self.grains.iter().map(Grain::all).fold(0.0, f64::max),
            stay: digests()
                .filter(|(name, seen, _)| seen.serves() && stays(name))
                .map(|(_, _, digest)| digest.bears())
                .sum(),
        }
    }

    /// Whether a zone is in its busiest moment of late.
    pub fn is_busy(&self, zone: &str, members: &BTreeMap<Name, Seen>) -> bool {
        let here = members.values().filter(|seen| seen.zone == zone).filter_map(|seen| seen.digest);
        let now: f64 = here.map(|digest| digest.carries()).sum();
        let of_late = self.grains.iter().map(|grain| grain.zone(zone));
        let (least, most) = of_late
            .fold((f64::INFINITY, 0.0_f64), |(least, most), carried| (least.min(carried), most.max(carried)));
        // Where it hardly moves there is no busiest moment.
        most > 0.0 && now >= BUSY * most && least < BUSY * most
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::member::{Digest, Standing};

    fn fleet(count: usize, running: f32, share: f32, over_aim: f32) -> BTreeMap<Name, Seen> {
        let digest = Digest { share, over_aim, limit: 8.0, running, cores: 8.0, ..Digest::default() };
        let seen =
            Seen { zone: "a".into(), standing: Standing::Serving, incarnation: 1, digest: Some(digest) };
        (0..count).map(|n| (format!("n{n}"), seen.clone())).collect()
    }

    fn holds(members: &BTreeMap<Name, Seen>, headroom: &Headroom, without: usize) -> bool {
        let gone: Vec<Name> = (0..without).map(|n| format!("n{n}")).collect();
        headroom.estimate(members, &|name| !gone.iter().any(|g| g == name)).holds()
    }

    #[test]
    fn at_seven_tenths_one_of_nine_may_go_and_a_third_may_not() {
        let (members, headroom) = (fleet(9, 5.6, 1.0, 0.8), Headroom::default());
        assert!(holds(&members, &headroom, 1));
        assert!(!holds(&members, &headroom, 3));
    }

    #[test]
    fn a_share_below_one_or_holds_over_the_aim_leave_no_room() {
        let headroom = Headroom::default();
        assert!(!holds(&fleet(9, 5.6, 0.7, 0.8), &headroom, 1));
        assert!(!holds(&fleet(9, 5.6, 1.0, 1.5), &headroom, 1));
    }

    #[test]
    fn a_burst_of_the_last_minutes_counts_and_is_forgotten() {
        let (mut headroom, calm) = (Headroom::default(), fleet(9, 3.0, 1.0, 0.5));
        headroom.observe(0, &fleet(9, 8.0, 1.0, 0.9));
        headroom.observe(GRAIN, &calm);
        assert!(!holds(&calm, &headroom, 1));
        headroom.observe(BURST + GRAIN + 1, &calm);
        assert!(holds(&calm, &headroom, 1));
        assert!(headroom.grains.len() <= (BURST / GRAIN + 2) as usize);
    }

    #[test]
    fn whoever_has_no_young_digest_bears_nothing() {
        let mut members = fleet(3, 4.0, 1.0, 0.5);
        assert!(holds(&members, &Headroom::default(), 1));
        members.get_mut("n2").unwrap().digest = None;
        assert!(!holds(&members, &Headroom::default(), 1) || FILL > 1.0);
    }

    #[test]
    fn a_zone_is_busy_near_its_most_where_it_moves_at_all() {
        let (mut headroom, calm, full) =
            (Headroom::default(), fleet(3, 2.0, 1.0, 0.5), fleet(3, 7.0, 1.0, 0.5));
        headroom.observe(0, &calm);
        assert!(!headroom.is_busy("a", &calm));
        headroom.observe(GRAIN, &full);
        assert!(headroom.is_busy("a", &full) && !headroom.is_busy("a", &calm));
        assert!(!headroom.is_busy("b", &full));
    }
}
