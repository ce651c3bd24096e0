//! The exact bytes of every message that a server writes. Peers depend on them: names in the code may change, these
//! bytes may not.

use loomflow_protocol::AttemptId;
use loomflow_protocol::control::write_report;
use loomflow_protocol::engine::Command;
use loomflow_protocol::gateway::{ResponseFields, ResponseStatus, write_bye, write_response};
use loomflow_protocol::ledger::{write_abandon, write_post};

const ID: AttemptId = AttemptId(0x9b1f_03aa_5c7e_2d41);

fn written(write: impl FnOnce(&mut Vec<u8>)) -> String {
    let mut out = Vec::new();
    write(&mut out);
    String::from_utf8(out).expect("the written message is UTF-8")
}

#[test]
fn responses_to_gateways() {
    let plain = ResponseFields::default();
    let cases = [
        (ResponseStatus::Ok, "*4\r\n$1\r\n7\r\n$2\r\nOK\r\n$0\r\n\r\n$2\r\nhi\r\n"),
        (ResponseStatus::Busy, "*4\r\n$1\r\n7\r\n$4\r\nBUSY\r\n$0\r\n\r\n$2\r\nhi\r\n"),
        (ResponseStatus::Failed, "*4\r\n$1\r\n7\r\n$6\r\nFAILED\r\n$0\r\n\r\n$2\r\nhi\r\n"),
        (ResponseStatus::Up, "*4\r\n$1\r\n7\r\n$2\r\nUP\r\n$0\r\n\r\n$2\r\nhi\r\n"),
        (ResponseStatus::Down, "*4\r\n$1\r\n7\r\n$4\r\nDOWN\r\n$0\r\n\r\n$2\r\nhi\r\n"),
    ];
    for (status, bytes) in cases {
        assert_eq!(written(|out| write_response(out, 7, status, plain, b"hi")), bytes);
    }
    assert_eq!(written(write_bye), "*2\r\n$1\r\n0\r\n$3\r\nBYE\r\n");
}

#[test]
fn fields_of_a_response() {
    let response = |signal, retry_after, is_final| {
        let fields = ResponseFields { signal, retry_after, is_final };
        written(|out| write_response(out, 1, ResponseStatus::Busy, fields, b""))
    };
    let expected =
        |fields: &str| format!("*4\r\n$1\r\n1\r\n$4\r\nBUSY\r\n${}\r\n{fields}\r\n$0\r\n\r\n", fields.len());
    assert_eq!(response(Some(0.0), 0.0, false), expected("signal=0.0000"));
    assert_eq!(response(Some(0.123_45), 0.0, false), expected("signal=0.1235"));
    assert_eq!(response(None, 1500.0, false), expected("holdoff=1500.000"));
    assert_eq!(response(None, 0.0, true), expected("nomore=1"));
    assert_eq!(response(Some(1.0), 0.5, true), expected("signal=1.0000,holdoff=0.500,nomore=1"));
}

#[test]
fn commands_to_the_engine() {
    let id = ID;
    let cases = [
        (Command::Attach { last: 12 }, "ATTACH 12\r\n"),
        (Command::Run { id, class: "read", body: b"abc" }, "RUN 9b1f03aa5c7e2d41 read 3\r\nabc\r\n"),
        (Command::Feed { id, reply: b"xy" }, "FEED 9b1f03aa5c7e2d41 2\r\nxy\r\n"),
        (Command::Halt { id }, "HALT 9b1f03aa5c7e2d41\r\n"),
        (Command::Resume { id }, "RESUME 9b1f03aa5c7e2d41\r\n"),
        (Command::Skip { id }, "SKIP 9b1f03aa5c7e2d41\r\n"),
        (Command::Stat { tag: 3 }, "STAT 3\r\n"),
        (Command::Test { tag: 4 }, "TEST 4\r\n"),
    ];
    for (command, bytes) in cases {
        assert_eq!(written(|out| command.write(out)), bytes);
    }
}

#[test]
fn calls_to_the_ledger() {
    assert_eq!(written(|out| write_post(out, ID, 250, b"abc")), "post 9b1f03aa5c7e2d41 250 3\r\nabc\r\n");
    assert_eq!(written(|out| write_abandon(out, ID)), "abandon 9b1f03aa5c7e2d41\r\n");
}

#[test]
fn reports_to_the_control_plane() {
    let bytes = |length: usize, condition: &str| {
        format!(
            "PUT /v2/endpoints/n3 HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
             Content-Length: {length}\r\n\r\n{{\"condition\":\"{condition}\"}}"
        )
    };
    assert_eq!(written(|out| write_report(out, "n3", true)), bytes(21, "Ready"));
    assert_eq!(written(|out| write_report(out, "n3", false)), bytes(24, "NotReady"));
}
