//! The outcome of the requests to one target.

use std::collections::BTreeMap;
use std::time::Instant;

use hdrhistogram::Histogram;

use super::ClientError;
use super::http::ReceivedResponse;

/// Status of a successful response.
const STATUS_OK: u16 = 200;
/// Upper bound of recorded latencies: one minute, in nanoseconds. Longer latencies are recorded as this value.
const MAX_LATENCY_NS: u64 = 60_000_000_000;
/// Significant decimal digits of a recorded latency.
const LATENCY_DIGITS: u8 = 3;

/// The outcome of the requests to one target.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Number of requests whose intended time was reached.
    pub requests: u64,
    /// Latencies of requests with status 200, in nanoseconds from the intended time to the last byte of the response.
    pub latency: Histogram<u64>,
    /// Number of responses by status.
    pub responses: BTreeMap<u16, u64>,
    /// Number of requests without a response: the connection failed, or the run ended first.
    pub lost: u64,
    /// Number of connections that were opened to replace closed ones.
    pub reconnects: u64,
}

impl Outcome {
    /// Creates the outcome of no requests.
    ///
    /// # Errors
    ///
    /// [`ClientError::Histogram`] if this platform cannot represent the range of latencies.
    pub(super) fn new() -> Result<Outcome, ClientError> {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_NS, LATENCY_DIGITS);
        let latency = latency.map_err(ClientError::Histogram)?;
        Ok(Outcome { requests: 0, latency, responses: BTreeMap::new(), lost: 0, reconnects: 0 })
    }

    /// Records the response to a request with this intended time.
    pub(super) fn record_response(&mut self, response: ReceivedResponse, intended: Instant, now: Instant) {
        if response.status == STATUS_OK {
            let latency = now.saturating_duration_since(intended).as_nanos() as u64;
            self.latency.saturating_record(latency.max(1));
        }
        *self.responses.entry(response.status).or_default() += 1;
    }

    /// Returns the number of failed requests: those with a status other than 200, and lost requests.
    pub fn failed(&self) -> u64 {
        let errors = self.responses.iter().filter(|(status, _)| **status != STATUS_OK);
        self.lost + errors.map(|(_, count)| count).sum::<u64>()
    }

    /// Returns a quantile of the latency in microseconds. `quantile` is from 0 to 1.
    pub fn quantile_us(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1000.0
    }
}
