//! Reports to the control plane: HTTP/1.1 calls and their answers.

use crate::buffer::{Buffer, Decoder, Malformed};

const MAX_HEAD_BYTES: usize = 4096;
const MAX_BODY_BYTES: usize = 4096;
const MAX_HEADERS: usize = 32;

/// The status of an answer; its body means nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpStatus(pub u16);

#[derive(Debug)]
pub struct HttpResponses {
    buffer: Buffer,
}

impl Default for HttpResponses {
    fn default() -> HttpResponses {
        HttpResponses { buffer: Buffer::new(MAX_HEAD_BYTES + MAX_BODY_BYTES) }
    }
}

impl Decoder for HttpResponses {
    type Message = HttpStatus;

    fn buffer(&mut self) -> &mut Buffer {
        &mut self.buffer
    }

    fn next(&mut self) -> Result<Option<HttpStatus>, Malformed> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let unread = self.buffer.unread();
        let head = match response.parse(unread) {
            Ok(httparse::Status::Complete(head)) => head,
            Ok(httparse::Status::Partial) if unread.len() < MAX_HEAD_BYTES => return Ok(None),
            Ok(httparse::Status::Partial) => return Err(Malformed("an answer's head is too long")),
            Err(_) => return Err(Malformed("an answer is not HTTP")),
        };
        let status = response.code.unwrap_or(0);
        let stated = response.headers.iter().find(|h| h.name.eq_ignore_ascii_case("content-length"));
        let length = match stated {
            // These have no body, whatever they state.
            _ if status == 204 || status == 304 || status < 200 => 0,
            None => 0,
            Some(header) => crate::buffer::digits(header.value.trim_ascii())
                .and_then(|n| usize::try_from(n).ok())
                .filter(|n| *n <= MAX_BODY_BYTES)
                .ok_or(Malformed("an answer's length cannot be read or is too long"))?,
        };
        if unread.len() < head + length {
            return Ok(None);
        }
        self.buffer.consume(head + length);
        Ok(Some(HttpStatus(status)))
    }
}

/// A report that `name` is ready, or is not.
pub fn write_report(out: &mut Vec<u8>, name: &str, ready: bool) {
    let condition = if ready { "Ready" } else { "NotReady" };
    let body = format!("{{\"condition\":\"{condition}\"}}");
    let head = format!(
        "PUT /v2/endpoints/{name} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body.as_bytes());
}
