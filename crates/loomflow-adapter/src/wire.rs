//! The simulator's messages and the controller's types, one beside the other.

use std::collections::BTreeMap;

use loomflow::choice::Controller;
use loomflow::interface::*;
use loomflow_settings::{Node, Read, Site};
use serde_json::{Value, json};

/// All instances that this process hosts; they share nothing.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
}

struct Instance {
    controller: Controller,
    class_count: usize,
    gauges: Vec<String>,
    actions: Vec<Action>,
    /// It has had events in this batch.
    needs_decision: bool,
}

impl Host {
    /// Answers a batch, one line of input, with one line of output. Errors name the batch, the message and the key.
    pub fn batch(&mut self, line: &str) -> Read<String> {
        let value: Value = serde_json::from_str(line).map_err(|error| format!("batch: not JSON: {error}"))?;
        let batch = Node::new("", &value).map_err(|error| format!("batch: {error}"))?;
        let number = batch.integer("batch")?;
        let outbox = self.play(&batch).map_err(|error| format!("batch {number}: {error}"))?;
        Ok(json!({"batch": number, "outbox": outbox}).to_string())
    }

    /// Passes on the events of a batch, and lets each instance that had one decide, in the order of their first events.
    fn play(&mut self, batch: &Node) -> Read<Vec<Value>> {
        let now = batch.required_number("Ts")?;
        let mut order = Vec::new();
        for item in batch.children("items")? {
            let message = item.required_text("msg")?;
            self.handle(now, message, &item, &mut order).map_err(|error| format!("{message}: {error}"))?;
        }
        let mut outbox = Vec::new();
        for id in order {
            let Some(instance) = self.instances.get_mut(&id).filter(|instance| instance.needs_decision)
            else {
                continue;
            };
            instance.needs_decision = false;
            instance.controller.decide(now, &mut instance.actions);
            outbox.extend(instance.actions.drain(..).map(|decided| action(id, decided)));
        }
        Ok(outbox)
    }

    /// Handles a message. Unknown messages are skipped.
    fn handle(&mut self, now: f64, message: &str, item: &Node, order: &mut Vec<u64>) -> Read<()> {
        match message {
            "BOOT" => {
                let id = item.integer("ServerId")?;
                self.instances.insert(id, boot(now, item)?);
                order.push(id);
                Ok(())
            }
            "TEARDOWN" => {
                self.instances.remove(&item.integer("ServerId")?);
                Ok(())
            }
            "WORK_ITEM" | "WITHDRAWN" | "ALARM" | "BLOCKED" | "TERMINATE_SOON" | "CAME_BACK" | "FINISHED" => {
                self.pass_on(now, message, item, order)
            }
            _ => Ok(()),
        }
    }

    /// Passes an event on to its instance.
    fn pass_on(&mut self, now: f64, message: &str, item: &Node, order: &mut Vec<u64>) -> Read<()> {
        let id = item.integer("ServerId")?;
        let instance =
            self.instances.get_mut(&id).ok_or_else(|| format!("ServerId: instance {id} is unknown"))?;
        let event = instance.event(message, item)?;
        if !instance.needs_decision {
            instance.needs_decision = true;
            order.push(id);
        }
        instance.controller.event(now, event, &mut instance.actions);
        Ok(())
    }
}

fn boot(now: f64, item: &Node) -> Read<Instance> {
    let seed = item.integer("Seed")?;
    let Site { settings, gauges, .. } = Site::read(&item.child("Settings")?)?;
    let class_count = settings.classes.len();
    let controller = Controller::new(settings, seed, now);
    Ok(Instance { controller, class_count, gauges, actions: Vec::new(), needs_decision: true })
}

impl Instance {
    fn event(&self, message: &str, item: &Node) -> Read<Event> {
        Ok(match message {
            "WORK_ITEM" => Event::RequestArrived(self.arrival(item)?),
            "WITHDRAWN" => Event::RequestCancelled(request(item, "Ref")?),
            "ALARM" => Event::TimerFired(gauges(item, &self.gauges)?),
            "BLOCKED" => Event::CallNeeded(request(item, "Ref")?),
            "TERMINATE_SOON" => Event::ShutdownRequested { time_left: item.required_number("Remaining")? },
            "CAME_BACK" => Event::CallEnded {
                id: request(item, "Ref")?,
                outcome: outcome(item)?,
                duration: item.number("Spent")?,
            },
            _ => Event::RunEnded {
                id: request(item, "Ref")?,
                outcome: outcome(item)?,
                duration: item.number("Spent")?,
            },
        })
    }

    fn arrival(&self, item: &Node) -> Read<Arrival> {
        let class = item.integer("Service")? as usize;
        if class >= self.class_count {
            return Err(format!("Service: class {class} is unknown"));
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

/// The request that an item repeats; 0 stands for none.
fn original(item: &Node) -> Read<Option<RequestId>> {
    match item.get("SameAs") {
        None => Ok(None),
        Some(_) => Ok(Some(request(item, "SameAs")?).filter(|id| *id != 0)),
    }
}

fn request(item: &Node, key: &str) -> Read<RequestId> {
    RequestId::try_from(item.integer(key)?).or_else(|_| item.error(key, "not a request's number"))
}

fn gauges(item: &Node, names: &[String]) -> Read<Gauges> {
    Ok(Site::gauges(names, item.list("Load")?.iter().map(Value::as_f64)))
}

fn outcome(item: &Node) -> Read<Outcome> {
    Ok(match item.integer("Disposition")? {
        10 => Outcome::Ok,
        20 => Outcome::Error,
        30 => Outcome::Rejected,
        40 => Outcome::TimedOut,
        50 => Outcome::Unreachable,
        60 => Outcome::ConnectionLost,
        70 => Outcome::Cancelled,
        80 => Outcome::NotStarted,
        other => return Err(format!("Disposition: {other} is not known")),
    })
}

fn action(server: u64, action: Action) -> Value {
    let about = |message: &str, id: RequestId| json!({"msg": message, "ServerId": server, "Ref": id});
    match action {
        Action::Run(id) => about("TAKE", id),
        Action::ReuseResult(id) => about("REPLAY", id),
        Action::Reject { id, retry_after, is_final } => {
            json!({"msg": "SHED", "ServerId": server, "Ref": id, "Pause": retry_after, "Final": is_final})
        }
        Action::Fail(id) => about("FINISH_ERROR", id),
        Action::Preempt(id) => about("ABORT_WORK", id),
        Action::Call { id, deadline } => {
            json!({"msg": "GO_CALL", "ServerId": server, "Ref": id, "AbandonAt": deadline})
        }
        Action::SkipCall(id) => about("DEGRADE", id),
        Action::RetainKey { id, ttl } => json!({"msg": "RETAIN", "ServerId": server, "Ref": id, "Ttl": ttl}),
        Action::ReleaseKey(id) => about("ERASE", id),
        Action::SetHealth { is_healthy, is_cached } => {
            json!({"msg": "STATUS", "ServerId": server, "Stored": is_cached, "Want": is_healthy})
        }
        Action::SetSignal(signal) => json!({"msg": "STAMP", "ServerId": server, "X": signal}),
        Action::SetIdleTimeout(timeout) => json!({"msg": "REAP_AFTER", "ServerId": server, "Ttl": timeout}),
        Action::SetTimer(at) => {
            json!({"msg": "SET_TIMER", "ServerId": server, "Cookie": "t", "AlarmTime": at})
        }
    }
}
