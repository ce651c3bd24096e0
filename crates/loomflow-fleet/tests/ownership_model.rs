//! Exhaustive bounded model checking of sessions, leases and fences: two servers, one duty, and every order of renewals,
//! assignments, ownership checks and effects, with lost, late and duplicated messages, a change of leader, and time that
//! passes between any two steps. The model runs the production state machine, client session and fence. Each [`Fault`] is an
//! incorrect variant of the protocol, which the checker has to detect.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

use loomflow_fleet::duty::client_session::ClientSession;
use loomflow_fleet::duty::fence::Fence;
use loomflow_fleet::duty::state::Duties;
use loomflow_fleet::duty::{DutyCommand, DutySpec, LeaseSettings, Ownership, ServerInstance, Token};
use stateright::{Checker, Model, Property};

const SERVERS: usize = 2;
const LEASE: u64 = 100;
/// Step by which time advances, ms: half a lease. Time advances at most [`MAX_TIME_STEPS`] times.
const TIME_STEP: u64 = 50;
const MAX_TIME_STEPS: u64 = 3;
/// Maximum renewals of each server's session after the one that opened it.
const MAX_RENEWALS: u8 = 1;
const MAX_ASSIGNMENTS: u8 = 2;
const MAX_LEADER_CHANGES: u8 = 1;
const DUTY: &str = "d";

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    /// From a server: renews its session.
    KeepAlive { server: usize, sent_at: u64 },
    /// To a server: its session and token, in response to the renewal that it sent at `sent_at`.
    Renewed { server: usize, sent_at: u64, session: u64, token: Token },
    /// To a server: its session and token, without a renewal. Does not extend the session.
    Notified { server: usize, session: u64, token: Token },
}

/// The time of the leader's election, on its own clock and in the fleet's time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Election {
    at: u64,
    fleet_time: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Server {
    session: ClientSession,
    /// The token of a successful ownership check whose effect has not been sent yet.
    checked_token: Option<Token>,
}

/// Counts of the bounded actions, and the admitted effects.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct History {
    renewals: [u8; SERVERS],
    assignments: u8,
    leader_changes: u8,
    /// The highest token of an effect that was admitted.
    highest_admitted: Token,
    /// Whether an effect with a lower token was admitted after that one.
    has_stale_effect: bool,
}

#[derive(Clone, Debug)]
struct State {
    now: u64,
    duties: Duties,
    election: Election,
    /// The last token assigned in the leader's memory; sent only with [`Fault::TokenFromMemory`].
    token_in_memory: Token,
    /// The token of the lease that is sent to its owner.
    sent_token: Token,
    servers: [Server; SERVERS],
    /// All messages ever sent. Each may be delivered at any time, any number of times or never.
    sent: BTreeSet<Message>,
    fence: Fence,
    history: History,
}

/// The part of a [`StateKey`] that identifies a session.
#[derive(PartialEq, Eq, Hash)]
struct SessionKey<'a> {
    server: &'a str,
    id: u64,
    incarnation: u64,
    expires_at: u64,
}

/// The parts of a [`State`] that determine its successors. The event history of duties is left out, so that states that
/// differ only in it are equal.
#[derive(PartialEq, Eq, Hash)]
struct StateKey<'a> {
    now: u64,
    fleet_time: u64,
    sessions: Vec<SessionKey<'a>>,
    /// Owner and token of the lease, if any.
    lease: Option<(&'a str, Token)>,
    last_token: Token,
    fenced_token: Token,
    election: &'a Election,
    token_in_memory: Token,
    sent_token: Token,
    servers: &'a [Server; SERVERS],
    sent: &'a BTreeSet<Message>,
    history: &'a History,
}

impl State {
    fn fleet_time(&self) -> u64 {
        self.duties.time().max(self.election.fleet_time + self.now - self.election.at)
    }

    fn key(&self) -> StateKey<'_> {
        let sessions = self.duties.sessions().iter().map(|(server, session)| SessionKey {
            server,
            id: session.id,
            incarnation: session.incarnation,
            expires_at: session.expires_at,
        });
        let lease = self.duties.duties()[DUTY].lease.as_ref();
        StateKey {
            now: self.now,
            fleet_time: self.duties.time(),
            sessions: sessions.collect(),
            lease: lease.map(|lease| (lease.owner.as_str(), lease.token)),
            last_token: self.duties.last_token(),
            fenced_token: self.fence.highest_token(DUTY),
            election: &self.election,
            token_in_memory: self.token_in_memory,
            sent_token: self.sent_token,
            servers: &self.servers,
            sent: &self.sent,
            history: &self.history,
        }
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.key() == other.key()
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.key().hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    AdvanceTime,
    Renew(usize),
    Deliver(Message),
    Assign(usize),
    ChangeLeader,
    /// A server checks that it owns the duty. Its effect follows as a separate step.
    CheckOwnership(usize),
    SendEffect(usize),
}

