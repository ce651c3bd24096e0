//! The ticket table, checked exhaustively within bounds: three servers, two tickets, one place, with crashes, and messages
//! that are lost, late or said any number of times. The log is taken as agreed on; what is checked is everything that hangs
//! on it: the machine itself (the real one), and what a server does on what it hears.
//!
//! Left out: writing off, which frees a place by an operator's word that the machine does not come back.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

use loomflow_fleet::consensus::StateMachine;
use loomflow_fleet::maintenance::state::MaintenanceState;
use loomflow_fleet::maintenance::ticket::{TicketId, TicketRequest, TicketStage, Transition, Urgency};
use loomflow_fleet::maintenance::{Census, Entry, Issuer, MaintenanceCommand, Response};
use stateright::{Checker, Model, Property};

const SERVERS: usize = 3;
/// Each server starts so often at the most.
const STARTS: u64 = 2;
/// Grants that are void before they are taken up, in all.
const VOID: u8 = 2;
/// Servers that die by themselves, in all.
const CRASHES: u8 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Process {
    Up,
    /// It drains, by this ticket.
    Leaving(TicketId),
    /// It went by this ticket.
    Out(TicketId),
    Dead,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    /// To a server: it is granted its turn.
    Granted { server: usize, ticket: TicketId, grant: u64, incarnation: u64 },
    /// From a server: it takes the grant up.
    Begin { server: usize, ticket: TicketId, grant: u64, incarnation: u64 },
    /// To a server: its begin is agreed on.
    Begun { server: usize, ticket: TicketId, incarnation: u64 },
}

#[derive(Clone, Debug)]
struct State {
    maintenance: MaintenanceState,
    /// Entries so far: each has a number of its own, as repeats that the machine answers from memory are the easier case.
    entries: u128,
    servers: [(Process, u64); SERVERS],
    /// All that was ever said and may be heard at any time, any number of times.
    said: BTreeSet<Message>,
    crashes: u8,
    void: u8,
    withdrawn: bool,
}

impl State {
    /// What of the machine matters for what may still happen: times and history do not.
    fn shown(&self) -> Vec<(TicketId, TicketStage, u64, u64, u64, u8)> {
        let open = self.maintenance.open().values();
        open.map(|t| (t.id, t.stage, t.grant, t.incarnation, t.returned_incarnation, t.lapses)).collect()
    }

    /// Puts an entry into the log; whether it was done.
    fn agree(&mut self, issuer: Issuer, command: MaintenanceCommand, after: u64) -> bool {
        self.entries += 1;
        let entry = Entry { id: self.entries, at: self.maintenance.time() + after, issuer, command };
        let bytes = postcard::to_stdvec(&entry).unwrap();
        matches!(self.maintenance.apply(&bytes), Some((_, Response::Done(_))))
    }

    fn went(&self) -> usize {
        let went = |(process, _): &&(Process, u64)| matches!(process, Process::Leaving(_) | Process::Out(_));
        self.servers.iter().filter(went).count()
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        self.shown() == other.shown()
            && (self.servers, self.crashes, self.void, self.withdrawn)
                == (other.servers, other.crashes, other.void, other.withdrawn)
            && self.said == other.said
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.shown(), self.servers, &self.said, self.crashes, self.void, self.withdrawn).hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Grant(TicketId),
    /// The leader tells the server of a granted ticket.
    Tell(TicketId),
    /// Time passes until the grant lapses.
    Lapse(TicketId),
    Recall(TicketId),
    Withdraw(TicketId),
    /// What the leader sees of a server that holds a place.
    See(TicketId, Transition),
    Deliver(Message),
    /// A server that leaves is gone.
    End(usize),
    Start(usize),
    Crash(usize),
}

/// The ways in which the protocol may be built wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A server leaves when it is granted, without waiting for its begin to be agreed on.
    LeavesOnTheGrant,
    /// A begun answer is taken for any start of the server.
    ForgetsItsStart,
}

struct Fleet {
    fault: Fault,
}

fn name(server: usize) -> String {
    format!("n{server}")
}

fn number(name: &str) -> usize {
    name[1..].parse().unwrap()
}

/// The command that makes a transition of a ticket by its current grant.
fn transition_of(
    state: &State,
    transition: Transition,
    id: TicketId,
    incarnation: u64,
) -> MaintenanceCommand {
    let grant = state.maintenance.open().get(&id).map_or(0, |ticket| ticket.grant);
    MaintenanceCommand::Transition { ticket: id, transition, grant, incarnation }
}

/// The leader reports what it sees of a server; none where it cannot see that.
fn observe(state: &mut State, last: &State, id: TicketId, transition: Transition) -> Option<bool> {
    let ticket = last.maintenance.open().get(&id)?;
    let (process, incarnation) = last.servers[number(&ticket.request.server)];
    let is_up = matches!(process, Process::Up | Process::Leaving(_));
    // As the observation has it: one that is back is up, with another start than the one that left.
    let incarnation = match transition {
        Transition::Depart => ticket.incarnation.max(ticket.returned_incarnation),
        _ if !is_up => return None,
        Transition::Return if incarnation == ticket.incarnation => return None,
        _ => incarnation,
    };
    Some(state.agree(Issuer::Leader, transition_of(last, transition, id, incarnation), 1))
}

