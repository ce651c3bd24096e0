//! The connection ("link") to the engine. A lost link is opened again with backoff; each notice is handled once,
//! although the engine replays its notices on a new link, and commands are sent in order.

mod pending_command;
mod resend;

use std::net::SocketAddr;
use std::sync::Arc;

use loomflow::interface::Settings;
use loomflow::time::Millis;
use loomflow_backoff::{ExponentialBackoff, ReconnectBackoff};
use loomflow_protocol::engine::{Command, Notice, NoticeDecoder};

use crate::close_reason::CloseReason;
use crate::connection::{self, ConnectionHandle};
use crate::log;
use crate::mailbox::{LinkId, LinkSender, Mailbox, OwnerEvent};
use crate::time::exact_duration;
pub use pending_command::{Delivery, PendingCommand, SentCommand};
pub use resend::{RequestState, Resend};

/// Smallest delay between attempts to open a link; the first attempt has no delay.
const MIN_BACKOFF_MS: Millis = 10.0;
/// Largest delay between attempts to open a link.
const MAX_BACKOFF_MS: Millis = 500.0;
/// A link that was attached for this long was stable: its loss is followed by an attempt without delay.
const STABLE_AFTER_MS: Millis = 1000.0;
/// How long the engine may take to reply to the query that marks the end of its replay. After this time the
/// replay counts as ended.
const REPLAY_TIMEOUT_MS: Millis = 300.0;
/// Maximum age of the gauges; older ones are not used.
const GAUGES_MAX_AGE_MS: Millis = 500.0;

/// Returns the settings for an engine that was started `age` ago: its slow start is shortened to what remains of it.
/// The speed of the engine rises linearly during a slow start.
pub fn with_remaining_slow_start(settings: &Settings, is_starting: bool, age: Millis) -> Settings {
    let mut remaining = settings.clone();
    remaining.is_slow_start = is_starting && age < settings.slow_start_duration;
    if remaining.is_slow_start {
        remaining.slow_start_share += (1.0 - settings.slow_start_share) * age / settings.slow_start_duration;
        remaining.slow_start_duration -= age;
    }
    remaining
}

/// A link that was lost or replaced, and how much of its output the operating system had accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostLink {
    /// Id of the lost link.
    pub link: LinkId,
    /// Bytes that were handed to the operating system; later ones have not been sent.
    pub bytes_written: u64,
}

/// How the engine's replay of notices on a new link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplayEnd {
    /// The engine replied to the query that was sent when it attached, so all replayed notices have been read.
    Confirmed,
    /// The engine did not reply within [`REPLAY_TIMEOUT_MS`], and may still replay notices.
    TimedOut,
}

/// State of the current link.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LinkState {
    Connecting,
    /// The engine replays the notices that it retained, until it replies to the query with the tag `fence`.
    Replaying {
        fence: u64,
        deadline: Millis,
    },
    Ready,
}

/// The link to the engine: opens it, filters its notices and sends commands on it.
pub struct EngineLink {
    address: SocketAddr,
    mailbox: Arc<Mailbox>,
    link: LinkId,
    handle: Arc<ConnectionHandle>,
    state: LinkState,
    /// Delay before the next link is opened. It grows while links are not stable.
    backoff: ReconnectBackoff,
    /// Whether a loss has been logged and no link has been attached since; further losses are not logged
    /// then.
    is_loss_logged: bool,
    /// Sequence number of the last notice that was handled.
    last_notice: u64,
    /// Tag of the last query or health check that was sent.
    last_tag: u64,
    /// Tag of the last query that the engine replied to.
    last_acked_tag: u64,
    gauges: Vec<Option<f64>>,
    gauges_received_at: Millis,
}

