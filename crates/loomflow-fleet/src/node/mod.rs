//! One member of the fleet, composed of membership, consensus, maintenance and duties. Its inputs are
//! messages, times and the server's load; its outputs are [`Effect`]s.
//!
//! - this file: configuration, start, and handling of messages and time;
//! - `outgoing`: messages to other members;
//! - `requests`: forwarding of requests to the leader and of responses to their senders;
//! - `own_ticket`: transitions of the server's own ticket;
//! - `leadership`: the leader's round: voters, transitions, the next grant;
//! - `leadership_transfer`: choice of the next leader;
//! - [`duties`]: the session, and the duties that the server owns;
//! - `duty_leadership`: the leader's handling of duties;
//! - `status`: responses to queries.

pub mod duties;
mod duty_leadership;
mod leadership;
mod leadership_transfer;
mod outgoing;
mod own_ticket;
mod requests;
mod status;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::command::{FleetRequest, FleetResponse, Issuer};
use crate::consensus::storage::{Storage, StorageError};
use crate::consensus::{Consensus, ConsensusError};
use crate::duty::client_session::OwnershipChange;
use crate::fleet_state::FleetState;
use crate::maintenance::headroom::Headroom;
use crate::maintenance::rules::Rules;
use crate::maintenance::state::MaintenanceState;
use crate::maintenance::ticket::TicketId;
use crate::member::{
    FleetRequestId, LoadReport, MemberIdentity, MemberState, MemberView, Phase, REPORT_PERIOD_MILLIS,
    ReceivedReport, ServerName, Zone, is_report_recent,
};
use crate::membership::Membership;
use crate::time::IntegerMillis;
use crate::wire::{self, Body, FrameError, Message, Notification};

use duties::DutyClient;
use leadership::Leadership;
use own_ticket::OwnTicket;
use requests::PendingRequests;

/// The configuration of a member.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The fleet's name.
    pub fleet: String,
    /// The server's name.
    pub name: ServerName,
    /// The server's zone.
    pub zone: Zone,
    /// The address at which other members reach this one.
    pub address: SocketAddr,
    /// Names and addresses of the configured voters, through which all other members join.
    pub voters: Vec<(ServerName, SocketAddr)>,
    /// Addresses used for members instead of those they announce.
    pub address_overrides: BTreeMap<ServerName, SocketAddr>,
    /// The configured rules for maintenance.
    pub rules: Rules,
    /// The configuration of duties; `None` if the fleet has none.
    pub duties: Option<duties::DutyConfig>,
    /// Seed of the random generator; the same seed and the same inputs give the same outputs.
    pub seed: u64,
    /// Wall-clock time at which the process started, ms since the Unix epoch.
    pub unix_millis: u64,
}

/// An output of a [`Node`], for the driver to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends an encoded message. Delivery need not be reliable.
    Send {
        /// The receiver's name.
        to: ServerName,
        /// The receiver's address.
        address: SocketAddr,
        /// The message with its length prefix.
        bytes: Vec<u8>,
    },
    /// Shuts the server down as on SIGTERM, because the start of its maintenance under this ticket is
    /// committed.
    Drain(TicketId),
    /// Returns the response to a request that was submitted to this node.
    Responded(FleetRequestId, FleetResponse),
    /// Reports that the server acquired a duty, must release it, or no longer owns it.
    Duty(OwnershipChange),
    /// Writes a log line.
    Log(String),
}

