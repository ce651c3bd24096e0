//! Outcomes of the requests of a load, counted by the second in which the requests were sent.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use loomflow_test_servers::GatewayResponse;
use loomflow_test_servers::autonomous_engine::result_of;

/// Maximum queue time that is recorded, µs; longer ones are recorded as this one.
const MAX_QUEUE_TIME_MICROS: u64 = 3_600_000_000;

/// Outcome of a request as its caller observes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served, in time or late.
    Served,
    /// Rejected for good; it never ran.
    Rejected,
    /// Ended with an error other than a rejection.
    Failed,
    /// Without a final response until the end of the load.
    Lost,
    /// Served with a wrong result, or with more than one response.
    Wrong,
}

impl RequestOutcome {
    /// Outcome of a request with this body and this final response.
    pub(crate) fn from_response(response: &GatewayResponse, body: &[u8]) -> RequestOutcome {
        match response.status.as_str() {
            "OK" if response.body != result_of(body) => RequestOutcome::Wrong,
            "OK" => RequestOutcome::Served,
            "BUSY" => RequestOutcome::Rejected,
            _ => RequestOutcome::Failed,
        }
    }
}

/// Numbers of requests by outcome, for one second or for a whole load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Requests that were sent; each is also counted by its outcome.
    pub sent: u32,
    /// Served within the objective.
    pub in_time: u32,
    /// Served after the objective.
    pub late: u32,
    /// Rejected for good, without having run.
    pub rejected: u32,
    /// Ended with an error other than a rejection.
    pub failed: u32,
    /// Without a final response until the end of the load.
    pub lost: u32,
    /// Served with a wrong result, or with more than one response.
    pub wrong: u32,
    /// Time of the last recorded outcome, s since the start of the load.
    pub last_answered_at_s: f64,
    signal_sum: f64,
    signal_count: u32,
}

impl Counts {
    /// Mean of the send shares or credits that callers received; `None` if there were none.
    pub fn mean_signal(&self) -> Option<f64> {
        (self.signal_count > 0).then(|| self.signal_sum / f64::from(self.signal_count))
    }

    /// Records a send share or a credit that callers received.
    pub fn record_signal(&mut self, value: f64) {
        self.signal_sum += value;
        self.signal_count += 1;
    }

    fn add(&mut self, other: &Counts) {
        self.sent += other.sent;
        self.in_time += other.in_time;
        self.late += other.late;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.lost += other.lost;
        self.wrong += other.wrong;
        self.last_answered_at_s = self.last_answered_at_s.max(other.last_answered_at_s);
        self.signal_sum += other.signal_sum;
        self.signal_count += other.signal_count;
    }
}

/// Outcomes of all requests of a load.
#[derive(Clone, Debug)]
pub struct Results {
    /// Start of the load; seconds are counted from it.
    pub start: Instant,
    /// Counts by the second in which requests were sent.
    pub seconds: Vec<Counts>,
    /// Time at which the request with each body was sent.
    sent_at: BTreeMap<Vec<u8>, Instant>,
    objective: Duration,
}

impl Results {
    /// Creates empty results. A response after `objective` is late.
    pub fn new(start: Instant, objective: Duration) -> Results {
        Results { start, seconds: Vec::new(), sent_at: BTreeMap::new(), objective }
    }

    /// The counts of all seconds.
    pub fn total(&self) -> Counts {
        self.between(0, self.seconds.len())
    }

    /// The sum of the seconds `from..to`.
    pub fn between(&self, from: usize, to: usize) -> Counts {
        let part = self.seconds.get(from..to.min(self.seconds.len())).unwrap_or_default();
        part.iter().fold(Counts::default(), |mut all, counts| {
            all.add(counts);
            all
        })
    }

    /// The counts of the second that contains `at`; seconds up to it are added as needed.
    pub fn second(&mut self, at: Instant) -> &mut Counts {
        let at = at.saturating_duration_since(self.start).as_secs() as usize;
        if self.seconds.len() <= at {
            self.seconds.resize(at + 1, Counts::default());
        }
        &mut self.seconds[at]
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, body: Vec<u8>, at: Instant) {
        self.second(at).sent += 1;
        self.sent_at.insert(body, at);
    }

    /// Records the outcome of the request that was sent at `sent_at`.
    pub fn record_outcome(&mut self, sent_at: Instant, outcome: RequestOutcome, now: Instant) {
        let (in_time, answered_at) = (now - sent_at <= self.objective, (now - self.start).as_secs_f64());
        let counts = self.second(sent_at);
        let count = match outcome {
            RequestOutcome::Served if in_time => &mut counts.in_time,
            RequestOutcome::Served => &mut counts.late,
            RequestOutcome::Rejected => &mut counts.rejected,
            RequestOutcome::Failed => &mut counts.failed,
            RequestOutcome::Lost => &mut counts.lost,
            RequestOutcome::Wrong => &mut counts.wrong,
        };
        *count += 1;
        counts.last_answered_at_s = counts.last_answered_at_s.max(answered_at);
    }

    /// Time at which the request with this body was sent; `None` if there is none.
    pub fn sent_time(&self, body: &[u8]) -> Option<Instant> {
        self.sent_at.get(body).copied()
    }

    /// Sending times of the requests whose bodies are not in `answered`.
    pub fn unanswered(&self, answered: &BTreeSet<Vec<u8>>) -> Vec<Instant> {
        self.sent_at.iter().filter(|(body, _)| !answered.contains(*body)).map(|(_, at)| *at).collect()
    }

    /// Histograms of the time from sending a request to the start of its run, µs, by the second of sending. `runs`: the body
    /// and the start of each run.
    pub fn queue_times(&self, runs: &[(Vec<u8>, Instant)]) -> Vec<Histogram<u64>> {
        let mut histograms: Vec<Histogram<u64>> = Vec::new();
        for (body, started_at) in runs {
            let Some(sent_at) = self.sent_time(body) else { continue };
            let second = (sent_at - self.start).as_secs() as usize;
            while histograms.len() <= second {
                histograms.push(
                    Histogram::new_with_bounds(1, MAX_QUEUE_TIME_MICROS, 3).expect("the bounds are valid"),
                );
            }
            let queue_time = started_at.saturating_duration_since(sent_at);
            histograms[second].saturating_record(queue_time.as_micros() as u64);
        }
        histograms
    }
}
