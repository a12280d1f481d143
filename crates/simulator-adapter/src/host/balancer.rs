//! One hosted balancer: the policy, and the ids that stand for the wire's names in it.

use std::collections::HashMap;

use zincstand_policy as policy;
use zincstand_policy::{Event, RequestId};
use zincstand_settings::{Names, micros_from_millis, ring_position};

use crate::error::MessageError;
use crate::host::Batch;
use crate::host::convert::{list_kind, load_report, outcome, server_state};
use crate::wire::message::{
    AttemptEnded, BalancerStart, ClientDisconnected, EndpointEntry, FirstByte, HealthChecked, ListKind,
    Request, TenantName, Timer,
};

/// A request whose id is still in use.
pub struct OpenRequest {
    /// Its id on the wire.
    pub wire_id: String,
    /// Attempts that were sent and have no outcome yet.
    pub attempts_in_flight: u32,
    /// Whether it has its final response.
    pub is_finished: bool,
}

/// A balancer with its tables of names. All of it ends with the balancer.
pub struct HostedBalancer {
    /// Id of the balancer on the wire.
    pub id: u64,
    policy: policy::Balancer,
    /// Scratch space for the actions of one event, kept for its allocation.
    actions: Vec<policy::Action>,
    class_names: Vec<String>,
    tenant_names: Vec<String>,
    zones: Names,
    machine_kinds: Names,
    /// Servers by address.
    pub servers: Names,
    /// Requests by their id on the wire.
    pub request_ids: HashMap<String, RequestId>,
    /// The requests of `request_ids`.
    pub requests: HashMap<RequestId, OpenRequest>,
    next_request_id: RequestId,
}

impl HostedBalancer {
    /// Starts a balancer without endpoints or requests.
    ///
    /// # Errors
    /// Faulty settings.
    pub fn start(start: &BalancerStart) -> Result<HostedBalancer, MessageError> {
        let setup = &start.setup;
        let mut zones = Names::default();
        let settings = setup.to_policy_settings(&mut zones)?;
        Ok(HostedBalancer {
            id: start.balancer_id,
            policy: policy::Balancer::new(settings, start.rng_seed)?,
            actions: Vec::new(),
            class_names: setup.classes.iter().map(|class| class.name.clone()).collect(),
            tenant_names: setup.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
            zones,
            machine_kinds: Names::default(),
            servers: Names::default(),
            request_ids: HashMap::new(),
            requests: HashMap::new(),
            next_request_id: 0,
        })
    }

    /// Processes an endpoint list, or the failure to obtain one.
    pub fn update_endpoints(
        &mut self,
        kind: ListKind,
        entries: &[EndpointEntry],
        batch: &mut Batch<'_>,
    ) -> Result<(), MessageError> {
        let entries = entries.iter().map(|entry| self.server_entry(entry)).collect();
        self.handle(Event::EndpointList { kind: list_kind(kind), entries }, batch)
    }

    /// Processes the arrival of a request.
    pub fn receive_request(
        &mut self,
        request: Request<'_>,
        batch: &mut Batch<'_>,
    ) -> Result<(), MessageError> {
        let class = self.class_index(&request.class)?;
        let tenant = self.tenant_index(request.tenant.as_ref())?;
        let event = Event::Request {
            id: self.next_request_id,
            class,
            time_left: micros_from_millis(request.time_left_ms),
            tenant,
            work: request.expected_ms.map(micros_from_millis),
            marked_retry: request.marked_retry,
            body_pending: false,
        };
        self.open_request(request.wire_id.into_owned());
        self.handle(event, batch)
    }

    /// Processes the begin of a streamed response.
    pub fn receive_first_byte(
        &mut self,
        event: &FirstByte<'_>,
        batch: &mut Batch<'_>,
    ) -> Result<(), MessageError> {
        let Some(request) = self.request_id(&event.wire_id) else {
            return Ok(());
        };
        self.handle(Event::FirstByte { request, attempt: event.attempt }, batch)
    }

    /// Processes the outcome of an attempt.
    pub fn receive_outcome(
        &mut self,
        ended: &AttemptEnded<'_>,
        batch: &mut Batch<'_>,
    ) -> Result<(), MessageError> {
        let Some(request) = self.request_id(&ended.wire_id) else {
            return Ok(());
        };
        let event = Event::Outcome {
            request,
            attempt: ended.attempt,
            server: self.servers.intern(&ended.upstream),
            outcome: outcome(ended.outcome),
            latency: micros_from_millis(ended.time_taken_ms),
            finished: ended.is_final,
            body_consumed: false,
            load: ended.load.map(load_report),
        };
        if let Some(open) = self.requests.get_mut(&request) {
            open.attempts_in_flight = open.attempts_in_flight.saturating_sub(1);
            open.is_finished |= ended.is_final;
        }
        self.handle(event, batch)?;
        self.forget_if_settled(request);
        Ok(())
    }

