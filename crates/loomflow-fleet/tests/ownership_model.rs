//! Sessions, leases and fences, checked exhaustively within bounds: two servers, one duty, every order of requests, responses,
//! checks of ownership and effects, with messages that are lost, late or duplicated, a change of leader, and time between any
//! two of them. The state machine, the client session and the fence are the real ones. Each [`Fault`] is one way in which the
//! protocol may be built wrong; the checker has to find every one.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

use loomflow_fleet::duty::client_session::ClientSession;
use loomflow_fleet::duty::fence::Fence;
use loomflow_fleet::duty::state::Duties;
use loomflow_fleet::duty::{DutyCommand, DutySpec, LeaseSettings, Ownership, ServerInstance, Token};
use stateright::{Checker, Model, Property};

const SERVERS: usize = 2;
const LEASE: u64 = 100;
/// Time advances by half a lease, at most [`MAX_TIME_STEPS`] times.
const TIME_STEP: u64 = 50;
const MAX_TIME_STEPS: u64 = 3;
/// Renewals of each server's session, beside the one that began it.
const MAX_RENEWALS: u8 = 1;
const MAX_ASSIGNMENTS: u8 = 2;
const MAX_LEADER_CHANGES: u8 = 1;
const DUTY: &str = "d";

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    /// From a server: it renews its session.
    KeepAlive { server: usize, sent_at: u64 },
    /// To a server: what it owns, in response to the renewal that it sent then.
    Renewed { server: usize, sent_at: u64, session: u64, token: Token },
    /// To a server: the same without a request, which does not extend its session.
    Notified { server: usize, session: u64, token: Token },
}

/// When the leader was elected, on its own clock and in the fleet's time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Election {
    at: u64,
    fleet_time: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Server {
    session: ClientSession,
    /// The token by which it checked that it owns the duty, and has not acted yet.
    checked_token: Option<Token>,
}

/// What was done so far, of all that is bounded or must not happen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct History {
    renewals: [u8; SERVERS],
    assignments: u8,
    leader_changes: u8,
    /// The highest token of an effect that was admitted.
    highest_admitted: Token,
    /// Whether an effect was admitted with a lower token after that.
    has_stale_effect: bool,
}

#[derive(Clone, Debug)]
struct State {
    now: u64,
    duties: Duties,
    election: Election,
    /// Tokens that a leader counts by itself, where that fault is planted.
    token_in_memory: Token,
    /// The token of the lease as it is sent to its owner.
    sent_token: Token,
    servers: [Server; SERVERS],
    /// All messages ever sent: each may arrive at any time, any number of times.
    sent: BTreeSet<Message>,
    fence: Fence,
    history: History,
}

/// A session in the state machine.
#[derive(PartialEq, Eq, Hash)]
struct SessionKey<'a> {
    server: &'a str,
    id: u64,
    incarnation: u64,
    expires_at: u64,
}

/// What of a state matters for what may still happen: the history of duties does not.
#[derive(PartialEq, Eq, Hash)]
struct StateKey<'a> {
    now: u64,
    fleet_time: u64,
    sessions: Vec<SessionKey<'a>>,
    /// Owner and token.
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
    /// A server checks that it owns the duty, and acts on that later.
    CheckOwnership(usize),
    SendEffect(usize),
}

/// The ways in which it may be built wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The receiver admits every token.
    FenceDoesNotCompare,
    /// The owner counts its lease from the response.
    LeaseFromResponse,
    /// A new leader takes all sessions for expired.
    NewLeaderAssignsAtOnce,
    /// Tokens are counted in the leader's memory.
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
    /// A message arrives.
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
                let counts_from = if self.fault == Fault::LeaseFromResponse { state.now } else { sent_at };
                let client = &mut state.servers[server].session;
                client.renewed(ownership(session, token), counts_from, state.now);
                client.take_changes();
            }
            Message::Notified { server, session, token } => {
                let client = &mut state.servers[server].session;
                client.notified(ownership(session, token), state.now);
                client.take_changes();
            }
        }
    }

    /// The leader assigns the duty; none where it has an owner.
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

    /// The receiver gets an effect with a token.
    fn receive_effect(&self, state: &mut State, token: Token) {
        let compares = self.fault != Fault::FenceDoesNotCompare;
        let is_admitted = state.fence.admit(DUTY, token, |_| Ok::<(), ()>(())).is_ok() || !compares;
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
        // Both have a session from the start.
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
            Property::always(OWN_TOKENS, |_, state: &State| {
                tokens_sent_to(state, 0).is_disjoint(&tokens_sent_to(state, 1))
            }),
            Property::sometimes("two owned it one after the other", |_, state: &State| {
                state.history.highest_admitted >= 2
            }),
        ]
    }
}

const NO_STALE_EFFECT: &str = "no effect of a former owner is admitted";
const ONE_OWNER: &str = "one owner at a time";
const OWN_TOKENS: &str = "a token is one owner's";

/// The tokens by which a server was sent the duty.
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
    // A planted fault ends the search where it is found.
    let run =
        if fault == Fault::None { run } else { run.finish_when(stateright::HasDiscoveries::AnyFailures) };
    run.spawn_dfs().join()
}

#[test]
fn one_owner_at_a_time_and_no_effect_of_a_former_one() {
    let checked = check(Fault::None);
    println!("{} states, depth {}", checked.unique_state_count(), checked.max_depth());
    checked.assert_properties();
    assert!(checked.unique_state_count() > 10_000);
}

#[test]
fn planted_faults_are_found() {
    let planted = [
        (Fault::FenceDoesNotCompare, NO_STALE_EFFECT),
        (Fault::LeaseFromResponse, ONE_OWNER),
        (Fault::NewLeaderAssignsAtOnce, ONE_OWNER),
        (Fault::TokenFromMemory, OWN_TOKENS),
    ];
    for (fault, property) in planted {
        let checked = check(fault);
        let found = checked.discovery(property).unwrap_or_else(|| panic!("{fault:?} is not found"));
        let steps: Vec<String> = found.into_actions().iter().map(|action| format!("{action:?}")).collect();
        println!("{fault:?}: {}", steps.join(", "));
    }
}
