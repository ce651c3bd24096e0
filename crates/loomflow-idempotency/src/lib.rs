//! What the idempotency records of every front have in common. When a key is a duplicate, and how long it is retained,
//! differs by front and is decided there.

#![forbid(unsafe_code)]

mod body_hasher;
mod key;
mod result_budget;

pub use body_hasher::BodyHasher;
pub use key::IdempotencyKey;
pub use result_budget::{ResultBudget, ResultSequence};
