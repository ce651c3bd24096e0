//! What a message says of itself, and the messages that we publish for it: replies, returns, dead letters.

use std::hash::{DefaultHasher, Hash, Hasher};

use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::types::{AMQPValue, FieldTable, ShortString};

use crate::idempotency::{IdempotencyKey, RunResult};
use crate::publisher::{Publish, PublishId};
use crate::settings::{KeyFrom, NameFrom, Queue, SentFrom, Settings};
use crate::settlement::{ReplyStatus, Republish};

/// Header of everything we publish: its number, so that a returned one is known again.
pub const PUBLISH: &str = "x-loomflow-publish";
/// How often a message was put back after a refusal.
pub const ROUNDS: &str = "x-loomflow-rounds";
/// Why a message was given up, or a reply failed.
pub const REASON: &str = "x-loomflow-reason";
/// The queue that a dead letter was taken from, and its user, which only that user may set.
pub const QUEUE: &str = "x-loomflow-queue";
pub const USER: &str = "x-loomflow-user-id";
/// On a refusal: when the message comes again, ms; on a failure out of time: how long to stay away.
pub const HOLDOFF: &str = "x-loomflow-holdoff";
/// On a failure: whether the work may have been done.
pub const RAN: &str = "x-loomflow-ran";
/// Headers by which a publisher routes copies elsewhere (extension); a message that is published anew has been there.
const COPIES: [&str; 2] = ["CC", "BCC"];
const PERSISTENT: u8 = 2;
const MAX_KEY_BYTES: usize = 512;

fn header<'a>(properties: &'a AMQPProperties, name: &str) -> Option<&'a AMQPValue> {
    properties.headers().as_ref()?.inner().get(name)
}

/// A header as text.
fn text(properties: &AMQPProperties, name: &str) -> Option<String> {
    match header(properties, name)? {
        AMQPValue::LongString(text) => String::from_utf8(text.as_bytes().to_vec()).ok(),
        AMQPValue::ShortString(text) => Some(text.to_string()),
        _ => None,
    }
}

/// A header as a whole number, in whatever width its sender chose.
fn number(properties: &AMQPProperties, name: &str) -> Option<u64> {
    match header(properties, name)? {
        AMQPValue::ShortShortUInt(n) => Some(u64::from(*n)),
        AMQPValue::ShortUInt(n) => Some(u64::from(*n)),
        AMQPValue::LongUInt(n) => Some(u64::from(*n)),
        AMQPValue::ShortShortInt(n) => u64::try_from(*n).ok(),
        AMQPValue::ShortInt(n) => u64::try_from(*n).ok(),
        AMQPValue::LongInt(n) => u64::try_from(*n).ok(),
        AMQPValue::LongLongInt(n) => u64::try_from(*n).ok(),
        AMQPValue::Timestamp(n) => Some(*n),
        _ => None,
    }
}

pub fn publish_id(properties: &AMQPProperties) -> Option<PublishId> {
    number(properties, PUBLISH)
}

pub fn retry_count(properties: &AMQPProperties) -> u32 {
    number(properties, ROUNDS).and_then(|n| u32::try_from(n).ok()).unwrap_or(0)
}

/// Who a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Classification {
    pub class: usize,
    pub tenant: usize,
    /// Running it twice is one time too many.
    pub has_effect: bool,
}

/// Class and tenant by the names that the queue or the message states. Errors: the reason to give it up.
pub fn classify(
    settings: &Settings,
    queue: &Queue,
    properties: &AMQPProperties,
) -> Result<Classification, &'static str> {
    let name = |from: &NameFrom| match from {
        NameFrom::Fixed(name) => Some(name.clone()),
        NameFrom::Header(name) => text(properties, name),
    };
    let class = name(&queue.class).ok_or("no-class")?;
    let class = settings.classes.iter().position(|one| one.name == class).ok_or("unknown-class")?;
    let tenant = match &queue.tenant {
        None => 0,
        Some(from) => {
            let tenant = name(from).ok_or("no-tenant")?;
            settings.tenants.iter().position(|one| *one == tenant).ok_or("unknown-tenant")?
        }
    };
    Ok(Classification { class, tenant, has_effect: settings.classes[class].has_effect })
}

/// What makes a repeat of a message recognisable. Errors: the reason to give it up.
pub fn idempotency_key(
    from: &KeyFrom,
    place: Classification,
    properties: &AMQPProperties,
) -> Result<Option<IdempotencyKey>, &'static str> {
    let text = match from {
        KeyFrom::Header(name) => text(properties, name),
        KeyFrom::MessageId => properties.message_id().as_ref().map(|id| match properties.app_id() {
            Some(app) => format!("{app}/{id}"),
            None => id.to_string(),
        }),
    };
    match text.filter(|text| !text.is_empty()) {
        Some(text) if text.len() > MAX_KEY_BYTES => Err("key-too-long"),
        text => Ok(text.map(|text| IdempotencyKey { class: place.class, tenant: place.tenant, text })),
    }
}

/// When a message was sent, Unix ms; none where it does not say. A stamp in whole seconds is read as the last moment
/// of its second, so that nothing counts as older than it is.
pub fn sent_at(from: &SentFrom, properties: &AMQPProperties) -> Option<f64> {
    let header = match from {
        SentFrom::Header(name) => number(properties, name),
        SentFrom::Timestamp => None,
    };
    let second = || properties.timestamp().map(|at| at as f64 * 1000.0 + 999.0);
    header.map(|ms| ms as f64).or_else(second)
}

