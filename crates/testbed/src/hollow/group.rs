//! The hollow balancers of one thread. Each has a dispatcher and a real discovery client, but sends nothing to
//! upstreams.

use std::rc::Rc;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;
use zincstand_policy::{ListKind, Micros, ServerId, Settings};
use zincstand_proxy::discovery::Discovery;
use zincstand_proxy::discovery::endpoint::{Endpoint, Target};
use zincstand_proxy::dispatch::{AttemptCompletion, BeginCheck, Dispatcher, HealthCheckResult, Transport};
use zincstand_settings::Names;

use super::control::FleetControl;
use super::{FleetOptions, ListApplied, SlowBalancers, UpdateMode};
use crate::discovery::thread_processor_time;

/// A command from a fleet to one of its threads, with the channel for the reply.
pub enum GroupCommand {
    /// Returns the processor time that the thread has used.
    ProcessorTime(mpsc::Sender<Duration>),
}

/// The balancers that one thread runs.
pub struct BalancerGroup {
    /// The numbers of the balancers.
    pub balancers: Vec<u32>,
    /// How the thread is blocked; `None` if its balancers are not slow.
    pub slow: Option<SlowBalancers>,
    /// The settings that all balancers share.
    pub settings: Settings,
    /// The names of zones and classes in the settings.
    pub names: Arc<Names>,
    /// The options of the fleet.
    pub options: FleetOptions,
    /// The channel on which applied lists are reported.
    pub applied: mpsc::Sender<ListApplied>,
    /// The state that the owner of the fleet changes.
    pub control: Arc<FleetControl>,
}

impl BalancerGroup {
    /// Starts the balancers and runs until the sender of commands is dropped. Must be called within a `LocalSet`.
    pub async fn run(self, mut commands: UnboundedReceiver<GroupCommand>) {
        for &balancer in &self.balancers {
            if let Err(error) = self.start(balancer) {
                eprintln!("hollow balancer {balancer} cannot be started: {error}");
            }
            // Gives the balancers that are already started time to run.
            tokio::task::yield_now().await;
        }
        if let Some(slow) = self.slow {
            spawn_local(stall(slow, self.control.clone()));
        }
        while let Some(GroupCommand::ProcessorTime(reply)) = commands.recv().await {
            let _ = reply.send(thread_processor_time());
        }
    }

    /// Starts one balancer.
    ///
    /// # Errors
    ///
    /// The error of the policy if the settings are invalid.
    fn start(&self, balancer: u32) -> Result<(), zincstand_policy::SettingsError> {
        let mut settings = self.settings.clone();
        settings.balancer_index = balancer;
        settings.zone = balancer % self.options.zones.max(1);
        let is_pushed = self.options.update_mode == UpdateMode::Push;
        let discovery = Discovery::new(self.options.discovery, None, is_pushed, self.options.drain_grace);
        let observer =
            ListObserver { balancer, applied: self.applied.clone(), control: self.control.clone() };
        let transport = HollowTransport { discovery, observer: Rc::new(observer) };
        let watch_transport = transport.clone();
        let seed = self.options.seed.wrapping_add(u64::from(balancer));
        let dispatcher = Dispatcher::new(settings, &self.names, seed, Rc::default(), transport)?;
        dispatcher.start_without_list();
        if is_pushed {
            let updated_dispatcher = dispatcher.clone();
            watch_transport
                .watch(move |kind, endpoints| updated_dispatcher.update_endpoints(kind, endpoints));
        }
        spawn_local(dispatcher.run_timers());
        Ok(())
    }
}

/// Blocks the thread repeatedly while stalling is set, to simulate balancers whose core has other work.
async fn stall(slow: SlowBalancers, control: Arc<FleetControl>) {
    loop {
        if control.is_stalling.load(Relaxed) {
            std::thread::sleep(slow.stall);
        }
        tokio::time::sleep(slow.interval.saturating_sub(slow.stall)).await;
    }
}

/// Reports each list that the policy of a balancer has applied.
struct ListObserver {
    balancer: u32,
    applied: mpsc::Sender<ListApplied>,
    control: Arc<FleetControl>,
}

impl ListObserver {
    /// Passes a list to the dispatcher, as a real balancer does, and reports that the list was applied.
    fn apply(&self, on_list: &impl Fn(ListKind, Vec<Endpoint>), kind: ListKind, endpoints: Vec<Endpoint>) {
        let mark = self.control.mark.read().map(|mark| mark.clone()).unwrap_or_default();
        let is_marked = mark.is_some_and(|mark| {
            endpoints
                .iter()
                .any(|endpoint| endpoint.instance == mark.instance && endpoint.state == mark.state)
        });
        let entries = endpoints.len();
        on_list(kind, endpoints);
        let at = Instant::now();
        let _ = self.applied.send(ListApplied { balancer: self.balancer, kind, entries, is_marked, at });
    }
}

/// The transport of a hollow balancer. Its discovery client is real, but it never sends to upstreams.
#[derive(Clone)]
struct HollowTransport {
    discovery: Rc<Discovery>,
    observer: Rc<ListObserver>,
}

impl Transport for HollowTransport {
    type Request = ();
    type Response = ();
    type Attempt = ();

    fn send(&self, _: Target, _: Rc<()>, _: Micros, _: BeginCheck, _: AttemptCompletion<()>) {
        // Never called, since there are no requests. Dropping the completion here would report a reset.
    }

    fn body_consumed((): &()) -> bool {
        false
    }

    fn max_body_age((): &()) -> Micros {
        0
    }

    fn request_name((): &()) -> &'static str {
        ""
    }
    fn record_may_have_run((): &()) {}
    fn client_disconnected((): &()) -> bool {
        false
    }

    fn has_begun((): &()) -> bool {
        false
    }

    fn abort(&self, (): ()) -> bool {
        false
    }

    fn health_check(&self, _: Target, _: impl FnOnce(HealthCheckResult) + 'static) {}

    fn close_idle(&self, _: ServerId) {}

    fn watch(&self, on_list: impl Fn(ListKind, Vec<Endpoint>) + 'static) {
        let observer = self.observer.clone();
        self.discovery.watch(move |kind, endpoints| observer.apply(&on_list, kind, endpoints));
    }

    fn fetch(&self, on_list: impl Fn(ListKind, Vec<Endpoint>) + 'static) {
        let observer = self.observer.clone();
        self.discovery.fetch(move |kind, endpoints| observer.apply(&on_list, kind, endpoints));
    }
}