/// An error that prevents the creation or recovery of a fleet.
#[derive(Debug, thiserror::Error)]
pub enum BootstrapError {
    /// Another voter already belongs to a fleet, which will admit this one.
    #[error("{0} already belongs to a fleet, which will admit this voter")]
    FleetExists(ServerName),
    /// The settings do not name this server as a voter.
    #[error("this server is not among fleet.voters")]
    NotAVoter,
    /// The data directory cannot be used; with a description of the error.
    #[error("{0}")]
    StorageUnavailable(String),
    /// The consensus rejects the creation or recovery.
    #[error(transparent)]
    Consensus(#[from] ConsensusError),
}

/// One member of the fleet; see the module documentation.
pub struct Node {
    config: NodeConfig,
    membership: Membership,
    /// `None` if this member is not a configured voter.
    consensus: Option<Consensus<FleetState>>,
    /// Description of the error that makes the data directory unusable.
    storage_error: Option<String>,
    rng: SmallRng,
    /// The last load set with [`Node::set_load`].
    load: Option<ReceivedReport>,
    phase: Phase,
    next_report_at: IntegerMillis,
    /// The newest notification from a voter, and its time of receipt.
    last_notification: Option<(IntegerMillis, Notification)>,
    own_ticket: OwnTicket,
    requests: PendingRequests,
    leadership: Leadership,
    duties: DutyClient,
    headroom: Headroom,
    effects: Vec<Effect>,
    /// Number of messages that could not be decoded or belong to another fleet.
    pub malformed: u64,
}

impl Node {
    /// Starts a member, which joins through the configured voters. `storage` holds the state that must
    /// survive restarts; a voter whose storage cannot be used runs without participating in the consensus.
    pub fn start(config: NodeConfig, storage: Box<dyn Storage>, now: IntegerMillis) -> Node {
        let mut rng = SmallRng::seed_from_u64(config.seed);
        let is_voter = config.voters.iter().any(|(name, _)| *name == config.name);
        let mut storage_error = None;
        let (incarnation, consensus) = if is_voter {
            let seed = rng.random();
            let consensus = Consensus::start(config.name.clone(), storage, seed, config.unix_millis, now);
            (consensus.incarnation(), Some(consensus))
        } else {
            let recorded = own_ticket::record_start(storage, config.unix_millis);
            let recorded = recorded.map_err(|error: StorageError| storage_error = Some(error.to_string()));
            (recorded.unwrap_or(config.unix_millis), None)
        };
        let (name, zone) = (config.name.clone(), config.zone.clone());
        let identity = MemberIdentity::new(name, zone, config.address, incarnation);
        let seeds = config
            .voters
            .iter()
            .map(|(name, address)| MemberIdentity::new(name.clone(), Zone::new(), *address, 0))
            .collect();
        Node {
            membership: Membership::new(identity, seeds, rng.random(), now),
            consensus,
            storage_error,
            rng,
            load: None,
            phase: Phase::Cold,
            next_report_at: now,
            last_notification: None,
            own_ticket: OwnTicket::default(),
            requests: PendingRequests::default(),
            leadership: Leadership::default(),
            duties: DutyClient::default(),
            headroom: Headroom::default(),
            effects: Vec::new(),
            malformed: 0,
            config,
        }
    }

    /// This member's identity in the membership protocol.
    pub fn identity(&self) -> &MemberIdentity {
        self.membership.identity()
    }

    /// This server as the issuer of commands.
    fn issuer(&self) -> Issuer {
        let identity = self.identity();
        Issuer::Server { name: identity.name.clone(), incarnation: identity.incarnation }
    }

    /// The members of the fleet as this one sees them.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Tickets and rules, as applied by this voter; `None` if it is not a voter.
    pub fn maintenance(&self) -> Option<&MaintenanceState> {
        self.fleet_state().map(|state| &state.maintenance)
    }

    /// The replicated state, as applied by this voter; `None` if it is not a voter.
    pub fn fleet_state(&self) -> Option<&FleetState> {
        self.consensus.as_ref().map(Consensus::machine)
    }

    /// This voter's consensus; `None` if it is not a voter.
    pub fn consensus(&self) -> Option<&Consensus<FleetState>> {
        self.consensus.as_ref()
    }

    /// Whether this member leads.
    pub fn is_leader(&self) -> bool {
        self.consensus.as_ref().is_some_and(Consensus::is_leader)
    }