/// Defects that are built into the model, to show that the checker detects them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The receiver admits every token.
    FenceAdmitsAll,
    /// The owner counts its lease from the receipt of the response instead of the sending of the renewal.
    LeaseFromResponse,
    /// A new leader assigns duties without waiting for the committed sessions to expire.
    NewLeaderAssignsAtOnce,
    /// Tokens are counted in the memory of the leader, so that a new leader starts again.
    TokenFromMemory,
}

struct OwnershipModel {
    fault: Fault,
}

fn ownership(session: u64, token: Token) -> Ownership {
    let owned_duty = loomflow_fleet::duty::OwnedDuty {
        duty: DUTY.into(),
        token,
        is_recalled: false,
        checkpoint: Vec::new(),
        last_run: 0,
        has_unfinished_run: false,
        is_run_requested: false,
        schedule: None,
    };
    let duties = if token > 0 { vec![owned_duty] } else { Vec::new() };
    Ownership { session, lease_settings: LeaseSettings { lease_millis: LEASE, max_attempts: 99 }, duties }
}

fn name(server: usize) -> String {
    format!("n{server}")
}

fn instance(server: usize) -> ServerInstance {
    ServerInstance { name: name(server), incarnation: 1 }
}

impl OwnershipModel {
    /// Delivers a message to its recipient.
    fn deliver(&self, state: &mut State, message: Message) {
        match message {
            Message::KeepAlive { server, sent_at } => {
                state.duties.advance_time(state.fleet_time());
                state.duties.apply(&DutyCommand::KeepAlive(vec![instance(server)]));
                let ownership = state.duties.ownership(&name(server));
                let token = ownership.duties.first().map_or(0, |_| state.sent_token);
                state.sent.insert(Message::Renewed { server, sent_at, session: ownership.session, token });
            }
            Message::Renewed { server, sent_at, session, token } => {
                let valid_from = if self.fault == Fault::LeaseFromResponse { state.now } else { sent_at };
                let client = &mut state.servers[server].session;
                client.renewed(ownership(session, token), valid_from, state.now);
                client.take_changes();
            }
            Message::Notified { server, session, token } => {
                let client = &mut state.servers[server].session;
                client.notified(ownership(session, token), state.now);
                client.take_changes();
            }
        }
    }

    /// The leader assigns the duty. `None` if the state machine did not assign it.
    fn assign(&self, state: &mut State, server: usize) -> Option<()> {
        state.duties.advance_time(state.fleet_time());
        let before = state.duties.last_token();
        state.duties.apply(&DutyCommand::Assign(vec![(DUTY.into(), name(server))]));
        if state.duties.last_token() == before {
            return None;
        }
        state.history.assignments += 1;
        state.token_in_memory += 1;
        let ownership = state.duties.ownership(&name(server));
        state.sent_token = match self.fault {
            Fault::TokenFromMemory => state.token_in_memory,
            _ => ownership.duties[0].token,
        };
        let (session, token) = (ownership.session, state.sent_token);
        state.sent.insert(Message::Notified { server, session, token });
        Some(())
    }

    fn change_leader(&self, state: &mut State) {
        state.history.leader_changes += 1;
        state.token_in_memory = 0;
        if self.fault == Fault::NewLeaderAssignsAtOnce {
            state.duties.advance_time(state.duties.time() + 2 * LEASE);
        }
        state.election = Election { at: state.now, fleet_time: state.duties.time() };
    }

    /// The receiver checks an effect with this token against its fence.
    fn receive_effect(&self, state: &mut State, token: Token) {
        let compares_tokens = self.fault != Fault::FenceAdmitsAll;
        let is_admitted = state.fence.admit(DUTY, token, |_| Ok::<(), ()>(())).is_ok() || !compares_tokens;
        if is_admitted {
            let history = &mut state.history;
            history.has_stale_effect |= token < history.highest_admitted;
            history.highest_admitted = history.highest_admitted.max(token);
        }
    }
}

