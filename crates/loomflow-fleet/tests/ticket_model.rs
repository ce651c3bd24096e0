//! Model checking of the ticket protocol, exhaustive within bounds: three servers, two tickets and one slot, with crashes
//! and with messages that are lost, delayed or duplicated. It combines the real state machine with a model of how servers
//! react to messages. Entries are committed at once, so consensus is not covered.
//!
//! Abandoning a ticket is left out: it releases the slot because an operator states that the server will not return.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

use loomflow_fleet::command::{Entry, FleetCommand, FleetResponse, Issuer};
use loomflow_fleet::consensus::StateMachine;
use loomflow_fleet::maintenance::FleetAvailability;
use loomflow_fleet::maintenance::state::MaintenanceState;
use loomflow_fleet::maintenance::ticket::{TicketId, TicketRequest, TicketStage, Transition, Urgency};
use stateright::{Checker, Model, Property};

const SERVERS: usize = 3;
/// Maximum incarnation of each server.
const MAX_STARTS: u64 = 2;
/// Maximum number of grants that lapse or are revoked before they are accepted, in total.
const MAX_VOID_GRANTS: u8 = 2;
/// Maximum number of crashes, in total.
const MAX_CRASHES: u8 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Process {
    Serving,
    /// Draining under this ticket.
    Draining(TicketId),
    /// Shut down under this ticket.
    Offline(TicketId),
    Dead,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    /// To a server: the ticket is granted.
    Granted { server: usize, ticket: TicketId, grant: u64, incarnation: u64 },
    /// From a server: it accepts the grant.
    Accept { server: usize, ticket: TicketId, grant: u64, incarnation: u64 },
    /// To a server: its acceptance is committed.
    Accepted { server: usize, ticket: TicketId, incarnation: u64 },
}

#[derive(Clone, Debug)]
struct State {
    maintenance: MaintenanceState,
    /// Number of log entries so far, used as request ids. Duplicates get a new id, because retries with the same id get a
    /// remembered response and change nothing.
    entries: u128,
    /// Process and incarnation of each server.
    servers: [(Process, u64); SERVERS],
    /// All messages ever sent: each may arrive at any time, any number of times.
    sent: BTreeSet<Message>,
    crashes: u8,
    void_grants: u8,
    has_withdrawn: bool,
}

impl State {
    /// The part of the state machine that affects later steps; times and history do not.
    fn ticket_states(&self) -> Vec<(TicketId, TicketStage, u64, u64, u64, u8)> {
        let open = self.maintenance.open().values();
        open.map(|t| (t.id, t.stage, t.grant, t.incarnation, t.returned_incarnation, t.lapses)).collect()
    }

    /// Applies an entry, `elapsed` ms after the last one. Returns whether the state machine accepted it.
    fn commit(&mut self, issuer: Issuer, command: FleetCommand, elapsed: u64) -> bool {
        self.entries += 1;
        let entry = Entry { id: self.entries, at: self.maintenance.time() + elapsed, issuer, command };
        let bytes = postcard::to_stdvec(&entry).unwrap();
        matches!(self.maintenance.apply(&bytes), Some((_, FleetResponse::Done(_))))
    }

    /// Number of servers that are draining or have shut down under a ticket.
    fn departed_count(&self) -> usize {
        let has_departed =
            |(process, _): &&(Process, u64)| matches!(process, Process::Draining(_) | Process::Offline(_));
        self.servers.iter().filter(has_departed).count()
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.ticket_states() == other.ticket_states()
            && (self.servers, self.crashes, self.void_grants, self.has_withdrawn)
                == (other.servers, other.crashes, other.void_grants, other.has_withdrawn)
            && self.sent == other.sent
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.ticket_states(), self.servers, &self.sent, self.crashes, self.void_grants, self.has_withdrawn)
            .hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Grant(TicketId),
    /// The leader sends the server its grant.
    Notify(TicketId),
    /// Time advances until the grant lapses.
    Lapse(TicketId),
    Revoke(TicketId),
    Withdraw(TicketId),
    /// The leader records a transition that it observes of a server that has a slot.
    Observe(TicketId, Transition),
    Deliver(Message),
    /// A draining server shuts down.
    FinishDrain(usize),
    Start(usize),
    Crash(usize),
}

/// Faults that are injected into the model to prove that the properties detect them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A server drains when its ticket is granted, without waiting until its acceptance is committed.
    DrainsOnGrant,
    /// A server takes the response to an acceptance of any of its incarnations as its own.
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

/// The command for a transition of a ticket under its current grant.
fn transition_of(state: &State, transition: Transition, id: TicketId, incarnation: u64) -> FleetCommand {
    let grant = state.maintenance.open().get(&id).map_or(0, |ticket| ticket.grant);
    FleetCommand::Transition { ticket: id, transition, grant, incarnation }
}

/// The leader commits a transition that it observes. Returns `None` if the server's state does not show that transition.
fn observe(state: &mut State, last: &State, id: TicketId, transition: Transition) -> Option<bool> {
    let ticket = last.maintenance.open().get(&id)?;
    let (process, incarnation) = last.servers[number(&ticket.request.server)];
    let is_up = matches!(process, Process::Serving | Process::Draining(_));
    // As in `maintenance::observation`: a returned server is up, as another incarnation than the one that left.
    let incarnation = match transition {
        Transition::Depart => ticket.incarnation.max(ticket.returned_incarnation),
        _ if !is_up => return None,
        Transition::Return if incarnation == ticket.incarnation => return None,
        _ => incarnation,
    };
    Some(state.commit(Issuer::Leader, transition_of(last, transition, id, incarnation), 1))
}