    /// The leader known to this member, if any.
    pub fn leader(&self) -> Option<&ServerName> {
        let own = self.consensus.as_ref().filter(|consensus| consensus.replica().group != 0);
        own.and_then(Consensus::leader).or_else(|| self.last_notification.as_ref()?.1.leader.as_ref())
    }

    /// Sets the server's load. It must be called about every second: without a recent load this member sends
    /// no load reports.
    pub fn set_load(&mut self, now: IntegerMillis, load_report: LoadReport) {
        self.load = Some(ReceivedReport { at: now, report: load_report });
        if self.phase != Phase::Draining {
            self.phase = load_report.phase;
        }
    }

    /// The server's last load report, if it is recent.
    fn own_load_report(&self, now: IntegerMillis) -> Option<LoadReport> {
        let ReceivedReport { at, report } = self.load?;
        is_report_recent(at, now).then_some(LoadReport { phase: self.phase, ..report })
    }

    /// Handles a received message, given without its length prefix.
    ///
    /// # Errors
    /// The message cannot be decoded or belongs to another fleet: nothing after it on that stream can be
    /// trusted.
    pub fn handle_message(&mut self, bytes: &[u8], now: IntegerMillis) -> Result<(), FrameError> {
        let message = wire::decode(&self.config.fleet, bytes).inspect_err(|_| self.malformed += 1)?;
        let Message { from, body, .. } = message;
        match body {
            Body::Swim(packet) => self.membership.handle_packet(&packet, now),
            Body::Raft { group, bytes } => {
                if let Some(consensus) = &mut self.consensus {
                    consensus.step(&from.name, group, &bytes);
                }
            }
            Body::LoadReport { sent_at, load_report, replica } => {
                self.membership.handle_load_report(&from, load_report, replica, now);
                self.send_notification(&from.name, sent_at);
            }
            Body::Notification(notification) => self.handle_notification(notification, now),
            Body::Request { id, hops, request } => self.handle_request(from.name, id, hops, request, now),
            Body::Response { id, response } => self.handle_response(id, response, now),
            Body::Duties(ownership) => self.handle_ownership(ownership, now),
            Body::Summary { token, summary } => self.handle_summary(from.name, token, summary, now),
        }
        self.process_outputs(now);
        Ok(())
    }

    /// Performs all work that is due. Must be called at [`Node::next_wake`], and after a suspension of the
    /// machine.
    pub fn tick(&mut self, now: IntegerMillis) {
        self.membership.tick(now);
        if let Some(consensus) = &mut self.consensus {
            consensus.tick(now);
        }
        if now >= self.next_report_at {
            self.next_report_at = now + REPORT_PERIOD_MILLIS;
            self.send_load_report(now);
            // Only voters receive the load reports that the headroom is estimated from.
            if self.consensus.is_some() {
                let members = self.member_views(now);
                self.headroom.observe(now, &members);
            }
        }
        self.retry_requests(now);
        self.run_leader_round(now);
        self.propose_renewals(now);
        self.run_duties(now);
        self.process_outputs(now);
    }

    /// The time of the next call of [`Node::tick`].
    pub fn next_wake(&self) -> IntegerMillis {
        let consensus = self.consensus.as_ref().map_or(IntegerMillis::MAX, Consensus::next_wake);
        let duties = if self.config.duties.is_some() { self.duties.next_wake() } else { IntegerMillis::MAX };
        let round = if self.is_leader() { self.next_round() } else { IntegerMillis::MAX };
        let wakes = [self.membership.next_wake(), consensus, self.requests.next_wake(), duties, round];
        wakes.into_iter().fold(self.next_report_at, IntegerMillis::min)
    }

    /// Sends a request from this machine to the leader. The response is returned as [`Effect::Responded`]
    /// with the id.
    pub fn submit(&mut self, request: FleetRequest, now: IntegerMillis) -> FleetRequestId {
        let id = self.rng.random();
        self.submit_as(id, request, now);
        self.process_outputs(now);
        id
    }

