//! The trait that all protocol decoders implement.

use crate::buffer::Buffer;

/// The peer violated the protocol, and the connection must be closed. Contains a description for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// An incremental decoder: received bytes are written to its buffer, and complete messages are taken from it.
pub trait Decoder {
    /// The type of the decoded messages.
    type Message;

    /// Returns the buffer that received bytes are written to.
    fn buffer(&mut self) -> &mut Buffer;

    /// Decodes and consumes the next message. Returns `None` if it is incomplete and more bytes are needed.
    ///
    /// # Errors
    ///
    /// The buffered bytes violate the protocol.
    fn next(&mut self) -> Result<Option<Self::Message>, Malformed>;
}
