//! Runs a server with a test engine under a load that is sent by RESP or AMQP.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use loomflow_test_servers::{AutonomousEngine, Broker, ServerFixture, site};

use crate::{Plan, Results, queue, resp};

/// Maximum wait for open RESP requests at the end of the load.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Protocol front of the server, through which the requests are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Front {
    /// Gateway connections (the RESP protocol).
    Resp,
    /// A queue of an AMQP broker.
    Amqp,
}

/// Configuration of a server, its test engine and the load.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Path of the server's program.
    pub program: PathBuf,
    /// Front through which the requests are sent.
    pub front: Front,
    /// Whether the server reads the sending time of queued messages; unused for [`Front::Resp`].
    pub has_sent_time: bool,
    /// Number of cores of the test engine, each of which runs one request at a time.
    pub cores: usize,
    /// Duration of one run.
    pub work: Duration,
    /// Time after which callers abandon a request; a response within half of this time is in time.
    pub caller_timeout: Duration,
    /// Pairs of a time, s since the start, and the rate from then on, requests per second; ascending by time.
    pub rates: Vec<(f64, f64)>,
    /// Duration of the load.
    pub duration: Duration,
}

/// Text of a rule, and whether it was kept.
pub type Rule = (&'static str, bool);

/// Results of a scenario.
pub struct ScenarioResults {
    /// Outcomes of the requests.
    pub results: Results,
    /// Time from sending a request to the start of its run, µs, by the second of sending.
    pub queue_times: Vec<Histogram<u64>>,
    /// Number of runs that started after the caller had abandoned the request.
    pub late_runs: usize,
    /// Rules of the service that are checked in every scenario.
    pub rules: [Rule; 4],
}

impl Scenario {
    /// Capacity of the engine, runs per second.
    pub fn capacity(&self) -> f64 {
        self.cores as f64 / self.work.as_secs_f64()
    }

    /// Runs the scenario: starts the server, applies the load, terminates the server and checks the rules.
    pub fn run(&self) -> ScenarioResults {
        let engine = AutonomousEngine::start(self.cores, self.work);
        // Every fifth run makes a downstream call.
        engine.set_call_interval(5);
        let broker = (self.front == Front::Amqp).then(Broker::with_jobs);
        let mut fixture = self.start_server(&engine, broker.as_ref());
        let plan = self.plan();
        let results = match &broker {
            None => resp::run(fixture.listen, &plan, RESPONSE_TIMEOUT),
            Some(broker) => queue::run(broker, &plan),
        };
        let is_still_running = fixture.is_running();
        fixture.terminate();
        let has_drained = fixture.exit_code() == Some(0);
        let started_runs = engine.started_runs();
        let is_late = |(body, started_at): &&(Vec<u8>, Instant)| {
            results.sent_time(body).is_some_and(|sent_at| *started_at - sent_at > self.caller_timeout)
        };
        let total = results.total();
        let duplicate_runs = engine.run_counts().values().filter(|times| **times > 1).count();
        ScenarioResults {
            queue_times: results.queue_times(&started_runs),
            late_runs: started_runs.iter().filter(is_late).count(),
            rules: [
                ("every request has one final response", total.lost == 0 && total.wrong == 0),
                ("no request with an effect runs twice", duplicate_runs == 0),
                ("a server that is terminated drains and exits with code 0", has_drained),
                ("the server runs until the end of the load", is_still_running),
            ],
            results,
        }
    }

    fn start_server(&self, engine: &AutonomousEngine, broker: Option<&Broker>) -> ServerFixture {
        let mut fixture = ServerFixture::new(site(self.caller_timeout.as_secs_f64() * 1000.0));
        fixture.program.clone_from(&self.program);
        fixture.ledger.post_all();
        if let Some(broker) = broker {
            fixture.options(&queue::options(broker, "book", self.has_sent_time));
        }
        fixture.serve_with(engine);
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