impl Fleet {
    /// A message arrives; whether that changes anything.
    fn deliver(&self, state: &mut State, last: &State, message: Message) -> Option<bool> {
        let changed = match message {
            Message::Granted { server, ticket, grant, incarnation } => {
                let (process, own) = last.servers[server];
                if process != Process::Up || own != incarnation {
                    return None;
                }
                if self.fault == Fault::LeavesOnTheGrant {
                    state.servers[server].0 = Process::Leaving(ticket);
                    true
                } else {
                    state.said.insert(Message::Begin { server, ticket, grant, incarnation })
                }
            }
            Message::Begin { server, ticket, grant, incarnation } => {
                let by = Issuer::Server { name: name(server), incarnation };
                let command = MaintenanceCommand::Transition {
                    ticket,
                    transition: Transition::Begin,
                    grant,
                    incarnation,
                };
                state.agree(by, command, 1)
                    && state.said.insert(Message::Begun { server, ticket, incarnation })
            }
            Message::Begun { server, ticket, incarnation } => {
                let (process, own) = last.servers[server];
                let meant = own == incarnation || self.fault == Fault::ForgetsItsStart;
                state.servers[server].0 = Process::Leaving(ticket);
                process == Process::Up && meant
            }
        };
        Some(changed)
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut state = State {
            maintenance: MaintenanceState::default(),
            entries: 0,
            servers: [(Process::Up, 1); SERVERS],
            said: BTreeSet::new(),
            crashes: 0,
            void: 0,
            withdrawn: false,
        };
        let wanted = |server| TicketRequest {
            server: name(server),
            zone: String::new(),
            reason: String::new(),
            urgency: Urgency::Routine,
            duration_millis: 24 * 3_600_000,
            window: None,
        };
        assert!(state.agree(
            Issuer::Operator("ops".into()),
            MaintenanceCommand::CreateTickets(vec![wanted(0), wanted(1)]),
            1
        ));
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for ticket in state.maintenance.open().values() {
            let id = ticket.id;
            match ticket.stage {
                TicketStage::Requested if state.withdrawn => actions.push(Action::Grant(id)),
                TicketStage::Requested => actions.extend([Action::Grant(id), Action::Withdraw(id)]),
                TicketStage::Granted => {
                    actions.push(Action::Tell(id));
                    if state.void < VOID {
                        actions.extend([Action::Lapse(id), Action::Recall(id)]);
                    }
                }
                _ => {}
            }
            if ticket.stage.has_place() && ticket.stage != TicketStage::Granted {
                // A server may be taken for dead that is not.
                let seen = [Transition::Depart, Transition::Return, Transition::Ready, Transition::Finish];
                actions.extend(seen.map(|by| Action::See(id, by)));
            }
        }
        actions.extend(state.said.iter().map(|message| Action::Deliver(*message)));
        for (server, (process, incarnation)) in state.servers.iter().enumerate() {
            match process {
                Process::Leaving(_) => actions.push(Action::End(server)),
                Process::Out(_) | Process::Dead if *incarnation < STARTS => {
                    actions.push(Action::Start(server));
                }
                Process::Up if state.crashes < CRASHES => actions.push(Action::Crash(server)),
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
                state.agree(Issuer::Leader, MaintenanceCommand::Grant { ticket: id, incarnation, census }, 1)
            }
            Action::Tell(id) => {
                let ticket = of(id)?;
                let (grant, incarnation) = (ticket.grant, ticket.incarnation);
                let server = number(&ticket.request.server);
                state.said.insert(Message::Granted { server, ticket: id, grant, incarnation })
            }
            Action::Lapse(id) => {
                state.void += 1;
                state.agree(
                    Issuer::Leader,
                    MaintenanceCommand::Clock,
                    of(id)?.deadline - last.maintenance.time(),
                )
            }
            Action::Recall(id) => {
                state.void += 1;
                state.agree(Issuer::Leader, transition(Transition::Recall, id, of(id)?.incarnation), 1)
            }
            Action::Withdraw(id) => {
                state.withdrawn = true;
                state.agree(Issuer::Operator("ops".into()), transition(Transition::Withdraw, id, 0), 1)
            }
            Action::See(id, transition) => observe(&mut state, last, id, transition)?,
            Action::Deliver(message) => self.deliver(&mut state, last, message)?,
            Action::End(server) => {
                let Process::Leaving(ticket) = last.servers[server].0 else { return None };
                state.servers[server].0 = Process::Out(ticket);
                true
            }
            Action::Start(server) => {
                state.servers[server] = (Process::Up, last.servers[server].1 + 1);
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
            Property::always(ONE_OUT, |_, state: &State| state.went() <= 1),
            Property::always(PLACE_HELD, |_, state: &State| {
                state.servers.iter().enumerate().all(|(server, (process, _))| match process {
                    Process::Leaving(ticket) | Process::Out(ticket) => {
                        state.maintenance.holders().get(&name(server)) == Some(ticket)
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

const ONE_OUT: &str = "at most one is out by a ticket";
const PLACE_HELD: &str = "whoever is out holds the place";

#[test]
fn no_order_of_messages_and_deaths_takes_two_out_or_one_without_its_place() {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = Fleet { fault: Fault::None }.checker().threads(threads).spawn_bfs().join();
    let (all, different) = (checker.state_count(), checker.unique_state_count());
    println!("{all} states, {different} of them different, to a depth of {}", checker.max_depth());
    checker.assert_properties();
    assert!(checker.is_done() && different > 1_000);
}

#[test]
fn what_is_built_wrong_is_found() {
    for fault in [Fault::LeavesOnTheGrant, Fault::ForgetsItsStart] {
        let checker = Fleet { fault }.checker().spawn_bfs().join();
        let found = [ONE_OUT, PLACE_HELD].iter().any(|rule| checker.discovery(rule).is_some());
        assert!(found, "{fault:?}");
    }
}
