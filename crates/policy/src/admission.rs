//! Admission: the queues of requests by class, the order in which classes are served, and load shedding.

use std::collections::VecDeque;

use crate::context::Context;
use crate::event::{ClassId, Micros, RequestId};
use crate::histogram::DecayingHistogram;
use crate::latency::Latencies;
use crate::learned::LearnedState;
use crate::request::{Priority, Request};
use crate::retry;
use crate::settings::Settings;

/// Requests that may be queued for each attempt that the concurrency limits allow.
const QUEUED_PER_SLOT: f64 = 4.0;
/// Number of requests that may always be queued, however low the concurrency limits are.
const MIN_QUEUE_CAPACITY: usize = 16;
/// The most valuable class has high priority if its value is more than this many times that of the next one.
const HIGH_PRIORITY_RATIO: f64 = 2.0;

/// The queue of a class, and how the class was served lately.
#[derive(Default)]
struct ClassQueue {
    /// Decayed number of requests that arrived.
    recent_offered: f64,
    /// Decayed number of requests that were served.
    recent_served: f64,
    /// Queued requests in the order of their arrival.
    queued: VecDeque<RequestId>,
}

impl ClassQueue {
    /// Share of the recent requests that were served; 1 if there were none.
    fn served_share(&self) -> f64 {
        if self.recent_offered > 0.0 { self.recent_served / self.recent_offered } else { 1.0 }
    }
}

/// The queues of all classes, and the class that may exceed a full concurrency limit.
pub(crate) struct Queues {
    /// By class id.
    classes: Vec<ClassQueue>,
    /// Class whose requests may exceed a full concurrency limit, `None` if no class is valuable enough.
    high_priority_class: Option<ClassId>,
}

impl Queues {
    /// Creates empty queues for `classes` classes.
    pub fn new(classes: usize) -> Self {
        Queues { classes: (0..classes).map(|_| ClassQueue::default()).collect(), high_priority_class: None }
    }

