//! Reading JSON objects key by key; whatever is wrong is named by its path.

use serde_json::{Map, Value};

/// A value, or one message that names the faulty key.
pub type Read<T> = Result<T, String>;

static EMPTY: std::sync::LazyLock<Map<String, Value>> = std::sync::LazyLock::new(Map::new);

/// A JSON object and the path that leads to it.
#[derive(Clone, Debug)]
pub struct Node<'a> {
    path: String,
    map: &'a Map<String, Value>,
}

impl<'a> Node<'a> {
    /// Takes `value` as an object; an empty `path` is the root.
    pub fn new(path: &str, value: &'a Value) -> Read<Node<'a>> {
        let map = value.as_object().ok_or_else(|| match path {
            "" => "not an object".to_owned(),
            _ => format!("{path}: not an object"),
        })?;
        Ok(Node { path: path.to_owned(), map })
    }

    /// The full name of a key of this object.
    pub fn name(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    pub fn error<T>(&self, key: &str, what: &str) -> Read<T> {
        Err(format!("{}: {what}", self.name(key)))
    }

    /// The value of a key; null reads as absent.
    pub fn get(&self, key: &str) -> Option<&'a Value> {
        self.map.get(key).filter(|v| !v.is_null())
    }

    fn typed<T>(&self, key: &str, what: &str, read: impl Fn(&'a Value) -> Option<T>) -> Read<Option<T>> {
        match self.get(key) {
            None => Ok(None),
            Some(value) => read(value).map_or_else(|| self.error(key, what), |v| Ok(Some(v))),
        }
    }

    fn required<T>(&self, key: &str, found: Option<T>) -> Read<T> {
        found.map_or_else(|| self.error(key, "missing"), Ok)
    }

    /// A number; absent reads as 0.
    pub fn number(&self, key: &str) -> Read<f64> {
        Ok(self.typed(key, "not a number", Value::as_f64)?.unwrap_or(0.0))
    }

    pub fn required_number(&self, key: &str) -> Read<f64> {
        self.required(key, self.typed(key, "not a number", Value::as_f64)?)
    }

    /// A number that must be there and above 0.
    pub fn positive(&self, key: &str) -> Read<f64> {
        let value = self.required_number(key)?;
        if value > 0.0 { Ok(value) } else { self.error(key, "not above 0") }
    }

    /// A number that must not be below 0; absent reads as 0.
    pub fn non_negative(&self, key: &str) -> Read<f64> {
        let value = self.number(key)?;
        if value >= 0.0 { Ok(value) } else { self.error(key, "below 0") }
    }

    pub fn integer(&self, key: &str) -> Read<u64> {
        self.required(key, self.typed(key, "not a whole number", Value::as_u64)?)
    }

    pub fn integer_or(&self, key: &str, default: u64) -> Read<u64> {
        Ok(self.typed(key, "not a whole number", Value::as_u64)?.unwrap_or(default))
    }

    /// True or false; absent reads as false.
    pub fn boolean(&self, key: &str) -> Read<bool> {
        Ok(self.typed(key, "not true or false", Value::as_bool)?.unwrap_or(false))
    }

    /// A text; absent reads as empty.
    pub fn text(&self, key: &str) -> Read<&'a str> {
        Ok(self.typed(key, "not a text", Value::as_str)?.unwrap_or(""))
    }

    pub fn required_text(&self, key: &str) -> Read<&'a str> {
        self.required(key, self.typed(key, "not a text", Value::as_str)?.filter(|text| !text.is_empty()))
    }

    pub fn child(&self, key: &str) -> Read<Node<'a>> {
        let value = self.required(key, self.get(key))?;
        Node::new(&self.name(key), value)
    }

    /// An object; absent reads as one without keys.
    pub fn child_or_empty(&self, key: &str) -> Read<Node<'a>> {
        match self.get(key) {
            Some(value) => Node::new(&self.name(key), value),
            None => Ok(Node { path: self.name(key), map: &EMPTY }),
        }
    }

    /// An array; absent reads as empty.
    pub fn list(&self, key: &str) -> Read<&'a [Value]> {
        let read = |v: &'a Value| v.as_array().map(Vec::as_slice);
        Ok(self.typed(key, "not an array", read)?.unwrap_or(&[]))
    }

    /// An array of objects, each named by its place.
    pub fn children(&self, key: &str) -> Read<Vec<Node<'a>>> {
        let named = |(at, value)| Node::new(&format!("{}[{at}]", self.name(key)), value);
        self.list(key)?.iter().enumerate().map(named).collect()
    }

    pub fn texts(&self, key: &str) -> Read<Vec<String>> {
        let text = |v: &Value| v.as_str().map(str::to_owned);
        let all = self.list(key)?.iter().map(text).collect::<Option<Vec<_>>>();
        all.map_or_else(|| self.error(key, "not all texts"), Ok)
    }
}
