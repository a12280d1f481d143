//! Conversion between the platform's unit of time, milliseconds, and the policy's, microseconds.

use zincstand_policy::Micros;

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1000.0;

/// Converts milliseconds to whole microseconds, rounded to the nearest; a negative time becomes 0.
pub fn micros_from_millis(millis: f64) -> Micros {
    (millis * MICROS_PER_MILLI).round().max(0.0) as Micros
}

/// Converts microseconds to milliseconds.
pub fn millis_from_micros(micros: Micros) -> f64 {
    micros as f64 / MICROS_PER_MILLI
}
