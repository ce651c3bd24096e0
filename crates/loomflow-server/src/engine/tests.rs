use loomflow_settings::{JsonObject, Site};

use super::*;

fn settings() -> Settings {
    let text = r#"{"Classes": [{"Effect": "safe", "HardLimit": 9, "OnTime": 3, "Points": 1}],
        "Domain": {"Cpus": 2, "HeapKb": 100, "RunMemFactor": 8, "Cold": true},
        "Rules": {"FallMultiple": 5, "Cold": 10000, "ColdShare": 0.5}}"#;
    let value = serde_json::from_str(text).unwrap();
    Site::parse(&JsonObject::new("", &value).unwrap()).unwrap().settings
}

#[test]
fn slow_start_is_timed_from_the_start_of_the_engine() {
    let slow_start = |starting, age| {
        let settings = with_remaining_slow_start(&settings(), starting, age);
        (settings.is_slow_start, settings.slow_start_share, settings.slow_start_duration)
    };
    assert_eq!(slow_start(true, 0.0), (true, 0.5, 10_000.0));
    assert_eq!(slow_start(true, 5_000.0), (true, 0.75, 5_000.0));
    assert!(!slow_start(true, 10_000.0).0);
    assert!(!slow_start(false, 0.0).0);
}

#[test]
fn unstable_links_increase_the_backoff() {
    connection::configure_runtime();
    let mut engine = EngineLink::start(([127, 0, 0, 1], 9).into(), Arc::new(Mailbox::default()));
    let mut backoffs = Vec::new();
    for _ in 0..10 {
        engine.attached(0.0);
        engine.disconnected(engine.link, CloseReason::ProtocolViolation("x"), STABLE_AFTER_MS - 1.0);
        backoffs.push(engine.backoff.delay());
    }
    assert!(backoffs.is_sorted() && backoffs[0] < backoffs[1]);
    assert_eq!(backoffs[9], MAX_BACKOFF_MS);
    engine.attached(0.0);
    engine.disconnected(engine.link, CloseReason::Reset, STABLE_AFTER_MS);
    assert_eq!(engine.backoff.delay(), MIN_BACKOFF_MS);
    // The loss of a link that was replaced has no effect.
    let link = engine.link;
    assert_eq!(engine.disconnected(link - 1, CloseReason::Reset, STABLE_AFTER_MS), None);
    assert_eq!(engine.link, link);
}

fn engine_link() -> EngineLink {
    connection::configure_runtime();
    EngineLink::start(([127, 0, 0, 1], 9).into(), Arc::new(Mailbox::default()))
}

#[test]
fn gauges_are_used_until_their_maximum_age() {
    let mut engine = engine_link();
    engine.gauges_received("1", vec![0.5], 10.0);
    assert_eq!(engine.gauges(10.0 + GAUGES_MAX_AGE_MS), [Some(0.5)]);
    assert!(engine.gauges(11.0 + GAUGES_MAX_AGE_MS).is_empty());
}

#[test]
fn commands_are_sent_once_the_replay_is_confirmed_or_timed_out() {
    let mut engine = engine_link();
    let id = loomflow_protocol::AttemptId(7);
    let can_send = |engine: &EngineLink| engine.send(Command::Halt { id }) != Delivery::NotSent;
    assert!(!can_send(&engine) && engine.check_replay_timeout(1e9).is_none(), "not attached");
    engine.attached(0.0);
    assert!(!can_send(&engine) && engine.check_replay_timeout(REPLAY_TIMEOUT_MS - 1.0).is_none());
    assert_eq!(engine.check_replay_timeout(REPLAY_TIMEOUT_MS), Some(ReplayEnd::TimedOut));
    assert!(can_send(&engine));
    engine.attached(0.0);
    let fence = engine.last_tag;
    assert_eq!(engine.gauges_received(&(fence - 1).to_string(), Vec::new(), 1.0), None);
    assert!(!can_send(&engine));
    assert_eq!(engine.gauges_received(&fence.to_string(), Vec::new(), 2.0), Some(ReplayEnd::Confirmed));
    assert!(can_send(&engine));
}

#[test]
fn notice_is_handled_once_and_only_on_the_current_link() {
    let mut engine = engine_link();
    let link = engine.link;
    let need = |number| {
        let id = loomflow_protocol::AttemptId(7);
        Notice::Need { number, id, body: Vec::new() }
    };
    assert!(!engine.accept_notice(link - 1, &need(1)));
    assert!(engine.accept_notice(link, &need(1)) && engine.accept_notice(link, &need(2)));
    assert!(!engine.accept_notice(link, &need(1)) && !engine.accept_notice(link, &need(2)));
    // The engine does not repeat notices without a number.
    let without_number = Notice::CommandRejected { command: "RUN".into(), id: None };
    assert!(engine.accept_notice(link, &without_number) && engine.accept_notice(link, &without_number));
}
