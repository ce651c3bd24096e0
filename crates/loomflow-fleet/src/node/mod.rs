//! One member of the fleet: membership, consensus, maintenance and duties put together. Fed messages, times and the server's
//! load; what it wants done comes out as [`Effect`]s.
//!
//! - this file: its identity, and the handling of what it receives;
//! - `outgoing`: what it sends to other members;
//! - `requests`: requests on their way to the leader and responses on their way back;
//! - `own_ticket`: what it does about a ticket of its own: begin, drain, depart;
//! - `leadership`: the leader's round: voters, transitions, the next grant;
//! - `leadership_transfer`: who leads after it;
//! - [`duties`]: its session, and the duties that it owns;
//! - `duty_leadership`: the leader's part in them;
//! - `status`: the fleet as operators see it.

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
    /// Its zone.
    pub zone: Zone,
    /// Where the others reach it.
    pub address: SocketAddr,
    /// Names and addresses of those who shall vote; all others join by them.
    pub voters: Vec<(ServerName, SocketAddr)>,
    /// Other addresses of members than those they announce.
    pub via: BTreeMap<ServerName, SocketAddr>,
    /// The operators' rules for maintenance.
    pub rules: Rules,
    /// None where this fleet has no duties.
    pub duties: Option<duties::DutyConfig>,
    /// Of everything drawn here; the same seed and the same inputs give the same outputs.
    pub seed: u64,
    /// The wall clock at the start, Unix ms.
    pub unix_millis: u64,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send an encoded message; it need not arrive.
    Send {
        /// The receiver.
        to: ServerName,
        /// Its address.
        address: SocketAddr,
        /// The message with its length.
        bytes: Vec<u8>,
    },
    /// Shut the server down as on SIGTERM: its begin is committed.
    Drain(TicketId),
    /// The response to a request that was submitted here.
    Responded(FleetRequestId, FleetResponse),
    /// The server acquired a duty, is to release it, or no longer owns it.
    Duty(OwnershipChange),
    /// A line for the log.
    Log(String),
}

