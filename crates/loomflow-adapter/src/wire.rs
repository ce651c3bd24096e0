//! The wire's words and the module's, one beside the other.

use std::collections::BTreeMap;

use loomflow::choice::Choice;
use loomflow::interface::*;
use serde_json::{Map, Value, json};

type Read<T> = Result<T, String>;
type Object = Map<String, Value>;

/// All instances that this process hosts; they share nothing.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
}

struct Instance {
    choice: Choice,
    classes: usize,
    gauges: Vec<String>,
    actions: Vec<Action>,
    touched: bool,
}

impl Host {
    /// Answers one line of input with one line of output, or says what is wrong with it.
    pub fn batch(&mut self, line: &str) -> Read<String> {
        let value: Value = serde_json::from_str(line).map_err(|e| format!("batch: not JSON: {e}"))?;
        let batch = value.as_object().ok_or("batch: not an object")?;
        let number = batch.get("batch").filter(|n| n.is_u64()).ok_or("batch: no number in field batch")?;
        self.play(batch, number).map_err(|e| format!("batch {number}: {e}"))
    }

    fn play(&mut self, batch: &Object, number: &Value) -> Read<String> {
        let now = needed(batch, "Ts")?;
        let items = batch.get("items").and_then(Value::as_array).ok_or("field items: not an array")?;
        let mut order = Vec::new();
        for item in items {
            let item = item.as_object().ok_or("field items: an event is not an object")?;
            let name = item.get("msg").and_then(Value::as_str).ok_or("field msg: not a text")?;
            self.event(now, name, item, &mut order).map_err(|e| format!("{name}: {e}"))?;
        }
        let mut outbox = Vec::new();
        for id in order {
            if let Some(instance) = self.instances.get_mut(&id).filter(|i| i.touched) {
                instance.touched = false;
                instance.choice.decide(now, &mut instance.actions);
                outbox.extend(instance.actions.drain(..).map(|a| action(id, a)));
            }
        }
        Ok(json!({"batch": number, "outbox": outbox}).to_string())
    }

    fn event(&mut self, now: f64, name: &str, item: &Object, order: &mut Vec<u64>) -> Read<()> {
        let known =
            ["BOOT", "TEARDOWN", "WORK_ITEM", "WITHDRAWN", "ALARM", "BLOCKED", "TERMINATE_SOON", "CAME_BACK"];
        if !known.contains(&name) && name != "FINISHED" {
            return Ok(());
        }
        let id = whole(item, "ServerId")?;
        match name {
            "BOOT" => {
                let info = child(item, "Settings")?;
                let seed = whole(item, "Seed")?;
                let gauges = texts(child(info, "Domain")?, "Gauges")?;
                let settings = settings(info).map_err(|e| format!("Settings: {e}"))?;
                let classes = settings.classes.len();
                let choice = Choice::new(settings, seed, now);
                self.instances
                    .insert(id, Instance { choice, classes, gauges, actions: vec![], touched: true });
                order.push(id);
                return Ok(());
            }
            "TEARDOWN" => {
                self.instances.remove(&id);
                return Ok(());
            }
            _ => {}
        }
        let instance =
            self.instances.get_mut(&id).ok_or_else(|| format!("field ServerId: instance {id} is unknown"))?;
        let event = match name {
            "WORK_ITEM" => Event::Arrived(arrival(item, instance.classes)?),
            "WITHDRAWN" => Event::CallerGone(request(item, "Ref")?),
            "ALARM" => Event::TimerFired(gauges(item, &instance.gauges)?),
            "BLOCKED" => Event::NeedsCall(request(item, "Ref")?),
            "TERMINATE_SOON" => Event::Leaving { left: needed(item, "Remaining")? },
            "CAME_BACK" => Event::CallEnded {
                id: request(item, "Ref")?,
                outcome: outcome(item)?,
                took: number(item, "Spent")?,
            },
            _ => Event::RunEnded {
                id: request(item, "Ref")?,
                outcome: outcome(item)?,
                took: number(item, "Spent")?,
            },
        };
        if !instance.touched {
            instance.touched = true;
            order.push(id);
        }
        instance.choice.event(now, event, &mut instance.actions);
        Ok(())
    }
}

fn present<'a>(from: &'a Object, key: &str) -> Option<&'a Value> {
    from.get(key).filter(|v| !v.is_null())
}

/// A number; absent and null read as 0.
fn number(from: &Object, key: &str) -> Read<f64> {
    match present(from, key) {
        None => Ok(0.0),
        Some(v) => v.as_f64().ok_or_else(|| format!("field {key}: not a number")),
    }
}

