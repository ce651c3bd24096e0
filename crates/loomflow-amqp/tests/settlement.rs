//! Settlement of messages against the state machine of the test broker: whatever the broker does, a message is settled
//! only when its outcome is with its caller or the message is kept as a dead letter.

mod common;
#[path = "common/simulation.rs"]
mod simulation;

use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use common::settings;
use loomflow_amqp::*;
use loomflow_test_servers::broker::{Message, message};
use simulation::Simulation;

/// Longer than all attempts to publish a reply, ms.
const ALL_REPLY_ATTEMPTS_MS: f64 = 60_000.0;
/// Longer than the exchange of some frames and a reconnect, ms.
const RECONNECT_MS: f64 = 10_000.0;

/// Timeout of a step that must return. Only a failing test takes this long.
const RETURN_TIMEOUT: Duration = Duration::from_secs(10);

/// Where messages are dead-lettered.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DeadLetters {
    /// To the destination of the settings, the queue `dead`.
    Configured,
    /// By the dead-lettering of the queue `jobs`, also to the queue `dead`.
    OfTheQueue,
}

const BOTH: [DeadLetters; 2] = [DeadLetters::Configured, DeadLetters::OfTheQueue];

/// One server that consumes the queue `jobs`.
fn simulation(dead_letters: DeadLetters, change: impl FnOnce(&mut Settings)) -> Simulation {
    let mut settings = settings(true);
    if dead_letters == DeadLetters::OfTheQueue {
        settings.dead_letter = None;
    }
    change(&mut settings);
    let mut simulation = Simulation::with_settings(1, settings);
    if dead_letters == DeadLetters::OfTheQueue {
        simulation.broker.declare("jobs", Some(("", "dead")));
    }
    simulation.elapse(1_000.0);
    simulation
}

/// Submits the message `id`, whose replies go to the queue `reply_to`.
fn submit(simulation: &mut Simulation, id: &str, reply_to: &str) {
    assert!(simulation.broker.publish(message("jobs", id, id.as_bytes()).reply_to(reply_to, id)));
    simulation.elapse(1_000.0);
    assert_eq!(simulation.servers[0].submitted.len(), 1, "{id} is submitted");
}

/// Runs the message that is submitted.
fn run(simulation: &mut Simulation, is_ok: bool) {
    simulation.start_run(0);
    simulation.finish_run(0, is_ok);
}

fn kinds(messages: &[Message]) -> Vec<String> {
    messages.iter().map(Message::kind).collect()
}

/// Takes the types of the replies and the reasons of the dead letters; a dead letter of the queue has no reason.
fn results(simulation: &mut Simulation) -> (Vec<String>, Vec<Option<String>>) {
    assert_eq!((simulation.broker.ready("jobs"), simulation.broker.unacked("jobs")), (0, 0));
    let replies = kinds(&simulation.broker.take("replies"));
    let reason = |message: &Message| message.header_text("x-loomflow-reason");
    (replies, simulation.broker.take("dead").iter().map(reason).collect())
}

fn served() -> Vec<String> {
    vec!["served".into()]
}

fn failed() -> Vec<String> {
    vec!["failed".into()]
}

/// One dead letter, which states the reason if the settings have a destination for it.
fn one_dead_letter(dead_letters: DeadLetters, reason: &str) -> Vec<Option<String>> {
    vec![(dead_letters == DeadLetters::Configured).then(|| reason.to_owned())]
}

/// Guards against a message that is acknowledged although the broker rejected its reply and nothing keeps its outcome.
#[test]
fn a_message_whose_reply_is_rejected_is_dead_lettered() {
    for dead_letters in BOTH {
        let mut simulation = simulation(dead_letters, |_| {});
        submit(&mut simulation, "a", "replies");
        simulation.broker.faults.nack = 8;
        run(&mut simulation, true);
        simulation.elapse(ALL_REPLY_ATTEMPTS_MS);
        assert_eq!(results(&mut simulation), (vec![], one_dead_letter(dead_letters, "reply-refused")));
        assert_eq!(simulation.runs["a"], 1);
    }
}

/// Guards against a reply that is given up after half of the time that the settings page states for the eight attempts.
#[test]
fn a_rejected_reply_is_published_eight_times_over_25_seconds() {
    let mut simulation = simulation(DeadLetters::OfTheQueue, |_| {});
    submit(&mut simulation, "a", "replies");
    simulation.broker.faults.nack = 100;
    run(&mut simulation, true);
    simulation.elapse(25_000.0);
    assert_eq!((simulation.broker.unacked("jobs"), simulation.broker.faults.nack), (1, 100 - 7));
    simulation.elapse(1_000.0);
    assert_eq!((simulation.broker.unacked("jobs"), simulation.broker.faults.nack), (0, 100 - 8));
    assert_eq!(results(&mut simulation), (vec![], one_dead_letter(DeadLetters::OfTheQueue, "reply-refused")));
}

