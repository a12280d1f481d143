//! The balancers of this process: passes the simulator's messages to them and writes their actions to the
//! reply to the batch.

mod balancer;
mod convert;
mod open_requests;
mod reply;

use std::collections::BTreeMap;

use zincstand_policy::Micros;
use zincstand_settings::micros_from_millis;

use crate::error::MessageError;
use crate::host::balancer::HostedBalancer;
use crate::wire::action::ReplyLine;
use crate::wire::message::{BalancerStart, BatchStart, EndpointEntry, EndpointList, ListKind, Message};

/// Whether a message has completed its batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchState {
    /// The batch is open: more messages follow.
    Open,
    /// The batch is complete, and its reply can be sent.
    Complete,
}

/// An open batch.
pub struct Batch<'a> {
    /// Time of its events, in microseconds.
    pub now: Micros,
    /// Reply to the batch, with one line for each action.
    pub reply: &'a mut Vec<u8>,
}

/// All balancers of this process, and the endpoint tables that they share.
#[derive(Default)]
pub struct Host {
    /// Time of the events of the open batch in microseconds, `None` between two batches.
    now: Option<Micros>,
    tables: BTreeMap<u64, Vec<EndpointEntry>>,
    balancers: BTreeMap<u64, HostedBalancer>,
}

impl Host {
    /// Whether a batch has begun and not ended.
    pub fn is_in_batch(&self) -> bool {
        self.now.is_some()
    }

    /// Processes a message and appends the resulting actions to `reply`.
    ///
    /// Messages for a balancer that is not running, or about a request that is not open, are ignored: they
    /// may have been sent before the simulator received the end of the balancer or request.
    ///
    /// # Errors
    ///
    /// Returns an error for a message in the wrong order, or one that refers to an unknown definition. The
    /// reply is then incomplete.
    pub fn receive(&mut self, message: Message<'_>, reply: &mut Vec<u8>) -> Result<BatchState, MessageError> {
        if let Message::BeginBatch(start) = &message {
            self.begin_batch(start)?;
            return Ok(BatchState::Open);
        }
        let now = self.now.ok_or(MessageError::OutsideBatch)?;
        if let Message::Commit {} = message {
            self.now = None;
            reply::write_line(reply, &ReplyLine::End {})?;
            return Ok(BatchState::Complete);
        }
        self.process(message, &mut Batch { now, reply })?;
        Ok(BatchState::Open)
    }

    /// Processes a message inside a batch.
    fn process(&mut self, message: Message<'_>, batch: &mut Batch<'_>) -> Result<(), MessageError> {
        match message {
            Message::BeginBatch(_) | Message::Commit {} | Message::Gossip { .. } => Ok(()),
            Message::Table(table) => {
                self.tables.insert(table.id, table.entries);
                Ok(())
            }
            Message::BalancerStart(start) => self.start_balancer(&start),
            Message::BalancerStop(stop) => {
                self.balancers.remove(&stop.balancer_id);
                Ok(())
            }
            Message::EndpointList(list) => self.update_endpoints(&list, batch),
            Message::Request(request) => {
                self.with_balancer(request.balancer_id, |balancer| balancer.receive_request(request, batch))
            }
            Message::FirstByte(event) => {
                self.with_balancer(event.balancer_id, |balancer| balancer.receive_first_byte(&event, batch))
            }
            Message::AttemptEnded(event) => {
                self.with_balancer(event.balancer_id, |balancer| balancer.receive_outcome(&event, batch))
            }
            Message::ClientDisconnected(event) => {
                self.with_balancer(event.balancer_id, |balancer| balancer.receive_disconnect(&event, batch))
            }
            Message::Timer(event) => {
                self.with_balancer(event.balancer_id, |balancer| balancer.receive_timer(&event, batch))
            }
            Message::HealthChecked(event) => {
                self.with_balancer(event.balancer_id, |balancer| balancer.receive_health_check(&event, batch))
            }
        }
    }

    fn begin_batch(&mut self, start: &BatchStart) -> Result<(), MessageError> {
        if self.is_in_batch() {
            return Err(MessageError::NestedBatch);
        }
        self.now = Some(micros_from_millis(start.now_ms));
        Ok(())
    }

    fn start_balancer(&mut self, start: &BalancerStart) -> Result<(), MessageError> {
        let balancer = HostedBalancer::start(start)?;
        self.balancers.insert(start.balancer_id, balancer);
        Ok(())
    }

    fn update_endpoints(&mut self, list: &EndpointList, batch: &mut Batch<'_>) -> Result<(), MessageError> {
        let Some(balancer) = self.balancers.get_mut(&list.balancer_id) else {
            return Ok(());
        };
        let entries: &[EndpointEntry] = if list.kind == ListKind::Failed {
            &[]
        } else {
            self.tables.get(&list.table_id).ok_or(MessageError::UnknownTable(list.table_id))?
        };
        balancer.update_endpoints(list.kind, entries, batch)
    }

    /// Calls `apply` with the balancer if it is running.
    fn with_balancer(
        &mut self,
        id: u64,
        apply: impl FnOnce(&mut HostedBalancer) -> Result<(), MessageError>,
    ) -> Result<(), MessageError> {
        match self.balancers.get_mut(&id) {
            Some(balancer) => apply(balancer),
            None => Ok(()),
        }
    }
}
