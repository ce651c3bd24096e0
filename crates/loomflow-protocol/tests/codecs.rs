//! Tests of all codecs. Decoders must yield the same messages however the bytes are split, reject malformed input, and
//! bound their memory.

use loomflow_protocol::control::{HttpResponseDecoder, HttpStatus, write_report};
use loomflow_protocol::engine::{Command, Notice, NoticeDecoder, RunEnd};
use loomflow_protocol::gateway::{
    Request, RequestDecoder, ResponseFields, ResponseStatus, write_bye, write_response,
};
use loomflow_protocol::ledger::{Reply, ReplyDecoder, ReplyStatus, write_abandon, write_post};
use loomflow_protocol::{AttemptId, Decoder, Malformed};
use proptest::prelude::*;

/// Decodes the messages of `chunks`, which arrive one after the other.
fn decode<D: Decoder + Default>(chunks: &[&[u8]]) -> Result<Vec<D::Message>, Malformed> {
    let mut decoder = D::default();
    let mut messages = Vec::new();
    for chunk in chunks {
        // Like a connection's driver, takes complete messages before it reads more.
        for read in chunk.chunks(700) {
            assert!(decoder.buffer().feed(read), "the buffer has no space for {} bytes", read.len());
            while let Some(message) = decoder.next()? {
                messages.push(message);
            }
        }
    }
    Ok(messages)
}

/// Decodes `bytes` as a whole, split in two at every position, and byte by byte; checks that the messages are the same
/// and returns them.
fn decode_at_every_split<D: Decoder + Default>(bytes: &[u8]) -> Vec<D::Message>
where
    D::Message: PartialEq + std::fmt::Debug,
{
    let whole = decode::<D>(&[bytes]).expect("well-formed bytes");
    for at in 0..=bytes.len() {
        assert_eq!(
            decode::<D>(&[&bytes[..at], &bytes[at..]]).expect("well-formed bytes"),
            whole,
            "split at {at}"
        );
    }
    let single_bytes: Vec<&[u8]> = bytes.chunks(1).collect();
    assert_eq!(decode::<D>(&single_bytes).expect("well-formed bytes"), whole);
    whole
}

/// Encodes an array of bulk strings.
fn array(elements: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", elements.len()).into_bytes();
    for element in elements {
        out.extend_from_slice(format!("${}\r\n", element.len()).as_bytes());
        out.extend_from_slice(element);
        out.extend_from_slice(b"\r\n");
    }
    out
}

const FIELDS: &str =
    "req=9b1f03aa5c7e2d41,ts=1764576000123,via=4,owner=acme,ms=12.50,need=24.5,level=0.6250,subject=7f3a";

fn call(fields: &str, body: &[u8]) -> Vec<u8> {
    array(&[b"RPC.CALL", b"7", b"checkout", fields.as_bytes(), body])
}

/// Decodes a call with these fields, which must be invalid, and returns the reason.
fn invalid_reason(fields: &str) -> &'static str {
    match &decode::<RequestDecoder>(&[&call(fields, b"")]).expect("a well-formed array")[..] {
        [Request::Invalid { tag: 7, reason }] => reason,
        other => panic!("{fields}: {other:?}"),
    }
}

#[test]
fn requests_split_at_any_byte_decode_alike() {
    let mut bytes = call(FIELDS, b"any\r\n*1\r\n\0\xff bytes");
    bytes.extend(array(&[b"RPC.HEALTH", b"8", b"real=1"]));
    bytes.extend(array(&[b"RPC.HEALTH", b"9"]));
    bytes.extend(array(&[b"RPC.SING", b"10"]));
    let requests = decode_at_every_split::<RequestDecoder>(&bytes);
    let Request::Call(call) = &requests[0] else { panic!("{:?}", requests[0]) };
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
    assert_eq!(requests[1], Request::Health { tag: 8, is_deep: true });
    assert_eq!(requests[2], Request::Health { tag: 9, is_deep: false });
    assert!(matches!(requests[3], Request::Invalid { tag: 10, .. }));
}

#[test]
fn body_over_2048_bytes_is_rejected() {
    let requests = decode::<RequestDecoder>(&[&call(FIELDS, &[7; 2048])]).expect("well-formed bytes");
    assert!(matches!(&requests[..], [Request::Call(call)] if call.body.len() == 2048));
    assert!(decode::<RequestDecoder>(&[&call(FIELDS, &[7; 2049])]).is_err());
}

