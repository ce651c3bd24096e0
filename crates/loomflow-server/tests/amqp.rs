//! The AMQP interface of a server process, with a test broker that injects faults and a test engine that counts runs: each
//! message is run at most once, gets a reply and is settled.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::amqp::*;
use common::{SERVE, reload};
use loomflow_test_servers::autonomous_engine::result_of;
use loomflow_test_servers::broker::{AMQPFrame, Broker, Message, Settled, message};
use loomflow_test_servers::*;

#[test]
fn messages_run_once_get_a_reply_and_are_acked() {
    let (broker, worker, _fixture) = start_serving();
    publish_jobs(&broker, 0..200);
    expect_all_served_once(&broker, &worker, 200);
    let settled = broker.with_state(|state| state.settled.clone());
    assert_eq!(settled.iter().filter(|(_, outcome)| *outcome == Settled::Acked).count(), 200);
    assert_eq!(settled.len(), 200);
}

#[test]
fn a_redelivery_joins_an_open_run_or_gets_the_recorded_reply() {
    let (broker, worker, _fixture) = start_serving();
    worker.set_held(true);
    publish_jobs(&broker, 0..6);
    worker.wait_for_runs(1);
    // All unacknowledged messages are delivered again while their runs are open.
    broker.disconnect_all();
    broker.wait_until("the message is redelivered", |state| state.unacked("jobs") > 0);
    worker.set_held(false);
    expect_all_served_once(&broker, &worker, 6);
}

/// A key stays bound to its tenant and body while the first message with it is open and after that message was served.
#[test]
fn keys_are_per_tenant_and_reject_another_body() {
    let (broker, worker) = start_peers(4);
    let publish = |tenant: &str, body: &[u8], name: &str| {
        broker.publish(message("jobs", "k", body).header("tenant", tenant).reply_to("replies", name));
    };
    let replies = |count| -> Vec<(String, String, Vec<u8>)> {
        let status = |reply: &Message| reason(reply).unwrap_or(reply.kind());
        let replies = broker.wait_for_messages("replies", count);
        let mut replies: Vec<_> =
            replies.into_iter().map(|reply| (reply.correlation(), status(&reply), reply.body)).collect();
        replies.sort();
        replies
    };
    let rejected = |name: &str| (name.to_owned(), "key-of-another".to_owned(), Vec::new());
    let served = |name: &str, body: &[u8]| (name.to_owned(), "served".to_owned(), result_of(body));
    publish("acme", b"one", "a");
    publish("acme", b"two", "b");
    publish("other", b"three", "c");
    let text = options(&[&broker], "").replace("tenant: acme", "tenant_header: tenant");
    let _fixture = serve(&text, &worker);
    assert_eq!(replies(3), [served("a", b"one"), rejected("b"), served("c", b"three")]);
    publish("acme", b"two", "d");
    publish("acme", b"one", "e");
    publish("other", b"three", "f");
    assert_eq!(replies(3), [rejected("d"), served("e", b"one"), served("f", b"three")]);
    assert_eq!(worker.run_count(), 2);
    assert_eq!(broker.wait_for_messages("dead", 2).len(), 2);
}

#[test]
fn a_run_interrupted_by_a_kill_is_dead_lettered_as_unknown() {
    let (broker, worker, mut fixture) = start_serving();
    worker.set_held(true);
    broker.publish(job(1));
    worker.wait_for_runs(1);
    fixture.kill();
    worker.set_held(false);
    worker.reset_for_server_restart();
    broker.wait_until("the message is redelivered", |state| state.ready("jobs") == 1);
    fixture.start(SERVE);
    let dead = next_dead_letter(&broker);
    assert_eq!(reason(&dead).as_deref(), Some("run-unknown"));
    assert_eq!(dead.header_text("x-loomflow-queue").as_deref(), Some("jobs"));
    expect_uncertain_failure(&next_reply(&broker));
    broker.wait_until_empty("jobs");
    assert_eq!(worker.run_count(), 1);
}

#[test]
fn without_a_key_only_first_deliveries_run() {
    let (broker, worker, _fixture) = start_serving();
    broker.publish(message("jobs", "", b"first").reply_to("replies", "a"));
    assert_eq!(next_reply(&broker).kind(), "served");
    broker.publish(Message { redelivered: true, ..message("jobs", "", b"second") });
    assert_eq!(next_dead_letter(&broker).body, b"second");
    assert_eq!(worker.run_count(), 1);
}