/// Why a fleet cannot be created or recovered here.
#[derive(Debug, thiserror::Error)]
pub enum BootstrapError {
    /// Another voter has a fleet.
    #[error("{0} already belongs to a fleet: this voter will be let in")]
    FleetExists(ServerName),
    /// The settings do not name this server as a voter.
    #[error("this server is not among fleet.voters")]
    NotAVoter,
    /// The data directory cannot be used, in words.
    #[error("{0}")]
    StorageUnavailable(String),
    /// The consensus rejects it.
    #[error(transparent)]
    Consensus(#[from] ConsensusError),
}

/// One member of the fleet.
pub struct Node {
    config: NodeConfig,
    membership: Membership,
    /// Voters only.
    consensus: Option<Consensus<FleetState>>,
    /// Why the data directory cannot be used, in words.
    storage_error: Option<String>,
    rng: SmallRng,
    /// The server's own load.
    load: Option<ReceivedReport>,
    phase: Phase,
    next_report_at: IntegerMillis,
    /// The newest notification of a voter, and when it came.
    last_notification: Option<(IntegerMillis, Notification)>,
    own_ticket: OwnTicket,
    requests: PendingRequests,
    leadership: Leadership,
    duties: DutyClient,
    headroom: Headroom,
    effects: Vec<Effect>,
    /// Messages that could not be read, or are another fleet's.
    pub malformed: u64,
}

impl Node {
    /// A member that joins by the voters. `storage` has what must outlast it; a voter whose data directory cannot be used
    /// continues without a vote.
    pub fn start(config: NodeConfig, storage: Box<dyn Storage>, now: IntegerMillis) -> Node {
        let mut rng = SmallRng::seed_from_u64(config.seed);
        let is_voter = config.voters.iter().any(|(name, _)| *name == config.name);
        let mut storage_error = None;
        let (incarnation, consensus) = if is_voter {
            let seed = rng.random();
            let consensus = Consensus::start(config.name.clone(), storage, seed, config.unix_millis, now);
            (consensus.incarnation(), Some(consensus))
        } else {
            let counted = own_ticket::count_start(storage, config.unix_millis);
            let counted = counted.map_err(|error: StorageError| storage_error = Some(error.to_string()));
            (counted.unwrap_or(config.unix_millis), None)
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

    /// Who this member is.
    pub fn identity(&self) -> &MemberIdentity {
        self.membership.identity()
    }

    /// This start of the server, as the issuer of commands.
    fn issuer(&self) -> Issuer {
        let identity = self.identity();
        Issuer::Server { name: identity.name.clone(), incarnation: identity.incarnation }
    }

    /// The members of the fleet as this one sees them.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Tickets and rules, as this voter has applied them; none where it is not a voter.
    pub fn maintenance(&self) -> Option<&MaintenanceState> {
        self.fleet_state().map(|state| &state.maintenance)
    }

    /// All that the fleet has agreed on, as this voter has applied it; none where it is not a voter.
    pub fn fleet_state(&self) -> Option<&FleetState> {
        self.consensus.as_ref().map(Consensus::machine)
    }

    /// This voter's part in the log; none where it is not a voter.
    pub fn consensus(&self) -> Option<&Consensus<FleetState>> {
        self.consensus.as_ref()
    }

    /// Whether this member leads.
    pub fn is_leader(&self) -> bool {
        self.consensus.as_ref().is_some_and(Consensus::is_leader)
    }

    /// Who leads, as far as this member knows.
    pub fn leader(&self) -> Option<&ServerName> {
        let own = self.consensus.as_ref().filter(|consensus| consensus.replica().group != 0);
        own.and_then(Consensus::leader).or_else(|| self.last_notification.as_ref()?.1.leader.as_ref())
    }

    /// Sets the server's load, every second or so. Without it this member reports nothing of itself.
    pub fn set_load(&mut self, now: IntegerMillis, load_report: LoadReport) {
        self.load = Some(ReceivedReport { at: now, report: load_report });
        if self.phase != Phase::Draining {
            self.phase = load_report.phase;
        }
    }

    /// The server's last load report, if that is recent.
    fn own_load_report(&self, now: IntegerMillis) -> Option<LoadReport> {
        let ReceivedReport { at, report } = self.load?;
        is_report_recent(at, now).then_some(LoadReport { phase: self.phase, ..report })
    }

    /// Takes a message's bytes, without the length.
    ///
    /// # Errors
    /// It cannot be read: nothing after it on that stream is to be trusted.
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

    /// Does what is due. To be called at [`Node::next_wake`] and after a sleep.
    pub fn tick(&mut self, now: IntegerMillis) {
        self.membership.tick(now);
        if let Some(consensus) = &mut self.consensus {
            consensus.tick(now);
        }
        if now >= self.next_report_at {
            self.next_report_at = now + REPORT_PERIOD_MILLIS;
            self.send_load_report(now);
            // Only voters receive load reports.
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

    /// When something is due next.
    pub fn next_wake(&self) -> IntegerMillis {
        let consensus = self.consensus.as_ref().map_or(IntegerMillis::MAX, Consensus::next_wake);
        let duties = if self.config.duties.is_some() { self.duties.next_wake() } else { IntegerMillis::MAX };
        let round = if self.is_leader() { self.next_round() } else { IntegerMillis::MAX };
        let wakes = [self.membership.next_wake(), consensus, self.requests.next_wake(), duties, round];
        wakes.into_iter().fold(self.next_report_at, IntegerMillis::min)
    }

    /// Sends a request of this machine to the leader; its response comes as an effect.
    pub fn submit(&mut self, request: FleetRequest, now: IntegerMillis) -> FleetRequestId {
        let id = self.rng.random();
        self.submit_as(id, request, now);
        self.process_outputs(now);
        id
    }

    /// Creates a fleet with this voter alone.
    ///
    /// # Errors
    /// A fleet exists, or this member cannot be its voter.
    pub fn bootstrap(&mut self, now: IntegerMillis) -> Result<(), BootstrapError> {
        let has_fleet = |replica: crate::member::Replica| replica.group != 0;
        let other = self.membership.known().values().find(|known| known.replica.is_some_and(has_fleet));
        if let Some(other) = other {
            return Err(BootstrapError::FleetExists(other.identity.name.clone()));
        }
        let group = self.rng.random();
        self.voter()?.bootstrap(group)?;
        self.process_outputs(now);
        Ok(())
    }

    /// Recreates the fleet from this voter's data directory, with this voter alone.
    ///
    /// # Errors
    /// This voter never belonged to a fleet, or cannot use its data directory.
    pub fn recover(&mut self, now: IntegerMillis) -> Result<(), BootstrapError> {
        let group = self.rng.random();
        self.voter()?.recover(group)?;
        self.process_outputs(now);
        Ok(())
    }

    fn voter(&mut self) -> Result<&mut Consensus<FleetState>, BootstrapError> {
        let error = self.storage_error.clone();
        let missing = || error.map_or(BootstrapError::NotAVoter, BootstrapError::StorageUnavailable);
        self.consensus.as_mut().ok_or_else(missing)
    }

    /// What is to be done since this was last called.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    fn log(&mut self, text: String) {
        self.effects.push(Effect::Log(text));
    }

    /// All members as they are known here, this one included.
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

    /// Logs when the data directory fails, and when it works again.
    fn log_storage_errors(&mut self) {
        let Some(consensus) = &self.consensus else { return };
        let error = consensus.error().map(ToString::to_string);
        if error != self.storage_error {
            self.log(match &error {
                Some(reason) => format!("takes no part in the agreement: {reason}"),
                None => "takes part in the agreement again".into(),
            });
            self.storage_error = error;
        }
    }

    /// Handles all that came of what was just done.
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
        self.follow_own_ticket(now);
        // What this proposed may have been committed at once, where there is one voter alone.
        if self.consensus.as_ref().is_some_and(Consensus::has_output) {
            self.process_outputs(now);
        }
    }
}

#[cfg(test)]
mod tests;
