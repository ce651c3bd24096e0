//! Translation between the simulator's JSON messages and the controller's events and actions.

mod actions;

use std::collections::BTreeMap;

use loomflow::controller::Controller;
use loomflow::interface::{Action, Arrival, Event, Gauges, Outcome, RequestId};
use loomflow::time::Millis;
use loomflow_settings::{FieldError, JsonObject, Site};
use serde_json::Value;

use self::actions::ActionMessage;
pub use self::actions::Reply;

use crate::error::{BatchError, ItemError, MessageError};

/// The messages that the simulator sends.
#[derive(Clone, Copy)]
enum MessageKind {
    Boot,
    Teardown,
    Event(EventKind),
}

/// The messages that are events of an instance.
#[derive(Clone, Copy)]
enum EventKind {
    RequestArrived,
    RequestCancelled,
    TimerFired,
    CallNeeded,
    CallEnded,
    RunEnded,
    ShutdownRequested,
}

impl MessageKind {
    /// The kind of a message by its name on the wire; none for a message that is not known.
    fn parse(name: &str) -> Option<MessageKind> {
        let kind = match name {
            "BOOT" => return Some(MessageKind::Boot),
            "TEARDOWN" => return Some(MessageKind::Teardown),
            "WORK_ITEM" => EventKind::RequestArrived,
            "WITHDRAWN" => EventKind::RequestCancelled,
            "ALARM" => EventKind::TimerFired,
            "BLOCKED" => EventKind::CallNeeded,
            "CAME_BACK" => EventKind::CallEnded,
            "FINISHED" => EventKind::RunEnded,
            "TERMINATE_SOON" => EventKind::ShutdownRequested,
            _ => return None,
        };
        Some(MessageKind::Event(kind))
    }
}

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
        let number = batch.integer("batch").map_err(BatchError::Number)?;
        let actions = self.play_items(&batch).map_err(|source| BatchError::Item { number, source })?;
        Ok(Reply { number, actions })
    }

    /// Passes the events of a batch to their instances, and then lets each of these instances decide, in the order of their
    /// first events.
    fn play_items(&mut self, batch: &JsonObject) -> Result<Vec<ActionMessage>, ItemError> {
        let now = batch.required_number("Ts")?;
        let mut order = Vec::new();
        for item in batch.children("items")? {
            let name = item.required_text("msg")?;
            self.handle_message(now, name, &item, &mut order)
                .map_err(|source| ItemError::Message { name: name.to_owned(), source })?;
        }
        let mut messages = Vec::new();
        for id in order {
            let Some(instance) = self.instances.get_mut(&id).filter(|instance| instance.needs_decision)
            else {
                continue;
            };
            instance.needs_decision = false;
            instance.controller.decide(now, &mut instance.actions);
            messages.extend(instance.actions.drain(..).map(|action| ActionMessage::new(id, action)));
        }
        Ok(messages)
    }

    /// Handles a message. Unknown ones are ignored.
    fn handle_message(
        &mut self,
        now: Millis,
        name: &str,
        item: &JsonObject,
        order: &mut Vec<u64>,
    ) -> Result<(), MessageError> {
        match MessageKind::parse(name) {
            Some(MessageKind::Boot) => {
                let id = item.integer("ServerId")?;
                self.instances.insert(id, boot(now, item)?);
                order.push(id);
                Ok(())
            }
            Some(MessageKind::Teardown) => {
                self.instances.remove(&item.integer("ServerId")?);
                Ok(())
            }
            Some(MessageKind::Event(kind)) => self.handle_event(now, kind, item, order),
            None => Ok(()),
        }
    }

    /// Passes an event to its instance.
    fn handle_event(
        &mut self,
        now: Millis,
        kind: EventKind,
        item: &JsonObject,
        order: &mut Vec<u64>,
    ) -> Result<(), MessageError> {
        let id = item.integer("ServerId")?;
        let instance = self.instances.get_mut(&id).ok_or(MessageError::UnknownInstance(id))?;
        let event = instance.event(kind, item)?;
        if !instance.needs_decision {
            instance.needs_decision = true;
            order.push(id);
        }
        instance.controller.event(now, event, &mut instance.actions);
        Ok(())
    }
}

fn boot(now: Millis, item: &JsonObject) -> Result<Instance, FieldError> {
    let seed = item.integer("Seed")?;
    let Site { settings, gauges, .. } = Site::parse(&item.child("Settings")?)?;
    let class_count = settings.classes.len();
    let controller = Controller::new(settings, seed, now);
    Ok(Instance { controller, class_count, gauges, actions: Vec::new(), needs_decision: true })
}

impl Instance {
    fn event(&self, kind: EventKind, item: &JsonObject) -> Result<Event, MessageError> {
        Ok(match kind {
            EventKind::RequestArrived => Event::RequestArrived(self.arrival(item)?),
            EventKind::RequestCancelled => Event::RequestCancelled(request(item, "Ref")?),
            EventKind::TimerFired => Event::TimerFired(gauges(item, &self.gauges)?),
            EventKind::CallNeeded => Event::CallNeeded(request(item, "Ref")?),
            EventKind::ShutdownRequested => {
                Event::ShutdownRequested { time_left: item.required_number("Remaining")? }
            }
            EventKind::CallEnded => Event::CallEnded {
                id: request(item, "Ref")?,
                outcome: outcome(item)?,
                duration: item.number("Spent")?,
            },
            EventKind::RunEnded => Event::RunEnded {
                id: request(item, "Ref")?,
                outcome: outcome(item)?,
                duration: item.number("Spent")?,
            },
        })
    }

    fn arrival(&self, item: &JsonObject) -> Result<Arrival, MessageError> {
        let class_number = item.integer("Service")?;
        let class = class_number as usize;
        if class >= self.class_count {
            return Err(MessageError::UnknownClass(class_number));
        }
        let tenant = item.integer_or("Account", 0)? as usize;
        Ok(Arrival {
            id: request(item, "Ref")?,
            class,
            tenant,
            remaining_wait: item.number("Remaining")?,
            estimated_work: Some(item.number("WeightHint")?).filter(|work| *work > 0.0),
            memory_kb: item.number("Kb")?,
            rank: item.number("Prio")?,
            is_retry: item.boolean("Resent")?,
            caller: item.integer_or("From", 0)?,
            age: item.number("Age")?,
            upstream_time: 0.0,
            original: original(item)?,
        })
    }
}

/// The request that this one repeats; the wire writes 0 for none.
fn original(item: &JsonObject) -> Result<Option<RequestId>, FieldError> {
    match item.get("SameAs") {
        None => Ok(None),
        Some(_) => Ok(Some(request(item, "SameAs")?).filter(|id| *id != 0)),
    }
}

fn request(item: &JsonObject, key: &str) -> Result<RequestId, FieldError> {
    RequestId::try_from(item.integer(key)?).or_else(|_| item.error(key, "not a request's number"))
}

fn gauges(item: &JsonObject, names: &[String]) -> Result<Gauges, FieldError> {
    Ok(Site::gauges(names, item.list("Load")?.iter().map(Value::as_f64)))
}

fn outcome(item: &JsonObject) -> Result<Outcome, MessageError> {
    Ok(match item.integer("Disposition")? {
        10 => Outcome::Ok,
        20 => Outcome::Error,
        30 => Outcome::Rejected,
        40 => Outcome::TimedOut,
        50 => Outcome::Unreachable,
        60 => Outcome::ConnectionLost,
        70 => Outcome::Cancelled,
        80 => Outcome::NotStarted,
        other => return Err(MessageError::UnknownOutcome(other)),
    })
}
