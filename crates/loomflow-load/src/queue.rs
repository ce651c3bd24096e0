//! Load by a queue of the stand-in broker.

use std::collections::BTreeSet;
use std::thread;
use std::time::{Duration, Instant};

use loomflow_standins::Broker;
use loomflow_standins::broker::{Message, message};
use loomflow_standins::worker::result_of;

use crate::{Aside, Ending, Heard, Plan};

/// A queue that has not been worked off by then is left as it is, and what stands in it is lost.
const DRAINS: Duration = Duration::from_secs(60);
/// Between two looks at the replies.
const LOOK: Duration = Duration::from_millis(5);

/// The options of a server that takes what `play` publishes. `timed`: messages say when they were sent, and count.
pub fn options(broker: &Broker, class: &str, timed: bool) -> String {
    let sent = if timed { ", sent_from: timestamp_in_ms" } else { "" };
    format!(
        "amqp:\n  brokers: [\"{}\"]\n  credentials: CREDENTIALS\n  dead_letter: {{routing_key: dead}}\n  \
         max_message_bytes: 1024\n  queues: [{{name: jobs, class: {class}, tenant: acme, work_ms: 10{sent}}}]\n",
        broker.address
    )
}

/// Publishes what the plan says to `jobs`. What stands at the broker at the end is neither refused nor lost: it is waited
/// for, within a bound.
pub fn play(broker: &Broker, plan: &Plan) -> Heard {
    let start = Instant::now();
    let replies = {
        let broker = broker.clone();
        Aside::start(move |stop| {
            let mut all = Vec::new();
            loop {
                let last = stop.recv_timeout(LOOK).is_ok();
                let now = Instant::now();
                all.extend(broker.take("replies").into_iter().map(|reply| (reply, now)));
                if last {
                    return all;
                }
            }
        })
    };
    let mut heard = Heard::new(start, plan.aim);
    let (mut due, mut number) = (0.0, 0);
    while due < plan.span.as_secs_f64() {
        let early = due - start.elapsed().as_secs_f64();
        if early > 0.0 {
            thread::sleep(Duration::from_secs_f64(early));
        }
        let (body, now) = (plan.body(number), Instant::now());
        let id = String::from_utf8_lossy(&body).into_owned();
        broker.publish(message("jobs", &id, &body).reply_to("replies", &id).sent_now());
        heard.ask(body, now);
        heard.second(now).tell(broker.with_state(|state| state.credit("jobs")) as f64);
        number += 1;
        due += 1.0 / plan.rate(due).max(0.1);
    }
    let until = Instant::now() + DRAINS;
    let left = || broker.with_state(|state| state.ready("jobs") + state.unacked("jobs"));
    while left() > 0 && Instant::now() < until {
        thread::sleep(LOOK);
    }
    // The last replies are on their way to whoever listens.
    thread::sleep(Duration::from_millis(200));
    ends(&mut heard, &replies.stop());
    heard
}

fn ends(heard: &mut Heard, replies: &[(Message, Instant)]) {
    let mut done = BTreeSet::new();
    for (reply, at) in replies {
        let body = reply.correlation().into_bytes();
        let Some(asked) = heard.asked_at(&body) else { continue };
        let ending = match (reply.kind().as_str(), reply.says("x-loomflow-ran").as_deref()) {
            // Not the last word: the message comes again.
            ("refused", _) => continue,
            ("served", _) if reply.body != result_of(&body) => Ending::Wrong,
            ("served", _) => Ending::Served,
            (_, Some("no")) => Ending::Refused,
            _ => Ending::Failed,
        };
        let ending = if done.insert(body) { ending } else { Ending::Wrong };
        heard.end(asked, ending, *at);
    }
    let lost = heard.without_end(&done);
    lost.into_iter().for_each(|asked| heard.end(asked, Ending::Lost, Instant::now()));
}
