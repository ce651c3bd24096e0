//! Parsers for the commands to the engine and the responses to a gateway.

use std::collections::BTreeSet;

use loomflow_protocol::AttemptId;

const LINE_END: &[u8] = b"\r\n";
/// Number of digits of an attempt id.
const ID_LEN: usize = 16;

/// A command to the engine: its line without the line end, and the body of `RUN` and `FEED`.
pub(super) struct EngineCommand {
    pub(super) line: String,
    pub(super) body: Vec<u8>,
}

/// Returns the first complete command, and the bytes after it.
pub(super) fn next_command(bytes: &[u8]) -> Option<(EngineCommand, &[u8])> {
    let (line, rest) = next_line(bytes)?;
    if !line.starts_with("RUN ") && !line.starts_with("FEED ") {
        return Some((EngineCommand { line, body: Vec::new() }, rest));
    }
    let size: usize = line.rsplit(' ').next()?.parse().expect("the last field is the length of the body");
    let (body, rest) = rest.split_at_checked(size)?;
    let (_line_end, rest) = rest.split_at_checked(LINE_END.len())?;
    Some((EngineCommand { line, body: body.to_vec() }, rest))
}

fn next_line(bytes: &[u8]) -> Option<(String, &[u8])> {
    let end = bytes.windows(LINE_END.len()).position(|pair| pair == LINE_END)?;
    let line = String::from_utf8(bytes[..end].to_vec()).expect("a line is UTF-8");
    Some((line, &bytes[end + LINE_END.len()..]))
}

/// Returns the runs for which these bytes contain a complete `FEED` command.
pub(super) fn runs_with_reply(mut bytes: &[u8]) -> BTreeSet<AttemptId> {
    let mut runs = BTreeSet::new();
    while let Some((command, rest)) = next_command(bytes) {
        bytes = rest;
        if let Some(id) = command.line.strip_prefix("FEED ") {
            runs.extend(AttemptId::parse(&id.as_bytes()[..ID_LEN]));
        }
    }
    runs
}

/// A response as the gateway receives it.
pub(super) struct ReceivedResponse {
    /// Tag of the request; 0 in the `BYE` notice of a shutdown.
    pub(super) tag: u64,
    pub(super) status: String,
    pub(super) body: Vec<u8>,
}

/// Parses bytes that consist of complete responses.
pub(super) fn parse_responses(mut bytes: &[u8]) -> Vec<ReceivedResponse> {
    let mut responses = Vec::new();
    while !bytes.is_empty() {
        let element_count = take_number(&mut bytes);
        let elements: Vec<Vec<u8>> = (0..element_count).map(|_| take_bulk_string(&mut bytes)).collect();
        let text = |at: usize| String::from_utf8(elements[at].clone()).expect("an element is UTF-8");
        let body = elements.get(3).cloned().unwrap_or_default();
        responses.push(ReceivedResponse {
            tag: text(0).parse().expect("the first element is the tag"),
            status: text(1),
            body,
        });
    }
    responses
}

/// Removes a line such as `*4` or `$2` from the front of `bytes`, and returns its number.
fn take_number(bytes: &mut &[u8]) -> usize {
    let (line, rest) = next_line(bytes).expect("the line is complete");
    *bytes = rest;
    line[1..].parse().expect("the line has a number")
}

fn take_bulk_string(bytes: &mut &[u8]) -> Vec<u8> {
    let size = take_number(bytes);
    let content = bytes[..size].to_vec();
    *bytes = &bytes[size + LINE_END.len()..];
    content
}
