//! Message properties: reads class, tenant, idempotency key and sending time of a consumed message, and builds the
//! messages that are published for it (replies, requeued copies, dead letters).

use std::hash::{DefaultHasher, Hash, Hasher};

use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::types::{AMQPValue, FieldTable, ShortString};

use crate::Millis;
use crate::failure_reason::FailureReason;
use crate::idempotency::{IdempotencyKey, RunResult};
use crate::publisher::{Publish, PublishId};
use crate::settings::{KeyFrom, NameFrom, Queue, SentFrom, Settings};
use crate::settlement::{ReplyStatus, Republish};

/// Header of every published message: its [`PublishId`], which identifies a returned message.
pub const PUBLISH_ID_HEADER: &str = "x-loomflow-publish";
/// Header of a requeued message: how often it was requeued after a rejection.
pub const RETRY_COUNT_HEADER: &str = "x-loomflow-rounds";
/// Header of a dead letter or a failure reply: its [`FailureReason`].
pub const REASON_HEADER: &str = "x-loomflow-reason";
/// Header of a dead letter: the queue that it was consumed from.
pub const QUEUE_HEADER: &str = "x-loomflow-queue";
/// Header of a republished message: its original user id. A broker accepts the property only from that user.
pub const USER_ID_HEADER: &str = "x-loomflow-user-id";
/// Header of a rejection: time until the message is delivered again, ms. Header of an out-of-time failure: how long the
/// sender should back off, ms.
pub const RETRY_AFTER_HEADER: &str = "x-loomflow-holdoff";
/// Header of a failure reply: whether the message may have run.
pub const MAY_HAVE_RUN_HEADER: &str = "x-loomflow-ran";
/// Headers that route copies to further queues (extension). They are dropped when a message is republished, because its
/// copies were routed when it was first published.
const CARBON_COPY_HEADERS: [&str; 2] = ["CC", "BCC"];
/// Delivery mode of a persistent message.
const PERSISTENT: u8 = 2;
/// Maximum length of an idempotency key, bytes.
const MAX_KEY_BYTES: usize = 512;

fn header<'a>(properties: &'a AMQPProperties, name: &str) -> Option<&'a AMQPValue> {
    properties.headers().as_ref()?.inner().get(name)
}

/// The value of a text header; `None` if it is missing or not text.
fn text_header(properties: &AMQPProperties, name: &str) -> Option<String> {
    match header(properties, name)? {
        AMQPValue::LongString(text) => String::from_utf8(text.as_bytes().to_vec()).ok(),
        AMQPValue::ShortString(text) => Some(text.to_string()),
        _ => None,
    }
}

/// The value of a header of any integer type; `None` if it is missing, negative or not an integer.
fn number_header(properties: &AMQPProperties, name: &str) -> Option<u64> {
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

/// The publish id of a message that was published by loomflow, such as one that the broker returned.
pub fn publish_id(properties: &AMQPProperties) -> Option<PublishId> {
    number_header(properties, PUBLISH_ID_HEADER)
}

/// How often a message was requeued after a rejection.
pub fn retry_count(properties: &AMQPProperties) -> u32 {
    number_header(properties, RETRY_COUNT_HEADER).and_then(|n| u32::try_from(n).ok()).unwrap_or(0)
}

/// Class and tenant of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Classification {
    /// Index into [`Settings::classes`].
    pub class: usize,
    /// Index into [`Settings::tenants`].
    pub tenant: usize,
    /// Whether the message has an external effect and therefore must not run twice.
    pub has_effect: bool,
}

