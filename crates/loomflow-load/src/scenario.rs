//! Scenario: a server with a test engine under a load, through either front.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use loomflow_test_servers::{AutonomousEngine, Broker, ServerFixture, site};

use crate::{Plan, Results, queue, resp};

/// How long open requests are awaited at the end.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Which front the requests come by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Front {
    /// The gateway protocol.
    Resp,
    /// A queue of an AMQP broker.
    Amqp,
}

/// A server with a test engine, and the load that it is put under.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The server's program.
    pub program: PathBuf,
    /// The front that receives the requests.
    pub front: Front,
    /// Whether messages of a queue state when they were sent.
    pub has_sent_time: bool,
    /// Cores of the test engine.
    pub cores: usize,
    /// Duration of a run.
    pub work: Duration,
    /// Callers abandon a request after this; a response within half of it is in time.
    pub caller_timeout: Duration,
    /// Rates, requests per second, each from a time on, s.
    pub rates: Vec<(f64, f64)>,
    /// Duration of the load.
    pub duration: Duration,
}

/// A rule, and whether it was kept.
pub type Rule = (&'static str, bool);

/// Results of a scenario.
pub struct ScenarioResults {
    /// Results of the requests.
    pub results: Results,
    /// Time between sending and the start of the run, by the second of sending, µs.
    pub queue_times: Vec<Histogram<u64>>,
    /// Runs that started after their caller had abandoned the request.
    pub late_runs: usize,
    /// Rules of the service, and whether they were kept.
    pub rules: [Rule; 4],
}

impl Scenario {
    /// Capacity of the engine, runs per second.
    pub fn capacity(&self) -> f64 {
        self.cores as f64 / self.work.as_secs_f64()
    }

    /// Runs the scenario and returns its results.
    pub fn run(&self) -> ScenarioResults {
        let worker = AutonomousEngine::start(self.cores, self.work);
        // Every fifth run makes a downstream call.
        worker.set_call_interval(5);
        let broker = (self.front == Front::Amqp).then(Broker::with_jobs);
        let mut fixture = self.start_server(&worker, broker.as_ref());
        let plan = self.plan();
        let results = match &broker {
            None => resp::play(fixture.listen, &plan, RESPONSE_TIMEOUT),
            Some(broker) => queue::play(broker, &plan),
        };
        let is_still_running = fixture.is_running();
        fixture.terminate();
        let has_drained = fixture.exit_code() == Some(0);
        let started_runs = worker.started_runs();
        let is_late = |(body, started_at): &&(Vec<u8>, Instant)| {
            results.time_of(body).is_some_and(|sent_at| *started_at - sent_at > self.caller_timeout)
        };
        let total = results.total();
        let duplicate_runs = worker.run_counts().values().filter(|times| **times > 1).count();
        ScenarioResults {
            queue_times: results.queue_times(&started_runs),
            late_runs: started_runs.iter().filter(is_late).count(),
            rules: [
                ("one final answer to each request", total.lost == 0 && total.wrong == 0),
                ("nothing with an effect runs twice", duplicate_runs == 0),
                ("a server that is told to leave finishes what it has", has_drained),
                ("the server does not fall over", is_still_running),
            ],
            results,
        }
    }

    fn start_server(&self, worker: &AutonomousEngine, broker: Option<&Broker>) -> ServerFixture {
        let mut fixture = ServerFixture::new(site(self.caller_timeout.as_secs_f64() * 1000.0));
        fixture.program.clone_from(&self.program);
        fixture.ledger.post_all();
        if let Some(broker) = broker {
            fixture.options(&queue::options(broker, "book", self.has_sent_time));
        }
        fixture.serve_with(worker);
        fixture
    }

    fn plan(&self) -> Plan {
        Plan {
            class: "book",
            rates: self.rates.clone(),
            duration: self.duration,
            connections: 64,
            objective: self.caller_timeout / 2,
            prefix: "r",
        }
    }
}