fn needed(from: &Object, key: &str) -> Read<f64> {
    present(from, key).and_then(Value::as_f64).ok_or_else(|| format!("field {key}: not a number"))
}

fn whole(from: &Object, key: &str) -> Read<u64> {
    present(from, key).and_then(Value::as_u64).ok_or_else(|| format!("field {key}: not a whole number"))
}

fn request(from: &Object, key: &str) -> Read<RequestId> {
    RequestId::try_from(whole(from, key)?).map_err(|_| format!("field {key}: not a request's number"))
}

fn flag(from: &Object, key: &str) -> Read<bool> {
    match present(from, key) {
        None => Ok(false),
        Some(v) => v.as_bool().ok_or_else(|| format!("field {key}: not true or false")),
    }
}

fn word<'a>(from: &'a Object, key: &str) -> Read<&'a str> {
    match present(from, key) {
        None => Ok(""),
        Some(v) => v.as_str().ok_or_else(|| format!("field {key}: not a text")),
    }
}

fn child<'a>(from: &'a Object, key: &str) -> Read<&'a Object> {
    present(from, key).and_then(Value::as_object).ok_or_else(|| format!("field {key}: not an object"))
}

fn list<'a>(from: &'a Object, key: &str) -> Read<&'a [Value]> {
    match present(from, key) {
        None => Ok(&[]),
        Some(v) => v.as_array().map(Vec::as_slice).ok_or_else(|| format!("field {key}: not an array")),
    }
}

fn texts(from: &Object, key: &str) -> Read<Vec<String>> {
    let text = |v: &Value| v.as_str().map(str::to_owned).ok_or_else(|| format!("field {key}: not all texts"));
    list(from, key)?.iter().map(text).collect()
}

/// The named entry of a list that runs parallel to the classes.
fn nth<'a>(from: &'a Object, key: &str, at: usize) -> Read<Option<&'a Value>> {
    Ok(list(from, key)?.get(at))
}

fn settings(info: &Object) -> Read<Settings> {
    let domain = child(info, "Domain")?;
    let rules = child(info, "Rules")?;
    let absent = Map::new();
    let limits = present(info, "Limits").and_then(Value::as_object).unwrap_or(&absent);
    let prices = present(info, "Prices").and_then(Value::as_object).unwrap_or(&absent);
    let mut classes = Vec::new();
    for (at, value) in list(info, "Classes")?.iter().enumerate() {
        let class = value.as_object().ok_or("field Classes: not all objects")?;
        classes.push(Class {
            effect: match word(class, "Effect")? {
                "safe" => Effect::Safe,
                "keyed" => Effect::Keyed,
                "unsafe" => Effect::Unsafe,
                other => return Err(format!("field Effect: {other:?} is not known")),
            },
            aim: needed(class, "OnTime")?,
            aim_stretch: number(class, "AimStretch")?,
            give_up: needed(class, "HardLimit")?,
            worth: needed(class, "Points")?,
            late_worth: number(class, "LateShare")?,
            window: number(class, "Window")?,
            calls: nth(domain, "CallsByClass", at)?.and_then(Value::as_bool).unwrap_or(false),
            skip_worth: nth(domain, "DegradedWorth", at)?.and_then(Value::as_f64).unwrap_or(0.0),
        });
    }
    if classes.is_empty() {
        return Err("field Classes: no class".into());
    }
    let mut tenants = Vec::new();
    for value in list(info, "Orgs")? {
        let tenant = value.as_object().ok_or("field Orgs: not all objects")?;
        tenants.push(Tenant { quota_per_s: number(tenant, "QuotaPerS")? });
    }
    Ok(Settings {
        classes,
        tenants,
        over_share_worth: number(info, "OverShareWorth")?,
        worth_by_work: word(info, "ValueBy")? == "work",
        servers: number(info, "Servers")?,
        callers: number(domain, "ClientsTotal")?,
        tier: u32::try_from(whole(info, "Stage").unwrap_or(0)).unwrap_or(0),
        cores: needed(domain, "Cpus")?,
        memory_kb: needed(domain, "HeapKb")?,
        run_memory: needed(domain, "RunMemFactor")?,
        entry_kb: number(domain, "KeyKb")?,
        below: match word(domain, "Downstream")? {
            "shared" => Below::Shared,
            "tier" => Below::Tier,
            _ => Below::Nothing,
        },
        call_share: number(domain, "CallShare")?,
        call_span: number(domain, "CallsOver")?,
        call_lingers: number(domain, "StaysFor")?,
        fresh: number(domain, "Fresh")?,
        stopping: match word(domain, "Halt")? {
            "drop" => Stopping::LosesWork,
            "pause" => Stopping::KeepsWork,
            _ => Stopping::Impossible,
        },
        signal: match word(domain, "Say")? {
            "level" => Signal::LowestRank,
            "credit" => Signal::Credit,
            "weight" => Signal::SendShare,
            _ => Signal::Unused,
        },
        heeded: number(domain, "Heeded")?,
        idle: number(domain, "Idle")?,
        handshake_price: number(prices, "Handshake")?,
        tells_wait: flag(domain, "PassesDeadline")?,
        cold: flag(domain, "Cold")?,
        cold_share: number(rules, "ColdShare")?,
        cold_span: number(rules, "Cold")?,
        answer_slack: number(rules, "AnswerSlack")?,
        drain_grace: number(rules, "DrainGrace")?,
        crowd: needed(rules, "FallMultiple")?,
        crowd_span: number(rules, "TipAfter")?,
        longest_pause: if flag(limits, "RetryAfter")? { number(limits, "MaxRetryAfter")? } else { 0.0 },
        tick: number(info, "Period")?,
    })
}