#[test]
fn duplicate_messages_run_once_and_each_caller_gets_a_reply() {
    let (broker, worker, _fixture) = start_serving();
    // Serving 60 messages raises the prefetch limit enough to deliver the next four at once.
    publish_jobs(&broker, 100..160);
    broker.wait_for_messages("replies", 60);
    worker.set_held(true);
    broker.publish(job(1));
    broker.publish(message("jobs", "j1", b"j1").reply_to("replies", "other"));
    broker.faults(|faults| faults.duplicate = 1);
    broker.publish(job(2));
    broker.wait_until("all are delivered", |state| state.unacked("jobs") == 4);
    worker.set_held(false);
    broker.wait_until_empty("jobs");
    let correlations: BTreeSet<String> =
        broker.wait_for_messages("replies", 4).iter().map(Message::correlation).collect();
    assert_eq!(correlations, ["c-j1", "c-j2", "other"].map(String::from).into());
    assert_eq!(worker.run_count(), 62);
}

#[test]
fn deeply_nested_tables_close_only_the_connection() {
    let (broker, worker, mut fixture) = start_serving();
    broker.publish(job(1));
    broker.wait_for_messages("replies", 1);
    let before = broker.with_state(|state| state.connections()[0]);
    broker.send_bytes(&deeply_nested_header());
    broker.wait_until("the server has reconnected", |state| {
        state.consumers("jobs") > 0 && state.connections()[0] != before
    });
    broker.publish(job(2));
    assert_eq!(next_reply(&broker).correlation(), "c-j2");
    assert!(fixture.is_running() && worker.run_count() == 2);
}

/// A content header frame with 3,000 nested tables.
fn deeply_nested_header() -> Vec<u8> {
    let mut payload = [0, 60, 0, 0, 0, 0, 0, 0, 0, 0, 0, 5, 0x20, 0].to_vec();
    for depth in (0..=3_000_u32).rev() {
        payload.extend((depth * 7).to_be_bytes());
        payload.extend(if depth > 0 { &b"\x01aF"[..] } else { &[] });
    }
    let mut frame = [2, 0, 2].to_vec();
    frame.extend((payload.len() as u32).to_be_bytes());
    frame.extend(payload);
    frame.push(0xCE);
    frame
}

#[test]
fn malformed_frames_reopen_the_connection_without_a_second_run() {
    let too_long = [&[1, 0, 2][..], &1_000_000_u32.to_be_bytes()].concat();
    let malformed: [&[u8]; 6] = [
        b"HTTP/1.1 400 Bad Request\r\n",
        &too_long,
        // A heartbeat without its end octet, a body without a header, a header without a method, and a truncated cancel-ok
        // on channel 9, which is not open.
        &[8, 0, 0, 0, 0, 0, 0, 0],
        &[3, 0, 2, 0, 0, 0, 1, b'x', 0xCE],
        &[2, 0, 2, 0, 0, 0, 14, 0, 60, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xCE],
        &[1, 0, 9, 0, 0, 0, 4, 0, 60, 0, 31, 0xCE],
    ];
    let (broker, worker, mut fixture) = start_serving();
    for (id, bytes) in malformed.iter().enumerate() {
        broker.publish(job(id));
        broker.send_bytes(bytes);
        broker.wait_until("the server consumes again", |s| s.consumers("jobs") > 0);
    }
    broker.wait_until_empty("jobs");
    broker.wait_until("all have a reply", |state| state.ready("replies") >= malformed.len());
    expect_no_run_twice(&worker);
    assert!(fixture.is_running());
    // An acknowledgement of a message that was never published is ignored.
    let ack = amqp_ack(77);
    broker.with_state(|state| state.send_raw(&[ack]));
    broker.publish(job(99));
    broker.wait_until_empty("jobs");
    assert!(fixture.is_running());
}

fn amqp_ack(delivery_tag: u64) -> AMQPFrame {
    use amq_protocol::protocol::{AMQPClass, basic};
    let ack = basic::AMQPMethod::Ack(basic::Ack { delivery_tag, multiple: false });
    AMQPFrame::Method(1, AMQPClass::Basic(ack))
}

#[test]
fn nothing_is_consumed_while_publishing_is_blocked() {
    let (broker, worker, _fixture) = start_serving();
    broker.publish(job(0));
    broker.wait_for_messages("replies", 1);
    broker.with_state(|state| state.block(true));
    // A consumer that was being registered when the broker blocked is cancelled once it is registered.
    broker.wait_until("the server has no consumer", |state| state.consumers("jobs") == 0);
    std::thread::sleep(QUIET_PERIOD);
    broker.wait_until("the server has no consumer", |state| state.consumers("jobs") == 0);
    publish_jobs(&broker, 1..50);
    std::thread::sleep(QUIET_PERIOD);
    assert_eq!((worker.run_count(), broker.with_state(|s| s.ready("jobs"))), (1, 49));
    broker.with_state(|state| state.block(false));
    broker.wait_until_empty("jobs");
    assert_eq!(broker.wait_for_messages("replies", 49).len(), 49);
}

