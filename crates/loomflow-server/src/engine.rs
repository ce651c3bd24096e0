//! The link to the engine: opened again whenever it is lost, with notices read once and commands sent in order.

mod pending_command;
mod resend;

use std::net::SocketAddr;
use std::sync::Arc;

use loomflow::interface::Settings;
use loomflow::time::Millis;
use loomflow_backoff::{ExponentialBackoff, ReconnectBackoff};
use loomflow_protocol::engine::{Command, Notice, Notices};

use crate::close_reason::CloseReason;
use crate::connection::{self, ConnectionHandle};
use crate::log;
use crate::mailbox::{LinkId, Mailbox, OwnerEvent};
use crate::time::exact_duration;
pub use pending_command::{Delivery, PendingCommand, SentCommand};
pub use resend::{RequestState, Resend};

/// Delay before a link is opened again; the first attempt has none.
const MIN_BACKOFF_MS: Millis = 10.0;
const MAX_BACKOFF_MS: Millis = 500.0;
/// A link that was attached for this time is stable: after it the next one is opened without a backoff.
const STABLE_AFTER_MS: Millis = 1000.0;
/// How long the engine may take to answer the query that ends its replay. After that the replay counts as ended.
const REPLAY_TIMEOUT_MS: Millis = 300.0;
/// Gauges older than this are not used.
const GAUGES_MAX_AGE_MS: Millis = 500.0;

/// The settings of an engine that started `age` ago, with the rest of its slow start. The speed rises linearly.
pub fn with_remaining_slow_start(settings: &Settings, is_starting: bool, age: Millis) -> Settings {
    let mut remaining = settings.clone();
    remaining.is_slow_start = is_starting && age < settings.slow_start_duration;
    if remaining.is_slow_start {
        remaining.slow_start_share += (1.0 - settings.slow_start_share) * age / settings.slow_start_duration;
        remaining.slow_start_duration -= age;
    }
    remaining
}

/// A link that was lost, and how many of its bytes the system had taken by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostLink {
    /// The link.
    pub link: LinkId,
    /// Bytes that were handed to the system.
    pub bytes_written: u64,
}

/// How the replay of notices on a new link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplayEnd {
    /// The engine answered the query behind its last notice.
    Confirmed,
    /// It did not answer in time, and may still send notices.
    TimedOut,
}

/// How far the current link has come.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LinkState {
    Connecting,
    /// Notices that the engine retained come first, until the query with this tag is answered.
    Replaying {
        fence: u64,
        deadline: Millis,
    },
    Ready,
}

/// The link to the engine.
pub struct EngineLink {
    address: SocketAddr,
    mailbox: Arc<Mailbox>,
    link: LinkId,
    handle: Arc<ConnectionHandle>,
    state: LinkState,
    /// Before the next link is opened; grows while links are not stable.
    backoff: ReconnectBackoff,
    /// The loss has been logged, and no link has been attached since.
    is_loss_logged: bool,
    /// Number of the last notice that was read.
    last_notice: u64,
    last_tag: u64,
    last_answered_tag: u64,
    gauges: Vec<Option<f64>>,
    gauges_received_at: Millis,
}

impl EngineLink {
    /// Opens the first link.
    pub fn start(address: SocketAddr, mailbox: Arc<Mailbox>) -> EngineLink {
        let mut engine = EngineLink {
            address,
            mailbox,
            link: 0,
            handle: Arc::new(ConnectionHandle::new(None)),
            state: LinkState::Connecting,
            backoff: ReconnectBackoff::new(
                ExponentialBackoff::immediate_first(MIN_BACKOFF_MS, MAX_BACKOFF_MS),
                STABLE_AFTER_MS,
            ),
            is_loss_logged: false,
            last_notice: 0,
            last_tag: 0,
            last_answered_tag: 0,
            gauges: Vec::new(),
            gauges_received_at: f64::NEG_INFINITY,
        };
        engine.connect();
        engine
    }

    fn connect(&mut self) {
        self.link += 1;
        self.state = LinkState::Connecting;
        self.handle = Arc::new(ConnectionHandle::new(None));
        let last = self.last_notice;
        self.handle.enqueue(|out| Command::Attach { last }.write(out));
        let (link, address, backoff) = (self.link, self.address, self.backoff.advance());
        let backoff = exact_duration(backoff);
        let (handle, mailbox) = (self.handle.clone(), self.mailbox.clone());
        may::go!(move || {
            let reason = match connection::connect_after(address, backoff, &handle) {
                Err(reason) => reason,
                Ok(stream) => {
                    let deliver = |notice| mailbox.send(OwnerEvent::EngineNotice(link, notice));
                    let (stream, reason) =
                        connection::drive(stream, &handle, Notices::default(), deliver, |_| {});
                    mailbox.send(OwnerEvent::EngineDisconnected(link, reason));
                    return connection::lingering_close(stream, reason);
                }
            };
            mailbox.send(OwnerEvent::EngineDisconnected(link, reason));
        });
    }