    /// Processes the end of a request by its client.
    pub fn receive_disconnect(
        &mut self,
        event: &ClientDisconnected<'_>,
        batch: &mut Batch<'_>,
    ) -> Result<(), MessageError> {
        let Some(request) = self.request_id(&event.wire_id) else {
            return Ok(());
        };
        self.handle(Event::ClientDisconnected { request }, batch)?;
        self.finish_request(request);
        Ok(())
    }

    /// Processes a timer that has fired.
    pub fn receive_timer(&mut self, event: &Timer, batch: &mut Batch<'_>) -> Result<(), MessageError> {
        self.handle(Event::Timer { token: event.token }, batch)
    }

    /// Processes the result of a health check.
    pub fn receive_health_check(
        &mut self,
        checked: &HealthChecked<'_>,
        batch: &mut Batch<'_>,
    ) -> Result<(), MessageError> {
        let event = Event::HealthChecked {
            server: self.servers.intern(&checked.upstream),
            outcome: outcome(checked.outcome),
            latency: micros_from_millis(checked.time_taken_ms),
            load: checked.load.map(load_report),
        };
        self.handle(event, batch)
    }

    /// Hands an event to the policy and writes its actions.
    fn handle(&mut self, event: Event, batch: &mut Batch<'_>) -> Result<(), MessageError> {
        let mut actions = std::mem::take(&mut self.actions);
        self.policy.handle(batch.now, event, &mut actions);
        for action in actions.drain(..) {
            self.write_action(&action, batch.reply)?;
        }
        self.actions = actions;
        Ok(())
    }

    fn server_entry(&mut self, entry: &EndpointEntry) -> policy::ServerEntry {
        let has_start_time = entry.last_start_ms > 0.0;
        policy::ServerEntry {
            id: self.servers.intern(&entry.address),
            zone: self.zones.intern(&entry.zone),
            kind: self.machine_kinds.intern(&entry.machine_kind),
            cell: entry.cell,
            ring_position: ring_position(&entry.address),
            state: server_state(entry.state),
            weight: entry.weight,
            started: has_start_time.then(|| micros_from_millis(entry.last_start_ms)),
        }
    }

    fn class_index(&self, name: &str) -> Result<usize, MessageError> {
        let index = self.class_names.iter().position(|known| known == name);
        index.ok_or_else(|| MessageError::UnknownClass(name.to_owned()))
    }

    /// Index of the tenant; none at a site without tenants, whatever the request says.
    fn tenant_index(&self, tenant: Option<&TenantName<'_>>) -> Result<Option<usize>, MessageError> {
        let Some(TenantName::Name(name)) = tenant else {
            return Ok(None);
        };
        if self.tenant_names.is_empty() {
            return Ok(None);
        }
        match self.tenant_names.iter().position(|known| known == name) {
            Some(index) => Ok(Some(index)),
            None => Err(MessageError::UnknownTenant(name.to_string())),
        }
    }

    fn request_id(&self, wire_id: &str) -> Option<RequestId> {
        self.request_ids.get(wire_id).copied()
    }

    /// Gives a new request the next id.
    pub fn open_request(&mut self, wire_id: String) {
        let id = self.next_request_id;
        self.next_request_id += 1;
        self.request_ids.insert(wire_id.clone(), id);
        self.requests.insert(id, OpenRequest { wire_id, attempts_in_flight: 0, is_finished: false });
    }

    /// Notes that the request has its final response.
    pub fn finish_request(&mut self, id: RequestId) {
        if let Some(open) = self.requests.get_mut(&id) {
            open.is_finished = true;
        }
        self.forget_if_settled(id);
    }

    /// Forgets a request that has its final response and an outcome for each attempt.
    fn forget_if_settled(&mut self, id: RequestId) {
        if let Some(open) = self.requests.get(&id)
            && open.is_finished
            && open.attempts_in_flight == 0
        {
            self.request_ids.remove(&open.wire_id);
            self.requests.remove(&id);
        }
    }
}