impl Model for OwnershipModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut duties = Duties::default();
        duties.apply(&DutyCommand::Declare(
            LeaseSettings { lease_millis: LEASE, max_attempts: 99 },
            vec![DutySpec::plain(DUTY)],
        ));
        // Both servers start with a session.
        duties.apply(&DutyCommand::KeepAlive((0..SERVERS).map(instance).collect()));
        let servers = [0, 1].map(|server| {
            let mut session = ClientSession::default();
            session.renewed(duties.ownership(&name(server)), 0, 0);
            Server { session, checked_token: None }
        });
        vec![State {
            now: 0,
            duties,
            election: Election { at: 0, fleet_time: 0 },
            token_in_memory: 0,
            sent_token: 0,
            servers,
            sent: BTreeSet::new(),
            fence: Fence::default(),
            history: History::default(),
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let history = &state.history;
        if state.now < TIME_STEP * MAX_TIME_STEPS {
            actions.push(Action::AdvanceTime);
        }
        if history.leader_changes < MAX_LEADER_CHANGES {
            actions.push(Action::ChangeLeader);
        }
        for server in 0..SERVERS {
            if history.renewals[server] < MAX_RENEWALS {
                actions.push(Action::Renew(server));
            }
            if history.assignments < MAX_ASSIGNMENTS {
                actions.push(Action::Assign(server));
            }
            let Server { session, checked_token } = &state.servers[server];
            match checked_token {
                None if session.owned_token(DUTY, state.now).is_some() => {
                    actions.push(Action::CheckOwnership(server));
                }
                Some(_) => actions.push(Action::SendEffect(server)),
                None => {}
            }
        }
        actions.extend(state.sent.iter().cloned().map(Action::Deliver));
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::AdvanceTime => state.now += TIME_STEP,
            Action::Renew(server) => {
                state.history.renewals[server] += 1;
                state.sent.insert(Message::KeepAlive { server, sent_at: state.now });
            }
            Action::Deliver(message) => self.deliver(&mut state, message),
            Action::Assign(server) => self.assign(&mut state, server)?,
            Action::ChangeLeader => self.change_leader(&mut state),
            Action::CheckOwnership(server) => {
                let server = &mut state.servers[server];
                server.checked_token = server.session.owned_token(DUTY, state.now);
            }
            Action::SendEffect(server) => {
                let token = state.servers[server].checked_token.take()?;
                self.receive_effect(&mut state, token);
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NO_STALE_EFFECT, |_, state: &State| !state.history.has_stale_effect),
            Property::always(ONE_OWNER, |_, state: &State| {
                let is_owner = |server: &&Server| server.session.owned_token(DUTY, state.now).is_some();
                state.servers.iter().filter(is_owner).count() <= 1
            }),
            Property::always(UNIQUE_TOKENS, |_, state: &State| {
                tokens_sent_to(state, 0).is_disjoint(&tokens_sent_to(state, 1))
            }),
            Property::sometimes("an effect of a second owner is admitted", |_, state: &State| {
                state.history.highest_admitted >= 2
            }),
        ]
    }
}

const NO_STALE_EFFECT: &str = "no effect of a former owner is admitted";
const ONE_OWNER: &str = "at most one server owns the duty at a time";
const UNIQUE_TOKENS: &str = "no token is sent to two servers";

/// The tokens of the duty in all messages sent to a server.
fn tokens_sent_to(state: &State, server: usize) -> BTreeSet<Token> {
    let token = |message: &Message| match message {
        Message::Renewed { server: to, token, .. } | Message::Notified { server: to, token, .. }
            if *to == server && *token > 0 =>
        {
            Some(*token)
        }
        _ => None,
    };
    state.sent.iter().filter_map(token).collect()
}

fn check(fault: Fault) -> impl Checker<OwnershipModel> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let run = OwnershipModel { fault }.checker().threads(threads);
    // With a fault, the search ends at the first violated property.
    let run =
        if fault == Fault::None { run } else { run.finish_when(stateright::HasDiscoveries::AnyFailures) };
    run.spawn_dfs().join()
}

#[test]
fn protocol_has_one_owner_and_admits_no_stale_effect() {
    let checked = check(Fault::None);
    println!("{} states, depth {}", checked.unique_state_count(), checked.max_depth());
    checked.assert_properties();
    assert!(checked.unique_state_count() > 10_000);
}

#[test]
fn each_fault_violates_its_property() {
    let violations = [
        (Fault::FenceAdmitsAll, NO_STALE_EFFECT),
        (Fault::LeaseFromResponse, ONE_OWNER),
        (Fault::NewLeaderAssignsAtOnce, ONE_OWNER),
        (Fault::TokenFromMemory, UNIQUE_TOKENS),
    ];
    for (fault, property) in violations {
        let checked = check(fault);
        let found =
            checked.discovery(property).unwrap_or_else(|| panic!("{fault:?} did not violate: {property}"));
        let steps: Vec<String> = found.into_actions().iter().map(|action| format!("{action:?}")).collect();
        println!("{fault:?}: {}", steps.join(", "));
    }
}
