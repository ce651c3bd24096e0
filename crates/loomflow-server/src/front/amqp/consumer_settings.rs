//! Derives the settings of the AMQP consumer from the options file and the server's settings.

use loomflow::interface::{Class, Idempotency};
use loomflow_amqp::idempotency::Capacity;
use loomflow_amqp::settings::Password;
use loomflow_amqp::{KeyFrom, NameFrom, Queue, SentFrom, Settings, Target};
use loomflow_settings::Site;
use loomflow_settings::amqp::{Amqp, Credentials};

use crate::budget::Budget;
use crate::front::FrontStartError;

/// Builds the settings of the consumer.
///
/// # Errors
/// The credentials file cannot be read.
pub fn settings(amqp: &Amqp, site: &Site, budget: &Budget) -> Result<Settings, FrontStartError> {
    let credentials = Credentials::load(&amqp.credentials)?;
    let budget = budget.for_broker(amqp.max_message_bytes);
    Ok(Settings {
        brokers: amqp.brokers.clone(),
        vhost: amqp.vhost.clone(),
        user: credentials.user,
        password: Password(credentials.password),
        heartbeat_s: amqp.heartbeat_s,
        max_body_bytes: amqp.max_message_bytes,
        retention: amqp.remember_ms,
        capacity: Capacity {
            records: budget.max_records,
            reply_bytes: budget.max_reply_bytes,
            retired_keys: budget.max_retired_keys,
        },
        max_in_flight: budget.max_in_flight,
        max_unconfirmed: amqp.max_unconfirmed,
        max_retries: amqp.rounds,
        dead_letter: amqp.dead_letter.as_ref().map(target),
        results: amqp.results.as_ref().map(target),
        queues: queues(amqp, site),
        classes: classes(site),
        tenants: site.tenants.clone(),
    })
}

fn target(target: &loomflow_settings::amqp::Target) -> Target {
    Target { exchange: target.exchange.clone(), routing_key: target.routing_key.clone() }
}

/// Builds the queues, with priority weights from the current settings.
pub fn queues(amqp: &Amqp, site: &Site) -> Vec<Queue> {
    amqp.queues.iter().map(|options| queue(options, site)).collect()
}

/// Builds the classes, with timeouts from the current settings.
pub fn classes(site: &Site) -> Vec<loomflow_amqp::Class> {
    site.classes.iter().zip(&site.settings.classes).map(|(name, settings)| class(name, settings)).collect()
}

fn class(name: &str, settings: &Class) -> loomflow_amqp::Class {
    loomflow_amqp::Class {
        name: name.to_owned(),
        has_effect: settings.idempotency != Idempotency::Always,
        timeout: settings.timeout,
    }
}

fn queue(options: &loomflow_settings::amqp::Queue, site: &Site) -> Queue {
    Queue {
        name: options.name.clone(),
        // Validation of the options requires `class` or `class_header`; no message has a header with an empty name.
        class: name_from(options.class.as_ref().map(|name| &name.value), options.class_header.as_ref())
            .unwrap_or(NameFrom::Header(String::new())),
        tenant: name_from(options.tenant.as_ref().map(|name| &name.value), options.tenant_header.as_ref()),
        key: options.key_header.clone().map_or(KeyFrom::MessageId, KeyFrom::Header),
        sent_from: options.sent_from.as_deref().map(sent_from),
        estimated_work: options.work_ms,
        memory_kb: options.memory_kb,
        rank: options.rank,
        priority_weight: priority_weight(options, site),
    }
}

fn name_from(fixed: Option<&String>, header: Option<&String>) -> Option<NameFrom> {
    let fixed = fixed.map(|name| NameFrom::Fixed(name.clone()));
    fixed.or_else(|| header.map(|header| NameFrom::Header(header.clone())))
}

fn sent_from(text: &str) -> SentFrom {
    match text {
        "timestamp" => SentFrom::Timestamp,
        header => SentFrom::Header(header.to_owned()),
    }
}

/// The priority weight of the queue's class, or the lowest of all classes if each message names its own class.
fn priority_weight(options: &loomflow_settings::amqp::Queue, site: &Site) -> f64 {
    let weight = |class: usize| site.settings.classes.get(class).map_or(0.0, |class| class.priority_weight);
    let fixed = options.class.as_ref().map(|name| &name.value);
    let class = fixed.and_then(|name| site.classes.iter().position(|known| known == name));
    class.map_or_else(|| (0..site.classes.len()).map(weight).fold(f64::INFINITY, f64::min), weight)
}
