//! What members exchange: envelopes behind a length. Payloads are written by the libraries' own codecs; ours are the length,
//! the envelope's fields and the bounds.
//!
//! A stream is cut into messages by [`FrameReader`]. A message that is too long, cannot be read, or comes from another fleet
//! is an error that ends its connection: nothing after it on that stream can be trusted. [`encode`] and [`decode`] are the
//! only places that see bytes, and where encryption would be added.

use serde::{Deserialize, Serialize};

use crate::command::{FleetRequest, FleetResponse};
use crate::duty::{self, Token, summary::Summary};
use crate::maintenance::ticket::Ticket;
use crate::member::{FleetRequestId, LoadReport, MemberIdentity, Replica, ServerName};
use crate::time::IntegerMillis;

/// Maximum size of a message, bytes: a snapshot of as many tickets as there may be.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;
/// Size of the length before each message, bytes; big-endian.
pub const LENGTH_BYTES: usize = 4;

/// One message between two members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The fleet's name: messages of another fleet are rejected.
    pub fleet: String,
    /// Who sends it.
    pub from: MemberIdentity,
    /// The message itself.
    pub body: Body,
}

/// The body of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Membership, by its library's codec.
    Swim(Vec<u8>),
    /// Consensus, by its library's codec, among the voters of one group.
    Raft {
        /// The Raft group of the sender.
        group: u64,
        /// The library's message.
        bytes: Vec<u8>,
    },
    /// A member's load, to the voters.
    LoadReport {
        /// When it was sent, by the member's own clock.
        sent_at: IntegerMillis,
        /// The load.
        load_report: LoadReport,
        /// The sender's replica if it is a voter.
        replica: Option<Replica>,
    },
    /// A voter's reply to a load report.
    Notification(Notification),
    /// A request on its way to the leader.
    Request {
        /// Identifies the request; a retry carries the same.
        id: FleetRequestId,
        /// How often it has been forwarded.
        hops: u8,
        /// The request.
        request: FleetRequest,
    },
    /// A response on its way back.
    Response {
        /// The request that it answers.
        id: FleetRequestId,
        /// The response.
        response: FleetResponse,
    },
    /// The leader notifies a member of the duties that it owns, as soon as that is committed.
    Duties(duty::Ownership),
    /// The owner of the summary sends it to all members.
    Summary {
        /// The owner's fencing token.
        token: Token,
        /// The fleet in figures.
        summary: Summary,
    },
}

/// A voter's reply to a member's load report: who leads, and the ticket by which the member is to shut down.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Notification {
    /// When the load report that this answers was sent, by its sender's clock: a late notification is recognized by it.
    pub sent_at: IntegerMillis,
    /// The leader as far as the voter knows.
    pub leader: Option<ServerName>,
    /// The voter's term.
    pub term: u64,
    /// The index up to which the voter has applied its log.
    pub index: u64,
    /// The ticket by which the receiver has a place.
    pub ticket: Option<Ticket>,
}

/// Why a stream cannot be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// Longer than [`MAX_MESSAGE_BYTES`]; the length in bytes.
    #[error("a message of {0} bytes is too long")]
    TooLong(usize),
    /// Not a message.
    #[error("a message cannot be read")]
    Unreadable,
    /// From a fleet of another name.
    #[error("a message of another fleet")]
    Foreign,
}

/// One message with its length before it. None where it would be over the bound: it is never sent.
pub fn encode(message: &Message) -> Option<Vec<u8>> {
    let mut framed = postcard::to_extend(message, vec![0; LENGTH_BYTES]).ok()?;
    let length = framed.len() - LENGTH_BYTES;
    if length > MAX_MESSAGE_BYTES {
        return None;
    }
    framed[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Some(framed)
}

/// Reads what [`encode`] wrote, without its length.
///
/// # Errors
/// The bytes are not a message, or one of another fleet.
pub fn decode(fleet: &str, bytes: &[u8]) -> Result<Message, FrameError> {
    let message: Message = postcard::from_bytes(bytes).map_err(|_| FrameError::Unreadable)?;
    if message.fleet != fleet {
        return Err(FrameError::Foreign);
    }
    Ok(message)
}

/// Splits a stream into messages. Buffers no more than one message of maximum size and one read.
#[derive(Default)]
pub struct FrameReader {
    buffer: Vec<u8>,
    /// Bytes at the front of the buffer that have been returned.
    consumed: usize,
}

impl FrameReader {
    /// Takes in bytes that were read from the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.drain(..std::mem::take(&mut self.consumed));
        self.buffer.extend_from_slice(bytes);
    }

    /// The next complete message's bytes without the length, if one is there.
    ///
    /// # Errors
    /// The length is over the bound.
    pub fn next_frame(&mut self) -> Result<Option<&[u8]>, FrameError> {
        let rest = &self.buffer[self.consumed..];
        let Some(prefix) = rest.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(FrameError::TooLong(length));
        }
        if rest.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        let start = self.consumed + LENGTH_BYTES;
        self.consumed = start + length;
        Ok(Some(&self.buffer[start..start + length]))
    }
}

#[cfg(test)]
mod tests;