#[test]
fn cancelled_consumers_and_closed_channels_are_reopened() {
    let (broker, worker, _fixture) = start_serving();
    broker.publish(job(0));
    broker.wait_for_messages("replies", 1);
    broker.with_state(|state| state.cancel_consumers("jobs"));
    broker.publish(job(1));
    broker.wait_for_messages("replies", 1);
    worker.set_held(true);
    publish_jobs(&broker, 2..8);
    worker.wait_for_runs(3);
    broker.with_state(|state| state.close_channels("jobs", 541));
    worker.set_held(false);
    broker.wait_until_empty("jobs");
    assert_eq!(broker.wait_for_messages("replies", 6).len(), 6);
    expect_run_once(&broker, &worker, 8);
}

#[test]
fn several_brokers_are_tried_in_turn() {
    let (one, other) = (Broker::with_jobs(), Broker::with_jobs());
    one.refuse_connections(true);
    let worker = AutonomousEngine::start(2, RUN_DURATION);
    let _fixture = serve(&options(&[&one, &other], ""), &worker);
    other.publish(job(1));
    assert_eq!(other.wait_for_messages("replies", 1).len(), 1);
    one.refuse_connections(false);
    other.refuse_connections(true);
    other.disconnect_all();
    one.publish(job(2));
    assert_eq!(one.wait_for_messages("replies", 1).len(), 1);
}

#[test]
fn a_silent_broker_is_abandoned_after_two_heartbeats() {
    let broker = Broker::with_limits(1, 4_096, 40);
    for queue in ["jobs", "dead", "replies"] {
        broker.declare(queue);
    }
    let worker = AutonomousEngine::start(2, RUN_DURATION);
    let fixture = serve(&options(&[&broker], ""), &worker);
    broker.publish(message("jobs", "long", &[7; 10_000]).reply_to("replies", "c"));
    assert_eq!(next_reply(&broker).body, result_of(&[7; 10_000]));
    broker.set_stalled(true);
    broker.wait_until("the server has reconnected", |state| {
        state.connections().len() != 1 || state.connections()[0] > 1
    });
    broker.set_stalled(false);
    assert!(fixture.log().contains("heartbeat"), "{}", fixture.log());
}

#[test]
fn draining_settles_runs_and_requeues_the_rest() {
    let (broker, worker, mut fixture) = start_serving();
    publish_jobs(&broker, 0..40);
    broker.wait_for_messages("replies", 40);
    worker.set_run_duration(Duration::from_millis(400));
    publish_jobs(&broker, 40..70);
    worker.wait_for_runs(44);
    fixture.terminate();
    assert_eq!(fixture.exit_code(), Some(0));
    let replies = broker.take("replies");
    assert_eq!(replies.len(), worker.run_count() - 40, "replies and runs");
    assert!(replies.iter().all(|reply| reply.kind() == "served"));
    // The messages that were not run are back in their queue and not marked as redelivered.
    let requeued = broker.take("jobs");
    assert_eq!(requeued.len() + worker.run_count(), 70);
    assert!(requeued.iter().all(|message| !message.redelivered));
    assert!(broker.take("dead").is_empty());
}

#[test]
fn draining_ends_in_time_despite_broker_faults() {
    for stalls in [false, true] {
        let (broker, worker, mut fixture) = start_serving();
        worker.set_held(true);
        publish_jobs(&broker, 0..8);
        worker.wait_for_runs(1);
        fixture.terminate();
        std::thread::sleep(Duration::from_millis(100));
        if stalls {
            broker.set_stalled(true);
        } else {
            broker.with_state(|state| state.close_channels("jobs", 541));
        }
        worker.set_held(false);
        assert_eq!(fixture.exit_code(), Some(0));
        expect_no_run_twice(&worker);
    }
}

#[test]
fn a_login_failure_is_logged_without_the_password() {
    let broker = Broker::with_jobs();
    broker.with_state(|state| state.password = "another".into());
    let worker = AutonomousEngine::start(1, RUN_DURATION);
    let fixture = serve(&options(&[&broker], ""), &worker);
    fixture.wait_for_log("403");
    assert!(!fixture.log().contains("guest"), "{}", fixture.log());
}

