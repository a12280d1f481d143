//! The hollow balancers of one thread: a dispatcher each, with the real discovery client and no upstreams.

use std::rc::Rc;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;
use zincstand_policy::{ListKind, Micros, ServerId, Settings};
use zincstand_proxy::discovery::Discovery;
use zincstand_proxy::discovery::endpoint::{Endpoint, Target};
use zincstand_proxy::dispatch::{AttemptCompletion, Dispatcher, HealthCheckResult, Transport};
use zincstand_settings::Names;

use super::control::FleetControl;
use super::{FleetOptions, ListApplied, SlowBalancers, UpdateMode};
use crate::discovery::thread_processor_time;

/// What a fleet asks of a thread, and where the reply goes.
pub enum GroupCommand {
    /// The processor time that the thread has used.
    ProcessorTime(mpsc::Sender<Duration>),
}

/// The balancers of one thread.
pub struct BalancerGroup {
    /// Their numbers.
    pub balancers: Vec<u32>,
    /// How they are slow, if they are the slow ones.
    pub slow: Option<SlowBalancers>,
    /// The settings that all share.
    pub settings: Settings,
    /// The names of zones and classes in the settings.
    pub names: Arc<Names>,
    /// How the fleet is made.
    pub options: FleetOptions,
    /// Where applied lists are reported.
    pub applied: mpsc::Sender<ListApplied>,
    /// What the fleet's owner sets.
    pub control: Arc<FleetControl>,
}

impl BalancerGroup {
    /// Starts the balancers and runs until the commands' sender is dropped. Must be called within a `LocalSet`.
    pub async fn run(self, mut commands: UnboundedReceiver<GroupCommand>) {
        for &balancer in &self.balancers {
            if let Err(error) = self.start(balancer) {
                eprintln!("hollow balancer {balancer}: {error}");
            }
            // The first ones already run while the last ones are made.
            tokio::task::yield_now().await;
        }
        if let Some(slow) = self.slow {
            spawn_local(stall(slow, self.control.clone()));
        }
        while let Some(GroupCommand::ProcessorTime(reply)) = commands.recv().await {
            let _ = reply.send(thread_processor_time());
        }
    }

    fn start(&self, balancer: u32) -> Result<(), zincstand_policy::SettingsError> {
        let mut settings = self.settings.clone();
        settings.balancer_index = balancer;
        settings.zone = balancer % self.options.zones.max(1);
        let is_pushed = self.options.update_mode == UpdateMode::Push;
        let discovery = Discovery::new(self.options.discovery, None, is_pushed, self.options.drain_grace);
        let observer =
            ListObserver { balancer, applied: self.applied.clone(), control: self.control.clone() };
        let transport = HollowTransport { discovery, observer: Rc::new(observer) };
        let watching = transport.clone();
        let seed = self.options.seed.wrapping_add(u64::from(balancer));
        let dispatcher = Dispatcher::new(settings, &self.names, seed, Rc::default(), transport)?;
        dispatcher.start_without_list();
        if is_pushed {
            let updated = dispatcher.clone();
            watching.watch(move |kind, endpoints| updated.update_endpoints(kind, endpoints));
        }
        spawn_local(dispatcher.run());
        Ok(())
    }
}

/// Blocks the thread on purpose, as often and as long as slow balancers are to be slow.
async fn stall(slow: SlowBalancers, control: Arc<FleetControl>) {
    loop {
        if control.is_stalling.load(Relaxed) {
            std::thread::sleep(slow.stall);
        }
        tokio::time::sleep(slow.every.saturating_sub(slow.stall)).await;
    }
}

/// Reports each list that a balancer's policy has applied.
struct ListObserver {
    balancer: u32,
    applied: mpsc::Sender<ListApplied>,
    control: Arc<FleetControl>,
}

impl ListObserver {
    /// Passes a list on to the dispatcher, as the real balancer does, and reports when that was done.
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

/// The transport of a balancer without clients: discovery is real, upstreams are never called.
#[derive(Clone)]
struct HollowTransport {
    discovery: Rc<Discovery>,
    observer: Rc<ListObserver>,
}

impl Transport for HollowTransport {
    type Request = ();
    type Response = ();
    type Attempt = ();

    fn send(&self, _: Target, _: Rc<()>, _: Micros, _: AttemptCompletion<()>) {
        // A dropped completion counts as a reset; without requests there is no attempt.
    }

    fn body_consumed((): &()) -> bool {
        false
    }

    fn client_disconnected((): &()) -> bool {
        false
    }

    fn has_connection((): &()) -> bool {
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