    /// Number of queued requests of all classes.
    pub fn len(&self) -> usize {
        self.classes.iter().map(|class| class.queued.len()).sum()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Priority of the requests of a class.
    pub fn priority(&self, class: ClassId) -> Priority {
        if self.high_priority_class == Some(class) { Priority::High } else { Priority::Normal }
    }

    /// Decayed number of requests of a class that arrived.
    pub fn recent_offered(&self, class: ClassId) -> f64 {
        self.classes[class].recent_offered
    }

    /// Queues a request at its arrival.
    pub fn enqueue(&mut self, class: ClassId, id: RequestId) {
        let queue = &mut self.classes[class];
        queue.recent_offered += 1.0;
        queue.queued.push_back(id);
    }

    /// Counts a request that was served.
    pub fn record_served(&mut self, class: ClassId) {
        self.classes[class].recent_served += 1.0;
    }

    /// The queued requests of a class in the order of their arrival.
    pub fn queued(&self, class: ClassId) -> &VecDeque<RequestId> {
        &self.classes[class].queued
    }

    /// Removes the request at `position` from the queue of a class.
    pub fn remove(&mut self, class: ClassId, position: usize) {
        self.classes[class].queued.remove(position);
    }

    /// Removes and returns all queued requests of a class, in the order of their arrival.
    pub fn take_queued(&mut self, class: ClassId) -> VecDeque<RequestId> {
        std::mem::take(&mut self.classes[class].queued)
    }

    /// Puts back the requests of a class that remain queued, in the order of their arrival.
    pub fn put_back(&mut self, class: ClassId, remaining: VecDeque<RequestId>) {
        self.classes[class].queued = remaining;
    }

    /// Removes and returns the oldest queued request of the least valuable class, if more requests are queued
    /// than the sum of the concurrency limits allows. A backlog that cannot be served in time would only use
    /// memory.
    pub fn shed(
        &mut self,
        settings: &Settings,
        latencies: &Latencies,
        total_limit: f64,
    ) -> Option<RequestId> {
        if self.len() <= ((total_limit * QUEUED_PER_SLOT) as usize).max(MIN_QUEUE_CAPACITY) {
            return None;
        }
        let order = self.class_order(settings, latencies);
        order.iter().rev().find_map(|&class| self.classes[class].queued.pop_front())
    }

    /// Returns the classes in descending order of their value, and updates the high-priority class.
    pub fn class_order(&mut self, settings: &Settings, latencies: &Latencies) -> Vec<ClassId> {
        let values = self.class_values(settings, latencies);
        let mut order: Vec<ClassId> = (0..self.classes.len()).collect();
        order.sort_by(|&a, &b| values[b].total_cmp(&values[a]));
        self.high_priority_class = match order[..] {
            [first, second, ..] if values[first] > HIGH_PRIORITY_RATIO * values[second] => Some(first),
            _ => None,
        };
        order
    }

    /// Returns the value of each class: how much a request contributes to the goal per unit of its work.
    fn class_values(&self, settings: &Settings, latencies: &Latencies) -> Vec<f64> {
        let classes = 0..self.classes.len();
        let total_weight: f64 = classes.clone().map(|class| self.offered_weight(settings, class)).sum();
        let worst_share = self.classes.iter().map(ClassQueue::served_share).fold(1.0, f64::min);
        let goal = &settings.goal;
        let value = |class: ClassId| {
            let bonus = self.worst_class_bonus(settings, class, worst_share, total_weight);
            let weight = settings.classes[class].priority_weight;
            weight * (goal.overall + goal.worst_window + bonus) / work_per_request(settings, latencies, class)
        };
        classes.map(value).collect()
    }

    /// Priority weight of all requests of a class that arrived lately.
    fn offered_weight(&self, settings: &Settings, class: ClassId) -> f64 {
        settings.classes[class].priority_weight * self.classes[class].recent_offered
    }

    /// Returns how much the goal's weight for the worst-served class adds to the value of a class: 0 unless
    /// the class is served worst. The weight is divided among the requests of that class alone.
    fn worst_class_bonus(
        &self,
        settings: &Settings,
        class: ClassId,
        worst_share: f64,
        total_weight: f64,
    ) -> f64 {
        let offered_weight = self.offered_weight(settings, class);
        let is_worst = self.classes[class].served_share() <= worst_share && offered_weight > 0.0;
        if is_worst { settings.goal.worst_class * total_weight / offered_weight } else { 0.0 }
    }

    /// Multiplies the numbers of requests that arrived and were served by `remaining`.
    pub fn decay(&mut self, remaining: f64) {
        for class in &mut self.classes {
            class.recent_offered *= remaining;
            class.recent_served *= remaining;
        }
    }

    /// Exports how the classes were served. `learned.classes` has an entry for each class.
    pub fn export(&self, learned: &mut LearnedState) {
        for (queue, learned) in self.classes.iter().zip(&mut learned.classes) {
            learned.recent_offered = queue.recent_offered;
            learned.recent_served = queue.recent_served;
        }
    }

    /// Imports how the classes were served.
    pub fn import(&mut self, learned: &LearnedState) {
        for (queue, learned) in self.classes.iter_mut().zip(&learned.classes) {
            queue.recent_offered = learned.recent_offered;
            queue.recent_served = learned.recent_served;
        }
    }
}

/// Returns the work of a request of the class, measured as its median latency. It is 1 where the latency is
/// unknown, and where priority weights count per unit of work.
fn work_per_request(settings: &Settings, latencies: &Latencies, class: ClassId) -> f64 {
    let histogram = latencies.class_histogram(class).filter(|_| !settings.weight_by_work);
    histogram.map_or(1.0, DecayingHistogram::median)
}

/// Returns after how long the client of a rejected request should retry, in microseconds. Returns `None` if
/// the request may not be rejected, or if a retry would be too late to be of use.
///
/// The wait is the time that the servers need for the queued requests (`queue_drain_time`), but at most
/// `max_retry_after` of the settings. It leaves time for the response to the retry, which takes `median`.
pub(crate) fn retry_after(
    context: &Context,
    request: &Request,
    median: f64,
    queue_drain_time: f64,
) -> Option<Micros> {
    let idempotency = context.settings.classes[request.class()].idempotency;
    let may_reject = request.first_run().is_none() || retry::repeatable_anywhere(idempotency);
    let spare_time = request.useful_until() as f64 - request.effective_now(context.now()) as f64 - median;
    let wait = queue_drain_time.min(context.settings.limits.max_retry_after as f64);
    (may_reject && spare_time > 0.0).then(|| wait.min(spare_time) as Micros)
}
