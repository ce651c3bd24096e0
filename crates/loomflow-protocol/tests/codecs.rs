//! Every codec with its bytes split at every position, and with malformed input.

use loomflow_protocol::control::{HttpResponses, HttpStatus, write_report};
use loomflow_protocol::engine::{Command, Notice, Notices, RunEnd};
use loomflow_protocol::gateway::{
    Request, Requests, ResponseFields, ResponseStatus, write_goodbye, write_response,
};
use loomflow_protocol::ledger::{Replies, Reply, ReplyStatus, write_abandon, write_post};
use loomflow_protocol::{AttemptId, Decoder, Malformed};
use proptest::prelude::*;

/// All messages that are decoded from `pieces`.
fn decode<D: Decoder + Default>(pieces: &[&[u8]]) -> Result<Vec<D::Message>, Malformed> {
    let mut decoder = D::default();
    let mut messages = Vec::new();
    for piece in pieces {
        // In small steps like a driver: complete messages are taken before more is read.
        for step in piece.chunks(700) {
            assert!(decoder.buffer().feed(step), "the buffer is full");
            while let Some(message) = decoder.next()? {
                messages.push(message);
            }
        }
    }
    Ok(messages)
}

/// Decodes the bytes split at every position and byte by byte, and checks that the messages are the same.
fn same_at_every_split<D: Decoder + Default>(bytes: &[u8]) -> Vec<D::Message>
where
    D::Message: PartialEq + std::fmt::Debug,
{
    let whole = decode::<D>(&[bytes]).expect("well formed");
    for at in 0..=bytes.len() {
        assert_eq!(decode::<D>(&[&bytes[..at], &bytes[at..]]).expect("well formed"), whole, "split at {at}");
    }
    let single: Vec<&[u8]> = bytes.chunks(1).collect();
    assert_eq!(decode::<D>(&single).expect("well formed"), whole);
    whole
}

fn array(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
    out
}

const FIELDS: &str =
    "req=9b1f03aa5c7e2d41,ts=1764576000123,via=4,owner=acme,ms=12.50,need=24.5,level=0.6250,subject=7f3a";

fn call(fields: &str, body: &[u8]) -> Vec<u8> {
    array(&[b"RPC.CALL", b"7", b"checkout", fields.as_bytes(), body])
}

fn invalid_reason(fields: &str) -> &'static str {
    match &decode::<Requests>(&[&call(fields, b"")]).expect("framed")[..] {
        [Request::Invalid { tag: 7, reason }] => reason,
        other => panic!("{fields}: {other:?}"),
    }
}

#[test]
fn requests_are_the_same_at_every_split() {
    let mut bytes = call(FIELDS, b"any\r\n*1\r\n\0\xff bytes");
    bytes.extend(array(&[b"RPC.HEALTH", b"8", b"real=1"]));
    bytes.extend(array(&[b"RPC.HEALTH", b"9"]));
    bytes.extend(array(&[b"RPC.SING", b"10"]));
    let read = same_at_every_split::<Requests>(&bytes);
    let Request::Call(call) = &read[0] else { panic!("{:?}", read[0]) };
    assert_eq!((call.tag, call.class.as_str(), call.id), (7, "checkout", AttemptId(0x9b1f_03aa_5c7e_2d41)));
    assert_eq!(
        (call.arrived_at, call.gateway, call.tenant.as_deref()),
        (1_764_576_000_123.0, 4, Some("acme"))
    );
    assert_eq!((call.estimated_work, call.memory_kb, call.rank), (Some(12.5), 24.5, 0.625));
    assert_eq!(
        (call.subject.as_deref(), call.body.as_slice()),
        (Some("7f3a"), &b"any\r\n*1\r\n\0\xff bytes"[..])
    );
    assert_eq!(read[1], Request::Health { tag: 8, is_deep: true });
    assert_eq!(read[2], Request::Health { tag: 9, is_deep: false });
    assert!(matches!(read[3], Request::Invalid { tag: 10, .. }));
}

