//! Shutdown of servers: a server drains, reports that to the fleet, exits, and is restarted after its
//! maintenance.

use loomflow_fleet::node::Effect;
use loomflow_fleet::time::IntegerMillis;

use super::Simulation;
use crate::config::{MachineId, machine_of};
use crate::event_queue::Event;

/// Time that a server takes to drain, ms.
const DRAIN_MILLIS: IntegerMillis = 700;
/// Maximum time that a drained server waits for the fleet's response to its last report, ms.
const SHUTDOWN_TIMEOUT_MILLIS: IntegerMillis = 1_500;
/// Delay of the messages that a server sends at its exit, ms.
const LAST_MESSAGE_DELAY_MILLIS: IntegerMillis = 2;

impl Simulation {
    /// Advances the shutdown of a machine's server, if one is in progress.
    pub(super) fn continue_shutdown(&mut self, id: MachineId) {
        let local_time = self.local_time(id);
        let machine = &mut self.machines[id];
        let (Some(drain), Some(node)) = (machine.drain, &mut machine.node) else { return };
        let drained_at = drain.since + DRAIN_MILLIS;
        if self.now >= drained_at && !machine.has_drained {
            machine.has_drained = true;
            node.drained(local_time);
        }
        let has_timed_out = self.now >= drained_at + SHUTDOWN_TIMEOUT_MILLIS;
        if !machine.has_drained || !(node.is_finished() || has_timed_out) {
            return;
        }
        node.leave(local_time);
        let last_effects = node.take_effects();
        machine.node = None;
        let maintenance_millis = machine.maintenance_millis;
        self.send_last_messages(id, last_effects);
        self.log(format!("n{id} exits"));
        self.invariants.record_exit(id);
        if let Some(duration_millis) = maintenance_millis.filter(|_| drain.ticket.is_some()) {
            self.queue.push(self.now + duration_millis, Event::Start(id));
        }
    }

    /// Sends the messages of a process that exits, with a fixed delay and without random loss.
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
