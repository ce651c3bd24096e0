//! The published AMQP client `lapin` as publisher and consumer at the test broker, and as the caller of a server. Broker and
//! server are both part of this repository and could share a misreading of the specification, which `lapin` reveals.

use std::time::Duration;

use futures_lite::StreamExt;
use lapin::message::Delivery;
use lapin::options::*;
use lapin::types::{AMQPValue, FieldTable};
use lapin::{BasicProperties, Channel, Confirmation, Connection, ConnectionProperties, Consumer};
use loomflow_test_servers::autonomous_engine::result_of;
use loomflow_test_servers::*;

/// Time limit of a step, reached only by a failure.
const TIMEOUT: Duration = Duration::from_secs(20);

async fn connect(broker: &Broker) -> Connection {
    let address = format!("amqp://guest:guest@{}/%2f", broker.address);
    let runtime = async_rs::Runtime::tokio_current();
    let opening = Connection::connect_with_runtime(&address, ConnectionProperties::default(), runtime);
    tokio::time::timeout(TIMEOUT, opening)
        .await
        .expect("the connection opens in time")
        .expect("the broker accepts the connection")
}

async fn declare_queue(channel: &Channel, name: &str, arguments: FieldTable) {
    let options = QueueDeclareOptions::default();
    channel.queue_declare(name.into(), options, arguments).await.expect("the queue is declared");
}

async fn publish(
    channel: &Channel,
    exchange: &str,
    key: &str,
    body: &[u8],
    properties: BasicProperties,
) -> Confirmation {
    let options = BasicPublishOptions { mandatory: true, ..BasicPublishOptions::default() };
    let publish = channel.basic_publish(exchange.into(), key.into(), options, body, properties);
    publish.await.expect("the message is published").await.expect("the broker confirms it")
}

async fn consume(channel: &Channel, queue: &str) -> Consumer {
    let (options, arguments) = (BasicConsumeOptions::default(), FieldTable::default());
    channel
        .basic_consume(queue.into(), "me".into(), options, arguments)
        .await
        .expect("the consumer is registered")
}

async fn next_delivery(consumer: &mut Consumer) -> Delivery {
    let delivery = tokio::time::timeout(TIMEOUT, consumer.next()).await.expect("a delivery arrives in time");
    delivery.expect("the consumer is not cancelled").expect("the delivery is valid")
}

async fn expect_no_delivery(consumer: &mut Consumer) {
    assert!(tokio::time::timeout(QUIET_PERIOD, consumer.next()).await.is_err());
}

#[tokio::test]
async fn lapin_gets_confirms_nacks_and_returned_messages() {
    let broker = Broker::start();
    let connection = connect(&broker).await;
    let channel = connection.create_channel().await.unwrap();
    channel.confirm_select(ConfirmSelectOptions::default()).await.unwrap();
    declare_queue(&channel, "q", FieldTable::default()).await;
    let properties = BasicProperties::default();
    assert!(matches!(publish(&channel, "", "q", b"1", properties.clone()).await, Confirmation::Ack(None)));
    broker.faults(|faults| faults.nack = 1);
    assert!(matches!(publish(&channel, "", "q", b"2", properties.clone()).await, Confirmation::Nack(None)));
    let Confirmation::Ack(Some(returned)) = publish(&channel, "", "nowhere", b"3", properties).await else {
        panic!("the unroutable message is not returned")
    };
    assert_eq!((returned.reply_code, returned.delivery.data.as_slice()), (312, &b"3"[..]));
}

#[tokio::test]
async fn lapin_consumes_within_its_prefetch_limit_and_settles() {
    let broker = Broker::start();
    let connection = connect(&broker).await;
    let channel = connection.create_channel().await.unwrap();
    let mut arguments = FieldTable::default();
    arguments.insert("x-dead-letter-exchange".into(), AMQPValue::LongString("".into()));
    arguments.insert("x-dead-letter-routing-key".into(), AMQPValue::LongString("dead".into()));
    declare_queue(&channel, "q", arguments).await;
    declare_queue(&channel, "dead", FieldTable::default()).await;
    let body = vec![9; 10_000];
    for _ in 0..3 {
        publish(&channel, "", "q", &body, BasicProperties::default()).await;
    }
    channel.basic_qos(2, BasicQosOptions::default()).await.unwrap();
    let mut consumer = consume(&channel, "q").await;
    let (first, second) = (next_delivery(&mut consumer).await, next_delivery(&mut consumer).await);
    expect_no_delivery(&mut consumer).await;
    assert_eq!((first.data.len(), first.redelivered), (10_000, false));
    first.ack(BasicAckOptions::default()).await.unwrap();
    let third = next_delivery(&mut consumer).await;
    third.reject(BasicRejectOptions { requeue: false }).await.unwrap();
    second.nack(BasicNackOptions { multiple: false, requeue: true }).await.unwrap();
    let redelivery = next_delivery(&mut consumer).await;
    assert!(redelivery.redelivered);
    redelivery.ack(BasicAckOptions::default()).await.unwrap();
    broker.wait_until_empty("q");
    assert_eq!(broker.wait_for_messages("dead", 1).len(), 1);
}