/// Names the caller of a message among those of the same key.
pub fn caller_digest(properties: &AMQPProperties) -> u64 {
    let mut hasher = DefaultHasher::new();
    (properties.reply_to(), properties.correlation_id()).hash(&mut hasher);
    hasher.finish()
}

/// Where the reply to a message goes: exchange and routing key.
pub fn reply_to(settings: &Settings, properties: &AMQPProperties) -> Option<(String, String)> {
    match (properties.reply_to(), &settings.results) {
        (Some(to), _) if !to.as_str().is_empty() => Some((String::new(), to.to_string())),
        (_, Some(results)) => Some((results.exchange.clone(), results.routing_key.clone())),
        _ => None,
    }
}

/// The reply to a message; none where nobody is to be told.
pub fn reply(
    settings: &Settings,
    of: &AMQPProperties,
    status: &ReplyStatus,
    id: PublishId,
) -> Option<Publish> {
    let (exchange, routing_key) = reply_to(settings, of)?;
    let mut headers = FieldTable::default();
    let mut set = |name: &str, value| {
        headers.insert(name.into(), value);
    };
    set(PUBLISH, AMQPValue::LongLongInt(id as i64));
    let said = |text: &str| AMQPValue::LongString(text.into());
    let (kind, body) = match status {
        ReplyStatus::Served(RunResult::Served(body)) => ("served", body.to_vec()),
        ReplyStatus::Served(_) => ("served", Vec::new()),
        ReplyStatus::Rejected(pause) => {
            set(HOLDOFF, AMQPValue::LongLongInt(pause.ceil() as i64));
            ("refused", Vec::new())
        }
        ReplyStatus::Failed { reason, may_have_run, retry_after: holdoff } => {
            if let Some(pause) = holdoff {
                set(HOLDOFF, AMQPValue::LongLongInt(pause.ceil() as i64));
            }
            set(REASON, said(reason));
            set(RAN, said(if *may_have_run { "perhaps" } else { "no" }));
            ("failed", Vec::new())
        }
    };
    let mut properties = AMQPProperties::default().with_headers(headers).with_type(kind.into());
    // Where no correlation is stated, the message's own name is the custom.
    if let Some(name) = of.correlation_id().as_ref().or(of.message_id().as_ref()) {
        properties = properties.with_correlation_id(name.clone());
    }
    if let Some(mode) = of.delivery_mode() {
        properties = properties.with_delivery_mode(*mode);
    }
    Some(Publish { exchange, routing_key, properties, body })
}

/// A message published anew: to its queue, or where dead letters go.
pub fn republished(
    settings: &Settings,
    queue: &str,
    of: &AMQPProperties,
    body: &[u8],
    to: Republish,
    id: PublishId,
) -> Publish {
    let mut headers: FieldTable = FieldTable::default();
    for (name, value) in of.headers().iter().flat_map(|table| table.inner()) {
        if !COPIES.contains(&name.as_str()) {
            headers.insert(name.clone(), value.clone());
        }
    }
    headers.insert(PUBLISH.into(), AMQPValue::LongLongInt(id as i64));
    let mut properties = without_user(of, &mut headers);
    let (exchange, routing_key) = match (to, &settings.dead_letter) {
        (Republish::Requeue { retry_count: rounds }, _) => {
            headers.insert(ROUNDS.into(), AMQPValue::LongLongInt(i64::from(rounds)));
            (String::new(), queue.to_owned())
        }
        (Republish::DeadLetter(reason), dead) => {
            headers.insert(REASON.into(), AMQPValue::LongString(reason.into()));
            headers.insert(QUEUE.into(), AMQPValue::LongString(queue.into()));
            // Kept for people to look at, whatever its sender wished.
            properties = properties.with_delivery_mode(PERSISTENT);
            dead.as_ref().map_or_else(Default::default, |d| (d.exchange.clone(), d.routing_key.clone()))
        }
    };
    Publish { exchange, routing_key, properties: properties.with_headers(headers), body: body.to_vec() }
}

/// The properties of a message without its user: a broker refuses one that is not our own (extension).
fn without_user(of: &AMQPProperties, headers: &mut FieldTable) -> AMQPProperties {
    let Some(user) = of.user_id() else { return of.clone() };
    headers.insert(USER.into(), AMQPValue::LongString(user.as_str().into()));
    let mut kept = AMQPProperties::default();
    macro_rules! keep {
        ($($get:ident $with:ident),*) => { $(if let Some(value) = of.$get() { kept = kept.$with(value.clone()); })* };
    }
    keep!(
        content_type with_content_type, content_encoding with_content_encoding, delivery_mode with_delivery_mode,
        priority with_priority, correlation_id with_correlation_id, reply_to with_reply_to,
        expiration with_expiration, message_id with_message_id, timestamp with_timestamp, kind with_type,
        app_id with_app_id
    );
    kept
}

/// A short string of a setting, which is checked for its length where it is read.
pub fn short_string(text: &str) -> ShortString {
    ShortString::try_new(text).unwrap_or_default()
}

#[cfg(test)]
mod tests;
