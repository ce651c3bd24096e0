//! What must hold after every event. It goes by what processes did; of the fleet's own state it only compares what two
//! members that must agree hold.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use loomflow_fleet::consensus::StateMachine as _;
use loomflow_fleet::duty::Token;
use loomflow_fleet::duty::fence::Fence;
use loomflow_fleet::maintenance::ticket::{Stage, TicketId};
use loomflow_fleet::member::Millis;

use crate::world::{Machine, Shape};

pub struct Witness {
    most: usize,
    /// Servers that left by a ticket and are not back, with it.
    out: BTreeMap<usize, TicketId>,
    /// Tickets that an operator wrote off: their servers are the operator's business.
    written_off: BTreeSet<TicketId>,
    /// Leader of each group and term.
    leaders: BTreeMap<(u64, u64), usize>,
    /// Hash of the state at each place of each group's log.
    states: BTreeMap<(u64, u64), u64>,
    last: BTreeMap<usize, u64>,
    /// Leaves that were not yet looked for in the log.
    to_check: Vec<(usize, TicketId)>,
    /// Every leave: machine, ticket and moment.
    pub left: Vec<(usize, TicketId, Millis)>,
    /// Compares states as well; costly in large fleets.
    pub thorough: bool,
    /// Clocks keep to the bound on drift, so that nobody believes to own what another does.
    pub clocks_hold: bool,
    /// What receives the owners' effects.
    pub receiver: Receiver,
}

/// Receives effects behind a fence, and judges the fence by what it let in.
#[derive(Default)]
pub struct Receiver {
    fence: Fence,
    /// The highest token that was let in, and whose each token is.
    highest: BTreeMap<String, Token>,
    whose: BTreeMap<Token, usize>,
    /// Effects let in, and those that came from old owners and were refused.
    pub accepted: u64,
    pub refused: u64,
    wrong: Option<String>,
}

impl Receiver {
    fn effect(&mut self, one: usize, duty: &str, token: Token) {
        let first = *self.whose.entry(token).or_insert(one);
        if first != one {
            self.wrong.get_or_insert(format!("token {token} of {duty} is n{first}'s and n{one}'s"));
        }
        let highest = self.highest.entry(duty.to_owned()).or_default();
        match self.fence.admit(duty, token, |_| Ok::<(), ()>(())) {
            Ok(()) if token < *highest => {
                self.wrong.get_or_insert(format!("{duty}: token {token} was let in after {highest}"));
            }
            Ok(()) => (*highest, self.accepted) = (token, self.accepted + 1),
            Err(_) => self.refused += 1,
        }
    }
}

impl Witness {
    pub fn new(shape: &Shape) -> Witness {
        Witness {
            most: shape.rules.max_out.of(shape.machines as u32) as usize,
            out: BTreeMap::new(),
            written_off: BTreeSet::new(),
            leaders: BTreeMap::new(),
            states: BTreeMap::new(),
            last: BTreeMap::new(),
            to_check: Vec::new(),
            left: Vec::new(),
            thorough: true,
            clocks_hold: true,
            receiver: Receiver::default(),
        }
    }

    pub fn leaves(&mut self, one: usize, ticket: TicketId, now: Millis) {
        self.out.insert(one, ticket);
        self.to_check.push((one, ticket));
        self.left.push((one, ticket, now));
    }

    pub fn effect(&mut self, one: usize, duty: &str, token: Token) {
        self.receiver.effect(one, duty, token);
    }

    pub fn gone(&mut self, one: usize) {
        self.last.remove(&one);
    }

    pub fn written_off(&mut self, ticket: TicketId) {
        self.written_off.insert(ticket);
    }

    /// Looks at the one that moved, and at all that are out.
    pub fn look(&mut self, moved: usize, machines: &[Machine]) -> Result<(), String> {
        // Back is a process that runs again and does not leave.
        self.out.retain(|one, ticket| {
            let machine = &machines[*one];
            let back = machine.node.is_some() && machine.leaving.is_none();
            !back && !self.written_off.contains(ticket)
        });
        if self.out.len() > self.most {
            return Err(format!("{} are out at once, {} may be: {:?}", self.out.len(), self.most, self.out));
        }
        for (one, ticket) in std::mem::take(&mut self.to_check) {
            begun(one, ticket, machines)?;
        }
        if let Some(wrong) = self.receiver.wrong.take() {
            return Err(wrong);
        }
        let Some(node) = &machines[moved].node else { return Ok(()) };
        let Some(consensus) = node.consensus() else { return Ok(()) };
        let group = consensus.replica().group;
        if consensus.is_leader() {
            let leader = *self.leaders.entry((group, consensus.term())).or_insert(moved);
            if leader != moved {
                return Err(format!("n{leader} and n{moved} lead in term {}", consensus.term()));
            }
        }
        let applied = consensus.applied_index();
        if !self.thorough || self.last.get(&moved) == Some(&applied) || applied == 0 {
            return Ok(());
        }
        self.last.insert(moved, applied);
        let mut hasher = DefaultHasher::new();
        consensus.machine().save().hash(&mut hasher);
        let state = hasher.finish();
        match self.states.insert((group, applied), state) {
            Some(other) if other != state => Err(format!("n{moved} holds another state at {applied}")),
            _ => Ok(()),
        }
    }
}

/// Whoever leaves by a ticket does so on a begin that some voter has applied.
fn begun(one: usize, ticket: TicketId, machines: &[Machine]) -> Result<(), String> {
    let orders = || machines.iter().filter_map(|machine| machine.node.as_ref()?.maintenance());
    let agreed = |stage: Stage| stage >= Stage::Begun && !matches!(stage, Stage::Withdrawn | Stage::Lapsed);
    if orders().filter_map(|order| order.find(ticket)).any(|ticket| agreed(ticket.stage)) {
        return Ok(());
    }
    Err(format!("n{one} left by ticket {ticket} and nobody knows that it began"))
}
