//! The client's connection as the upstream side sees it.

use crate::downstream::ConnectionProgress;
use crate::upstream::client_connection::ClientConnection;

impl ClientConnection for ConnectionProgress {
    fn is_disconnected(&self) -> bool {
        self.client_disconnected()
    }

    fn want_body(&self, wanted: bool) {
        self.set_body_wanted(wanted);
    }
}
