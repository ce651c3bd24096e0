//! A server with an engine of its own, asked for what it does and for more: the same by either front.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use loomflow_standins::{Broker, Worker, World, site};

use crate::{Heard, Plan, queue, resp};

/// What is waited for at the end.
const PATIENCE: Duration = Duration::from_secs(3);

/// Which front the requests come by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Front {
    /// The gateway protocol.
    Resp,
    /// A queue of an AMQP broker.
    Amqp,
}

/// A server with a stand-in engine, and the load that it is put under.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The server's program.
    pub program: PathBuf,
    /// The front that receives the requests.
    pub front: Front,
    /// On a queue: messages say when they were sent, and the server counts from then.
    pub timed: bool,
    /// Cores of the stand-in engine, and what a run takes on one.
    pub cores: usize,
    /// Duration of a run.
    pub work: Duration,
    /// A request is given up after this; an answer within half of it is in time.
    pub give_up: Duration,
    /// Requests a second, from each of these seconds on.
    pub rates: Vec<(f64, f64)>,
    /// Duration of the load.
    pub span: Duration,
}

/// A rule, and whether it was kept.
pub type Rule = (&'static str, bool);

/// What came of a scenario.
pub struct Played {
    /// Results of the requests.
    pub heard: Heard,
    /// Held before their run, by the second in which they were asked, us.
    pub holds: Vec<Histogram<u64>>,
    /// Runs that were begun after their request was given up.
    pub run_late: usize,
    /// Rules of the service, and whether they were kept.
    pub rules: [Rule; 4],
}

impl Scenario {
    /// Runs a second that the engine does.
    pub fn capacity(&self) -> f64 {
        self.cores as f64 / self.work.as_secs_f64()
    }

    /// Runs the scenario and returns its results.
    pub fn play(&self) -> Played {
        let worker = Worker::start(self.cores, self.work);
        // Every fifth run makes a call below, as conversions do.
        worker.calls(5);
        let mut world = World::new(site(self.give_up.as_secs_f64() * 1000.0));
        world.program.clone_from(&self.program);
        world.ledger.post_all();
        let broker = (self.front == Front::Amqp).then(Broker::with_jobs);
        if let Some(broker) = &broker {
            world.options(&queue::options(broker, "book", self.timed));
        }
        world.work_with(&worker);
        let plan = Plan {
            class: "book",
            rates: self.rates.clone(),
            span: self.span,
            connections: 64,
            aim: self.give_up / 2,
            prefix: "r",
        };
        let heard = match &broker {
            None => resp::play(world.listen, &plan, PATIENCE),
            Some(broker) => queue::play(broker, &plan),
        };
        let stayed = world.is_running();
        world.terminate();
        let drained = world.exit_code() == Some(0);
        let begun = worker.begun();
        let late = |(body, began): &&(Vec<u8>, Instant)| {
            heard.asked_at(body).is_some_and(|asked| *began - asked > self.give_up)
        };
        let total = heard.total();
        let twice = worker.runs().values().filter(|times| **times > 1).count();
        Played {
            holds: heard.holds(&begun),
            run_late: begun.iter().filter(late).count(),
            rules: [
                ("one final answer to each request", total.lost == 0 && total.wrong == 0),
                ("nothing with an effect runs twice", twice == 0),
                ("a server that is told to leave finishes what it has", drained),
                ("the server does not fall over", stayed),
            ],
            heard,
        }
    }
}