    /// A link was closed: opens another. Returns the lost link unless it had been replaced already.
    pub fn disconnected(&mut self, link: LinkId, reason: CloseReason, now: Millis) -> Option<LostLink> {
        if link != self.link {
            return None;
        }
        // An address that refuses connections does so at every attempt.
        let is_refused = reason == CloseReason::ConnectionRefused;
        if !is_refused && !std::mem::replace(&mut self.is_loss_logged, true) {
            log!(part = "engine", ending = %reason, "the link was closed");
        }
        let bytes_written = self.handle.bytes_written();
        self.backoff.disconnected(now);
        self.connect();
        Some(LostLink { link, bytes_written })
    }

    /// The engine has another address: opens a link there at once. What the former one has not written is dropped, and
    /// it is closed once the peer has read the rest. Returns the former link, none where the address is the same.
    pub fn set_address(&mut self, address: SocketAddr) -> Option<LostLink> {
        if address == self.address {
            return None;
        }
        let lost = LostLink { link: self.link, bytes_written: self.handle.abort() };
        self.address = address;
        self.backoff.reset();
        self.connect();
        Some(lost)
    }

    /// Whether a notice is to be handled: it came on the current link and was not read before.
    pub fn accept_notice(&mut self, link: LinkId, notice: &Notice) -> bool {
        if link != self.link {
            return false;
        }
        match notice.number() {
            Some(number) if number <= self.last_notice => false,
            Some(number) => {
                self.last_notice = number;
                true
            }
            None => true,
        }
    }

    /// The engine is up; the notices that it retained follow.
    pub fn attached(&mut self, now: Millis) {
        self.backoff.connected(now);
        self.is_loss_logged = false;
        let fence = self.send_fence();
        self.state = LinkState::Replaying { fence, deadline: now + REPLAY_TIMEOUT_MS };
    }

    /// Gauges were received: the answer to a fence. Returns the end of the replay where they close it.
    pub fn gauges_received(&mut self, tag: &str, values: Vec<f64>, now: Millis) -> Option<ReplayEnd> {
        self.gauges = values.into_iter().map(Some).collect();
        self.gauges_received_at = now;
        self.last_answered_tag = tag.parse().unwrap_or(self.last_answered_tag);
        match self.state {
            LinkState::Replaying { fence, .. } if tag == fence.to_string() => {
                Some(self.finish_replay(ReplayEnd::Confirmed))
            }
            _ => None,
        }
    }

    /// Closes a replay that has taken too long. Returns its end where it did.
    pub fn check_replay_timeout(&mut self, now: Millis) -> Option<ReplayEnd> {
        match self.state {
            LinkState::Replaying { deadline, .. } if now >= deadline => {
                Some(self.finish_replay(ReplayEnd::TimedOut))
            }
            _ => None,
        }
    }

    fn finish_replay(&mut self, end: ReplayEnd) -> ReplayEnd {
        self.state = LinkState::Ready;
        end
    }

    /// The link that is open or being opened.
    #[cfg(test)]
    pub fn current_link(&self) -> (LinkId, Arc<ConnectionHandle>) {
        (self.link, self.handle.clone())
    }

    /// Whether the engine is attached.
    pub fn is_up(&self) -> bool {
        matches!(self.state, LinkState::Ready | LinkState::Replaying { .. })
    }

    fn next_tag(&mut self) -> u64 {
        self.last_tag += 1;
        self.last_tag
    }

    /// Requests the gauges. The query is a fence as well: its answer has the gauges, and shows that everything sent before
    /// has been read.
    pub fn poll_gauges(&mut self) {
        if self.state == LinkState::Ready {
            self.send_fence();
        }
    }

    /// Sends a query whose answer shows that everything sent before has been read. Returns its number, for
    /// [`EngineLink::has_passed`].
    pub fn send_fence(&mut self) -> u64 {
        let tag = self.next_tag();
        self.handle.enqueue(|out| Command::Stat { tag }.write(out));
        tag
    }

    /// Whether a fence, or a later one, has been answered.
    pub fn has_passed(&self, fence: u64) -> bool {
        self.last_answered_tag >= fence
    }

    /// The newest gauges; empty once they are too old.
    pub fn gauges(&self, now: Millis) -> &[Option<f64>] {
        if now - self.gauges_received_at <= GAUGES_MAX_AGE_MS { &self.gauges } else { &[] }
    }

    /// Requests the work of a deep health check. Returns its tag, none while there is no engine.
    pub fn send_health_check(&mut self) -> Option<u64> {
        if !self.is_up() {
            return None;
        }
        let tag = self.next_tag();
        self.handle.enqueue(|out| Command::Test { tag }.write(out));
        Some(tag)
    }

    /// Sends a command, unless the link is not ready.
    pub fn send(&self, command: Command) -> Delivery {
        if self.state != LinkState::Ready {
            return Delivery::NotSent;
        }
        let end = self.handle.enqueue(|out| command.write(out));
        Delivery::InFlight { link: self.link, end }
    }
}

#[cfg(test)]
mod tests;
