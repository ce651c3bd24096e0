//! The messages between members: length-prefixed postcard. Payloads of membership and consensus are encoded
//! by their libraries.
//!
//! [`FrameReader`] splits a stream into messages. A message that is too long, cannot be decoded, or comes
//! from another fleet is an error that ends its connection: nothing after it on that stream can be trusted.
//! Only [`encode`] and [`decode`] handle the bytes of a message; encryption would be added there.

use serde::{Deserialize, Serialize};

use crate::command::{FleetRequest, FleetResponse};
use crate::duty::{self, Token, summary::Summary};
use crate::maintenance::ticket::Ticket;
use crate::member::{FleetRequestId, LoadReport, MemberIdentity, Replica, ServerName};
use crate::time::IntegerMillis;

/// Maximum size of a message, bytes: enough for a snapshot with the maximum number of tickets.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;
/// Size of the length prefix of each message, bytes. The prefix is big-endian.
pub const LENGTH_BYTES: usize = 4;

/// A message between two members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The fleet's name: messages of another fleet are rejected.
    pub fleet: String,
    /// The sender's identity.
    pub from: MemberIdentity,
    /// The content of the message.
    pub body: Body,
}

/// The content of a [`Message`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// A packet of the membership protocol, encoded by its library.
    Swim(Vec<u8>),
    /// A message between voters, encoded by the Raft library.
    Raft {
        /// The Raft group of the sender.
        group: u64,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// A member's load report to a voter.
    LoadReport {
        /// Time of sending, by the sender's clock.
        sent_at: IntegerMillis,
        /// The sender's load.
        load_report: LoadReport,
        /// The sender's replica of the log, if it is a voter.
        replica: Option<Replica>,
    },
    /// A voter's reply to a load report.
    Notification(Notification),
    /// A request to the leader, possibly forwarded by another member.
    Request {
        /// Id of the request; a retry carries the same id.
        id: FleetRequestId,
        /// Number of times that the request has been forwarded.
        hops: u8,
        /// The request to the leader.
        request: FleetRequest,
    },
    /// A response, returned along the path of its request.
    Response {
        /// Id of the request.
        id: FleetRequestId,
        /// The leader's response.
        response: FleetResponse,
    },
    /// The leader's notification of the duties that the receiver owns, sent when a change of them is
    /// committed.
    Duties(duty::Ownership),
    /// The fleet's summary, sent by the owner of the summary duty to all members.
    Summary {
        /// The owner's fencing token.
        token: Token,
        /// The fleet's load and capacity.
        summary: Summary,
    },
}

/// A voter's reply to a member's load report: the leader, and the ticket for which the member holds a
/// maintenance slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Notification {
    /// `sent_at` of the load report, by the clock of the member that sent it: the member uses it to recognize
    /// late replies.
    pub sent_at: IntegerMillis,
    /// The leader, if the voter knows one.
    pub leader: Option<ServerName>,
    /// The voter's Raft term.
    pub term: u64,
    /// Index of the last log entry that the voter applied.
    pub index: u64,
    /// The ticket for which the receiver holds a maintenance slot.
    pub ticket: Option<Ticket>,
}

/// An error that ends the reading of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The message is longer than [`MAX_MESSAGE_BYTES`]; with its length in bytes.
    #[error("a received message of {0} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes")]
    TooLong(usize),
    /// The bytes are not a valid message.
    #[error("received bytes cannot be decoded as a message between fleet members")]
    Unreadable,
    /// The message belongs to a fleet of another name.
    #[error("a received message carries the name of another fleet")]
    Foreign,
}

/// Encodes a message with its length prefix. Returns `None` if it exceeds [`MAX_MESSAGE_BYTES`]; it must not
/// be sent then.
pub fn encode(message: &Message) -> Option<Vec<u8>> {
    let mut framed = postcard::to_extend(message, vec![0; LENGTH_BYTES]).ok()?;
    let length = framed.len() - LENGTH_BYTES;
    if length > MAX_MESSAGE_BYTES {
        return None;
    }
    framed[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Some(framed)
}

/// Decodes a message, given without its length prefix.
///
/// # Errors
/// The bytes are not a valid message, or its fleet is not `fleet`.
pub fn decode(fleet: &str, bytes: &[u8]) -> Result<Message, FrameError> {
    let message: Message = postcard::from_bytes(bytes).map_err(|_| FrameError::Unreadable)?;
    if message.fleet != fleet {
        return Err(FrameError::Foreign);
    }
    Ok(message)
}

/// Capacity of the buffer that a reader keeps when it is empty, bytes.
const RETAINED_BUFFER_BYTES: usize = 32 * 1024;

/// Splits a stream into messages. It buffers at most one message of maximum size and one read.
#[derive(Default)]
pub struct FrameReader {
    buffer: Vec<u8>,
    /// Number of bytes at the front of the buffer that belong to returned messages.
    consumed: usize,
}

impl FrameReader {
    /// Appends bytes read from the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.release_consumed();
        let needed = self.buffer.len() + bytes.len();
        if needed > self.buffer.capacity() {
            let doubled = (2 * self.buffer.capacity()).min(LENGTH_BYTES + MAX_MESSAGE_BYTES);
            self.buffer.reserve_exact(needed.max(doubled) - self.buffer.len());
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Releases the memory of the messages that were returned.
    pub fn release_consumed(&mut self) {
        self.buffer.drain(..std::mem::take(&mut self.consumed));
        if self.buffer.is_empty() {
            self.buffer.shrink_to(RETAINED_BUFFER_BYTES);
        }
    }

    /// Memory of the buffer, bytes.
    pub fn buffer_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Whether a part of a message was received, and the rest was not.
    pub fn has_partial_message(&self) -> bool {
        self.consumed < self.buffer.len()
    }

    /// Returns the next complete message without its length prefix, or `None` if more bytes are needed.
    ///
    /// # Errors
    /// The length exceeds [`MAX_MESSAGE_BYTES`].
    pub fn next_frame(&mut self) -> Result<Option<&[u8]>, FrameError> {
        let unread = &self.buffer[self.consumed..];
        let Some(prefix) = unread.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(FrameError::TooLong(length));
        }
        if unread.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        let start = self.consumed + LENGTH_BYTES;
        self.consumed = start + length;
        Ok(Some(&self.buffer[start..start + length]))
    }
}

#[cfg(test)]
mod tests;
