//! Model-based test of consumers against the state machine of the test broker, without sockets. In generated sequences
//! of redeliveries, lost frames and settlements, rejected and unroutable publishes, closed channels and connections,
//! rejections, restarts and drains, messages with an external effect run at most once, and every message is served or
//! dead-lettered, to a configured destination or by its queue.

mod common;
#[path = "common/simulation.rs"]
mod simulation;

use common::settings;
use loomflow_amqp::failure_reason::FailureReason;
use loomflow_amqp::*;
use loomflow_test_servers::broker::{Message, message};
use proptest::prelude::*;
use simulation::{DRAIN_TIMEOUT_MS, Simulation};

#[derive(Clone, Debug)]
enum SimulationStep {
    Publish(Option<u64>, &'static str),
    AdvanceTime(f64),
    ExchangeFrames(usize, usize),
    StartRun(usize),
    FinishRun(usize, bool),
    Reject(usize, f64),
    Disconnect(usize),
    Restart(usize),
    Drain(usize),
    CloseChannels,
    CancelConsumers,
    ClosePublishingChannels,
    Fault(u8),
}

fn steps() -> impl Strategy<Value = Vec<SimulationStep>> {
    let at = 0usize..2;
    let reply_to = prop_oneof![9 => Just("replies"), 1 => Just("gone")];
    let step = prop_oneof![
        6 => (proptest::option::weighted(0.15, 0u64..50), reply_to).prop_map(|(of, to)| SimulationStep::Publish(of, to)),
        4 => (1.0f64..400.0).prop_map(SimulationStep::AdvanceTime),
        20 => (at.clone(), 1usize..40).prop_map(|(at, count)| SimulationStep::ExchangeFrames(at, count)),
        8 => at.clone().prop_map(SimulationStep::StartRun),
        8 => (at.clone(), prop::bool::weighted(0.9)).prop_map(|(at, is_ok)| SimulationStep::FinishRun(at, is_ok)),
        2 => (at.clone(), 0.0f64..300.0).prop_map(|(at, retry_after)| SimulationStep::Reject(at, retry_after)),
        1 => at.clone().prop_map(SimulationStep::Disconnect),
        1 => at.clone().prop_map(SimulationStep::Restart),
        1 => at.prop_map(SimulationStep::Drain),
        1 => Just(SimulationStep::CloseChannels),
        1 => Just(SimulationStep::CancelConsumers),
        1 => Just(SimulationStep::ClosePublishingChannels),
        3 => (0u8..6).prop_map(SimulationStep::Fault),
    ];
    proptest::collection::vec(step, 1..250)
}

/// Settings with a destination of dead letters, and settings that leave dead-lettering to the queue.
fn both_settings(has_effect: bool) -> [Settings; 2] {
    let with_destination = settings(has_effect);
    let without_destination = Settings { dead_letter: None, ..with_destination.clone() };
    [with_destination, without_destination]
}

/// Simulates the steps. Servers share no records and lose them in a restart, so a key that is published twice runs only
/// once if the same server receives both messages. Therefore keys are published twice only with a single server that
/// never restarts. Redeliveries occur in either case.
fn play(servers: usize, settings: Settings, steps: Vec<SimulationStep>) -> Simulation {
    let mut simulation = Simulation::with_settings(servers, settings);
    if simulation.settings.dead_letter.is_none() {
        simulation.broker.declare("jobs", Some(("", "dead")));
    }
    let is_single = servers == 1;
    for step in steps {
        match step {
            SimulationStep::ExchangeFrames(at, _)
            | SimulationStep::StartRun(at)
            | SimulationStep::FinishRun(at, _)
                if at >= servers => {}
            SimulationStep::Reject(at, _) | SimulationStep::Disconnect(at) if at >= servers => {}
            SimulationStep::Restart(_) | SimulationStep::Drain(_) if is_single => {}
            SimulationStep::Fault(1) if !is_single => {}
            SimulationStep::Publish(Some(_), to) if !is_single => simulation.publish(None, to),
            SimulationStep::Publish(duplicate_of, to) => simulation.publish(duplicate_of, to),
            SimulationStep::AdvanceTime(duration) => simulation.now += duration,
            SimulationStep::ExchangeFrames(at, count) => simulation.exchange(at, count),
            SimulationStep::StartRun(at) => simulation.start_run(at),
            SimulationStep::FinishRun(at, is_ok) => simulation.finish_run(at, is_ok),
            SimulationStep::Reject(at, retry_after) => simulation.reject(at, retry_after),
            SimulationStep::Disconnect(at) => simulation.disconnect(at),
            SimulationStep::Restart(at) => simulation.restart(at),
            SimulationStep::Drain(at) => simulation.drain(at),
            SimulationStep::CloseChannels => simulation.broker.close_channels("jobs", 541),
            SimulationStep::CancelConsumers => simulation.broker.cancel_consumers("jobs"),
            SimulationStep::ClosePublishingChannels => simulation.broker.close_publishing_channels(541),
            SimulationStep::Fault(0) => simulation.broker.faults.nack += 1,
            SimulationStep::Fault(1) => simulation.broker.faults.duplicate += 1,
            SimulationStep::Fault(2) => simulation.broker.faults.unconfirmed += 1,
            SimulationStep::Fault(3) => simulation.broker.faults.forget_acks += 1,
            SimulationStep::Fault(4) => simulation.broker.faults.nack += 10,
            SimulationStep::Fault(_) => simulation.broker.faults.lose_settlements += 1,
        }
    }
    simulation
}

#[test]
fn a_republished_message_drops_its_user_id_and_carbon_copies() {
    let mut original =
        message("jobs", "a", b"x").reply_to("replies", "a").header("CC", "elsewhere").header("mine", "1");
    original.properties = original.properties.with_user_id("somebody".into()).with_expiration("60000".into());
    let (settings, properties) = (settings(true), &original.properties);
    for (destination, queue) in [
        (settlement::Republish::Requeue { retry_count: 3 }, "jobs"),
        (settlement::Republish::DeadLetter(FailureReason::new("reason")), "dead"),
    ] {
        let publish =
            loomflow_amqp::message::republished(&settings, "jobs", properties, b"x", destination, 7);
        assert_eq!(
            (publish.exchange.as_str(), publish.routing_key.as_str(), publish.body.as_slice()),
            ("", queue, &b"x"[..])
        );
        assert_eq!(
            (publish.properties.user_id(), publish.properties.reply_to()),
            (&None, properties.reply_to())
        );
        assert_eq!(
            (publish.properties.message_id(), publish.properties.expiration()),
            (properties.message_id(), properties.expiration())
        );
        let message = Message { properties: publish.properties, ..original.clone() };
        let headers =
            ["mine", "x-loomflow-user-id", "CC", "x-loomflow-publish"].map(|name| message.header_text(name));
        assert_eq!(headers, [Some("1".into()), Some("somebody".into()), None, Some("7".into())]);
        let is_dead_letter = matches!(destination, settlement::Republish::DeadLetter(_));
        assert_eq!(message.header_text("x-loomflow-reason"), is_dead_letter.then(|| "reason".into()));
        assert_eq!(message.header_text("x-loomflow-rounds"), (!is_dead_letter).then(|| "3".into()));
    }
}

/// A simulation of one server to which one message has been submitted.
fn simulation_with_one_submitted() -> Simulation {
    let mut simulation = Simulation::new(1, true);
    for _ in 0..20 {
        simulation.exchange(0, usize::MAX);
    }
    simulation.publish(None, "replies");
    simulation.exchange(0, usize::MAX);
    assert_eq!(simulation.servers[0].submitted.len(), 1);
    simulation
}

#[test]
fn messages_not_started_in_the_grace_period_are_requeued() {
    let mut simulation = simulation_with_one_submitted();
    simulation.drain(0);
    for _ in 0..20 {
        simulation.exchange(0, usize::MAX);
    }
    assert!(
        simulation.servers[0].submitted.is_empty()
            && simulation.servers[0].consumer.is_drained(simulation.now)
    );
    let requeued = simulation.broker.take("jobs");
    assert_eq!((requeued.len(), requeued[0].redelivered, simulation.broker.unacked("jobs")), (1, false, 0));
}

#[test]
fn a_drain_waits_for_a_silent_broker_until_its_deadline() {
    let mut simulation = simulation_with_one_submitted();
    simulation.start_run(0);
    simulation.drain(0);
    simulation.finish_run(0, true);
    let deadline = simulation.now + DRAIN_TIMEOUT_MS;
    // The test passes no frames to the broker, so it never confirms the reply.
    let consumer = &mut simulation.servers[0].consumer;
    assert!(consumer.tick(deadline - 1.0).is_ok());
    assert!(!consumer.is_drained(deadline - 1.0) && consumer.is_drained(deadline));
}

#[test]
fn a_drain_waits_for_the_close_of_an_open_connection_but_not_for_a_handshake() {
    let mut simulation = Simulation::new(2, true);
    simulation.servers[0].consumer.connected(0.0);
    for _ in 0..20 {
        simulation.exchange(1, usize::MAX);
    }
    let [first, second] = &mut simulation.servers[..] else { unreachable!("the simulation has two servers") };
    let (in_handshake, connected) = (&mut first.consumer, &mut second.consumer);
    in_handshake.begin_drain(1e9, 3_000.0);
    // Later than the handshake timeout (5 s), which must not apply while the connection is being closed.
    connected.begin_drain(1e9, 6_000.0);
    in_handshake.connected(3_000.0);
    assert!(in_handshake.is_drained(3_000.0) && !connected.is_drained(6_000.0));
    simulation.now = 6_000.0;
    for _ in 0..20 {
        simulation.exchange(1, usize::MAX);
    }
    assert!(
        simulation.servers[1].consumer.is_drained(6_000.0) && simulation.servers[1].reconnect_at.is_none()
    );
    assert_eq!(simulation.failed_connections, 0, "the broker confirmed the close");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, max_shrink_iters: 20_000, ..ProptestConfig::default() })]

    #[test]
    fn effects_run_at_most_once_and_every_message_is_finished(steps in steps()) {
        for (servers, settings) in [1, 2].into_iter().flat_map(|servers| both_settings(true).map(|settings| (servers, settings))) {
            let mut simulation = play(servers, settings, steps.clone());
            simulation.run_to_completion();
            simulation.check();
        }
    }

    #[test]
    fn every_message_without_an_effect_is_finished(steps in steps()) {
        for settings in both_settings(false) {
            let mut simulation = play(2, settings, steps.clone());
            simulation.run_to_completion();
            simulation.check();
        }
    }
}
