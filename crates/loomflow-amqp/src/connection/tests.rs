use amq_protocol::protocol::basic::Publish;
use loomflow_protocol::Decoder;

use super::*;
use crate::frames::Frames;

const HEARTBEAT_S: u16 = 10;
const INTERVAL_MS: Millis = 10_000.0;
const MAX_BODY_BYTES: usize = 1_000;

fn connection() -> BrokerConnection {
    let login = Login {
        vhost: "/".into(),
        user: "guest".into(),
        password: Password("guest".into()),
        heartbeat_s: HEARTBEAT_S,
    };
    BrokerConnection::open(login, MAX_BODY_BYTES, 0.0)
}

fn connection_method(method: connection::AMQPMethod) -> AMQPFrame {
    AMQPFrame::Method(0, AMQPClass::Connection(method))
}

fn start(version_minor: u8, mechanisms: &str) -> AMQPFrame {
    connection_method(connection::AMQPMethod::Start(connection::Start {
        version_major: 0,
        version_minor,
        server_properties: FieldTable::default(),
        mechanisms: mechanisms.into(),
        locales: "en_US".into(),
    }))
}

fn tune(channel_max: u16, frame_max: u32, heartbeat: u16) -> AMQPFrame {
    connection_method(connection::AMQPMethod::Tune(connection::Tune { channel_max, frame_max, heartbeat }))
}

/// A connection that completed its handshake at time 0 with a broker that proposes these limits.
pub(crate) fn ready(channel_max: u16, frame_max: u32, heartbeat: u16) -> BrokerConnection {
    let mut connection = connection();
    let open_ok = connection_method(connection::AMQPMethod::OpenOk(connection::OpenOk {}));
    for frame in [start(9, "PLAIN"), tune(channel_max, frame_max, heartbeat)] {
        assert_eq!(connection.handle_frame(frame, 0.0), Ok(None));
    }
    assert_eq!(connection.handle_frame(open_ok, 0.0), Ok(Some(ConnectionEvent::Ready)));
    connection.take_output(0.0);
    connection
}

#[test]
fn a_handshake_times_out() {
    let mut connection = connection();
    assert_eq!(connection.tick(HANDSHAKE_TIMEOUT_MS - 1.0), Ok(()));
    assert!(connection.tick(HANDSHAKE_TIMEOUT_MS).is_err());
    assert_eq!(ready(0, 0, 0).tick(HANDSHAKE_TIMEOUT_MS), Ok(()));
}

#[test]
fn brokers_of_another_version_or_without_plain_are_rejected() {
    for (frame, is_accepted) in [
        (start(9, "EXTERNAL PLAIN"), true),
        (start(8, "PLAIN"), false),
        (start(9, "EXTERNAL PLAINTEXT"), false),
    ] {
        assert_eq!(connection().handle_frame(frame.clone(), 0.0).is_ok(), is_accepted, "{frame:?}");
    }
}

#[test]
fn the_smaller_limit_applies_and_zero_is_unlimited() {
    let limits = |connection: BrokerConnection| {
        (connection.channel_max, connection.frame_max_bytes, connection.heartbeat_interval)
    };
    assert_eq!(limits(ready(0, 0, 0)), (u16::MAX, FRAME_MAX_BYTES, INTERVAL_MS));
    assert_eq!(limits(ready(7, FRAME_MIN_BYTES, 1)), (7, FRAME_MIN_BYTES, 1_000.0));
    assert_eq!(limits(ready(7, u32::MAX, 60)), (7, FRAME_MAX_BYTES, INTERVAL_MS));
    let mut connection = connection();
    assert_eq!(connection.handle_frame(start(9, "PLAIN"), 0.0), Ok(None));
    assert!(connection.handle_frame(tune(0, FRAME_MIN_BYTES - 1, 0), 0.0).is_err());
}

#[test]
fn heartbeats_are_sent_in_time_and_a_silent_broker_is_an_error() {
    let mut connection = ready(0, 0, HEARTBEAT_S);
    let send_at = INTERVAL_MS * HEARTBEAT_SEND_FRACTION;
    assert_eq!((connection.tick(send_at - 1.0), connection.take_output(send_at).len()), (Ok(()), 0));
    assert_eq!(
        (connection.tick(send_at), connection.take_output(send_at).len()),
        (Ok(()), FRAME_OVERHEAD_BYTES)
    );
    // Any received frame shows that the broker is alive.
    assert_eq!(connection.handle_frame(AMQPFrame::Heartbeat, 5.0), Ok(None));
    let silent_at = 5.0 + MAX_SILENT_INTERVALS * INTERVAL_MS;
    assert_eq!(connection.tick(silent_at - 1.0), Ok(()));
    assert!(connection.tick(silent_at).is_err());
}

#[test]
fn a_header_frame_that_is_too_large_has_only_own_headers() {
    let published = |text_len: usize| {
        let mut connection = ready(0, FRAME_MIN_BYTES, 0);
        let mut headers = FieldTable::default();
        headers.insert("theirs".into(), AMQPValue::LongString("x".repeat(text_len).into()));
        headers.insert("x-loomflow-publish".into(), AMQPValue::LongLongInt(1));
        let properties = AMQPProperties::default().with_headers(headers);
        connection.publish(1, Publish::default(), properties, &[0; 5_000]);
        let mut frames = Frames::default();
        assert!(frames.buffer().feed(&connection.take_output(0.0)));
        let raw = frames.next().unwrap().expect("frames");
        raw.iter().map(Result::unwrap).collect::<Vec<_>>()
    };
    for (text_len, expected_headers) in [(100, 2), (FRAME_MIN_BYTES as usize, 1)] {
        let frames = published(text_len);
        let [
            AMQPFrame::Method(..),
            AMQPFrame::Header(_, header),
            AMQPFrame::Body(_, first),
            AMQPFrame::Body(_, rest),
        ] = &frames[..]
        else {
            panic!("{frames:?}")
        };
        let headers = header.properties.headers().as_ref().expect("headers");
        assert!(headers.inner().contains_key("x-loomflow-publish"));
        assert_eq!(headers.inner().len(), expected_headers);
        assert_eq!(
            (first.len(), rest.len()),
            (FRAME_MIN_BYTES as usize - FRAME_OVERHEAD_BYTES, 5_000 - first.len())
        );
    }
}
