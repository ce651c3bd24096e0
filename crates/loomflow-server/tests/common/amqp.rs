//! A server that consumes from a test broker, with a test engine that counts runs.

use std::collections::BTreeSet;
use std::time::Duration;

use loomflow_test_servers::autonomous_engine::result_of;
use loomflow_test_servers::broker::{Broker, Message, message};
use loomflow_test_servers::*;

use super::LONG_TIMEOUT;

/// How long each run takes.
pub const RUN_DURATION: Duration = Duration::from_millis(5);

/// Options of a server that consumes the queue `jobs`; `more` holds additional lines of the `amqp` section.
pub fn options(brokers: &[&Broker], more: &str) -> String {
    let brokers: Vec<String> = brokers.iter().map(|broker| format!("\"{}\"", broker.address)).collect();
    format!(
        "amqp:\n  brokers: [{}]\n  credentials: CREDENTIALS\n  dead_letter: {{routing_key: dead}}\n{more}
  queues:\n    - {{name: jobs, class: book, tenant: acme}}\n",
        brokers.join(", ")
    )
}

/// Starts a broker with the queues of the tests, and an engine with `cores` cores.
pub fn start_peers(cores: usize) -> (Broker, AutonomousEngine) {
    (Broker::with_jobs(), AutonomousEngine::start(cores, RUN_DURATION))
}

/// Starts a server with an options file.
pub fn serve(options: &str, worker: &AutonomousEngine) -> ServerFixture {
    ServerFixture::start_with(site(LONG_TIMEOUT), options, worker)
}

pub fn start_serving() -> (Broker, AutonomousEngine, ServerFixture) {
    let (broker, worker) = start_peers(4);
    let fixture = serve(&options(&[&broker], ""), &worker);
    (broker, worker, fixture)
}

/// A message with id `j<id>` and a reply to `replies` under the correlation id `c-j<id>`.
pub fn job(id: usize) -> Message {
    let id = format!("j{id}");
    message("jobs", &id, id.as_bytes()).reply_to("replies", &format!("c-{id}"))
}

pub fn publish_jobs(broker: &Broker, ids: std::ops::Range<usize>) {
    for id in ids {
        broker.publish(job(id));
    }
}

/// Takes the next message of the queue `replies`.
pub fn next_reply(broker: &Broker) -> Message {
    broker.wait_for_messages("replies", 1).swap_remove(0)
}

/// Takes the next message of the dead-letter queue.
pub fn next_dead_letter(broker: &Broker) -> Message {
    broker.wait_for_messages("dead", 1).swap_remove(0)
}

pub fn reason(message: &Message) -> Option<String> {
    message.header_text("x-loomflow-reason")
}

/// Expects a reply that reports a failure and that the message may have run.
pub fn expect_uncertain_failure(reply: &Message) {
    let ran = reply.header_text("x-loomflow-ran");
    assert_eq!((reply.kind().as_str(), ran.as_deref()), ("failed", Some("perhaps")));
}

pub fn expect_no_run_twice(worker: &AutonomousEngine) {
    let counts = worker.run_counts();
    assert!(counts.values().all(|count| *count == 1), "{counts:?}");
}

/// Expects that `count` jobs ran, each once, and that none was dead-lettered.
pub fn expect_run_once(broker: &Broker, worker: &AutonomousEngine, count: usize) {
    expect_no_run_twice(worker);
    assert_eq!(worker.run_count(), count);
    assert!(broker.take("dead").is_empty());
}

/// Expects that each of `count` jobs ran once, got one reply and was settled.
pub fn expect_all_served_once(broker: &Broker, worker: &AutonomousEngine, count: usize) {
    broker.wait_until_empty("jobs");
    let replies = broker.wait_for_messages("replies", count);
    let correlations: BTreeSet<String> = replies.iter().map(Message::correlation).collect();
    assert_eq!((replies.len(), correlations.len()), (count, count));
    for reply in replies {
        let id = reply.correlation()[2..].to_owned();
        assert_eq!((reply.kind().as_str(), reply.body), ("served", result_of(id.as_bytes())));
    }
    expect_run_once(broker, worker, count);
}