/// Guards against a failed message that is acknowledged, and so lost, because the connection broke on its settlement.
#[test]
fn a_failed_message_is_dead_lettered_although_its_settlement_was_lost() {
    for dead_letters in BOTH {
        let mut simulation = simulation(dead_letters, |_| {});
        submit(&mut simulation, "a", "replies");
        simulation.broker.faults.lose_settlements = 1;
        run(&mut simulation, false);
        simulation.elapse(RECONNECT_MS);
        assert_eq!(simulation.broker.faults.lose_settlements, 0);
        // The reply was confirmed before the settlement and is not repeated.
        assert_eq!(results(&mut simulation), (failed(), one_dead_letter(dead_letters, "may-have-run")));
        assert_eq!(simulation.runs["a"], 1);
    }
}

/// Guards against a message that counts as replied because its reply was given up, and is acknowledged at its redelivery.
#[test]
fn a_rejected_reply_is_published_again_after_a_lost_settlement() {
    for dead_letters in BOTH {
        let mut simulation = simulation(dead_letters, |_| {});
        submit(&mut simulation, "a", "replies");
        (simulation.broker.faults.nack, simulation.broker.faults.lose_settlements) = (8, 1);
        run(&mut simulation, true);
        simulation.elapse(ALL_REPLY_ATTEMPTS_MS);
        assert_eq!(simulation.broker.faults.lose_settlements, 0);
        let dead = match dead_letters {
            DeadLetters::Configured => one_dead_letter(dead_letters, "reply-refused"),
            DeadLetters::OfTheQueue => vec![],
        };
        assert_eq!(results(&mut simulation), (served(), dead));
        assert_eq!(simulation.runs["a"], 1);
    }
}

/// Guards against a message of one caller that is acknowledged because another caller of its key has the reply.
#[test]
fn a_retired_key_tells_its_callers_apart() {
    let mut simulation = simulation(DeadLetters::Configured, |_| {});
    submit(&mut simulation, "a", "replies");
    run(&mut simulation, true);
    simulation.elapse(1_000.0);
    // Further keys exceed the records, so that only a hash of the first one is left.
    for number in 0..=simulation.settings.capacity.records {
        submit(&mut simulation, &format!("other{number}"), "replies");
        run(&mut simulation, true);
        simulation.elapse(1_000.0);
    }
    simulation.broker.take("replies");
    // Another caller of the first key gets no confirmed reply before the connection breaks.
    simulation.broker.faults.unconfirmed = 2;
    let other = message("jobs", "a", b"a").reply_to("replies", "another caller");
    assert!(simulation.broker.publish(other));
    simulation.elapse(100.0);
    assert_eq!((simulation.broker.take("replies").len(), simulation.broker.take("dead").len()), (1, 1));
    assert_eq!(simulation.broker.unacked("jobs"), 1);
    simulation.disconnect(0);
    simulation.elapse(RECONNECT_MS);
    assert_eq!(results(&mut simulation), (failed(), one_dead_letter(DeadLetters::Configured, "result-gone")));
    assert_eq!(simulation.runs["a"], 1);
}

/// Guards against a message that is acknowledged although its reply reached no queue and nothing keeps its outcome.
#[test]
fn a_message_whose_reply_cannot_be_routed_is_dead_lettered() {
    for dead_letters in BOTH {
        let mut simulation = simulation(dead_letters, |_| {});
        submit(&mut simulation, "a", "gone");
        run(&mut simulation, true);
        simulation.elapse(1_000.0);
        assert_eq!(results(&mut simulation), (vec![], one_dead_letter(dead_letters, "reply-unroutable")));
        assert_eq!(simulation.runs["a"], 1);
    }
}

/// Guards against a message that is published to nowhere for good, because no destination of dead letters is configured.
#[test]
fn a_copy_with_an_unknown_result_is_dead_lettered_by_the_queue_without_a_destination() {
    for dead_letters in BOTH {
        let mut simulation = simulation(dead_letters, |_| {});
        submit(&mut simulation, "a", "");
        simulation.broker.faults.unconfirmed = 1;
        simulation.reject(0, 0.0);
        simulation.elapse(200.0);
        // The copy is at the broker, which closes the publishing channel before it confirms it.
        assert_eq!(simulation.broker.take("jobs").len() + simulation.servers[0].submitted.len(), 1);
        simulation.broker.close_publishing_channels(541);
        simulation.elapse(RECONNECT_MS);
        let dead = simulation.broker.take("dead");
        let reasons: Vec<_> = dead.iter().map(|message| message.header_text("x-loomflow-reason")).collect();
        assert_eq!(reasons, one_dead_letter(dead_letters, "run-unknown"), "{dead_letters:?}");
    }
}

/// Guards against a message that runs after its caller was told that it does not, because its settlement was lost.
#[test]
fn a_failure_before_the_run_is_final_although_the_settlement_was_lost() {
    for dead_letters in BOTH {
        let mut simulation = simulation(dead_letters, |settings| settings.max_retries = 0);
        submit(&mut simulation, "a", "replies");
        simulation.broker.faults.lose_settlements = 1;
        simulation.reject(0, 0.0);
        simulation.elapse(RECONNECT_MS);
        assert_eq!(simulation.broker.faults.lose_settlements, 0);
        assert!(
            simulation.servers[0].submitted.is_empty(),
            "{dead_letters:?}: the message is submitted again"
        );
        assert_eq!(results(&mut simulation), (failed(), one_dead_letter(dead_letters, "refused-too-often")));
        // A new message with the same key is a new request.
        submit(&mut simulation, "a", "replies");
        run(&mut simulation, true);
        simulation.elapse(1_000.0);
        assert_eq!(results(&mut simulation), (served(), vec![]));
    }
}