#[test]
fn the_longest_body_is_accepted_and_one_byte_more_is_not() {
    let read = decode::<Requests>(&[&call(FIELDS, &[7; 2048])]).expect("well formed");
    assert!(matches!(&read[..], [Request::Call(call)] if call.body.len() == 2048));
    assert!(decode::<Requests>(&[&call(FIELDS, &[7; 2049])]).is_err());
}

#[test]
fn unknown_fields_are_skipped_and_optional_ones_may_be_missing() {
    let fields = "req=9b1f03aa5c7e2d41,new=1,ts=1,via=0,need=1,level=0";
    let read = decode::<Requests>(&[&call(fields, b"")]).expect("framed");
    assert!(matches!(&read[..], [Request::Call(c)] if c.tenant.is_none() && c.estimated_work.is_none()));
}

#[test]
fn a_missing_or_unreadable_field_is_named_and_the_tag_is_kept() {
    assert!(invalid_reason("ts=1,via=4,need=1,level=0").contains("req"));
    assert!(invalid_reason("req=9B1F03AA5C7E2D41,ts=1,via=4,need=1,level=0").contains("req"));
    assert!(invalid_reason("req=9b1f03aa5c7e2d41,via=4,need=1,level=0").contains("ts"));
    assert!(invalid_reason("req=9b1f03aa5c7e2d41,ts=soon,via=4,need=1,level=0").contains("ts"));
    assert!(invalid_reason("req=9b1f03aa5c7e2d41,ts=1,need=1,level=0").contains("via"));
    assert!(invalid_reason("req=9b1f03aa5c7e2d41,ts=1,via=4,level=0").contains("need"));
    assert!(invalid_reason("req=9b1f03aa5c7e2d41,ts=1,via=4,need=2000,level=0").contains("need"));
    assert!(invalid_reason("req=9b1f03aa5c7e2d41,ts=1,via=4,need=NaN,level=0").contains("need"));
    assert!(invalid_reason("req=9b1f03aa5c7e2d41,ts=1,via=4,need=1,level=1").contains("level"));
    assert!(invalid_reason("req=9b1f03aa5c7e2d41,ts=1,via=4,need=1,level=-0.1").contains("level"));
    assert!(invalid_reason("nonsense").contains("field"));
}

#[test]
fn a_malformed_array_is_an_error_and_no_memory_is_reserved_for_a_claimed_length() {
    let cases: [&[u8]; 11] = [
        b"GET / HTTP/1.1\r\n\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*999999999\r\n",
        b"*5000000000000000000000000\r\n",
        b"*2\r\n+OK\r\n",
        b"*2\r\n$999999999\r\n",
        b"*2\r\n$10\r\nRPC.HEALTHxx",
        b"*2\r\n$10\r\nRPC.HEALTH\r\n$1\r\nx\r\n",
        b"*1\r\n$10\r\nRPC.HEALTH\r\n",
        b"*111111111111111111111111111111111",
    ];
    for bytes in cases {
        let mut decoder = Requests::default();
        assert!(decoder.buffer().feed(bytes));
        assert!(decoder.next().is_err(), "{}", String::from_utf8_lossy(bytes));
        assert!(decoder.buffer().unread().len() < 64);
    }
}

#[test]
fn the_buffer_is_bounded_and_freed_when_empty() {
    let mut decoder = Requests::default();
    let mut fed = 0;
    // A word that never ends: the buffer is full before the word is complete.
    while decoder.buffer().feed(&[b'$'; 1000]) && fed < 100 {
        fed += 1;
    }
    assert!(fed < 20);
    let mut decoder = Requests::default();
    assert!(decoder.buffer().feed(&call(FIELDS, b"x")));
    assert!(decoder.next().expect("well formed").is_some());
    assert!(decoder.buffer().unread().is_empty());
}

