//! Injects the faults of a scenario and submits the requests of operators.

use loomflow_fleet::command::{FleetCommand, FleetRequest, Issuer};
use loomflow_fleet::maintenance::ticket::{TicketId, TicketRequest, Transition, Urgency};
use loomflow_fleet::time::IntegerMillis;

use super::{OperatorCall, Simulation};
use crate::config::{MachineId, server_name};
use crate::event_queue::Event;
use crate::machine::{Drain, SimulatedDisk};
use crate::scenario::Fault;

/// Duration of maintenance in ticket requests, ms.
const REQUESTED_MILLIS: IntegerMillis = 60_000;

impl Simulation {
    /// Injects a fault at the current virtual time.
    pub fn inject(&mut self, fault: &Fault) {
        self.log(format!("{fault:?}"));
        match fault {
            Fault::Kill(machine) => self.kill(*machine),
            Fault::Start(machine) => self.start(*machine),
            Fault::Stop(machine, duration_millis) => self.pause(*machine, *duration_millis),
            Fault::SetShare(machine, share) => self.machines[*machine].forced_share = Some(*share),
            Fault::LoseDisk(machine) => self.machines[*machine].disk = SimulatedDisk::default(),
            Fault::FillDisk(machine, is_full) => self.machines[*machine].disk.set_full(*is_full),
            Fault::CutLink(from, to) => {
                self.network.cut_links.insert((*from, *to));
            }
            Fault::Isolate(side) => self.network.isolate(side, self.machines.len()),
            Fault::HealNetwork => self.network.cut_links.clear(),
            Fault::SetLoss(loss, duplication) => {
                self.network.loss = *loss;
                self.network.duplication = *duplication;
            }
            Fault::SetMaxDelay(max_delay_millis) => self.network.max_delay_millis = *max_delay_millis,
            Fault::RequestWork(machines, urgency) => self.request_work(machines, *urgency),
            Fault::Withdraw(ticket) => self.transition_ticket(*ticket, Transition::Withdraw),
            Fault::Abandon(ticket) => {
                self.invariants.record_abandoned(*ticket);
                self.transition_ticket(*ticket, Transition::Abandon);
            }
            Fault::SetLoad(load) => self.load = *load,
            Fault::SetMaintenance(machine, duration_millis) => {
                self.machines[*machine].maintenance_millis = *duration_millis;
            }
            Fault::Terminate(machine) => self.terminate(*machine),
        }
    }

    fn kill(&mut self, id: MachineId) {
        self.machines[id].node = None;
        self.log(format!("n{id} is killed"));
        self.invariants.record_exit(id);
    }

    /// Pauses a process between its check of ownership and its effect: effects for the duties that it owns
    /// now are sent when it resumes.
    fn pause(&mut self, id: MachineId, duration_millis: IntegerMillis) {
        let local_time = self.local_time(id);
        let node = self.machines[id].node.as_ref();
        let owned = node.map(|node| node.owned_duties(local_time)).unwrap_or_default();
        let until = self.now + duration_millis;
        self.machines[id].stopped_until = until;
        for (duty, token) in owned {
            self.queue.push(until, Event::LateEffect { machine: id, duty, token });
        }
    }

    fn terminate(&mut self, id: MachineId) {
        let local_time = self.local_time(id);
        if let Some(node) = &mut self.machines[id].node {
            node.begin_drain(local_time);
            self.machines[id].drain.get_or_insert(Drain { since: self.now, ticket: None });
            self.carry_out_effects(id);
        }
    }

    fn request_work(&mut self, machines: &[MachineId], urgency: Urgency) {
        let requests = machines.iter().map(|machine| TicketRequest {
            server: server_name(*machine),
            zone: self.config.zone(*machine),
            reason: "kernel".into(),
            urgency,
            duration_millis: REQUESTED_MILLIS,
            window: None,
        });
        let command = FleetCommand::CreateTickets(requests.collect());
        self.submit_as_operator(command, machines.to_vec());
    }

    fn transition_ticket(&mut self, ticket: TicketId, transition: Transition) {
        let command = FleetCommand::Transition { ticket, transition, grant: 0, incarnation: 0 };
        self.submit_as_operator(command, Vec::new());
    }

    /// Submits an operator's command at the first machine that serves and is not paused; without one, the
    /// command is dropped. `machines` are those that it concerns.
    pub fn submit_as_operator(&mut self, command: FleetCommand, machines: Vec<MachineId>) {
        let is_usable = |id: &MachineId| {
            let machine = &self.machines[*id];
            machine.is_serving() && !machine.is_stopped(self.now)
        };
        let Some(id) = (0..self.machines.len()).find(is_usable) else { return };
        let local_time = self.local_time(id);
        let request = FleetRequest::Execute { issuer: Issuer::Operator("ops".into()), command };
        if let Some(node) = &mut self.machines[id].node {
            let request = node.submit(request, local_time);
            self.operator_calls.push(OperatorCall { id: request, machines, response: None });
            self.carry_out_effects(id);
        }
    }
}
