//! Implements [`DownstreamClient`] for the progress of a client connection.

use tokio::time::Instant;

use crate::downstream::progress::ConnectionProgress;
use crate::upstream::downstream_client::DownstreamClient;

impl DownstreamClient for ConnectionProgress {
    fn is_disconnected(&self) -> bool {
        self.client_disconnected()
    }

    fn set_waiting_for_body(&self, waiting: bool) {
        self.body_pace().set_wanted(waiting);
    }

    fn earliest_body_end(&self) -> Instant {
        self.body_pace().earliest_end()
    }
}
