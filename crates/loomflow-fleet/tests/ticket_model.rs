//! The ticket table, checked exhaustively within bounds: three servers, two tickets, one place, with crashes, and messages
//! that are lost, late or duplicated. Entries are taken for committed at once; what is checked is everything that follows from
//! them: the state machine itself (the real one), and what a server does on what it receives.
//!
//! Left out: abandoning a ticket, which frees its place because an operator says that the server does not come back.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

use loomflow_fleet::command::{Entry, FleetCommand, FleetResponse, Issuer};
use loomflow_fleet::consensus::StateMachine;
use loomflow_fleet::maintenance::Census;
use loomflow_fleet::maintenance::state::MaintenanceState;
use loomflow_fleet::maintenance::ticket::{TicketId, TicketRequest, TicketStage, Transition, Urgency};
use stateright::{Checker, Model, Property};

const SERVERS: usize = 3;
/// Starts of each server.
const MAX_STARTS: u64 = 2;
/// Grants that lapse or are recalled before they are taken up, in all.
const MAX_VOID_GRANTS: u8 = 2;
/// Servers that crash, in all.
const MAX_CRASHES: u8 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Process {
    Serving,
    /// It drains, by this ticket.
    Draining(TicketId),
    /// It shut down by this ticket.
    Out(TicketId),
    Dead,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    /// To a server: its ticket is granted.
    Granted { server: usize, ticket: TicketId, grant: u64, incarnation: u64 },
    /// From a server: it begins by the grant.
    Begin { server: usize, ticket: TicketId, grant: u64, incarnation: u64 },
    /// To a server: its begin is committed.
    Begun { server: usize, ticket: TicketId, incarnation: u64 },
}

#[derive(Clone, Debug)]
struct State {
    maintenance: MaintenanceState,
    /// Entries so far: each has a number of its own, as repeats that the machine answers from memory are the easier case.
    entries: u128,
    servers: [(Process, u64); SERVERS],
    /// All messages ever sent: each may arrive at any time, any number of times.
    sent: BTreeSet<Message>,
    crashes: u8,
    void_grants: u8,
    has_withdrawn: bool,
}

impl State {
    /// What of the state machine matters for what may still happen: times and history do not.
    fn shown(&self) -> Vec<(TicketId, TicketStage, u64, u64, u64, u8)> {
        let open = self.maintenance.open().values();
        open.map(|t| (t.id, t.stage, t.grant, t.incarnation, t.returned_incarnation, t.lapses)).collect()
    }

    /// Applies an entry; whether the state machine accepted it.
    fn commit(&mut self, issuer: Issuer, command: FleetCommand, after: u64) -> bool {
        self.entries += 1;
        let entry = Entry { id: self.entries, at: self.maintenance.time() + after, issuer, command };
        let bytes = postcard::to_stdvec(&entry).unwrap();
        matches!(self.maintenance.apply(&bytes), Some((_, FleetResponse::Done(_))))
    }

    fn departed_count(&self) -> usize {
        let has_departed =
            |(process, _): &&(Process, u64)| matches!(process, Process::Draining(_) | Process::Out(_));
        self.servers.iter().filter(has_departed).count()
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.shown() == other.shown()
            && (self.servers, self.crashes, self.void_grants, self.has_withdrawn)
                == (other.servers, other.crashes, other.void_grants, other.has_withdrawn)
            && self.sent == other.sent
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.shown(), self.servers, &self.sent, self.crashes, self.void_grants, self.has_withdrawn)
            .hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Grant(TicketId),
    /// The leader notifies the server of a granted ticket.
    Notify(TicketId),
    /// Time passes until the grant lapses.
    Lapse(TicketId),
    Recall(TicketId),
    Withdraw(TicketId),
    /// The leader observes a server that has a place.
    Observe(TicketId, Transition),
    Deliver(Message),
    /// A server that drains shuts down.
    FinishDrain(usize),
    Start(usize),
    Crash(usize),
}

/// The ways in which the protocol may be built wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A server drains when its ticket is granted, without waiting until its begin is committed.
    DrainsOnGrant,
    /// The response to a begin counts for any start of the server.
    IgnoresIncarnation,
}

