//! Runs the controller instances and passes the simulator's messages to them as events.

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

/// All controller instances of this process, by number. They share no state.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
}

/// One simulated server.
struct Instance {
    controller: Controller,
    class_count: usize,
    /// Names of the gauges, in the order in which the simulator sends their values.
    gauges: Vec<String>,
    /// Actions since the last reply; empty between batches.
    actions: Vec<Action>,
    /// Whether the instance was started or received an event in the current batch, and has not made its decisions yet.
    needs_decision: bool,
}

impl Host {
    /// Handles a batch, which is one line of input.
    ///
    /// # Errors
    ///
    /// The batch is invalid. Its messages before the invalid one have been handled.
    pub fn handle_batch(&mut self, line: &str) -> Result<Reply, BatchError> {
        let value: Value = serde_json::from_str(line)?;
        let batch = JsonObject::new("", &value).map_err(BatchError::NotAnObject)?;
        let BatchNumber { number } = batch.deserialize().map_err(BatchError::Number)?;
        let actions =
            self.handle_messages(&batch).map_err(|source| BatchError::Content { number, source })?;
        Ok(Reply { number, actions })
    }

    /// Passes the events of a batch to their instances. Then each of these instances makes its decisions, in the order of
    /// their first events.
    fn handle_messages(&mut self, batch: &JsonObject) -> Result<Vec<ActionMessage>, ContentError> {
        let BatchTime { now } = batch.deserialize()?;
        let mut order = Vec::new();
        for message in batch.children(messages::MESSAGES)? {
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

    /// Handles a message; unknown messages are ignored. Appends the instance to `order` if it has to make decisions.
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

    /// Passes an event to its instance, and appends the instance to `order` with its first event of the batch.
    fn handle_event(
        &mut self,
        now: Millis,
        kind: EventKind,
        message: &JsonObject,
        order: &mut Vec<u64>,
    ) -> Result<(), MessageError> {
        let Recipient { server } = message.deserialize()?;
        let instance = self.instances.get_mut(&server).ok_or(MessageError::UnknownInstance(server))?;
        let event = instance.parse_event(kind, message)?;
        if !instance.needs_decision {
            instance.needs_decision = true;
            order.push(server);
        }
        instance.controller.event(now, event, &mut instance.actions);
        Ok(())
    }
}

impl Instance {
    /// Starts an instance with the settings of its `BOOT` message.
    fn boot(now: Millis, message: &JsonObject) -> Result<Instance, FieldError> {
        let BootMessage { seed } = message.deserialize()?;
        let Site { settings, gauges, .. } = Site::parse(&message.child(messages::SETTINGS)?)?;
        let class_count = settings.classes.len();
        let controller = Controller::new(settings, seed, now);
        Ok(Instance { controller, class_count, gauges, actions: Vec::new(), needs_decision: true })
    }

    fn parse_event(&self, kind: EventKind, message: &JsonObject) -> Result<Event, MessageError> {
        Ok(match kind {
            EventKind::RequestArrived => Event::RequestArrived(self.parse_arrival(message)?),
            EventKind::RequestCancelled => {
                let RequestMessage { id } = message.deserialize()?;
                Event::RequestCancelled(id)
            }
            EventKind::TimerFired => Event::TimerFired(self.parse_gauges(message)?),
            EventKind::CallNeeded => {
                let RequestMessage { id } = message.deserialize()?;
                Event::CallNeeded(id)
            }
            EventKind::ShutdownRequested => {
                let ShutdownMessage { time_left } = message.deserialize()?;
                Event::ShutdownRequested { time_left }
            }
            EventKind::CallEnded => {
                let AttemptEnd { id, outcome, duration } = AttemptEnd::parse(message)?;
                Event::CallEnded { id, outcome, duration }
            }
            EventKind::RunEnded => {
                let AttemptEnd { id, outcome, duration } = AttemptEnd::parse(message)?;
                Event::RunEnded { id, outcome, duration }
            }
        })
    }

    fn parse_arrival(&self, message: &JsonObject) -> Result<Arrival, MessageError> {
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

    fn parse_gauges(&self, message: &JsonObject) -> Result<Gauges, FieldError> {
        let TimerMessage { gauges } = message.deserialize()?;
        Ok(Site::gauges(&self.gauges, gauges.into_iter().map(|gauge| gauge.0)))
    }
}

/// The end of a downstream call or a run, as the simulator reports it.
struct AttemptEnd {
    id: RequestId,
    outcome: AttemptOutcome,
    duration: Millis,
}

impl AttemptEnd {
    fn parse(message: &JsonObject) -> Result<AttemptEnd, MessageError> {
        let EndMessage { id, outcome_code } = message.deserialize()?;
        let outcome =
            messages::parse_outcome(outcome_code).ok_or(MessageError::UnknownOutcome(outcome_code))?;
        let EndDuration { duration } = message.deserialize()?;
        Ok(AttemptEnd { id, outcome, duration })
    }
}
