//! Servers that shut down: each drains, reports it, exits, and is started again when its maintenance is done.

use loomflow_fleet::node::Effect;
use loomflow_fleet::time::IntegerMillis;

use super::Simulation;
use crate::config::{MachineId, machine_of};
use crate::event_queue::Event;

/// How long a server drains, ms.
const DRAIN_MILLIS: IntegerMillis = 700;
/// How long a server waits for its last report to be answered, ms.
const SHUTDOWN_TIMEOUT_MILLIS: IntegerMillis = 1_500;
/// How long the last messages take, ms.
const LAST_MESSAGE_DELAY_MILLIS: IntegerMillis = 2;

impl Simulation {
    /// Does what is due on a server that shuts down.
    pub(super) fn continue_shutdown(&mut self, id: MachineId) {
        let local_time = self.local_time(id);
        let machine = &mut self.machines[id];
        let (Some(drain), Some(node)) = (machine.drain, &mut machine.node) else { return };
        let drained_at = drain.since + DRAIN_MILLIS;
        if self.now >= drained_at && !machine.has_drained {
            machine.has_drained = true;
            node.drained(local_time);
        }
        let is_time_over = self.now >= drained_at + SHUTDOWN_TIMEOUT_MILLIS;
        if !machine.has_drained || !(node.is_finished() || is_time_over) {
            return;
        }
        node.leave(local_time);
        let last_effects = node.take_effects();
        machine.node = None;
        let maintenance_millis = machine.maintenance_millis;
        self.send_last_messages(id, last_effects);
        self.log(format!("n{id} is out"));
        self.invariants.process_ended(id);
        if let Some(span) = maintenance_millis.filter(|_| drain.ticket.is_some()) {
            self.queue.push(self.now + span, Event::Start(id));
        }
    }

    fn send_last_messages(&mut self, from: MachineId, effects: Vec<Effect>) {
        if self.network.loss >= 1.0 {
            return;
        }
        for effect in effects {
            let Effect::Send { to, bytes, .. } = effect else { continue };
            let Some(to) = machine_of(&to) else { continue };
            if self.network.is_connected(from, to) {
                self.queue.push(self.now + LAST_MESSAGE_DELAY_MILLIS, Event::Message { to, bytes });
            }
        }
    }
}