struct TicketModel {
    fault: Fault,
}

fn name(server: usize) -> String {
    format!("n{server}")
}

fn number(name: &str) -> usize {
    name[1..].parse().unwrap()
}

/// The command that makes a transition of a ticket by its current grant.
fn transition_of(state: &State, transition: Transition, id: TicketId, incarnation: u64) -> FleetCommand {
    let grant = state.maintenance.open().get(&id).map_or(0, |ticket| ticket.grant);
    FleetCommand::Transition { ticket: id, transition, grant, incarnation }
}

/// The leader reports what it sees of a server; none where it cannot see that.
fn observe(state: &mut State, last: &State, id: TicketId, transition: Transition) -> Option<bool> {
    let ticket = last.maintenance.open().get(&id)?;
    let (process, incarnation) = last.servers[number(&ticket.request.server)];
    let is_up = matches!(process, Process::Serving | Process::Draining(_));
    // As the observation has it: one that is back is up, with another start than the one that left.
    let incarnation = match transition {
        Transition::Depart => ticket.incarnation.max(ticket.returned_incarnation),
        _ if !is_up => return None,
        Transition::Return if incarnation == ticket.incarnation => return None,
        _ => incarnation,
    };
    Some(state.commit(Issuer::Leader, transition_of(last, transition, id, incarnation), 1))
}

impl TicketModel {
    /// A message arrives; whether that changes anything.
    fn deliver(&self, state: &mut State, last: &State, message: Message) -> Option<bool> {
        let changed = match message {
            Message::Granted { server, ticket, grant, incarnation } => {
                let (process, own) = last.servers[server];
                if process != Process::Serving || own != incarnation {
                    return None;
                }
                if self.fault == Fault::DrainsOnGrant {
                    state.servers[server].0 = Process::Draining(ticket);
                    true
                } else {
                    state.sent.insert(Message::Begin { server, ticket, grant, incarnation })
                }
            }
            Message::Begin { server, ticket, grant, incarnation } => {
                let by = Issuer::Server { name: name(server), incarnation };
                let command =
                    FleetCommand::Transition { ticket, transition: Transition::Begin, grant, incarnation };
                state.commit(by, command, 1)
                    && state.sent.insert(Message::Begun { server, ticket, incarnation })
            }
            Message::Begun { server, ticket, incarnation } => {
                let (process, own) = last.servers[server];
                let is_addressed = own == incarnation || self.fault == Fault::IgnoresIncarnation;
                state.servers[server].0 = Process::Draining(ticket);
                process == Process::Serving && is_addressed
            }
        };
        Some(changed)
    }
}

