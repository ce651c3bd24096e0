//! Headers and properties of published messages must stay as first released: callers and operators read them, and
//! messages that an earlier build published are delivered to later builds.

mod common;

use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::types::{AMQPValue, FieldTable};
use loomflow_amqp::failure_reason::FailureReason;
use loomflow_amqp::idempotency::RunResult;
use loomflow_amqp::message::{publish_id, reply, republished, retry_count};
use loomflow_amqp::publisher::Publish;
use loomflow_amqp::settlement::{ReplyStatus, Republish};

fn text(text: &str) -> AMQPValue {
    AMQPValue::LongString(text.into())
}

fn number(number: i64) -> AMQPValue {
    AMQPValue::LongLongInt(number)
}

fn table(headers: &[(&str, AMQPValue)]) -> FieldTable {
    let mut table = FieldTable::default();
    for (name, value) in headers {
        table.insert((*name).into(), value.clone());
    }
    table
}

/// A message with every property.
fn original() -> AMQPProperties {
    without_user_id()
        .with_headers(table(&[("mine", text("kept")), ("CC", text("elsewhere")), ("BCC", text("elsewhere"))]))
        .with_user_id("guest".into())
}

fn reply_with(status: &ReplyStatus) -> Publish {
    reply(&common::settings(true), &original(), status, 9).expect("a reply")
}

/// The original message, republished from the queue `jobs`.
fn republished_from_jobs(destination: Republish) -> Publish {
    republished(&common::settings(true), "jobs", &original(), b"body", destination, 5)
}

#[test]
fn replies_have_a_type_and_headers_for_each_status() {
    let failed = |may_have_run, retry_after| {
        let reason = FailureReason::new("reason");
        ReplyStatus::Failed { reason, may_have_run, retry_after }
    };
    let cases = [
        (ReplyStatus::Served(RunResult::Served(b"ok"[..].into())), "served", &b"ok"[..], vec![]),
        (ReplyStatus::Rejected(12.5), "refused", b"", vec![("x-loomflow-holdoff", number(13))]),
        (
            failed(true, None),
            "failed",
            b"",
            vec![("x-loomflow-reason", text("reason")), ("x-loomflow-ran", text("perhaps"))],
        ),
        (
            failed(false, Some(7.0)),
            "failed",
            b"",
            vec![
                ("x-loomflow-holdoff", number(7)),
                ("x-loomflow-reason", text("reason")),
                ("x-loomflow-ran", text("no")),
            ],
        ),
    ];
    for (status, kind, body, headers) in cases {
        let publish = reply_with(&status);
        assert_eq!((publish.exchange.as_str(), publish.routing_key.as_str()), ("", "replies"));
        assert_eq!(publish.body, body);
        let headers = [vec![("x-loomflow-publish", number(9))], headers].concat();
        let expected = AMQPProperties::default()
            .with_headers(table(&headers))
            .with_type(kind.into())
            .with_correlation_id("correlation".into())
            .with_delivery_mode(1);
        assert_eq!(publish.properties, expected);
    }
}

#[test]
fn a_requeued_message_keeps_its_properties_and_counts_its_retries() {
    let publish = republished_from_jobs(Republish::Requeue { retry_count: 2 });
    assert_eq!((publish.exchange.as_str(), publish.routing_key.as_str()), ("", "jobs"));
    let headers = table(&[
        ("mine", text("kept")),
        ("x-loomflow-publish", number(5)),
        ("x-loomflow-user-id", text("guest")),
        ("x-loomflow-rounds", number(2)),
    ]);
    assert_eq!(publish.properties, without_user_id().with_headers(headers));
    assert_eq!((publish_id(&publish.properties), retry_count(&publish.properties)), (Some(5), 2));
    assert_eq!(publish.body, b"body");
}

#[test]
fn a_dead_letter_states_its_reason_and_queue() {
    let publish = republished_from_jobs(Republish::DeadLetter(FailureReason::NOT_RUN));
    assert_eq!((publish.exchange.as_str(), publish.routing_key.as_str()), ("", "dead"));
    let headers = table(&[
        ("mine", text("kept")),
        ("x-loomflow-publish", number(5)),
        ("x-loomflow-user-id", text("guest")),
        ("x-loomflow-reason", text("not-run")),
        ("x-loomflow-queue", text("jobs")),
    ]);
    assert_eq!(publish.properties, without_user_id().with_delivery_mode(2).with_headers(headers));
}

/// The properties of the original message except its user id.
fn without_user_id() -> AMQPProperties {
    AMQPProperties::default()
        .with_content_type("text/plain".into())
        .with_content_encoding("gzip".into())
        .with_delivery_mode(1)
        .with_priority(3)
        .with_correlation_id("correlation".into())
        .with_reply_to("replies".into())
        .with_expiration("1000".into())
        .with_message_id("message".into())
        .with_timestamp(77)
        .with_type("job".into())
        .with_app_id("app".into())
}
