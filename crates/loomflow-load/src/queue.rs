//! Load that is published to a queue of the test broker.

use std::collections::BTreeSet;
use std::thread;
use std::time::{Duration, Instant};

use loomflow_test_servers::Broker;
use loomflow_test_servers::autonomous_engine::result_of;
use loomflow_test_servers::broker::{Message, message};

use crate::{BackgroundTask, Plan, RequestOutcome, Results};

/// How long the queue may take to drain at the end; messages that remain count as lost.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which replies are collected, and at which the queue is checked at the end.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long the last replies may be in transit once the queue is empty.
const LAST_REPLIES_TIMEOUT: Duration = Duration::from_millis(200);

/// Options of a server that consumes the messages that [`run`] publishes. With `has_sent_time`, the server computes the
/// age of a message from its timestamp.
pub fn options(broker: &Broker, class: &str, has_sent_time: bool) -> String {
    let sent = if has_sent_time { ", sent_from: timestamp_in_ms" } else { "" };
    format!(
        "amqp:\n  brokers: [\"{}\"]\n  credentials: CREDENTIALS\n  dead_letter: {{routing_key: dead}}\n  \
         max_message_bytes: 1024\n  queues: [{{name: jobs, class: {class}, tenant: acme, work_ms: 10{sent}}}]\n",
        broker.address
    )
}

/// Publishes the messages of a plan to the queue `jobs` and waits for the queue to drain, for at most 60 s.
pub fn run(broker: &Broker, plan: &Plan) -> Results {
    let start = Instant::now();
    let replies = collect_replies(broker.clone());
    let mut results = Results::new(start, plan.objective);
    publish_all(broker, plan, &mut results);
    let until = Instant::now() + DRAIN_TIMEOUT;
    let remaining = || broker.with_state(|state| state.ready("jobs") + state.unacked("jobs"));
    while remaining() > 0 && Instant::now() < until {
        thread::sleep(POLL_INTERVAL);
    }
    thread::sleep(LAST_REPLIES_TIMEOUT);
    record_replies(&mut results, &replies.stop());
    results
}

/// Collects replies, each with the time at which it was taken from the broker, until the task is stopped.
fn collect_replies(broker: Broker) -> BackgroundTask<Vec<(Message, Instant)>> {
    BackgroundTask::start(move |stop| {
        let mut replies = Vec::new();
        loop {
            let is_last = stop.recv_timeout(POLL_INTERVAL).is_ok();
            let now = Instant::now();
            replies.extend(broker.take("replies").into_iter().map(|reply| (reply, now)));
            if is_last {
                return replies;
            }
        }
    })
}

/// Publishes each message of a plan when it is due, and records the credit of the server's consumer as the signal.
fn publish_all(broker: &Broker, plan: &Plan, results: &mut Results) {
    let start = results.start;
    let mut schedule = plan.schedule();
    while schedule.due_s() < plan.duration.as_secs_f64() {
        let ahead_s = schedule.due_s() - start.elapsed().as_secs_f64();
        if ahead_s > 0.0 {
            thread::sleep(Duration::from_secs_f64(ahead_s));
        }
        let (body, now) = (plan.body(schedule.taken()), Instant::now());
        let id = String::from_utf8_lossy(&body).into_owned();
        broker.publish(message("jobs", &id, &body).reply_to("replies", &id).with_sent_time());
        results.record_sent(body, now);
        results.second(now).record_signal(broker.with_state(|state| state.total_prefetch("jobs")) as f64);
        schedule.advance();
    }
}

fn record_replies(results: &mut Results, replies: &[(Message, Instant)]) {
    let mut replied = BTreeSet::new();
    for (reply, at) in replies {
        let body = reply.correlation().into_bytes();
        let Some(sent_at) = results.sent_time(&body) else { continue };
        let outcome = match (reply.kind().as_str(), reply.header_text("x-loomflow-ran").as_deref()) {
            // `refused` is not a final reply: the message is delivered again.
            ("refused", _) => continue,
            ("served", _) if reply.body != result_of(&body) => RequestOutcome::Wrong,
            ("served", _) => RequestOutcome::Served,
            (_, Some("no")) => RequestOutcome::Rejected,
            _ => RequestOutcome::Failed,
        };
        let outcome = if replied.insert(body) { outcome } else { RequestOutcome::Wrong };
        results.record_outcome(sent_at, outcome, *at);
    }
    let lost = results.unanswered(&replied);
    for sent_at in lost {
        results.record_outcome(sent_at, RequestOutcome::Lost, Instant::now());
    }
}
