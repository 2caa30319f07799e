//! Parsing and serialization of durations that are written with their unit.

use crate::Millis;
use serde::{Deserialize, Deserializer, Serializer, de::Error};
use serde_with::{DeserializeAs, SerializeAs};
use snafu::Snafu;

/// Error for text that is not a duration with a unit.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("expected a number with the unit ms or s, found \"{text}\""))]
pub struct ParseSpanError {
    text: String,
}

/// Result of parsing a duration.
pub type Result<T> = std::result::Result<T, ParseSpanError>;

/// Upper bound of the accepted durations, exclusive: 100 days.
const MAX_SPAN_MILLIS: f64 = 8.64e9;

/// Parses a number followed by `ms` or `s`.
///
/// # Errors
///
/// Returns a [`ParseSpanError`] for any other text, and for a duration that is negative or 100 days
/// or longer.
pub fn parse_span(text: &str) -> Result<Millis> {
    let trimmed = text.trim();
    let (digits, factor) = match (trimmed.strip_suffix("ms"), trimmed.strip_suffix('s')) {
        (Some(digits), _) => (digits, 1.0),
        (None, Some(digits)) => (digits, 1000.0),
        (None, None) => ("", 1.0),
    };
    let number: Option<f64> = digits.trim().parse().ok();
    let span = number.map(|n| n * factor);
    match span.filter(|s| (0.0..MAX_SPAN_MILLIS).contains(s)) {
        Some(span) => Ok(Millis(span.round() as u64)),
        None => Err(ParseSpanError {
            text: text.to_owned(),
        }),
    }
}

/// Adapter for `serde_with` that writes a duration in milliseconds, as in `1500ms`, and reads both
/// `ms` and `s`.
pub struct SpanText;

impl SerializeAs<Millis> for SpanText {
    fn serialize_as<S: Serializer>(
        span: &Millis,
        serializer: S,
    ) -> std::result::Result<S::Ok, S::Error> {
        serializer.collect_str(span)
    }
}

impl<'de> DeserializeAs<'de, Millis> for SpanText {
    fn deserialize_as<D: Deserializer<'de>>(
        deserializer: D,
    ) -> std::result::Result<Millis, D::Error> {
        let text = String::deserialize(deserializer)?;
        parse_span(&text).map_err(D::Error::custom)
    }
}