#[test]
fn responses_are_arrays_with_the_tag_first() {
    let mut out = Vec::new();
    let fields = ResponseFields { signal: Some(0.25), retry_after: 12.5, is_final: true };
    write_response(&mut out, 7, ResponseStatus::Busy, fields, b"");
    assert_eq!(out, array(&[b"7", b"BUSY", b"signal=0.2500,holdoff=12.500,nomore=1", b""]));
    out.clear();
    write_response(&mut out, 8, ResponseStatus::Ok, ResponseFields::default(), b"\r\n\0");
    assert_eq!(out, array(&[b"8", b"OK", b"", b"\r\n\0"]));
    out.clear();
    write_goodbye(&mut out);
    assert_eq!(out, array(&[b"0", b"BYE"]));
}

#[test]
fn notices_are_the_same_at_every_split() {
    let bytes = b"HELLO starting 120.5\r\nNOTE 1 all is well\r\nNEED 2 9b1f03aa5c7e2d41 5\r\na\r\nb\0\r\n\
        STATS 4 0.62 3 0.41 120\r\nDONE 3 9b1f03aa5c7e2d41 fine 18.5 3\r\n\r\n\xff\r\n\
        DONE 4 9b1f03aa5c7e2d41 fault 1 0\r\n\r\nTESTED 5 fine\r\nNO RUN 9b1f03aa5c7e2d41\r\nNO FEED\r\n";
    let id = AttemptId(0x9b1f_03aa_5c7e_2d41);
    let read = same_at_every_split::<Notices>(bytes);
    let done = |number, end, took, result: &[u8]| Notice::Done {
        number,
        id,
        end,
        duration: took,
        result: result.into(),
    };
    assert_eq!(
        read,
        [
            Notice::Hello { is_starting: true, age: 120.5 },
            Notice::Note { number: 1 },
            Notice::Need { number: 2, id, body: b"a\r\nb\0".into() },
            Notice::Stats { tag: "4".into(), values: vec![0.62, 3.0, 0.41, 120.0] },
            done(3, RunEnd::Succeeded, 18.5, b"\r\n\xff"),
            done(4, RunEnd::Failed, 1.0, b""),
            Notice::HealthChecked { tag: "5".into(), has_passed: true },
            Notice::CommandRejected { command: "RUN".into(), id: Some(id) },
            Notice::CommandRejected { command: "FEED".into(), id: None },
        ]
    );
}

#[test]
fn malformed_notices_are_errors() {
    let long = [b'x'; 2000];
    let cases: [&[u8]; 9] = [
        b"HELLO sleepy 4\r\n",
        b"WHAT 4\r\n",
        b"DONE x 9b1f03aa5c7e2d41 fine 1 0\r\n",
        b"DONE 1 9b1f03aa5c7e2d41 perhaps 1 0\r\n",
        b"DONE 1 9b1f fine 1 0\r\n",
        b"NEED 1 9b1f03aa5c7e2d41 99999999999\r\n",
        b"NEED 1 9b1f03aa5c7e2d41 1\r\nabc",
        b"STATS 1 0.5 many\r\n",
        &long,
    ];
    for bytes in cases {
        assert!(decode::<Notices>(&[bytes]).is_err(), "{}", String::from_utf8_lossy(bytes));
    }
}

#[test]
fn commands_are_lines_followed_by_their_bodies() {
    let id = AttemptId(0xab);
    let mut out = Vec::new();
    for command in [
        Command::Attach { last: 3 },
        Command::Run { id, class: "text", body: b"\r\n" },
        Command::Feed { id, reply: b"" },
        Command::Skip { id },
        Command::Halt { id },
        Command::Stat { tag: 1 },
        Command::Test { tag: 2 },
    ] {
        command.write(&mut out);
    }
    let id = "00000000000000ab";
    let expected = format!(
        "ATTACH 3\r\nRUN {id} text 2\r\n\r\n\r\nFEED {id} 0\r\n\r\nSKIP {id}\r\nHALT {id}\r\nSTAT 1\r\nTEST 2\r\n"
    );
    assert_eq!(String::from_utf8(out).expect("text"), expected);
}

