//! Runs: the engine's link, what was said on it, and what is said again after it broke.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use loomflow::interface::Settings;
use loomflow_protocol::engine::{Command, Notice, Notices};

use crate::ending::Ending;
use crate::link::{self, Outbox};
use crate::mailbox::{Input, LinkNumber, Mailbox};

#[cfg(test)]
mod tests;

const FIRST_PAUSE: Duration = Duration::from_millis(10);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// A link that was attached for so long has lasted, ms: the next is opened at once.
const LASTS: f64 = 1000.0;
/// The engine answers a question that closes its replay, or is taken to have done so after this long, ms.
const REPLAY: f64 = 300.0;
/// Only commands of the last 50 ms before a break may be lost; the rest is how late they may have been written and
/// the break be noticed, ms.
const IN_DOUBT: f64 = 250.0;
/// Gauges older than this say nothing of now, ms.
const GAUGES_KEEP: f64 = 500.0;

/// The settings of an engine that started so long ago: what is left of its warm-up, which goes in even steps.
pub fn warmed(settings: &Settings, starting: bool, age: f64) -> Settings {
    let mut left = settings.clone();
    left.cold = starting && age < settings.cold_span;
    if left.cold {
        left.cold_share += (1.0 - settings.cold_share) * age / settings.cold_span;
        left.cold_span -= age;
    }
    left
}

/// A command that no notice has confirmed.
#[derive(Clone, Debug, PartialEq)]
pub struct Pending {
    pub what: Sent,
    pub fate: Fate,
    pub said_at: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Sent {
    Run,
    Feed(Vec<u8>),
    Skip,
}

/// What is known of a command's way to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It cannot have arrived.
    Unsent,
    /// Given to a link that is up; its last byte stands there.
    Under(LinkNumber, u64),
    /// Its link broke just after: it may have arrived or not.
    Unknown,
    /// Its link broke long after, by our clock: it is taken to have arrived.
    Arrived,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Opening,
    /// Notices from before the link come first, until the question with this tag is answered.
    Replaying {
        fence: u64,
        until: f64,
    },
    Ready,
}

pub struct Engine {
    to: SocketAddr,
    mailbox: Arc<Mailbox>,
    number: LinkNumber,
    outbox: Arc<Outbox>,
    state: State,
    /// Before the next link is opened: grows while links do not last.
    pause: Duration,
    attached_at: f64,
    /// The log has been told of the link's end, and none has been attached since.
    is_end_reported: bool,
    /// The last notice read.
    last: u64,
    tags: u64,
    /// The last question that was answered.
    answered: u64,
    gauges: Vec<Option<f64>>,
    gauges_at: f64,
}

impl Engine {
    pub fn start(to: SocketAddr, mailbox: Arc<Mailbox>) -> Engine {
        let mut engine = Engine {
            to,
            mailbox,
            number: 0,
            outbox: Arc::new(Outbox::new(None)),
            state: State::Opening,
            pause: Duration::ZERO,
            attached_at: f64::INFINITY,
            is_end_reported: false,
            last: 0,
            tags: 0,
            answered: 0,
            gauges: Vec::new(),
            gauges_at: f64::NEG_INFINITY,
        };
        engine.open();
        engine
    }

    fn open(&mut self) {
        self.number += 1;
        self.state = State::Opening;
        self.outbox = Arc::new(Outbox::new(None));
        let last = self.last;
        self.outbox.add(|out| Command::Attach { last }.write(out));
        let (number, to, pause) = (self.number, self.to, self.pause);
        let (outbox, mailbox) = (self.outbox.clone(), self.mailbox.clone());
        may::go!(move || {
            let ending = match link::open(to, pause, &outbox) {
                Err(ending) => ending,
                Ok(stream) => {
                    let deliver = |notice| mailbox.put(Input::Notice(number, notice));
                    let (stream, ending) = link::drive(stream, &outbox, Notices::default(), deliver, |_| {});
                    mailbox.put(Input::EngineEnded(number, ending));
                    return link::linger(stream, ending);
                }
            };
            mailbox.put(Input::EngineEnded(number, ending));
        });
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
    }

