//! What came of the requests.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

/// A longer hold counts as this one, us.
const LONGEST: u64 = 3_600_000_000;

/// How a request ended, as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Served, in time or late.
    Served,
    /// Turned away for good, never run.
    Refused,
    /// Failed.
    Failed,
    /// Never answered.
    Lost,
    /// Answered with what no run made for it, or twice.
    Wrong,
}

/// What came of the requests asked in one second, or in all.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    /// Requests sent.
    pub asked: u32,
    /// Served within the objective.
    pub in_time: u32,
    /// Served after the objective.
    pub late: u32,
    /// Rejected.
    pub refused: u32,
    /// Failed.
    pub failed: u32,
    /// Never answered.
    pub lost: u32,
    /// Answered with a wrong result or more than once.
    pub wrong: u32,
    /// When the last of them was answered, s since the start.
    pub over_at: f64,
    told: f64,
    heard: u32,
}

impl Tally {
    /// The mean of what callers were told: a send share, or the credit of a queue; none where nothing was.
    pub fn told(&self) -> Option<f64> {
        (self.heard > 0).then(|| self.told / f64::from(self.heard))
    }

    /// Records a send share or a credit that callers were told.
    pub fn tell(&mut self, value: f64) {
        self.told += value;
        self.heard += 1;
    }

    fn add(&mut self, other: &Tally) {
        self.asked += other.asked;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.lost += other.lost;
        self.wrong += other.wrong;
        self.over_at = self.over_at.max(other.over_at);
        self.told += other.told;
        self.heard += other.heard;
    }
}

/// What was heard, by the second in which it was asked.
#[derive(Clone, Debug)]
pub struct Heard {
    /// When the load began.
    pub start: Instant,
    /// Counts by the second in which requests were sent.
    pub seconds: Vec<Tally>,
    /// When each body was asked for.
    asked: BTreeMap<Vec<u8>, Instant>,
    aim: Duration,
}

impl Heard {
    /// Nothing so far. An answer after `aim` is late.
    pub fn new(start: Instant, aim: Duration) -> Heard {
        Heard { start, seconds: Vec::new(), asked: BTreeMap::new(), aim }
    }

    /// The counts of all seconds.
    pub fn total(&self) -> Tally {
        self.between(0, self.seconds.len())
    }

    /// The seconds from one to before another, together.
    pub fn between(&self, from: usize, to: usize) -> Tally {
        let part = self.seconds.get(from..to.min(self.seconds.len())).unwrap_or_default();
        part.iter().fold(Tally::default(), |mut all, one| {
            all.add(one);
            all
        })
    }

    /// The second of a moment.
    pub fn second(&mut self, at: Instant) -> &mut Tally {
        let at = at.saturating_duration_since(self.start).as_secs() as usize;
        if self.seconds.len() <= at {
            self.seconds.resize(at + 1, Tally::default());
        }
        &mut self.seconds[at]
    }

    /// Records that a request was sent.
    pub fn ask(&mut self, body: Vec<u8>, at: Instant) {
        self.second(at).asked += 1;
        self.asked.insert(body, at);
    }

    /// A request that was asked then ended now.
    pub fn end(&mut self, asked: Instant, ending: Ending, now: Instant) {
        let (in_time, since) = (now - asked <= self.aim, (now - self.start).as_secs_f64());
        let tally = self.second(asked);
        let count = match ending {
            Ending::Served if in_time => &mut tally.in_time,
            Ending::Served => &mut tally.late,
            Ending::Refused => &mut tally.refused,
            Ending::Failed => &mut tally.failed,
            Ending::Lost => &mut tally.lost,
            Ending::Wrong => &mut tally.wrong,
        };
        *count += 1;
        tally.over_at = tally.over_at.max(since);
    }

    /// When the request with this body was sent.
    pub fn asked_at(&self, body: &[u8]) -> Option<Instant> {
        self.asked.get(body).copied()
    }

    /// When those were asked for whose bodies are not among these.
    pub fn without_end(&self, done: &BTreeSet<Vec<u8>>) -> Vec<Instant> {
        self.asked.iter().filter(|(body, _)| !done.contains(*body)).map(|(_, at)| *at).collect()
    }

    /// How long each that was run had been held by then, from when it was asked, wherever it stood meanwhile: by the
    /// second in which it was asked, us.
    pub fn holds(&self, begun: &[(Vec<u8>, Instant)]) -> Vec<Histogram<u64>> {
        let mut holds: Vec<Histogram<u64>> = Vec::new();
        for (body, began) in begun {
            let Some(asked) = self.asked_at(body) else { continue };
            let second = (asked - self.start).as_secs() as usize;
            while holds.len() <= second {
                holds.push(Histogram::new_with_bounds(1, LONGEST, 3).expect("bounds"));
            }
            let held = began.saturating_duration_since(asked);
            holds[second].saturating_record(held.as_micros() as u64);
        }
        holds
    }
}