/// Guards against a draining server that publishes to a broker that rejects as often as the broker answers.
#[test]
fn a_draining_server_backs_off_from_a_broker_that_rejects() {
    let mut simulation = simulation(DeadLetters::Configured, |_| {});
    submit(&mut simulation, "a", "");
    simulation.broker.faults.nack = 1_000;
    simulation.drain(0);
    simulation.elapse(900.0);
    let publishes = 1_000 - simulation.broker.faults.nack;
    // Backoffs of 200, 400 and 800 ms are between the attempts.
    assert!((2..=3).contains(&publishes), "{publishes} publishes in 0.9 s");
    assert_eq!(simulation.broker.unacked("jobs"), 1, "the message is not settled");
}

/// Guards against an effect that runs twice because a dead letter that the broker rejected hid a copy of its message.
#[test]
fn a_rejected_dead_letter_does_not_hide_a_copy_that_may_run() {
    let mut simulation = simulation(DeadLetters::Configured, |_| {});
    submit(&mut simulation, "a", "");
    simulation.broker.faults.unconfirmed = 1;
    simulation.reject(0, 0.0);
    simulation.elapse(200.0);
    assert_eq!(simulation.broker.take("jobs").len(), 1, "the copy is delivered to another server");
    simulation.disconnect(0);
    simulation.broker.faults.nack = 1;
    while simulation.broker.faults.nack > 0 {
        simulation.elapse(10.0);
    }
    simulation.disconnect(0);
    simulation.elapse(RECONNECT_MS);
    assert!(simulation.servers[0].submitted.is_empty(), "the message would run a second time");
    let dead = simulation.broker.take("dead");
    let reasons: Vec<_> = dead.iter().map(|message| message.header_text("x-loomflow-reason")).collect();
    assert_eq!(reasons, one_dead_letter(DeadLetters::Configured, "run-unknown"));
}

/// Closes the channels that consume `jobs` before the broker handles the publishes that the server has already written, so that
/// it confirms them after their deliveries have been abandoned.
fn close_channels_before_publishes(simulation: &mut Simulation) {
    simulation.advance(0);
    assert!(!simulation.servers[0].to_broker.is_empty(), "publishes are written");
    simulation.broker.close_channels("jobs", 541);
    simulation.elapse(RECONNECT_MS);
}

/// Guards against a second dead letter of a message whose channel closed before the first one was confirmed.
#[test]
fn a_dead_letter_confirmed_after_its_channel_closed_is_not_repeated() {
    let mut simulation = simulation(DeadLetters::Configured, |_| {});
    submit(&mut simulation, "a", "replies");
    run(&mut simulation, false);
    close_channels_before_publishes(&mut simulation);
    let dead = one_dead_letter(DeadLetters::Configured, "may-have-run");
    assert_eq!(results(&mut simulation), (failed(), dead));
    assert_eq!(simulation.runs["a"], 1);
}

/// Guards against a caller that is told `run-unknown` and is then served, because the copy of its message was confirmed after
/// the channel of the message closed.
#[test]
fn a_copy_confirmed_after_its_channel_closed_supersedes_its_message() {
    for dead_letters in BOTH {
        let mut simulation = simulation(dead_letters, |_| {});
        submit(&mut simulation, "a", "replies");
        simulation.reject(0, 0.0);
        simulation.elapse(50.0);
        assert_eq!(kinds(&simulation.broker.take("replies")), ["refused"]);
        simulation.now += 100.0;
        close_channels_before_publishes(&mut simulation);
        assert_eq!(simulation.servers[0].submitted.len(), 1, "the copy is submitted");
        run(&mut simulation, true);
        simulation.elapse(1_000.0);
        assert_eq!(results(&mut simulation), (served(), vec![]));
        assert_eq!(simulation.runs["a"], 1);
    }
}

/// Guards against a server that does nothing any more because a step falls before a publish is due, into its microsecond.
#[test]
fn a_step_in_the_microsecond_of_a_deadline_returns() {
    let (sender, receiver) = channel();
    // Left running if the step does not return.
    thread::spawn(move || {
        let mut simulation = simulation(DeadLetters::Configured, |_| {});
        submit(&mut simulation, "a", "replies");
        simulation.now += 0.0006;
        simulation.broker.faults.nack = 1;
        run(&mut simulation, true);
        // The reply is rejected at once and due again 200 ms later.
        simulation.elapse(10.0);
        assert_eq!(simulation.broker.faults.nack, 0);
        simulation.now += 200.0 - 0.0004;
        simulation.advance(0);
        simulation.elapse(1_000.0);
        let _ = sender.send(results(&mut simulation));
    });
    let results = receiver.recv_timeout(RETURN_TIMEOUT).expect("each step returns");
    assert_eq!(results, (served(), vec![]));
}