#[test]
fn unknown_fields_are_skipped_and_optional_fields_may_be_missing() {
    let fields = "req=9b1f03aa5c7e2d41,new=1,ts=1,via=0,need=1,level=0";
    let requests = decode::<RequestDecoder>(&[&call(fields, b"")]).expect("a well-formed array");
    assert!(
        matches!(&requests[..], [Request::Call(call)] if call.tenant.is_none() && call.estimated_work.is_none())
    );
}

#[test]
fn missing_or_invalid_field_is_named_in_the_reason() {
    assert!(invalid_reason("ts=1,via=4,need=1,level=0").starts_with("req "));
    assert!(invalid_reason("req=9B1F03AA5C7E2D41,ts=1,via=4,need=1,level=0").starts_with("req "));
    assert!(invalid_reason("req=9b1f03aa5c7e2d41,via=4,need=1,level=0").starts_with("ts "));
    assert!(invalid_reason("req=9b1f03aa5c7e2d41,ts=soon,via=4,need=1,level=0").starts_with("ts "));
    assert!(invalid_reason("req=9b1f03aa5c7e2d41,ts=1,need=1,level=0").starts_with("via "));
    assert!(invalid_reason("req=9b1f03aa5c7e2d41,ts=1,via=4,level=0").starts_with("need "));
    assert!(invalid_reason("req=9b1f03aa5c7e2d41,ts=1,via=4,need=2000,level=0").starts_with("need "));
    assert!(invalid_reason("req=9b1f03aa5c7e2d41,ts=1,via=4,need=NaN,level=0").starts_with("need "));
    assert!(invalid_reason("req=9b1f03aa5c7e2d41,ts=1,via=4,need=1,level=1").starts_with("level "));
    assert!(invalid_reason("req=9b1f03aa5c7e2d41,ts=1,via=4,need=1,level=-0.1").starts_with("level "));
    assert!(invalid_reason("nonsense").contains("field"));
}

#[test]
fn malformed_array_is_an_error_and_reserves_no_memory() {
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
        let mut decoder = RequestDecoder::default();
        assert!(decoder.buffer().feed(bytes));
        assert!(decoder.next().is_err(), "{}", String::from_utf8_lossy(bytes));
        assert!(decoder.buffer().unread().len() < 64);
    }
}

#[test]
fn buffer_is_bounded_and_emptied_by_decoding() {
    let mut decoder = RequestDecoder::default();
    let mut chunks = 0;
    // A line without an end fills the buffer, which then accepts no more.
    while decoder.buffer().feed(&[b'$'; 1000]) && chunks < 100 {
        chunks += 1;
    }
    assert!(chunks < 20, "{chunks} chunks of 1000 bytes were accepted");
    let mut decoder = RequestDecoder::default();
    assert!(decoder.buffer().feed(&call(FIELDS, b"x")));
    assert!(decoder.next().expect("well-formed bytes").is_some());
    assert!(decoder.buffer().unread().is_empty());
}

#[test]
fn response_is_an_array_that_begins_with_the_tag() {
    let mut out = Vec::new();
    let fields = ResponseFields { signal: Some(0.25), retry_after: 12.5, is_final: true };
    write_response(&mut out, 7, ResponseStatus::Busy, fields, b"");
    assert_eq!(out, array(&[b"7", b"BUSY", b"signal=0.2500,holdoff=12.500,nomore=1", b""]));
    out.clear();
    write_response(&mut out, 8, ResponseStatus::Ok, ResponseFields::default(), b"\r\n\0");
    assert_eq!(out, array(&[b"8", b"OK", b"", b"\r\n\0"]));
    out.clear();
    write_bye(&mut out);
    assert_eq!(out, array(&[b"0", b"BYE"]));
}