impl EngineLink {
    /// Starts to open the first link.
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
            last_acked_tag: 0,
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
                    let mut sender = LinkSender::new(mailbox.clone());
                    let deliver = |notice| sender.send(OwnerEvent::EngineNotice(link, notice), 1);
                    let (stream, reason) =
                        connection::drive(stream, &handle, NoticeDecoder::default(), deliver, |_| {});
                    mailbox.send(OwnerEvent::EngineDisconnected(link, reason));
                    return connection::lingering_close(stream, reason);
                }
            };
            mailbox.send(OwnerEvent::EngineDisconnected(link, reason));
        });
    }

    /// Handles the close of `link`: opens another one. Returns the lost link, or none if it had been replaced already.
    pub fn disconnected(&mut self, link: LinkId, reason: CloseReason, now: Millis) -> Option<LostLink> {
        if link != self.link {
            return None;
        }
        // Not logged, because an address that refuses connections does so at every attempt.
        let is_refused = reason == CloseReason::ConnectionRefused;
        if !is_refused && !std::mem::replace(&mut self.is_loss_logged, true) {
            log!(part = "engine", ending = %reason, "the link to the engine was closed");
        }
        let bytes_written = self.handle.bytes_written();
        self.backoff.disconnected(now);
        self.connect();
        Some(LostLink { link, bytes_written })
    }

    /// Changes the address of the engine and opens a link there without delay. Unwritten bytes of the former link are
    /// dropped, and it is closed once the peer has read the others. Returns the former link, or none if the address is
    /// the same.
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

    /// Returns whether to handle a notice: it was received on the current link and is not a repetition. Records its
    /// number.
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

    /// Handles the engine's `HELLO`: sends the query that marks the end of the replay that follows.
    pub fn attached(&mut self, now: Millis) {
        self.backoff.connected(now);
        self.is_loss_logged = false;
        let fence = self.send_fence();
        self.state = LinkState::Replaying { fence, deadline: now + REPLAY_TIMEOUT_MS };
    }

    /// Handles the gauges, which are the reply to the query with this tag. Returns [`ReplayEnd::Confirmed`] if they
    /// end the replay.
    pub fn gauges_received(&mut self, tag: &str, values: Vec<f64>, now: Millis) -> Option<ReplayEnd> {
        self.gauges = values.into_iter().map(Some).collect();
        self.gauges_received_at = now;
        self.last_acked_tag = tag.parse().unwrap_or(self.last_acked_tag);
        match self.state {
            LinkState::Replaying { fence, .. } if tag == fence.to_string() => {
                Some(self.finish_replay(ReplayEnd::Confirmed))
            }
            _ => None,
        }
    }

    /// Ends a replay that has exceeded [`REPLAY_TIMEOUT_MS`]; returns [`ReplayEnd::TimedOut`] then.
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

    /// Returns the link that is open or being opened.
    #[cfg(test)]
    pub fn current_link(&self) -> (LinkId, Arc<ConnectionHandle>) {
        (self.link, self.handle.clone())
    }

    /// Whether the engine is attached, even if its replay has not ended.
    pub fn is_up(&self) -> bool {
        matches!(self.state, LinkState::Ready | LinkState::Replaying { .. })
    }

    fn next_tag(&mut self) -> u64 {
        self.last_tag += 1;
        self.last_tag
    }

    /// Queries the gauges if the link is ready. The query is the same as that of [`send_fence`](Self::send_fence).
    pub fn poll_gauges(&mut self) {
        if self.state == LinkState::Ready {
            self.send_fence();
        }
    }

    /// Sends a query for the gauges that serves as a fence: the engine reads commands in order, so a reply shows that
    /// it has read everything sent before. Returns the tag, for [`EngineLink::has_passed`].
    pub fn send_fence(&mut self) -> u64 {
        let tag = self.next_tag();
        self.handle.enqueue(|out| Command::Stat { tag }.write(out));
        tag
    }

    /// Whether the engine has replied to this fence or a later one.
    pub fn has_passed(&self, fence: u64) -> bool {
        self.last_acked_tag >= fence
    }

    /// Returns the latest gauges, or none once they are older than [`GAUGES_MAX_AGE_MS`].
    pub fn gauges(&self, now: Millis) -> &[Option<f64>] {
        if now - self.gauges_received_at <= GAUGES_MAX_AGE_MS { &self.gauges } else { &[] }
    }

    /// Requests the work of a deep health check. Returns its tag, or none while no engine is attached.
    pub fn send_health_check(&mut self) -> Option<u64> {
        if !self.is_up() {
            return None;
        }
        let tag = self.next_tag();
        self.handle.enqueue(|out| Command::Test { tag }.write(out));
        Some(tag)
    }

    /// Sends a command if the link is ready; returns [`Delivery::NotSent`] otherwise.
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