#[test]
fn replies_are_the_same_at_every_split() {
    let id = AttemptId(0x9b1f_03aa_5c7e_2d41);
    let bytes =
        b"9b1f03aa5c7e2d41 posted 4\r\n\r\n\r\n\r\n9b1f03aa5c7e2d41 queue_full\r\n9b1f03aa5c7e2d41 error\r\n\
        9b1f03aa5c7e2d41 expired\r\n9b1f03aa5c7e2d41 moot\r\n";
    let answers = [
        ReplyStatus::Posted(b"\r\n\r\n".into()),
        ReplyStatus::QueueFull,
        ReplyStatus::Error,
        ReplyStatus::Expired,
        ReplyStatus::NotStarted,
    ];
    let expected: Vec<Reply> = answers.into_iter().map(|answer| Reply { id, status: answer }).collect();
    assert_eq!(same_at_every_split::<Replies>(bytes), expected);
}

#[test]
fn malformed_replies_are_errors() {
    let cases: [&[u8]; 5] = [
        b"hello\r\n",
        b"9b1f03aa5c7e2d41\r\n",
        b"9b1f03aa5c7e2d41 posted\r\n",
        b"9b1f03aa5c7e2d41 posted 123456789\r\n",
        b"9b1f03aa5c7e2d41 posted 1\r\nabc",
    ];
    for bytes in cases {
        assert!(decode::<Replies>(&[bytes]).is_err(), "{}", String::from_utf8_lossy(bytes));
    }
}

#[test]
fn calls_carry_the_request_id_and_the_unchanged_body() {
    let mut out = Vec::new();
    write_post(&mut out, AttemptId(1), 250, b"a\r\n\0");
    write_abandon(&mut out, AttemptId(1));
    let expected = b"post 0000000000000001 250 4\r\na\r\n\0\r\nabandon 0000000000000001\r\n";
    assert_eq!(out, expected);
}

#[test]
fn http_responses_are_the_same_at_every_split() {
    let bytes = b"HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nwaitHTTP/1.1 200 OK\r\n\
        content-length: 0\r\n\r\n";
    assert_eq!(
        same_at_every_split::<HttpResponses>(bytes),
        [HttpStatus(204), HttpStatus(503), HttpStatus(200)]
    );
    for wrong in [&b"SSH-2.0\r\n"[..], b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"] {
        assert!(decode::<HttpResponses>(&[wrong]).is_err());
    }
}

#[test]
fn a_report_states_its_length() {
    let mut out = Vec::new();
    write_report(&mut out, "n3", true);
    let text = String::from_utf8(out).expect("text");
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    assert!(head.starts_with("PUT /v2/endpoints/n3 HTTP/1.1\r\n"));
    assert!(head.contains(&format!("Content-Length: {}", body.len())));
    assert_eq!(body, "{\"condition\":\"Ready\"}");
}

proptest! {
    /// No input makes a decoder panic or exceed the bound of its buffer.
    #[test]
    fn arbitrary_bytes_neither_panic_nor_exceed_the_buffer(bytes in proptest::collection::vec(any::<u8>(), 0..400), head in 0usize..4) {
        let head: &[u8] = [&b""[..], b"*5\r\n$8\r\nRPC.CALL\r\n$1\r\n7\r\n$1\r\nx\r\n$", b"DONE 1 ", b"HTTP/1.1 "][head];
        let input = [head, &bytes].concat();
        let _ = decode::<Requests>(&[&input]);
        let _ = decode::<Notices>(&[&input]);
        let _ = decode::<Replies>(&[&input]);
        let _ = decode::<HttpResponses>(&[&input]);
    }
}