    /// Creates a fleet with this voter as its only member.
    ///
    /// # Errors
    /// A fleet exists already, or this member is not a voter with a usable data directory.
    pub fn bootstrap(&mut self, now: IntegerMillis) -> Result<(), BootstrapError> {
        let has_fleet = |replica: crate::member::Replica| replica.group != 0;
        let existing = self.membership.known().values().find(|known| known.replica.is_some_and(has_fleet));
        if let Some(other) = existing {
            return Err(BootstrapError::FleetExists(other.identity.name.clone()));
        }
        let group = self.rng.random();
        self.consensus_mut()?.bootstrap(group)?;
        self.process_outputs(now);
        Ok(())
    }

    /// Recreates the fleet from this voter's data directory, with this voter as its only one.
    ///
    /// # Errors
    /// This voter never belonged to a fleet, or cannot use its data directory.
    pub fn recover(&mut self, now: IntegerMillis) -> Result<(), BootstrapError> {
        let group = self.rng.random();
        self.consensus_mut()?.recover(group)?;
        self.process_outputs(now);
        Ok(())
    }

    /// The consensus, or the reason why this member has none.
    fn consensus_mut(&mut self) -> Result<&mut Consensus<FleetState>, BootstrapError> {
        let error = self.storage_error.clone();
        let unavailable = || error.map_or(BootstrapError::NotAVoter, BootstrapError::StorageUnavailable);
        self.consensus.as_mut().ok_or_else(unavailable)
    }

    /// Takes the effects to carry out, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    fn log(&mut self, text: String) {
        self.effects.push(Effect::Log(text));
    }

    /// All members as known to this one, itself included.
    fn member_views(&self, now: IntegerMillis) -> BTreeMap<ServerName, MemberView> {
        let others = self.membership.known().iter().map(|(name, known)| {
            let view = MemberView {
                zone: known.identity.zone.clone(),
                state: known.state(),
                incarnation: known.identity.incarnation,
                load_report: known.recent_report(now),
            };
            (name.clone(), view)
        });
        let identity = self.identity();
        let own = MemberView {
            zone: identity.zone.clone(),
            state: match self.phase {
                Phase::Cold => MemberState::Cold,
                Phase::Serving => MemberState::Serving,
                Phase::Draining => MemberState::Draining,
            },
            incarnation: identity.incarnation,
            load_report: self.own_load_report(now),
        };
        others.chain([(identity.name.clone(), own)]).collect()
    }

    /// Logs when the consensus stops on an error, and when it resumes.
    fn log_storage_errors(&mut self) {
        let Some(consensus) = &self.consensus else { return };
        let error = consensus.error().map(ToString::to_string);
        if error != self.storage_error {
            self.log(match &error {
                Some(reason) => format!("does not participate in the consensus: {reason}"),
                None => "participates in the consensus again".into(),
            });
            self.storage_error = error;
        }
    }

    /// Processes the outputs of membership and consensus: sends messages, delivers responses and follows this
    /// server's ticket.
    fn process_outputs(&mut self, now: IntegerMillis) {
        self.log_storage_errors();
        self.send_queued_packets();
        if let Some(consensus) = &mut self.consensus {
            let (messages, outputs) = (consensus.take_messages(), consensus.take_outputs());
            let group = consensus.replica().group;
            for (to, bytes) in messages {
                self.send(&to, Body::Raft { group, bytes });
            }
            let has_applied = !outputs.is_empty();
            for (id, response) in outputs {
                self.leadership.proposal_applied(id);
                if !self.renewals_applied(id, now) {
                    self.deliver_response(id, response, now);
                }
            }
            if has_applied {
                self.notify_owners(now);
            }
        }
        self.process_own_ticket(now);
        // With a single voter, proposals made above are committed at once.
        if self.consensus.as_ref().is_some_and(Consensus::has_output) {
            self.process_outputs(now);
        }
    }
}

#[cfg(test)]
mod tests;
