//! Messages: a method that carries content, a header and as many bodies as it states (specification 4.2.6), assembled on one
//! channel.

use amq_protocol::frame::AMQPContentHeader;
use amq_protocol::protocol::basic::{AMQPMethod, AMQPProperties, Deliver, Return};
use loomflow_protocol::Malformed;

/// Class id of `basic`, the only class with content (specification 1.8).
pub const BASIC_CLASS_ID: u16 = 60;

/// The method that a message came with.
#[derive(Clone, Debug, PartialEq)]
pub enum Envelope {
    /// A message for a consumer.
    Deliver(Deliver),
    /// A message of our own that could not be routed.
    Return(Return),
}

/// A complete message.
#[derive(Clone, Debug, PartialEq)]
pub struct Content {
    /// The method.
    pub envelope: Envelope,
    /// The properties of its header.
    pub properties: AMQPProperties,
    /// Empty where it is too large.
    pub body: Vec<u8>,
    /// Longer than is supported; its bytes were read and discarded.
    pub is_too_large: bool,
}

/// Assembles the messages of a channel from their frames.
#[derive(Debug)]
pub struct Assembler {
    max_body_bytes: usize,
    partial: Option<PartialContent>,
}

#[derive(Debug)]
struct PartialContent {
    content: Content,
    /// Body octets that are still to come; not known before the header.
    remaining: Option<u64>,
}

impl Assembler {
    /// Longer bodies than this are discarded.
    pub fn new(max_body_bytes: usize) -> Assembler {
        Assembler { max_body_bytes, partial: None }
    }

    /// Whether frames of a message are still to come, so that no method may (specification 4.2.6).
    pub fn is_open(&self) -> bool {
        self.partial.is_some()
    }

    /// Handles a method; returns it unless it begins a message.
    ///
    /// # Errors
    ///
    /// The rest of a message is due.
    pub fn method(&mut self, method: AMQPMethod) -> Result<Option<AMQPMethod>, Malformed> {
        if self.is_open() {
            return Err(Malformed("a method where the rest of a message is due"));
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

    /// A header came; returns the message where it is complete.
    ///
    /// # Errors
    /// No method announced it, or it is a second one, or of another class.
    pub fn header(&mut self, header: AMQPContentHeader) -> Result<Option<Content>, Malformed> {
        let partial = self.partial.as_mut().ok_or(Malformed("content without its method"))?;
        if partial.remaining.is_some() || header.class_id != BASIC_CLASS_ID {
            return Err(Malformed("a header where none is due"));
        }
        partial.remaining = Some(header.body_size);
        partial.content.properties = header.properties;
        partial.content.is_too_large = header.body_size > self.max_body_bytes as u64;
        Ok(self.take_complete())
    }

    /// A body came; returns the message where it is complete.
    ///
    /// # Errors
    /// It came before its header, or is longer than stated there.
    pub fn body(&mut self, bytes: &[u8]) -> Result<Option<Content>, Malformed> {
        let partial = self.partial.as_mut().ok_or(Malformed("content without its method"))?;
        let remaining = partial.remaining.ok_or(Malformed("content without its header"))?;
        let remaining =
            remaining.checked_sub(bytes.len() as u64).ok_or(Malformed("more content than was stated"))?;
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
