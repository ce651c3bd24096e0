//! The controller instances: passes the simulator's messages to them as events.

use std::collections::BTreeMap;

use loomflow::controller::Controller;
use loomflow::interface::{Action, Arrival, AttemptOutcome, Event, Gauges, RequestAttributes, RequestId};
use loomflow::time::Millis;
use loomflow_settings::{FieldError, JsonObject, Site};
use serde_json::Value;

use crate::error::{BatchError, ContentError, MessageError};
use crate::wire::actions::{ActionMessage, Reply};
use crate::wire::messages::{
    self, ArrivalMessage, BatchNumber, BatchTime, BootMessage, EndDuration, EndMessage, EventKind,
    MessageKind, MessageName, Recipient, RequestClass, RequestMessage, ShutdownMessage, TimerMessage,
};

/// All controller instances of this process. They share nothing.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
}

struct Instance {
    controller: Controller,
    class_count: usize,
    gauges: Vec<String>,
    actions: Vec<Action>,
    /// Whether it has received events in this batch.
    needs_decision: bool,
}

impl Host {
    /// Plays a batch, one line of input.
    ///
    /// # Errors
    ///
    /// The batch cannot be played; the message names the batch, the message and the key.
    pub fn play_batch(&mut self, line: &str) -> Result<Reply, BatchError> {
        let value: Value = serde_json::from_str(line)?;
        let batch = JsonObject::new("", &value).map_err(BatchError::NotAnObject)?;
        let BatchNumber { number } = batch.deserialize().map_err(BatchError::Number)?;
        let actions = self.play_messages(&batch).map_err(|source| BatchError::Content { number, source })?;
        Ok(Reply { number, actions })
    }

    /// Passes the events of a batch to their instances, and then lets each of these instances decide, in the order of their
    /// first events.
    fn play_messages(&mut self, batch: &JsonObject) -> Result<Vec<ActionMessage>, ContentError> {
        let BatchTime { now } = batch.deserialize()?;
        let mut order = Vec::new();
        for message in batch.children(messages::LIST)? {
            let MessageName { name } = message.deserialize()?;
            self.handle_message(now, name, &message, &mut order)
                .map_err(|source| ContentError::Message { name: name.to_owned(), source })?;
        }
        let mut actions = Vec::new();
        for server in order {
            let Some(instance) = self.instances.get_mut(&server).filter(|instance| instance.needs_decision)
            else {
                continue;
            };
            instance.needs_decision = false;
            instance.controller.decide(now, &mut instance.actions);
            actions.extend(instance.actions.drain(..).map(|action| ActionMessage::new(server, action)));
        }
        Ok(actions)
    }

    /// Handles a message. Unknown ones are ignored.
    fn handle_message(
        &mut self,
        now: Millis,
        name: &str,
        message: &JsonObject,
        order: &mut Vec<u64>,
    ) -> Result<(), MessageError> {
        match MessageKind::parse(name) {
            Some(MessageKind::Boot) => {
                let Recipient { server } = message.deserialize()?;
                self.instances.insert(server, Instance::boot(now, message)?);
                order.push(server);
                Ok(())
            }
            Some(MessageKind::Teardown) => {
                let Recipient { server } = message.deserialize()?;
                self.instances.remove(&server);
                Ok(())
            }
            Some(MessageKind::Event(kind)) => self.handle_event(now, kind, message, order),
            None => Ok(()),
        }
    }

    /// Passes an event to its instance.
    fn handle_event(
        &mut self,
        now: Millis,
        kind: EventKind,
        message: &JsonObject,
        order: &mut Vec<u64>,
    ) -> Result<(), MessageError> {
        let Recipient { server } = message.deserialize()?;
        let instance = self.instances.get_mut(&server).ok_or(MessageError::UnknownInstance(server))?;
        let event = instance.event(kind, message)?;
        if !instance.needs_decision {
            instance.needs_decision = true;
            order.push(server);
        }
        instance.controller.event(now, event, &mut instance.actions);
        Ok(())
    }
}

impl Instance {
    fn boot(now: Millis, message: &JsonObject) -> Result<Instance, FieldError> {
        let BootMessage { seed } = message.deserialize()?;
        let Site { settings, gauges, .. } = Site::parse(&message.child(messages::SETTINGS)?)?;
        let class_count = settings.classes.len();
        let controller = Controller::new(settings, seed, now);
        Ok(Instance { controller, class_count, gauges, actions: Vec::new(), needs_decision: true })
    }

    fn event(&self, kind: EventKind, message: &JsonObject) -> Result<Event, MessageError> {
        Ok(match kind {
            EventKind::RequestArrived => Event::RequestArrived(self.arrival(message)?),
            EventKind::RequestCancelled => {
                let RequestMessage { id } = message.deserialize()?;
                Event::RequestCancelled(id)
            }
            EventKind::TimerFired => Event::TimerFired(self.gauges(message)?),
            EventKind::CallNeeded => {
                let RequestMessage { id } = message.deserialize()?;
                Event::CallNeeded(id)
            }
            EventKind::ShutdownRequested => {
                let ShutdownMessage { time_left } = message.deserialize()?;
                Event::ShutdownRequested { time_left }
            }
            EventKind::CallEnded => {
                let End { id, outcome, duration } = End::read(message)?;
                Event::CallEnded { id, outcome, duration }
            }
            EventKind::RunEnded => {
                let End { id, outcome, duration } = End::read(message)?;
                Event::RunEnded { id, outcome, duration }
            }
        })
    }

    fn arrival(&self, message: &JsonObject) -> Result<Arrival, MessageError> {
        let RequestClass { class } = message.deserialize()?;
        if class as usize >= self.class_count {
            return Err(MessageError::UnknownClass(class));
        }
        let arrival: ArrivalMessage = message.deserialize()?;
        Ok(Arrival {
            id: arrival.id,
            attributes: RequestAttributes {
                class: class as usize,
                tenant: arrival.tenant as usize,
                remaining_wait: arrival.remaining_wait,
                estimated_work: Some(arrival.estimated_work).filter(|work| *work > 0.0),
                memory_kb: arrival.memory_kb,
                rank: arrival.rank,
                is_retry: arrival.is_retry,
                caller: arrival.caller,
                age: arrival.age,
                upstream_time: 0.0,
            },
            original: arrival.original,
        })
    }

    fn gauges(&self, message: &JsonObject) -> Result<Gauges, FieldError> {
        let TimerMessage { gauges } = message.deserialize()?;
        Ok(Site::gauges(&self.gauges, gauges.into_iter().map(|gauge| gauge.0)))
    }
}

/// The end of a call or a run.
struct End {
    id: RequestId,
    outcome: AttemptOutcome,
    duration: Millis,
}

impl End {
    fn read(message: &JsonObject) -> Result<End, MessageError> {
        let EndMessage { id, outcome_code } = message.deserialize()?;
        let outcome = messages::outcome(outcome_code).ok_or(MessageError::UnknownOutcome(outcome_code))?;
        let EndDuration { duration } = message.deserialize()?;
        Ok(End { id, outcome, duration })
    }
}
