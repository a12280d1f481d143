//! Spans of virtual time.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use zincstand_policy::Micros;

/// A span of time, or a time since the start of the scenario, in microseconds. In scenario files it is a string with
/// units, such as `"1s 500ms"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Micros);

impl Span {
    /// Returns a span of this many milliseconds, rounded to microseconds.
    pub fn ms(milliseconds: f64) -> Span {
        Span((milliseconds * 1_000.0).round() as Micros)
    }

    /// Returns a span of this many seconds, rounded to microseconds.
    pub fn s(seconds: f64) -> Span {
        Span((seconds * 1_000_000.0).round() as Micros)
    }

    /// Returns the span in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl fmt::Display for Span {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        humantime::format_duration(std::time::Duration::from_micros(self.0)).fmt(formatter)
    }
}

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct SpanVisitor;
        impl de::Visitor<'_> for SpanVisitor {
            type Value = Span;

            fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str("a span with its unit, such as \"250ms\" or \"1s 500ms\"")
            }

            fn visit_str<E: de::Error>(self, text: &str) -> Result<Span, E> {
                let span = humantime::parse_duration(text)
                    .map_err(|_| E::invalid_value(de::Unexpected::Str(text), &self))?;
                let micros = span.as_micros().try_into();
                micros.map(Span).map_err(|_| E::invalid_value(de::Unexpected::Str(text), &self))
            }
        }
        deserializer.deserialize_str(SpanVisitor)
    }
}
