//! Indexes into the tables of the world.

use zincstand_policy::{RequestId, ServerId};

use crate::table::{TableIndex, index_type};

/// Index of a server. Policies know servers by the same number.
pub(super) type ServerIndex = ServerId;

index_type! {
    /// Index of a balancer's process.
    ProcessIndex
}

index_type! {
    /// Index of a request of a client. All retries of the client belong to the same request.
    ArrivalIndex
}

index_type! {
    /// Index of a request at a balancer. Policies know requests by the same number.
    RequestIndex
}

index_type! {
    /// Index of an attempt.
    AttemptIndex
}

impl RequestIndex {
    /// Returns the index of the request with an id that a policy uses.
    pub fn of_id(id: RequestId) -> RequestIndex {
        RequestIndex::from_position(id as usize)
    }
}
