//! Messages: a method that carries content, a header and as many bodies as it says (spec 4.2.6), put together on
//! one channel.

use amq_protocol::frame::AMQPContentHeader;
use amq_protocol::protocol::basic::{AMQPMethod, AMQPProperties, Deliver, Return};
use loomflow_protocol::Malformed;

/// Class `basic`, the only one with content.
const BASIC: u16 = 60;

/// What a message came with.
#[derive(Clone, Debug, PartialEq)]
pub enum Envelope {
    Deliver(Deliver),
    /// One of ours that could not be routed.
    Return(Return),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Content {
    pub envelope: Envelope,
    pub properties: AMQPProperties,
    /// Empty where it is `too_large`.
    pub body: Vec<u8>,
    /// Longer than is taken; its bytes were read and left.
    pub is_too_large: bool,
}

/// A channel's message while its frames come.
#[derive(Debug)]
pub struct Assembler {
    max_body_bytes: usize,
    partial: Option<PartialContent>,
}

#[derive(Debug)]
struct PartialContent {
    content: Content,
    /// Body octets that are still to come; unknown before the header.
    remaining: Option<u64>,
}

impl Assembler {
    /// `most`: octets of a body that are kept.
    pub fn new(max_body_bytes: usize) -> Assembler {
        Assembler { max_body_bytes, partial: None }
    }

    /// Whether frames of a message are still to come, so that no method may (spec 4.2.6).
    pub fn is_open(&self) -> bool {
        self.partial.is_some()
    }

    /// A method came; one that carries content begins a message and gives nothing yet.
    pub fn method(&mut self, method: AMQPMethod) -> Result<Option<AMQPMethod>, Malformed> {
        if self.is_open() {
            return Err(Malformed("a method where the rest of a message is due"));
        }
        let envelope = match method {
            AMQPMethod::Deliver(deliver) => Envelope::Deliver(deliver),
            AMQPMethod::Return(back) => Envelope::Return(back),
            other => return Ok(Some(other)),
        };
        let properties = AMQPProperties::default();
        let content = Content { envelope, properties, body: Vec::new(), is_too_large: false };
        self.partial = Some(PartialContent { content, remaining: None });
        Ok(None)
    }

    /// Errors: a header that no method announced, or a second one, or of another class.
    pub fn header(&mut self, header: AMQPContentHeader) -> Result<Option<Content>, Malformed> {
        let half = self.partial.as_mut().ok_or(Malformed("content without its method"))?;
        if half.remaining.is_some() || header.class_id != BASIC {
            return Err(Malformed("a header where none is due"));
        }
        half.remaining = Some(header.body_size);
        half.content.properties = header.properties;
        half.content.is_too_large = header.body_size > self.max_body_bytes as u64;
        Ok(self.take_complete())
    }

    /// Errors: a body before its header, or beyond the size stated there.
    pub fn body(&mut self, bytes: &[u8]) -> Result<Option<Content>, Malformed> {
        let half = self.partial.as_mut().ok_or(Malformed("content without its method"))?;
        let left = half.remaining.ok_or(Malformed("content without its header"))?;
        let left = left.checked_sub(bytes.len() as u64).ok_or(Malformed("more content than was stated"))?;
        half.remaining = Some(left);
        if !half.content.is_too_large {
            half.content.body.extend_from_slice(bytes);
        }
        Ok(self.take_complete())
    }

    fn take_complete(&mut self) -> Option<Content> {
        self.partial.take_if(|half| half.remaining == Some(0)).map(|half| half.content)
    }
}

#[cfg(test)]
mod tests;