#[test]
fn log_format_json_writes_json_lines() {
    let (broker, worker) = start_peers(1);
    let text = format!("log: {{format: json}}\n{}", options(&[&broker], ""));
    let fixture = serve(&text, &worker);
    broker.publish(job(1));
    broker.wait_for_messages("replies", 1);
    for line in fixture.log().lines() {
        let line: serde_json::Value = serde_json::from_str(line).expect("each line is a JSON object");
        assert!(line["message"].is_string() && line["timestamp"].is_string(), "{line}");
    }
    assert!(fixture.log().contains("connected to the broker"));
}

#[test]
fn a_missing_queue_does_not_affect_the_others() {
    let (broker, worker) = start_peers(4);
    broker.declare("reads");
    let more =
        "    - {name: reads, class: read, tenant: other}\n    - {name: late, class: read, tenant: other}\n";
    let text = format!("{}{more}", options(&[&broker], ""));
    let fixture = serve(&text, &worker);
    for id in 0..30 {
        broker.publish(job(id));
        broker.publish(message("reads", &format!("r{id}"), b"r").reply_to("replies", &format!("r{id}")));
    }
    assert_eq!(
        broker.wait_for_messages("replies", 60).iter().filter(|reply| reply.kind() == "served").count(),
        60
    );
    assert!(fixture.log().contains("404"), "{}", fixture.log());
    // The server consumes the queue once it is declared.
    broker.declare("late");
    broker.publish(message("late", "l", b"l").reply_to("replies", "l"));
    assert_eq!(next_reply(&broker).kind(), "served");
}

#[test]
fn a_reload_applies_to_queues() {
    let (broker, worker) = start_peers(4);
    let text = options(&[&broker], "").replace("tenant: acme", "tenant_header: tenant");
    let fixture = serve(&text, &worker);
    let request = |id: &str| {
        broker.publish(message("jobs", id, b"x").header("tenant", "newcomer").reply_to("replies", id));
        next_reply(&broker).kind()
    };
    assert_eq!(request("a"), "failed");
    let mut new = fixture.config.clone();
    new["settings"]["Orgs"]
        .as_array_mut()
        .unwrap()
        .push(serde_json::json!({"Name": "newcomer", "QuotaPerS": 9.0}));
    reload(&fixture, &new, "reloaded");
    assert_eq!(request("b"), "served");
}

#[test]
fn a_backlog_for_a_slow_engine_stays_at_the_broker() {
    let (broker, worker) = start_peers(2);
    worker.set_held(true);
    broker.with_state(|state| assert!((0..5_000).all(|id| state.publish(job(id)))));
    let _fixture = serve(&options(&[&broker], ""), &worker);
    worker.wait_for_runs(1);
    std::thread::sleep(QUIET_PERIOD);
    // The prefetch limit stays at one until a message has been served.
    assert_eq!(broker.with_state(|state| (state.max_unacked, state.ready("jobs"))), (1, 4_999));
    worker.set_held(false);
    broker.wait_until("some are served", |state| state.ready("replies") >= 200);
    assert!(broker.with_state(|state| state.max_unacked) <= 126);
}

#[test]
fn no_amqp_connection_without_options() {
    let worker = AutonomousEngine::start(1, RUN_DURATION);
    let sockets = |fixture: &ServerFixture| {
        let fds = std::fs::read_dir(format!("/proc/{}/fd", fixture.pid())).expect("/proc/PID/fd is readable");
        let link = |entry: std::io::Result<std::fs::DirEntry>| std::fs::read_link(entry.ok()?.path()).ok();
        fds.filter_map(link).filter(|target| target.to_string_lossy().starts_with("socket:")).count()
    };
    let off = serve("", &worker);
    let broker = Broker::with_jobs();
    let on = serve(&options(&[&broker], ""), &AutonomousEngine::start(1, RUN_DURATION));
    broker.wait_until("the server consumes", |state| state.consumers("jobs") > 0);
    // Connections with which the start was awaited are closed after a while; then the one to the broker is the only
    // difference.
    let deadline = std::time::Instant::now() + RESPONSE_TIMEOUT;
    while sockets(&on) != sockets(&off) + 1 {
        assert!(
            std::time::Instant::now() < deadline,
            "{} sockets with AMQP, {} without",
            sockets(&on),
            sockets(&off)
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn an_idle_connection_with_heartbeats_stays_open() {
    let broker = Broker::with_limits(1, 4_096, 40);
    broker.declare("jobs");
    let worker = AutonomousEngine::start(1, RUN_DURATION);
    let fixture = serve(&options(&[&broker], ""), &worker);
    // The server sends two heartbeats an interval and closes a link that is silent for two intervals.
    broker.wait_until("the connection is idle for three intervals", |state| state.heartbeats >= 6);
    assert_eq!(broker.with_state(|state| state.connections()), [1], "{}", fixture.log());
}
