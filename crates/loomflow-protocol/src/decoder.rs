//! The interface of the protocol decoders.

use crate::buffer::Buffer;

/// A violation of the protocol; the connection cannot go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// A state machine that is fed bytes and yields typed messages.
pub trait Decoder {
    /// Type of the messages.
    type Message;

    /// The buffer that received bytes are written to.
    fn buffer(&mut self) -> &mut Buffer;

    /// The next complete message, or `None` until more bytes are received.
    ///
    /// # Errors
    ///
    /// The bytes violate the protocol.
    fn next(&mut self) -> Result<Option<Self::Message>, Malformed>;
}
