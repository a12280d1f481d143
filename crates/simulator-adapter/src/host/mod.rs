//! Hosts the balancers of this process: receives the simulator's messages and collects the reply to each batch.

mod balancer;
mod convert;
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
    /// More messages follow.
    Open,
    /// The reply is complete and due.
    Complete,
}

/// The batch that is being answered.
pub struct Batch<'a> {
    /// Its clock, in microseconds.
    pub now: Micros,
    /// The reply, one line for each action.
    pub reply: &'a mut Vec<u8>,
}

/// All balancers of this process, and the endpoint tables that they share.
#[derive(Default)]
pub struct Host {
    /// The clock of the open batch, in microseconds.
    now: Option<Micros>,
    tables: BTreeMap<u64, Vec<EndpointEntry>>,
    balancers: BTreeMap<u64, HostedBalancer>,
}

impl Host {
    /// Whether a batch has begun and not ended.
    pub fn is_in_batch(&self) -> bool {
        self.now.is_some()
    }

    /// Processes one message; the actions that follow from it are appended to `reply`.
    ///
    /// Messages for a balancer that is not running, or about a request that it no longer holds, are ignored: they
    /// may cross its end on the wire.
    ///
    /// # Errors
    /// A message in the wrong order, or one that refers to what was never defined. The reply is then incomplete.
    pub fn receive(&mut self, message: Message<'_>, reply: &mut Vec<u8>) -> Result<BatchState, MessageError> {
        if let Message::BeginBatch(start) = &message {
            self.begin_batch(start)?;
            return Ok(BatchState::Open);
        }
        let now = self.now.ok_or(MessageError::OutsideBatch)?;
        let mut batch = Batch { now, reply };
        match message {
            Message::Commit {} => {
                self.now = None;
                reply::write_line(batch.reply, &ReplyLine::Yield {})?;
                return Ok(BatchState::Complete);
            }
            Message::Table(table) => {
                self.tables.insert(table.id, table.entries);
            }
            Message::PowerOn(start) => self.start_balancer(&start)?,
            Message::BalancerStop(stop) => {
                self.balancers.remove(&stop.balancer_id);
            }
            Message::EndpointList(list) => self.update_endpoints(&list, &mut batch)?,
            Message::Request(request) => self.with_balancer(request.balancer_id, |balancer| {
                balancer.receive_request(request, &mut batch)
            })?,
            Message::FirstByte(event) => self.with_balancer(event.balancer_id, |balancer| {
                balancer.receive_first_byte(&event, &mut batch)
            })?,
            Message::AttemptEnded(event) => self
                .with_balancer(event.balancer_id, |balancer| balancer.receive_outcome(&event, &mut batch))?,
            Message::ClientDisconnected(event) => self.with_balancer(event.balancer_id, |balancer| {
                balancer.receive_disconnect(&event, &mut batch)
            })?,
            Message::Timer(event) => {
                self.with_balancer(event.balancer_id, |balancer| balancer.receive_timer(&event, &mut batch))?;
            }
            Message::HealthChecked(event) => self.with_balancer(event.balancer_id, |balancer| {
                balancer.receive_health_check(&event, &mut batch)
            })?,
            Message::BeginBatch(_) | Message::Peer { .. } => {}
        }
        Ok(BatchState::Open)
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

    /// Calls `apply` with the balancer that has this id, if it is running.
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
