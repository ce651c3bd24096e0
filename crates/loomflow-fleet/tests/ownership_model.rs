//! Sessions, leases and fences, checked exhaustively within bounds: two servers, one duty, every order of asking, hearing,
//! checking and acting, with words that are lost, late or heard twice, a change of leader, and time between any two of them.
//! The machine, the tenure and the fence are the real ones. What is planted is each way in which the protocol may be built
//! wrong; the checker has to find every one.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

use loomflow_fleet::duty::client_session::ClientSession;
use loomflow_fleet::duty::fence::Fence;
use loomflow_fleet::duty::state::Duties;
use loomflow_fleet::duty::{DutyCommand, DutySpec, LeaseSettings, Ownership, ServerInstance, Token};
use stateright::{Checker, Model, Property};

const SERVERS: usize = 2;
const LEASE: u64 = 100;
/// Time moves on by half a lease, so often.
const STEP: u64 = 50;
const STEPS: u64 = 3;
/// Words that keep a session, for each server, beside the one that began it.
const RENEWALS: u8 = 1;
/// Duties given, and changes of the leader.
const GIVEN: u8 = 2;
const LEADERS: u8 = 1;
const DUTY: &str = "d";

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    /// From a server: it is here, said at that time.
    Here { server: usize, at: u64 },
    /// To a server: what it owns, in answer to a word of that time.
    Owns { server: usize, at: u64, session: u64, token: Token },
    /// The same unasked: it gives a duty, and no time.
    Given { server: usize, session: u64, token: Token },
}

#[derive(Clone, Debug)]
struct State {
    now: u64,
    duties: Duties,
    /// Since when the leader leads, and the fleet's time then.
    leads: (u64, u64),
    /// Tokens that a leader counts by itself, where that fault is planted.
    counted: Token,
    /// The token of the lease as it is told.
    told: Token,
    servers: [(ClientSession, Option<Token>); SERVERS],
    /// All that was said and may be heard at any time, any number of times.
    sent: BTreeSet<Message>,
    renewals: [u8; SERVERS],
    given: u8,
    leaders: u8,
    fence: Fence,
    /// Highest token that was let in, and whether a lower one was after it.
    highest: Token,
    harmed: bool,
}

type Shown<'a> = (u64, Vec<(String, u64, u64, u64)>, Option<(&'a str, Token)>, Token, u64);

impl State {
    fn fleet_time(&self) -> u64 {
        self.duties.time().max(self.leads.1 + self.now - self.leads.0)
    }

    /// What of the record matters for what may still happen: its history does not.
    fn shown(&self) -> Shown<'_> {
        let sessions = self.duties.sessions().iter();
        let sessions = sessions.map(|(name, s)| (name.clone(), s.id, s.incarnation, s.expires_at)).collect();
        let lease =
            self.duties.duties()[DUTY].lease.as_ref().map(|lease| (lease.owner.as_str(), lease.token));
        (self.duties.time(), sessions, lease, self.duties.last_token(), self.fence.highest_token(DUTY))
    }

    #[allow(clippy::type_complexity)]
    fn rest(
        &self,
    ) -> (u64, (u64, u64), (Token, Token), &[(ClientSession, Option<Token>); SERVERS], &BTreeSet<Message>)
    {
        (self.now, self.leads, (self.counted, self.told), &self.servers, &self.sent)
    }

    fn counts(&self) -> ([u8; SERVERS], u8, u8, Token, bool) {
        (self.renewals, self.given, self.leaders, self.highest, self.harmed)
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.shown() == other.shown() && self.rest() == other.rest() && self.counts() == other.counts()
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.shown(), self.rest(), self.counts()).hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Time,
    Request(usize),
    Deliver(Message),
    Give(usize),
    NewLeader,
    /// It makes sure that it owns the duty, and acts on that later.
    Check(usize),
    Act(usize),
}

/// The ways in which it may be built wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The receiver takes every token.
    FenceDoesNotCompare,
    /// The holder counts its time from the answer.
    FromTheAnswer,
    /// A new leader holds the sessions of the former for over.
    NewLeaderGrantsAtOnce,
    /// Tokens are counted in the leader's memory.
    TokenFromMemory,
}

struct Owners(Fault);

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

impl Owners {
    fn session_of(state: &State, server: usize) -> Ownership {
        state.duties.ownership(&name(server))
    }
}

