//! What members exchange: envelopes behind a length. Payloads are written by the libraries' own codecs; ours are the
//! length, the envelope's few fields and the bounds.
//!
//! A stream is cut into messages by [`Incoming`]. A message that is too long, cannot be read, or comes from another
//! fleet is an error that ends its link: nothing after it on that stream can be trusted. Keys, when they come, go around
//! [`seal`] and [`open`]: nothing else sees bytes.

use serde::{Deserialize, Serialize};

use crate::duty::{self, Token, summary::Summary};
use crate::member::{Digest, Me, Ms, Name, RequestId, Seat};
use crate::order::ticket::Ticket;
use crate::order::{Answer, Ask};

/// The longest message, bytes: a snapshot of as many tickets as there may be.
pub const LONGEST: usize = 8 * 1024 * 1024;
/// The length before each message, bytes.
pub const HEAD: usize = 4;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The fleet's name: nothing of another fleet is heard.
    pub fleet: String,
    pub from: Me,
    pub body: Body,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Membership, by its library's codec.
    Swim(Vec<u8>),
    /// Agreement, by its library's codec, among the voters of one group.
    Raft {
        group: u64,
        bytes: Vec<u8>,
    },
    /// A member's load, and its seat if it is a voter: to the voters. `sent` is by the member's own clock.
    Digest {
        sent: Ms,
        digest: Digest,
        seat: Option<Seat>,
    },
    /// A voter's answer to it: who leads, and the tickets of whom it is told to.
    Notice(Notice),
    Ask {
        id: RequestId,
        hops: u8,
        ask: Ask,
    },
    Answer {
        id: RequestId,
        answer: Answer,
    },
    /// The leader tells a member what it owns, as soon as it is agreed on.
    Duties(duty::Kept),
    /// The owner of the summary tells all members.
    Summary {
        token: Token,
        summary: Summary,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// When the digest that this answers was sent, by the clock of whoever sent it: a notice that comes late is known by it.
    pub sent: Ms,
    pub leader: Option<Name>,
    pub term: u64,
    /// How far the teller's log is applied.
    pub index: u64,
    /// The ticket by which the one who is told holds a place.
    pub ticket: Option<Ticket>,
}

/// Why a stream cannot be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    TooLong(usize),
    Unreadable,
    /// From a fleet of another name.
    Foreign,
}

/// One message with its length. None where it would be over the bound: it is never sent.
pub fn seal(message: &Message) -> Option<Vec<u8>> {
    let framed = postcard::to_extend(message, vec![0; HEAD]).ok()?;
    let length = framed.len() - HEAD;
    (length <= LONGEST).then(|| {
        let mut framed = framed;
        framed[..HEAD].copy_from_slice(&(length as u32).to_be_bytes());
        framed
    })
}

/// What [`seal`] wrote, without its length.
pub fn open(fleet: &str, bytes: &[u8]) -> Result<Message, Malformed> {
    let message: Message = postcard::from_bytes(bytes).map_err(|_| Malformed::Unreadable)?;
    if message.fleet != fleet {
        return Err(Malformed::Foreign);
    }
    Ok(message)
}

/// Cuts a stream into messages. Holds no more than the longest message and one read.
#[derive(Default)]
pub struct Incoming {
    bytes: Vec<u8>,
    taken: usize,
}

impl Incoming {
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.drain(..std::mem::take(&mut self.taken));
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole message's bytes, if one is there.
    pub fn frame(&mut self) -> Result<Option<&[u8]>, Malformed> {
        let rest = &self.bytes[self.taken..];
        let Some(head) = rest.first_chunk::<HEAD>() else { return Ok(None) };
        let length = u32::from_be_bytes(*head) as usize;
        if length > LONGEST {
            return Err(Malformed::TooLong(length));
        }
        if rest.len() < HEAD + length {
            return Ok(None);
        }
        let start = self.taken + HEAD;
        self.taken = start + length;
        Ok(Some(&self.bytes[start..start + length]))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn message(bytes: Vec<u8>) -> Message {
        let address = ([127, 0, 0, 1], 7).into();
        let from = Me::new("a".into(), "z".into(), address, 3);
        Message { fleet: "riga".into(), from, body: Body::Swim(bytes) }
    }

    #[test]
    fn what_is_too_long_or_foreign_or_garbled_is_named() {
        let sealed = seal(&message(vec![1, 2, 3])).unwrap();
        assert_eq!(open("riga", &sealed[HEAD..]), Ok(message(vec![1, 2, 3])));
        assert_eq!(open("other", &sealed[HEAD..]), Err(Malformed::Foreign));
        assert_eq!(open("riga", &sealed[HEAD..sealed.len() - 1]), Err(Malformed::Unreadable));
        assert_eq!(seal(&message(vec![0; LONGEST])), None);
        let mut incoming = Incoming::default();
        incoming.feed(&u32::MAX.to_be_bytes());
        assert_eq!(incoming.frame(), Err(Malformed::TooLong(u32::MAX as usize)));
    }

    proptest! {
        #[test]
        fn messages_come_whole_at_every_split(
            sizes in proptest::collection::vec(0usize..300, 1..6),
            cuts in proptest::collection::vec(1usize..64, 1..40),
        ) {
            let stream: Vec<u8> = sizes.iter().flat_map(|n| seal(&message(vec![7; *n])).unwrap()).collect();
            let (mut incoming, mut got, mut at) = (Incoming::default(), Vec::new(), 0);
            for cut in cuts.iter().cycle() {
                let end = (at + cut).min(stream.len());
                incoming.feed(&stream[at..end]);
                while let Some(frame) = incoming.frame().unwrap() {
                    got.push(open("riga", frame).unwrap());
                }
                at = end;
                if at == stream.len() {
                    break;
                }
            }
            let sent: Vec<Message> = sizes.iter().map(|n| message(vec![7; *n])).collect();
            prop_assert_eq!(got, sent);
        }

        #[test]
        fn no_bytes_make_it_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
            let _ = open("riga", &bytes);
            let mut incoming = Incoming::default();
            incoming.feed(&bytes);
            while let Ok(Some(_)) = incoming.frame() {}
        }
    }
}