/// Determines class and tenant of a message from the settings of its queue or from its headers.
///
/// # Errors
///
/// Returns the reason to dead-letter the message.
pub fn classify(
    settings: &Settings,
    queue: &Queue,
    properties: &AMQPProperties,
) -> Result<Classification, FailureReason> {
    let name = |from: &NameFrom| match from {
        NameFrom::Fixed(name) => Some(name.clone()),
        NameFrom::Header(name) => text_header(properties, name),
    };
    let class = name(&queue.class).ok_or(FailureReason::NO_CLASS)?;
    let class =
        settings.classes.iter().position(|known| known.name == class).ok_or(FailureReason::UNKNOWN_CLASS)?;
    let tenant = match &queue.tenant {
        None => 0,
        Some(from) => {
            let tenant = name(from).ok_or(FailureReason::NO_TENANT)?;
            settings.tenants.iter().position(|known| *known == tenant).ok_or(FailureReason::UNKNOWN_TENANT)?
        }
    };
    Ok(Classification { class, tenant, has_effect: settings.classes[class].has_effect })
}

/// The idempotency key of a message; `None` if the message states none.
///
/// # Errors
///
/// Returns the reason to dead-letter the message.
pub fn idempotency_key(
    from: &KeyFrom,
    classification: Classification,
    properties: &AMQPProperties,
) -> Result<Option<IdempotencyKey>, FailureReason> {
    let text = match from {
        KeyFrom::Header(name) => text_header(properties, name),
        KeyFrom::MessageId => properties.message_id().as_ref().map(|id| match properties.app_id() {
            Some(app) => format!("{app}/{id}"),
            None => id.to_string(),
        }),
    };
    match text.filter(|text| !text.is_empty()) {
        Some(text) if text.len() > MAX_KEY_BYTES => Err(FailureReason::KEY_TOO_LONG),
        text => Ok(text.map(|text| IdempotencyKey {
            class: classification.class,
            tenant: classification.tenant,
            text,
        })),
    }
}

/// When a message was sent, Unix ms; `None` if the message does not state it. A timestamp in whole seconds is read as
/// the end of that second, so that no message counts as older than it is.
pub fn sent_at(from: &SentFrom, properties: &AMQPProperties) -> Option<Millis> {
    let header_ms = match from {
        SentFrom::Header(name) => number_header(properties, name),
        SentFrom::Timestamp => None,
    };
    let end_of_second = || properties.timestamp().map(|seconds| seconds as Millis * 1000.0 + 999.0);
    header_ms.map(|ms| ms as Millis).or_else(end_of_second)
}

/// Distinguishes callers that use the same key: a digest of the reply address and the correlation id.
pub fn caller_digest(properties: &AMQPProperties) -> u64 {
    let mut hasher = DefaultHasher::new();
    (properties.reply_to(), properties.correlation_id()).hash(&mut hasher);
    hasher.finish()
}

/// Exchange and routing key of the reply to a message; `None` if no reply is expected.
pub fn reply_to(settings: &Settings, properties: &AMQPProperties) -> Option<(String, String)> {
    match (properties.reply_to(), &settings.results) {
        (Some(to), _) if !to.as_str().is_empty() => Some((String::new(), to.to_string())),
        (_, Some(results)) => Some((results.exchange.clone(), results.routing_key.clone())),
        _ => None,
    }
}

