//! Validates a gateway's request and converts it into a submission: names become indices into the settings, timestamps
//! become ages.

use loomflow::interface::{Idempotency, RequestAttributes};
use loomflow::time::Millis;
use loomflow_protocol::gateway::Call;
use loomflow_settings::Site;

use crate::clock::ClockReading;
use crate::front::interface::{InvalidRequest, ResponseHandle, Submission};
use crate::idempotency::IdempotencyKey;

/// How much a timestamp's age may exceed the class's timeout, because the machine may have been paused.
const MAX_TIMESTAMP_AGE_MS: Millis = 60_000.0;
/// How far a timestamp may be ahead of the local clock.
const MAX_CLOCK_SKEW_MS: Millis = 1_000.0;
/// Maximum of a caller's estimated work and remaining wait, as a multiple of the class's timeout. A larger value in the
/// queue would make all other requests seem too late.
const MAX_ESTIMATE_FACTOR: f64 = 25.0;

/// Class and tenant of a request, as indices into the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Classification {
    /// Index into `Site::classes`.
    pub class: usize,
    /// Index into `Site::tenants`; 0 if the settings define no tenants.
    pub tenant: usize,
}

/// Looks up a request's class and tenant, and checks that its numbers are in range.
///
/// # Errors
/// An unknown class, a missing or unknown tenant, or a number out of range.
pub fn classify(site: &Site, call: &Call, now: ClockReading) -> Result<Classification, InvalidRequest> {
    let class = site.classes.iter().position(|name| *name == call.class);
    let class = class.ok_or(InvalidRequest::UnknownClass)?;
    let tenant = match &call.tenant {
        _ if site.tenants.is_empty() => 0,
        None => return Err(InvalidRequest::MissingTenant),
        Some(tenant) => {
            let tenant = site.tenants.iter().position(|name| name == tenant);
            tenant.ok_or(InvalidRequest::UnknownTenant)?
        }
    };
    check_ranges(call, site.settings.classes[class].timeout, now)?;
    Ok(Classification { class, tenant })
}

fn check_ranges(call: &Call, timeout: Millis, now: ClockReading) -> Result<(), InvalidRequest> {
    let oldest = now.unix - timeout - MAX_TIMESTAMP_AGE_MS;
    if !(oldest..=now.unix + MAX_CLOCK_SKEW_MS).contains(&call.arrived_at) {
        return Err(InvalidRequest::TimestampOutOfRange);
    }
    let max_estimate = timeout * MAX_ESTIMATE_FACTOR;
    if call.estimated_work.is_some_and(|work| work <= 0.0 || work > max_estimate) {
        return Err(InvalidRequest::EstimatedWorkOutOfRange);
    }
    if call.remaining_wait.is_some_and(|wait| wait > max_estimate) {
        return Err(InvalidRequest::RemainingWaitOutOfRange);
    }
    Ok(())
}

/// Converts a classified request into a submission.
pub fn submission(
    site: &Site,
    response_handle: ResponseHandle,
    call: Call,
    classification: Classification,
    now: ClockReading,
) -> Submission {
    let idempotency = site.settings.classes[classification.class].idempotency;
    Submission {
        response_handle,
        attempt_id: call.id,
        key: idempotency_key(&call, classification, idempotency),
        attributes: attributes(&call, classification, now),
        body: call.body,
    }
}

fn attributes(call: &Call, classification: Classification, now: ClockReading) -> RequestAttributes {
    let Classification { class, tenant } = classification;
    RequestAttributes {
        class,
        tenant,
        remaining_wait: call.remaining_wait.unwrap_or(0.0),
        estimated_work: call.estimated_work,
        memory_kb: call.memory_kb,
        rank: call.rank,
        is_retry: call.is_retry,
        caller: call.gateway,
        age: now.age(call.arrived_at),
        upstream_time: 0.0,
    }
}

/// Requests of keyed classes are identified by their key, reads by their subject. Duplicates of other requests cannot be
/// recognized.
fn idempotency_key(
    call: &Call,
    classification: Classification,
    idempotency: Idempotency,
) -> Option<IdempotencyKey> {
    let text = match idempotency {
        Idempotency::ByKey => call.key.clone(),
        Idempotency::Always => call.subject.clone(),
        Idempotency::Never => None,
    };
    let Classification { class, tenant } = classification;
    text.map(|text| IdempotencyKey { class, tenant, text })
}

#[cfg(test)]
mod tests;
