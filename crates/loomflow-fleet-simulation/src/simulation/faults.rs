//! Carries out the faults of a scenario, and the requests of operators.

use loomflow_fleet::command::{FleetCommand, FleetRequest, Issuer};
use loomflow_fleet::maintenance::ticket::{TicketId, TicketRequest, Transition, Urgency};
use loomflow_fleet::time::IntegerMillis;

use super::{OperatorCall, Simulation};
use crate::config::{MachineId, server_name};
use crate::event_queue::Event;
use crate::machine::{Drain, SimulatedDisk};
use crate::scenario::Fault;

/// How long maintenance is requested for, ms.
const REQUESTED_MILLIS: IntegerMillis = 60_000;

impl Simulation {
    /// Carries out one fault, now.
    pub fn inject(&mut self, fault: &Fault) {
        self.log(format!("{fault:?}"));
        match fault {
            Fault::Kill(machine) => self.kill(*machine),
            Fault::Start(machine) => self.start(*machine),
            Fault::Stop(machine, span) => self.stop(*machine, *span),
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
            Fault::SetMaxDelay(max_sleep) => self.network.max_delay_millis = *max_sleep,
            Fault::RequestWork(machines, urgency) => self.request_work(machines, *urgency),
            Fault::Withdraw(ticket) => self.move_ticket(*ticket, Transition::Withdraw),
            Fault::Abandon(ticket) => {
                self.invariants.abandoned(*ticket);
                self.move_ticket(*ticket, Transition::Abandon);
            }
            Fault::SetLoad(load) => self.load = *load,
            Fault::SetMaintenance(machine, span) => self.machines[*machine].maintenance_millis = *span,
            Fault::Terminate(machine) => self.terminate(*machine),
        }
    }

    fn kill(&mut self, id: MachineId) {
        self.machines[id].node = None;
        self.log(format!("n{id} is dead"));
        self.invariants.process_ended(id);
    }

    /// The process stalls between its check and its effect: what it owns now is done when it goes on.
    fn stop(&mut self, id: MachineId, span: IntegerMillis) {
        let local_time = self.local_time(id);
        let node = self.machines[id].node.as_ref();
        let owned = node.map(|node| node.owned_duties(local_time)).unwrap_or_default();
        let until = self.now + span;
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

    fn move_ticket(&mut self, ticket: TicketId, transition: Transition) {
        let command = FleetCommand::Transition { ticket, transition, grant: 0, incarnation: 0 };
        self.submit_as_operator(command, Vec::new());
    }

    /// Submits an operator's command about some machines, at the first machine that runs.
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