    /// A link is over: another is opened. The answer is how much of it was written; none for an old link.
    pub fn ended(&mut self, number: LinkNumber, ending: Ending, now: f64) -> Option<u64> {
        if number != self.number {
            return None;
        }
        // One that cannot be opened fails again with every attempt.
        if ending != Ending::Refused && !std::mem::replace(&mut self.is_end_reported, true) {
            crate::log!(part = "engine", ?ending, "the link ended");
        }
        let written = self.outbox.written();
        if now - self.attached_at >= LASTS {
            self.pause = Duration::ZERO;
        }
        self.attached_at = f64::INFINITY;
        self.open();
        Some(written)
    }

    /// The engine is reached elsewhere: a new link is opened there at once. What the old one has not written is
    /// dropped, and it ends once the peer has read the rest. The answer is the old link and how much of it was
    /// written; none where nothing has changed.
    pub fn moved(&mut self, to: SocketAddr) -> Option<(LinkNumber, u64)> {
        if to == self.to {
            return None;
        }
        let old = (self.number, self.outbox.abort());
        (self.to, self.pause, self.attached_at) = (to, Duration::ZERO, f64::INFINITY);
        self.open();
        Some(old)
    }

    /// Whether a notice is to be taken in: it is of this link and was not read before.
    pub fn fresh(&mut self, number: LinkNumber, notice: &Notice) -> bool {
        if number != self.number {
            return false;
        }
        match notice.number() {
            Some(n) if n <= self.last => false,
            Some(n) => {
                self.last = n;
                true
            }
            None => true,
        }
    }

    /// The engine is up; what it kept for us follows.
    pub fn attached(&mut self, now: f64) {
        self.attached_at = now;
        self.is_end_reported = false;
        let fence = self.fence();
        self.state = State::Replaying { fence, until: now + REPLAY };
    }

    /// Gauges have come. True when they also close the replay.
    pub fn stats(&mut self, tag: &str, values: Vec<f64>, now: f64) -> bool {
        self.gauges = values.into_iter().map(Some).collect();
        self.gauges_at = now;
        self.answered = tag.parse().unwrap_or(self.answered);
        matches!(self.state, State::Replaying { fence, .. } if tag == fence.to_string()) && self.replayed()
    }

    /// True when the replay has not been closed for too long.
    pub fn overdue(&mut self, now: f64) -> bool {
        matches!(self.state, State::Replaying { until, .. } if now >= until) && self.replayed()
    }

    fn replayed(&mut self) -> bool {
        self.state = State::Ready;
        true
    }

    /// The link that is open or being opened.
    #[cfg(test)]
    pub fn link(&self) -> (LinkNumber, Arc<Outbox>) {
        (self.number, self.outbox.clone())
    }

    pub fn is_up(&self) -> bool {
        matches!(self.state, State::Ready | State::Replaying { .. })
    }

    fn next_tag(&mut self) -> u64 {
        self.tags += 1;
        self.tags
    }

    pub fn ask_gauges(&mut self) {
        if self.state == State::Ready {
            self.fence();
        }
    }

    /// Asks so that the answer tells that all said before has been read: the number to compare with `has_read`.
    pub fn fence(&mut self) -> u64 {
        let tag = self.next_tag();
        self.outbox.add(|out| Command::Stat { tag }.write(out));
        tag
    }

    pub fn has_read(&self, fence: u64) -> bool {
        self.answered >= fence
    }

    /// The newest gauges; nothing once they are old.
    pub fn gauges(&self, now: f64) -> &[Option<f64>] {
        if now - self.gauges_at <= GAUGES_KEEP { &self.gauges } else { &[] }
    }

    /// Asks for the work of a deep check; none while there is no engine to ask.
    pub fn test(&mut self) -> Option<u64> {
        if !self.is_up() {
            return None;
        }
        let tag = self.next_tag();
        self.outbox.add(|out| Command::Test { tag }.write(out));
        Some(tag)
    }

    /// Says a command on the link, or keeps it for the next.
    pub fn say(&self, command: Command) -> Fate {
        if self.state != State::Ready {
            return Fate::Unsent;
        }
        Fate::Under(self.number, self.outbox.add(|out| command.write(out)))
    }
}

impl Pending {
    /// What is known once `link` ended after so many of its bytes had been taken by the system.
    pub fn after(&self, link: LinkNumber, written: u64, now: f64) -> Fate {
        match self.fate {
            Fate::Under(on, end) if on == link && end > written => Fate::Unsent,
            Fate::Under(on, _) if on == link && now - self.said_at > IN_DOUBT => Fate::Arrived,
            Fate::Under(on, _) if on == link => Fate::Unknown,
            other => other,
        }
    }
}