fn arrival(item: &Object, classes: usize) -> Read<Arrival> {
    let class = whole(item, "Service")? as usize;
    if class >= classes {
        return Err(format!("field Service: class {class} is unknown"));
    }
    let tenant = if present(item, "Account").is_some() { whole(item, "Account")? as usize } else { 0 };
    Ok(Arrival {
        id: request(item, "Ref")?,
        class,
        tenant,
        wait_left: number(item, "Remaining")?,
        work: Some(number(item, "WeightHint")?).filter(|w| *w > 0.0),
        kb: number(item, "Kb")?,
        rank: number(item, "Prio")?,
        retry: flag(item, "Resent")?,
        caller: if present(item, "From").is_some() { whole(item, "From")? } else { 0 },
        age: number(item, "Age")?,
        repeats: if present(item, "SameAs").is_some() {
            Some(request(item, "SameAs")?).filter(|id| *id != 0)
        } else {
            None
        },
    })
}

fn gauges(item: &Object, names: &[String]) -> Read<Gauges> {
    let mut read = Gauges::default();
    for (name, value) in names.iter().zip(list(item, "Load")?) {
        let value = value.as_f64();
        match name.as_str() {
            "core_use" => read.core_use = value,
            "on_cores" => read.on_cores = value,
            "heap_share" => read.memory_share = value,
            "links" => read.connections = value,
            _ => {}
        }
    }
    Ok(read)
}

fn outcome(item: &Object) -> Read<Outcome> {
    Ok(match whole(item, "Disposition")? {
        10 => Outcome::Ok,
        20 => Outcome::Error,
        30 => Outcome::Rejected,
        40 => Outcome::TimedOut,
        50 => Outcome::Unreachable,
        60 => Outcome::Broken,
        70 => Outcome::Cancelled,
        80 => Outcome::Moot,
        other => return Err(format!("field Disposition: {other} is not known")),
    })
}

fn action(server: u64, action: Action) -> Value {
    let about = |name: &str, id: RequestId| json!({"msg": name, "ServerId": server, "Ref": id});
    match action {
        Action::Run(id) => about("TAKE", id),
        Action::Reuse(id) => about("REPLAY", id),
        Action::Refuse { id, pause, last } => {
            json!({"msg": "SHED", "ServerId": server, "Ref": id, "Pause": pause, "Final": last})
        }
        Action::Fail(id) => about("FINISH_ERROR", id),
        Action::Stop(id) => about("ABORT_WORK", id),
        Action::Call { id, abandon_at } => {
            json!({"msg": "GO_CALL", "ServerId": server, "Ref": id, "AbandonAt": abandon_at})
        }
        Action::SkipCall(id) => about("DEGRADE", id),
        Action::Remember { id, span } => json!({"msg": "RETAIN", "ServerId": server, "Ref": id, "Ttl": span}),
        Action::Forget(id) => about("ERASE", id),
        Action::Health { good, stored } => {
            json!({"msg": "STATUS", "ServerId": server, "Stored": stored, "Want": good})
        }
        Action::Tell(x) => json!({"msg": "STAMP", "ServerId": server, "X": x}),
        Action::CloseIdleAfter(ttl) => json!({"msg": "REAP_AFTER", "ServerId": server, "Ttl": ttl}),
        Action::WakeAt(at) => json!({"msg": "SET_TIMER", "ServerId": server, "Cookie": "t", "AlarmTime": at}),
        Action::Note(text) => json!({"msg": "JOURNAL_LINE", "ServerId": server, "ReasonText": text}),
    }
}
