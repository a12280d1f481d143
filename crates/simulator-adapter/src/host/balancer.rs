//! A hosted balancer: its policy, and the mapping of wire names to the policy's ids.

use zincstand_policy as policy;
use zincstand_policy::Event;
use zincstand_settings::{Names, micros_from_millis, ring_position};

use crate::error::MessageError;
use crate::host::Batch;
use crate::host::convert::{list_kind, load_report, outcome, server_state};
use crate::host::open_requests::OpenRequests;
use crate::wire::message::{
    AttemptEnded, BalancerStart, ClientDisconnected, EndpointEntry, FirstByte, HealthChecked, ListKind,
    Request, TenantName, Timer,
};

/// A balancer and its tables of names.
pub struct HostedBalancer {
    /// Id of the balancer on the wire.
    pub id: u64,
    policy: policy::Balancer,
    /// Actions of one event. Empty between events; retained to reuse its allocation.
    actions: Vec<policy::Action>,
    class_names: Vec<String>,
    tenant_names: Vec<String>,
    zones: Names,
    machine_kinds: Names,
    /// Servers by address.
    pub servers: Names,
    /// Requests whose ids are in use.
    pub requests: OpenRequests,
}

impl HostedBalancer {
    /// Starts a balancer without endpoints or requests.
    ///
    /// # Errors
    ///
    /// Returns the first error in the settings.
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
            requests: OpenRequests::default(),
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
            id: self.requests.open(request.wire_id.into_owned()),
            class,
            time_left: micros_from_millis(request.time_left_ms),
            tenant,
            work: request.expected_ms.map(micros_from_millis),
            marked_retry: request.marked_retry,
            body_pending: false,
        };
        self.handle(event, batch)
    }

    /// Processes the start of a streamed response.
    pub fn receive_first_byte(
        &mut self,
        event: &FirstByte<'_>,
        batch: &mut Batch<'_>,
    ) -> Result<(), MessageError> {
        let Some(request) = self.requests.id(&event.wire_id) else {
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
        let Some(request) = self.requests.id(&ended.wire_id) else {
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
        self.requests.record_outcome(request, ended.is_final);
        self.handle(event, batch)?;
        self.requests.remove_if_settled(request);
        Ok(())
    }

    /// Processes the disconnection of a client.
    pub fn receive_disconnect(
        &mut self,
        event: &ClientDisconnected<'_>,
        batch: &mut Batch<'_>,
    ) -> Result<(), MessageError> {
        let Some(request) = self.requests.id(&event.wire_id) else {
            return Ok(());
        };
        self.handle(Event::ClientDisconnected { request }, batch)?;
        self.requests.finish(request);
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

    /// Passes an event to the policy and writes the resulting actions.
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
            machine_kind: self.machine_kinds.intern(&entry.machine_kind),
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

    /// Returns the index of the tenant, `None` where the service is not shared, even if the request names one.
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
}