impl Model for TicketModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut state = State {
            maintenance: MaintenanceState::default(),
            entries: 0,
            servers: [(Process::Serving, 1); SERVERS],
            sent: BTreeSet::new(),
            crashes: 0,
            void_grants: 0,
            has_withdrawn: false,
        };
        let wanted = |server| TicketRequest {
            server: name(server),
            zone: String::new(),
            reason: String::new(),
            urgency: Urgency::Routine,
            duration_millis: 24 * 3_600_000,
            window: None,
        };
        assert!(state.commit(
            Issuer::Operator("ops".into()),
            FleetCommand::CreateTickets(vec![wanted(0), wanted(1)]),
            1
        ));
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for ticket in state.maintenance.open().values() {
            let id = ticket.id;
            match ticket.stage {
                TicketStage::Requested if state.has_withdrawn => actions.push(Action::Grant(id)),
                TicketStage::Requested => actions.extend([Action::Grant(id), Action::Withdraw(id)]),
                TicketStage::Granted => {
                    actions.push(Action::Notify(id));
                    if state.void_grants < MAX_VOID_GRANTS {
                        actions.extend([Action::Lapse(id), Action::Recall(id)]);
                    }
                }
                _ => {}
            }
            if ticket.stage.has_place() && ticket.stage != TicketStage::Granted {
                // A server may be taken for dead that is not.
                let seen = [Transition::Depart, Transition::Return, Transition::Ready, Transition::Finish];
                actions.extend(seen.map(|by| Action::Observe(id, by)));
            }
        }
        actions.extend(state.sent.iter().map(|message| Action::Deliver(*message)));
        for (server, (process, incarnation)) in state.servers.iter().enumerate() {
            match process {
                Process::Draining(_) => actions.push(Action::FinishDrain(server)),
                Process::Out(_) | Process::Dead if *incarnation < MAX_STARTS => {
                    actions.push(Action::Start(server));
                }
                Process::Serving if state.crashes < MAX_CRASHES => actions.push(Action::Crash(server)),
                _ => {}
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let of = |id: TicketId| last.maintenance.open().get(&id);
        let transition = |transition, id, incarnation| transition_of(last, transition, id, incarnation);
        let changed = match action {
            Action::Grant(id) => {
                let incarnation = last.servers[number(&of(id)?.request.server)].1;
                let census = Census { zones: vec![(String::new(), SERVERS as u32)], away: Vec::new() };
                state.commit(Issuer::Leader, FleetCommand::Grant { ticket: id, incarnation, census }, 1)
            }
            Action::Notify(id) => {
                let ticket = of(id)?;
                let (grant, incarnation) = (ticket.grant, ticket.incarnation);
                let server = number(&ticket.request.server);
                state.sent.insert(Message::Granted { server, ticket: id, grant, incarnation })
            }
            Action::Lapse(id) => {
                state.void_grants += 1;
                state.commit(Issuer::Leader, FleetCommand::Clock, of(id)?.deadline - last.maintenance.time())
            }
            Action::Recall(id) => {
                state.void_grants += 1;
                state.commit(Issuer::Leader, transition(Transition::Recall, id, of(id)?.incarnation), 1)
            }
            Action::Withdraw(id) => {
                state.has_withdrawn = true;
                state.commit(Issuer::Operator("ops".into()), transition(Transition::Withdraw, id, 0), 1)
            }
            Action::Observe(id, transition) => observe(&mut state, last, id, transition)?,
            Action::Deliver(message) => self.deliver(&mut state, last, message)?,
            Action::FinishDrain(server) => {
                let Process::Draining(ticket) = last.servers[server].0 else { return None };
                state.servers[server].0 = Process::Out(ticket);
                true
            }
            Action::Start(server) => {
                state.servers[server] = (Process::Serving, last.servers[server].1 + 1);
                true
            }
            Action::Crash(server) => {
                state.crashes += 1;
                state.servers[server].0 = Process::Dead;
                true
            }
        };
        changed.then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONE_DEPARTED, |_, state: &State| state.departed_count() <= 1),
            Property::always(PLACE_RESERVED, |_, state: &State| {
                state.servers.iter().enumerate().all(|(server, (process, _))| match process {
                    Process::Draining(ticket) | Process::Out(ticket) => {
                        state.maintenance.tickets_with_place().get(&name(server)) == Some(ticket)
                    }
                    _ => true,
                })
            }),
            Property::sometimes("both are done", |_, state: &State| {
                state.maintenance.closed().filter(|ticket| ticket.stage == TicketStage::Done).count() == 2
            }),
        ]
    }
}

const ONE_DEPARTED: &str = "at most one server departs at a time";
const PLACE_RESERVED: &str = "a server that departed has the place";

#[test]
fn no_order_of_messages_and_deaths_takes_two_out_or_one_without_its_place() {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = TicketModel { fault: Fault::None }.checker().threads(threads).spawn_bfs().join();
    let (all, different) = (checker.state_count(), checker.unique_state_count());
    println!("{all} states, {different} of them different, to a depth of {}", checker.max_depth());
    checker.assert_properties();
    assert!(checker.is_done() && different > 1_000);
}

#[test]
fn planted_faults_are_found() {
    for fault in [Fault::DrainsOnGrant, Fault::IgnoresIncarnation] {
        let checker = TicketModel { fault }.checker().spawn_bfs().join();
        let found = [ONE_DEPARTED, PLACE_RESERVED].iter().any(|rule| checker.discovery(rule).is_some());
        assert!(found, "{fault:?}");
    }
}
