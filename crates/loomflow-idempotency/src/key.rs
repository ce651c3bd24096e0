//! The idempotency key.

/// What makes two requests the same. The same text of another tenant is another key, so that no result of one tenant
/// reaches another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey {
    /// Index of the class in the settings.
    pub class: usize,
    /// Index of the tenant in the settings.
    pub tenant: usize,
    /// The key as the caller stated it.
    pub text: String,
}