impl TicketModel {
    /// Delivers a message. Returns whether the state changes, or `None` if the server ignores the message.
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
                    state.sent.insert(Message::Accept { server, ticket, grant, incarnation })
                }
            }
            Message::Accept { server, ticket, grant, incarnation } => {
                let issuer = Issuer::Server { name: name(server), incarnation };
                let command =
                    FleetCommand::Transition { ticket, transition: Transition::Accept, grant, incarnation };
                state.commit(issuer, command, 1)
                    && state.sent.insert(Message::Accepted { server, ticket, incarnation })
            }
            Message::Accepted { server, ticket, incarnation } => {
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
        let ticket_request = |server| TicketRequest {
            server: name(server),
            zone: String::new(),
            reason: String::new(),
            urgency: Urgency::Routine,
            duration_millis: 24 * 3_600_000,
            window: None,
        };
        assert!(state.commit(
            Issuer::Operator("ops".into()),
            FleetCommand::CreateTickets(vec![ticket_request(0), ticket_request(1)]),
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
                        actions.extend([Action::Lapse(id), Action::Revoke(id)]);
                    }
                }
                _ => {}
            }
            if ticket.stage.has_slot() && ticket.stage != TicketStage::Granted {
                // The leader may observe a departure although the server is alive.
                let observable =
                    [Transition::Depart, Transition::Return, Transition::Ready, Transition::Finish];
                actions.extend(observable.map(|transition| Action::Observe(id, transition)));
            }
        }
        actions.extend(state.sent.iter().map(|message| Action::Deliver(*message)));
        for (server, (process, incarnation)) in state.servers.iter().enumerate() {
            match process {
                Process::Draining(_) => actions.push(Action::FinishDrain(server)),
                Process::Offline(_) | Process::Dead if *incarnation < MAX_STARTS => {
                    actions.push(Action::Start(server));
                }
                Process::Serving if state.crashes < MAX_CRASHES => actions.push(Action::Crash(server)),
                _ => {}
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let open_ticket = |id: TicketId| last.maintenance.open().get(&id);
        let transition = |transition, id, incarnation| transition_of(last, transition, id, incarnation);
        let changed = match action {
            Action::Grant(id) => {
                let incarnation = last.servers[number(&open_ticket(id)?.request.server)].1;
                let availability = FleetAvailability {
                    zone_sizes: vec![(String::new(), SERVERS as u32)],
                    unavailable: Vec::new(),
                };
                state.commit(Issuer::Leader, FleetCommand::Grant { ticket: id, incarnation, availability }, 1)
            }
            Action::Notify(id) => {
                let ticket = open_ticket(id)?;
                let (grant, incarnation) = (ticket.grant, ticket.incarnation);
                let server = number(&ticket.request.server);
                state.sent.insert(Message::Granted { server, ticket: id, grant, incarnation })
            }
            Action::Lapse(id) => {
                state.void_grants += 1;
                state.commit(
                    Issuer::Leader,
                    FleetCommand::Clock,
                    open_ticket(id)?.deadline - last.maintenance.time(),
                )
            }
            Action::Revoke(id) => {
                state.void_grants += 1;
                state.commit(
                    Issuer::Leader,
                    transition(Transition::Revoke, id, open_ticket(id)?.incarnation),
                    1,
                )
            }
            Action::Withdraw(id) => {
                state.has_withdrawn = true;
                state.commit(Issuer::Operator("ops".into()), transition(Transition::Withdraw, id, 0), 1)
            }
            Action::Observe(id, transition) => observe(&mut state, last, id, transition)?,
            Action::Deliver(message) => self.deliver(&mut state, last, message)?,
            Action::FinishDrain(server) => {
                let Process::Draining(ticket) = last.servers[server].0 else { return None };
                state.servers[server].0 = Process::Offline(ticket);
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
            Property::always(SLOT_RESERVED, |_, state: &State| {
                state.servers.iter().enumerate().all(|(server, (process, _))| match process {
                    Process::Draining(ticket) | Process::Offline(ticket) => {
                        state.maintenance.tickets_with_slot().get(&name(server)) == Some(ticket)
                    }
                    _ => true,
                })
            }),
            Property::sometimes("both tickets are done", |_, state: &State| {
                state.maintenance.closed().filter(|ticket| ticket.stage == TicketStage::Done).count() == 2
            }),
        ]
    }
}

const ONE_DEPARTED: &str = "at most one server has departed";
const SLOT_RESERVED: &str = "a departed server has a slot under its ticket";

#[test]
fn at_most_one_server_departs_and_only_with_a_slot() {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = TicketModel { fault: Fault::None }.checker().threads(threads).spawn_bfs().join();
    let (states, unique_states) = (checker.state_count(), checker.unique_state_count());
    println!("{states} states, {unique_states} of them unique, to a depth of {}", checker.max_depth());
    checker.assert_properties();
    assert!(checker.is_done() && unique_states > 1_000, "{unique_states} unique states");
}

#[test]
fn injected_faults_are_detected() {
    for fault in [Fault::DrainsOnGrant, Fault::IgnoresIncarnation] {
        let checker = TicketModel { fault }.checker().spawn_bfs().join();
        let found =
            [ONE_DEPARTED, SLOT_RESERVED].iter().any(|property| checker.discovery(property).is_some());
        assert!(found, "no property detects the fault {fault:?}");
    }
}
