//! Types shared by the idempotency records of all fronts: keys, body digests and a bound on retained results. Each front
//! decides by its own rules which requests are duplicates and how long keys are retained.

#![forbid(unsafe_code)]

mod body_hasher;
mod key;
mod result_budget;

pub use body_hasher::BodyHasher;
pub use key::IdempotencyKey;
pub use result_budget::{ResultBudget, ResultSequence};