/// Builds the reply to a message; `None` if no reply is expected.
pub fn reply(
    settings: &Settings,
    original: &AMQPProperties,
    status: &ReplyStatus,
    id: PublishId,
) -> Option<Publish> {
    let (exchange, routing_key) = reply_to(settings, original)?;
    let mut headers = FieldTable::default();
    let mut set = |name: &str, value| {
        headers.insert(name.into(), value);
    };
    set(PUBLISH_ID_HEADER, AMQPValue::LongLongInt(id as i64));
    let long_string = |text: &str| AMQPValue::LongString(text.into());
    let (kind, body) = match status {
        ReplyStatus::Served(RunResult::Served(body)) => ("served", body.to_vec()),
        ReplyStatus::Served(_) => ("served", Vec::new()),
        ReplyStatus::Rejected(retry_after) => {
            set(RETRY_AFTER_HEADER, AMQPValue::LongLongInt(retry_after.ceil() as i64));
            ("refused", Vec::new())
        }
        ReplyStatus::Failed { reason, may_have_run, retry_after } => {
            if let Some(retry_after) = retry_after {
                set(RETRY_AFTER_HEADER, AMQPValue::LongLongInt(retry_after.ceil() as i64));
            }
            set(REASON_HEADER, long_string(reason.as_str()));
            set(MAY_HAVE_RUN_HEADER, long_string(if *may_have_run { "perhaps" } else { "no" }));
            ("failed", Vec::new())
        }
    };
    let mut properties = AMQPProperties::default().with_headers(headers).with_type(kind.into());
    // By convention, the message id is used if there is no correlation id.
    if let Some(id) = original.correlation_id().as_ref().or(original.message_id().as_ref()) {
        properties = properties.with_correlation_id(id.clone());
    }
    if let Some(mode) = original.delivery_mode() {
        properties = properties.with_delivery_mode(*mode);
    }
    Some(Publish { exchange, routing_key, properties, body })
}

/// Builds a copy of a consumed message, addressed to its own queue or to the dead-letter destination.
pub fn republished(
    settings: &Settings,
    queue: &str,
    original: &AMQPProperties,
    body: &[u8],
    destination: Republish,
    id: PublishId,
) -> Publish {
    let mut headers: FieldTable = FieldTable::default();
    for (name, value) in original.headers().iter().flat_map(FieldTable::inner) {
        if !CARBON_COPY_HEADERS.contains(&name.as_str()) {
            headers.insert(name.clone(), value.clone());
        }
    }
    headers.insert(PUBLISH_ID_HEADER.into(), AMQPValue::LongLongInt(id as i64));
    let mut properties = without_user_id(original, &mut headers);
    let (exchange, routing_key) = match (destination, &settings.dead_letter) {
        (Republish::Requeue { retry_count }, _) => {
            headers.insert(RETRY_COUNT_HEADER.into(), AMQPValue::LongLongInt(i64::from(retry_count)));
            (String::new(), queue.to_owned())
        }
        (Republish::DeadLetter(reason), dead_letter) => {
            headers.insert(REASON_HEADER.into(), AMQPValue::LongString(reason.as_str().into()));
            headers.insert(QUEUE_HEADER.into(), AMQPValue::LongString(queue.into()));
            // Dead letters must survive a restart of the broker, whatever delivery mode the sender chose.
            properties = properties.with_delivery_mode(PERSISTENT);
            dead_letter.as_ref().map_or_else(Default::default, |destination| {
                (destination.exchange.clone(), destination.routing_key.clone())
            })
        }
    };
    Publish { exchange, routing_key, properties: properties.with_headers(headers), body: body.to_vec() }
}

/// Moves the user id of a message from its properties to a header, because a broker rejects a user id other than that
/// of the connection (extension).
fn without_user_id(original: &AMQPProperties, headers: &mut FieldTable) -> AMQPProperties {
    let Some(user) = original.user_id() else { return original.clone() };
    headers.insert(USER_ID_HEADER.into(), AMQPValue::LongString(user.as_str().into()));
    let mut properties = AMQPProperties::default();
    macro_rules! copy {
        ($($get:ident $with:ident),*) => { $(if let Some(value) = original.$get() { properties = properties.$with(value.clone()); })* };
    }
    copy!(
        content_type with_content_type, content_encoding with_content_encoding, delivery_mode with_delivery_mode,
        priority with_priority, correlation_id with_correlation_id, reply_to with_reply_to,
        expiration with_expiration, message_id with_message_id, timestamp with_timestamp, kind with_type,
        app_id with_app_id
    );
    properties
}

/// Converts a setting to a short string. Its length was validated when the settings were read.
pub fn short_string(text: &str) -> ShortString {
    ShortString::try_new(text).unwrap_or_default()
}

#[cfg(test)]
mod tests;
