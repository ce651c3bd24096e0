//! Assembles the messages of one channel from their frames: a method that carries content, a header, and body frames up
//! to the size that the header states (specification 4.2.6).

use amq_protocol::frame::AMQPContentHeader;
use amq_protocol::protocol::basic::{AMQPMethod, AMQPProperties, Deliver, Return};
use loomflow_protocol::Malformed;

/// Class id of `basic`, the only class with content (specification 1.8).
pub const BASIC_CLASS_ID: u16 = 60;

/// Method that introduces a message.
#[derive(Clone, Debug, PartialEq)]
pub enum Envelope {
    /// Delivery to a consumer.
    Deliver(Deliver),
    /// Return of a message that was published here and could not be routed.
    Return(Return),
}

/// A message that was received completely.
#[derive(Clone, Debug, PartialEq)]
pub struct Content {
    /// Method that introduced the message.
    pub envelope: Envelope,
    /// Properties from the content header.
    pub properties: AMQPProperties,
    /// Body; empty if [`Content::is_too_large`].
    pub body: Vec<u8>,
    /// Whether the body exceeds the maximum size. Its bytes were read and discarded.
    pub is_too_large: bool,
}

/// Assembler for the messages of one channel.
#[derive(Debug)]
pub struct Assembler {
    max_body_bytes: usize,
    partial: Option<PartialContent>,
}

#[derive(Debug)]
struct PartialContent {
    content: Content,
    /// Bytes of the body that are still missing; `None` before the header was received.
    remaining: Option<u64>,
}

impl Assembler {
    /// Creates an assembler that discards bodies larger than `max_body_bytes`.
    pub fn new(max_body_bytes: usize) -> Assembler {
        Assembler { max_body_bytes, partial: None }
    }

    /// Whether a message is incomplete. Until it is complete, no method is allowed on the channel (specification
    /// 4.2.6).
    pub fn is_open(&self) -> bool {
        self.partial.is_some()
    }

    /// Handles a method frame; returns the method unless it introduces a message.
    ///
    /// # Errors
    ///
    /// Fails if the previous message is incomplete.
    pub fn method(&mut self, method: AMQPMethod) -> Result<Option<AMQPMethod>, Malformed> {
        if self.is_open() {
            return Err(Malformed("a method frame inside an incomplete message"));
        }
        let envelope = match method {
            AMQPMethod::Deliver(deliver) => Envelope::Deliver(deliver),
            AMQPMethod::Return(returned) => Envelope::Return(returned),
            other => return Ok(Some(other)),
        };
        let properties = AMQPProperties::default();
        let content = Content { envelope, properties, body: Vec::new(), is_too_large: false };
        self.partial = Some(PartialContent { content, remaining: None });
        Ok(None)
    }

    /// Handles a content header; returns the message if it has no body.
    ///
    /// # Errors
    ///
    /// Fails if no method introduced the message, or if the header is a second one or belongs to another class.
    pub fn header(&mut self, header: AMQPContentHeader) -> Result<Option<Content>, Malformed> {
        let partial = self.partial.as_mut().ok_or(Malformed("a content header without its method"))?;
        if partial.remaining.is_some() || header.class_id != BASIC_CLASS_ID {
            return Err(Malformed("an unexpected content header"));
        }
        partial.remaining = Some(header.body_size);
        partial.content.properties = header.properties;
        partial.content.is_too_large = header.body_size > self.max_body_bytes as u64;
        Ok(self.take_complete())
    }

    /// Handles a body frame; returns the message if it completes the body.
    ///
    /// # Errors
    ///
    /// Fails if the header is missing, or if the body exceeds the size that the header states.
    pub fn body(&mut self, bytes: &[u8]) -> Result<Option<Content>, Malformed> {
        let partial = self.partial.as_mut().ok_or(Malformed("a body frame without its method"))?;
        let remaining = partial.remaining.ok_or(Malformed("a body frame without its content header"))?;
        let remaining = remaining
            .checked_sub(bytes.len() as u64)
            .ok_or(Malformed("a body longer than its content header states"))?;
        partial.remaining = Some(remaining);
        if !partial.content.is_too_large {
            partial.content.body.extend_from_slice(bytes);
        }
        Ok(self.take_complete())
    }

    fn take_complete(&mut self) -> Option<Content> {
        self.partial.take_if(|partial| partial.remaining == Some(0)).map(|partial| partial.content)
    }
}

#[cfg(test)]
mod tests;