#[test]
fn notices_split_at_any_byte_decode_alike() {
    let bytes = b"HELLO starting 120.5\r\nNOTE 1 all is well\r\nNEED 2 9b1f03aa5c7e2d41 5\r\na\r\nb\0\r\n\
        STATS 4 0.62 3 0.41 120\r\nDONE 3 9b1f03aa5c7e2d41 fine 18.5 3\r\n\r\n\xff\r\n\
        DONE 4 9b1f03aa5c7e2d41 fault 1 0\r\n\r\nTESTED 5 fine\r\nNO RUN 9b1f03aa5c7e2d41\r\nNO FEED\r\n";
    let id = AttemptId(0x9b1f_03aa_5c7e_2d41);
    let notices = decode_at_every_split::<NoticeDecoder>(bytes);
    let done = |number, end, duration, result: &[u8]| Notice::Done {
        number,
        id,
        end,
        duration,
        result: result.into(),
    };
    assert_eq!(
        notices,
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
    let overlong_line = [b'x'; 2000];
    let cases: [&[u8]; 9] = [
        b"HELLO sleepy 4\r\n",
        b"WHAT 4\r\n",
        b"DONE x 9b1f03aa5c7e2d41 fine 1 0\r\n",
        b"DONE 1 9b1f03aa5c7e2d41 perhaps 1 0\r\n",
        b"DONE 1 9b1f fine 1 0\r\n",
        b"NEED 1 9b1f03aa5c7e2d41 99999999999\r\n",
        b"NEED 1 9b1f03aa5c7e2d41 1\r\nabc",
        b"STATS 1 0.5 many\r\n",
        &overlong_line,
    ];
    for bytes in cases {
        assert!(decode::<NoticeDecoder>(&[bytes]).is_err(), "{}", String::from_utf8_lossy(bytes));
    }
}

#[test]
fn commands_are_lines_with_their_bodies() {
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
    assert_eq!(String::from_utf8(out).expect("the written message is UTF-8"), expected);
}

#[test]
fn replies_split_at_any_byte_decode_alike() {
    let id = AttemptId(0x9b1f_03aa_5c7e_2d41);
    let bytes =
        b"9b1f03aa5c7e2d41 posted 4\r\n\r\n\r\n\r\n9b1f03aa5c7e2d41 queue_full\r\n9b1f03aa5c7e2d41 error\r\n\
        9b1f03aa5c7e2d41 expired\r\n9b1f03aa5c7e2d41 moot\r\n";
    let statuses = [
        ReplyStatus::Posted(b"\r\n\r\n".into()),
        ReplyStatus::QueueFull,
        ReplyStatus::Error,
        ReplyStatus::Expired,
        ReplyStatus::NotStarted,
    ];
    let expected: Vec<Reply> = statuses.into_iter().map(|status| Reply { id, status }).collect();
    assert_eq!(decode_at_every_split::<ReplyDecoder>(bytes), expected);
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
        assert!(decode::<ReplyDecoder>(&[bytes]).is_err(), "{}", String::from_utf8_lossy(bytes));
    }
}

#[test]
fn calls_contain_the_id_and_the_unchanged_body() {
    let mut out = Vec::new();
    write_post(&mut out, AttemptId(1), 250, b"a\r\n\0");
    write_abandon(&mut out, AttemptId(1));
    let expected = b"post 0000000000000001 250 4\r\na\r\n\0\r\nabandon 0000000000000001\r\n";
    assert_eq!(out, expected);
}

#[test]
fn http_responses_split_at_any_byte_decode_alike() {
    let bytes = b"HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nwaitHTTP/1.1 200 OK\r\n\
        content-length: 0\r\n\r\n";
    assert_eq!(
        decode_at_every_split::<HttpResponseDecoder>(bytes),
        [HttpStatus(204), HttpStatus(503), HttpStatus(200)]
    );
    for malformed in [&b"SSH-2.0\r\n"[..], b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"] {
        assert!(decode::<HttpResponseDecoder>(&[malformed]).is_err());
    }
}

#[test]
fn report_has_its_content_length() {
    let mut out = Vec::new();
    write_report(&mut out, "n3", true);
    let text = String::from_utf8(out).expect("the written message is UTF-8");
    let (head, body) = text.split_once("\r\n\r\n").expect("an empty line ends the head");
    assert!(head.starts_with("PUT /v2/endpoints/n3 HTTP/1.1\r\n"));
    assert!(head.contains(&format!("Content-Length: {}", body.len())));
    assert_eq!(body, "{\"condition\":\"Ready\"}");
}

proptest! {
    /// No input makes a decoder panic or exceed the limit of its buffer.
    #[test]
    fn arbitrary_bytes_neither_panic_nor_overflow_the_buffer(bytes in proptest::collection::vec(any::<u8>(), 0..400), head in 0usize..4) {
        let head: &[u8] = [&b""[..], b"*5\r\n$8\r\nRPC.CALL\r\n$1\r\n7\r\n$1\r\nx\r\n$", b"DONE 1 ", b"HTTP/1.1 "][head];
        let input = [head, &bytes].concat();
        let _ = decode::<RequestDecoder>(&[&input]);
        let _ = decode::<NoticeDecoder>(&[&input]);
        let _ = decode::<ReplyDecoder>(&[&input]);
        let _ = decode::<HttpResponseDecoder>(&[&input]);
    }
}
