//! Functions for `#[serde(deserialize_with = "...")]`, which add defaults and range checks to fields, and field types.

use serde::de::{Deserialize, Deserializer, Error};

use super::deserializer::MISSING;

pub(crate) const NOT_ABOVE_0: &str = "not above 0";

/// Deserializes a value; if it is absent, returns the default of its type.
///
/// # Errors
///
/// The value has another type.
pub fn or_default<'de, T, D>(deserializer: D) -> Result<T, D::Error>
where
    T: Deserialize<'de> + Default,
    D: Deserializer<'de>,
{
    Option::deserialize(deserializer).map(Option::unwrap_or_default)
}

/// Deserializes a required number above 0.
///
/// # Errors
///
/// The value is missing, is not a number or is not above 0.
pub fn positive<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    check_positive(f64::deserialize(deserializer)?)
}

pub(crate) fn check_positive<E: Error>(number: f64) -> Result<f64, E> {
    if number > 0.0 { Ok(number) } else { Err(E::custom(NOT_ABOVE_0)) }
}

/// Deserializes a number of at least 0; 0 if absent.
///
/// # Errors
///
/// The value is not a number or is below 0.
pub fn non_negative<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let number: f64 = or_default(deserializer)?;
    if number >= 0.0 { Ok(number) } else { Err(D::Error::custom("below 0")) }
}

/// Deserializes a required, non-empty string.
///
/// # Errors
///
/// The value is missing, empty or not a string.
pub fn required_text<'de, D: Deserializer<'de>>(deserializer: D) -> Result<&'de str, D::Error> {
    let text = <&str>::deserialize(deserializer)?;
    if text.is_empty() { Err(D::Error::custom(MISSING)) } else { Ok(text) }
}

/// Deserializes an array of strings; empty if absent.
///
/// # Errors
///
/// The value is not an array, or one of its elements is not a string.
pub fn texts<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<String>, D::Error> {
    let elements: Vec<ValidOrNone<String>> = or_default(deserializer)?;
    let texts: Option<Vec<String>> = elements.into_iter().map(|element| element.0).collect();
    texts.ok_or_else(|| D::Error::custom("not all texts"))
}

/// A list element that becomes `None`, rather than an error, if its value does not deserialize to a `T`.
///
/// Requires a deserializer over a document in memory: after a failure, the rest of the value is not consumed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ValidOrNone<T>(pub Option<T>);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for ValidOrNone<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ValidOrNone<T>, D::Error> {
        Ok(ValidOrNone(T::deserialize(deserializer).ok()))
    }
}
