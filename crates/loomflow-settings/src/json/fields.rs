//! Functions for `#[serde(deserialize_with = "...")]` on the fields of a struct, and types of fields.

use serde::de::{Deserialize, Deserializer, Error};

use super::deserializer::MISSING;

pub(crate) const NOT_ABOVE_0: &str = "not above 0";

/// A value, or the default of its type if it is absent.
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

/// A number that must be present and above 0.
///
/// # Errors
///
/// The value is missing or invalid.
pub fn positive<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    check_positive(f64::deserialize(deserializer)?)
}

pub(crate) fn check_positive<E: Error>(number: f64) -> Result<f64, E> {
    if number > 0.0 { Ok(number) } else { Err(E::custom(NOT_ABOVE_0)) }
}

/// A number that must not be below 0; 0 if absent.
///
/// # Errors
///
/// The value is invalid.
pub fn non_negative<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let number: f64 = or_default(deserializer)?;
    if number >= 0.0 { Ok(number) } else { Err(D::Error::custom("below 0")) }
}

/// A string that must be present and not empty.
///
/// # Errors
///
/// The value is missing or no string.
pub fn required_text<'de, D: Deserializer<'de>>(deserializer: D) -> Result<&'de str, D::Error> {
    let text = <&str>::deserialize(deserializer)?;
    if text.is_empty() { Err(D::Error::custom(MISSING)) } else { Ok(text) }
}

/// An array of strings; empty if absent.
///
/// # Errors
///
/// The value is no array, or one of its members no string.
pub fn texts<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<String>, D::Error> {
    let members: Vec<Lenient<String>> = or_default(deserializer)?;
    let texts: Option<Vec<String>> = members.into_iter().map(|member| member.0).collect();
    texts.ok_or_else(|| D::Error::custom("not all texts"))
}

/// A member of a list in which a value of another type is no error but `None`.
///
/// For deserializers that have the whole document in memory, because a value is abandoned partway through.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lenient<T>(pub Option<T>);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Lenient<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Lenient<T>, D::Error> {
        Ok(Lenient(T::deserialize(deserializer).ok()))
    }
}