impl Owners {
    /// A message arrives.
    fn deliver(&self, state: &mut State, message: Message) {
        match message {
            Message::Here { server, at } => {
                let holder = ServerInstance { name: name(server), incarnation: 1 };
                state.duties.advance_time(state.fleet_time());
                state.duties.apply(&DutyCommand::KeepAlive(vec![holder]));
                let ownership = Owners::session_of(state, server);
                let token = ownership.duties.first().map_or(0, |_| state.told);
                state.sent.insert(Message::Owns { server, at, session: ownership.session, token });
            }
            Message::Owns { server, at, session, token } => {
                let ownership = ownership(session, token);
                let from = if self.0 == Fault::FromTheAnswer { state.now } else { at };
                state.servers[server].0.renewed(ownership, from, state.now);
                state.servers[server].0.take_changes();
            }
            Message::Given { server, session, token } => {
                state.servers[server].0.notified(ownership(session, token), state.now);
                state.servers[server].0.take_changes();
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
        state.given += 1;
        state.counted += 1;
        let ownership = Owners::session_of(state, server);
        state.told = match self.0 {
            Fault::TokenFromMemory => state.counted,
            _ => ownership.duties[0].token,
        };
        state.sent.insert(Message::Given { server, session: ownership.session, token: state.told });
        Some(())
    }
}

impl Model for Owners {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut duties = Duties::default();
        duties.apply(&DutyCommand::Declare(
            LeaseSettings { lease_millis: LEASE, max_attempts: 99 },
            vec![DutySpec::plain(DUTY)],
        ));
        // Both are here from the start.
        let holder = |server| ServerInstance { name: name(server), incarnation: 1 };
        duties.apply(&DutyCommand::KeepAlive((0..SERVERS).map(holder).collect()));
        let servers = [0, 1].map(|server| {
            let mut session_client = ClientSession::default();
            session_client.renewed(duties.ownership(&name(server)), 0, 0);
            (session_client, None)
        });
        vec![State {
            now: 0,
            duties,
            leads: (0, 0),
            counted: 0,
            told: 0,
            servers,
            sent: BTreeSet::new(),
            renewals: [0; SERVERS],
            given: 0,
            leaders: 0,
            fence: Fence::default(),
            highest: 0,
            harmed: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < STEP * STEPS {
            actions.push(Action::Time);
        }
        if state.leaders < LEADERS {
            actions.push(Action::NewLeader);
        }
        for server in 0..SERVERS {
            if state.renewals[server] < RENEWALS {
                actions.push(Action::Request(server));
            }
            if state.given < GIVEN {
                actions.push(Action::Give(server));
            }
            let (session_client, checked) = &state.servers[server];
            match checked {
                None if session_client.owned_token(DUTY, state.now).is_some() => {
                    actions.push(Action::Check(server));
                }
                Some(_) => actions.push(Action::Act(server)),
                None => {}
            }
        }
        actions.extend(state.sent.iter().cloned().map(Action::Deliver));
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Time => state.now += STEP,
            Action::Request(server) => {
                state.renewals[server] += 1;
                state.sent.insert(Message::Here { server, at: state.now });
            }
            Action::Deliver(message) => self.deliver(&mut state, message),
            Action::Give(server) => self.assign(&mut state, server)?,
            Action::NewLeader => {
                state.leaders += 1;
                state.counted = 0;
                if self.0 == Fault::NewLeaderGrantsAtOnce {
                    state.duties.advance_time(state.duties.time() + 2 * LEASE);
                }
                state.leads = (state.now, state.duties.time());
            }
            Action::Check(server) => {
                state.servers[server].1 = state.servers[server].0.owned_token(DUTY, state.now);
            }
            Action::Act(server) => {
                let token = state.servers[server].1.take()?;
                let compares = self.0 != Fault::FenceDoesNotCompare;
                let let_in = state.fence.admit(DUTY, token, |_| Ok::<(), ()>(())).is_ok() || !compares;
                if let_in {
                    state.harmed |= token < state.highest;
                    state.highest = state.highest.max(token);
                }
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nothing is let in after what a later owner did", |_, state: &State| {
                !state.harmed
            }),
            Property::always("one owner at a time", |_, state: &State| {
                state
                    .servers
                    .iter()
                    .filter(|(session_client, _)| session_client.owned_token(DUTY, state.now).is_some())
                    .count()
                    <= 1
            }),
            Property::always("a token is one owner's", |_, state: &State| {
                let tokens = |server: usize| {
                    let of = move |message: &Message| match message {
                        Message::Owns { server: to, token, .. }
                        | Message::Given { server: to, token, .. }
                            if *to == server && *token > 0 =>
                        {
                            Some(*token)
                        }
                        _ => None,
                    };
                    state.sent.iter().filter_map(of).collect::<BTreeSet<Token>>()
                };
                tokens(0).is_disjoint(&tokens(1))
            }),
            Property::sometimes("two owned it one after the other", |_, state: &State| state.highest >= 2),
        ]
    }
}

fn check(fault: Fault) -> impl Checker<Owners> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let run = Owners(fault).checker().threads(threads);
    // A planted fault ends the search where it is found.
    let run =
        if fault == Fault::None { run } else { run.finish_when(stateright::HasDiscoveries::AnyFailures) };
    run.spawn_dfs().join()
}

#[test]
fn one_owner_at_a_time_and_no_harm_by_an_old_one() {
    let checked = check(Fault::None);
    println!("{} states, depth {}", checked.unique_state_count(), checked.max_depth());
    checked.assert_properties();
    assert!(checked.unique_state_count() > 10_000);
}

#[test]
fn planted_faults_are_found() {
    let planted = [
        (Fault::FenceDoesNotCompare, "nothing is let in after what a later owner did"),
        (Fault::FromTheAnswer, "one owner at a time"),
        (Fault::NewLeaderGrantsAtOnce, "one owner at a time"),
        (Fault::TokenFromMemory, "a token is one owner's"),
    ];
    for (fault, property) in planted {
        let checked = check(fault);
        let found = checked.discovery(property).unwrap_or_else(|| panic!("{fault:?} is not found"));
        let steps: Vec<String> = found.into_actions().iter().map(|action| format!("{action:?}")).collect();
        println!("{fault:?}: {}", steps.join(", "));
    }
}