#[tokio::test]
async fn exchanges_route_messages_and_an_unknown_queue_closes_the_channel() {
    let broker = Broker::start();
    let connection = connect(&broker).await;
    let channel = connection.create_channel().await.unwrap();
    for name in ["a", "b"] {
        declare_queue(&channel, name, FieldTable::default()).await;
    }
    for (exchange, kind, key) in
        [("all", lapin::ExchangeKind::Fanout, ""), ("one", lapin::ExchangeKind::Direct, "k")]
    {
        let (options, arguments) = (ExchangeDeclareOptions::default(), FieldTable::default());
        channel.exchange_declare(exchange.into(), kind, options, arguments).await.unwrap();
        for queue in ["a", "b"] {
            if exchange == "all" || queue == "a" {
                let (options, arguments) = (QueueBindOptions::default(), FieldTable::default());
                channel
                    .queue_bind(queue.into(), exchange.into(), key.into(), options, arguments)
                    .await
                    .unwrap();
            }
        }
    }
    publish(&channel, "all", "", b"x", BasicProperties::default()).await;
    publish(&channel, "one", "k", b"y", BasicProperties::default()).await;
    assert_eq!((broker.wait_for_messages("a", 2).len(), broker.wait_for_messages("b", 1).len()), (2, 1));
    let (options, arguments) = (BasicConsumeOptions::default(), FieldTable::default());
    let consumer = channel.basic_consume("no such queue".into(), "me".into(), options, arguments).await;
    assert!(consumer.is_err() && !channel.status().connected());
    assert!(connection.status().connected());
}

fn options(broker: &Broker) -> String {
    format!(
        "amqp:\n  brokers: [\"{}\"]\n  credentials: CREDENTIALS\n  dead_letter: {{routing_key: dead}}\n  queues:\n    - \
         {{name: jobs, class_header: class, tenant: acme}}\n",
        broker.address
    )
}

fn message_properties(name: &str, class: &str) -> BasicProperties {
    let mut headers = FieldTable::default();
    headers.insert("class".into(), AMQPValue::LongString(class.into()));
    BasicProperties::default()
        .with_message_id(name.into())
        .with_correlation_id(name.into())
        .with_reply_to("mine".into())
        .with_headers(headers)
}

#[tokio::test]
async fn lapin_gets_one_reply_per_message() {
    let broker = Broker::start();
    let worker = AutonomousEngine::start(4, Duration::from_millis(2));
    let connection = connect(&broker).await;
    let channel = connection.create_channel().await.unwrap();
    for name in ["jobs", "dead", "mine"] {
        declare_queue(&channel, name, FieldTable::default()).await;
    }
    let options = options(&broker);
    let fixture = tokio::task::spawn_blocking({
        let worker = worker.clone();
        move || ServerFixture::start_with(site(5_000.0), &options, &worker)
    });
    let _fixture = fixture.await.expect("the server starts");
    channel.confirm_select(ConfirmSelectOptions::default()).await.unwrap();
    for number in 0..50 {
        let name = format!("m{number}");
        // One message in ten has a class that the server does not have.
        let class = if number % 10 == 9 { "none" } else { "book" };
        publish(&channel, "", "jobs", name.as_bytes(), message_properties(&name, class)).await;
    }
    let mut replies = consume(&channel, "mine").await;
    let mut kinds = std::collections::BTreeMap::new();
    for _ in 0..50 {
        let reply = next_delivery(&mut replies).await;
        let name =
            reply.properties.correlation_id().clone().expect("the reply has a correlation id").to_string();
        let kind = reply.properties.kind().clone().expect("the reply has a type").to_string();
        reply.ack(BasicAckOptions::default()).await.unwrap();
        if kind == "served" {
            assert_eq!(reply.data, result_of(name.as_bytes()));
        }
        assert!(kinds.insert(name, kind).is_none(), "a second reply to the same message");
    }
    expect_no_delivery(&mut replies).await;
    assert_eq!(kinds.values().filter(|kind| *kind == "served").count(), 45);
    assert_eq!((worker.run_count(), broker.wait_for_messages("dead", 5).len()), (45, 5));
}
