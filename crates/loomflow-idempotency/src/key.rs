//! The idempotency key with its scope.

/// Identifies the requests that are duplicates of each other. Class and tenant are part of the key: equal texts of two tenants
/// are different keys, so that a result of one tenant never reaches another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey {
    /// Index of the class in the settings.
    pub class: usize,
    /// Index of the tenant in the settings.
    pub tenant: usize,
    /// The key as the caller stated it.
    pub text: String,
}
