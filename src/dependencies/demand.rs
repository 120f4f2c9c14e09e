//! Priority and deadline that jobs inherit from their dependents. A job has the highest
//! priority and the tightest deadline of its direct and indirect dependents; each deadline
//! is reduced by the estimated work in between.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::state::records::JobSpec;
use crate::state::replica::Replica;
use crate::wire::Priority;

/// The priority and deadline that the direct and indirect dependents of a job demand of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct DependentDemand {
    priority: Priority,
    /// The latest time at which the job can be done for all its dependents to meet their
    /// deadlines; `None` if no dependent has a deadline.
    deadline: Option<Instant>,
}

impl DependentDemand {
    /// Combines two demands: the higher priority and the earlier deadline.
    fn merge(self, other: Self) -> Self {
        DependentDemand {
            priority: self.priority.max(other.priority),
            deadline: earliest(self.deadline, other.deadline),
        }
    }
}

/// The urgency of a job, including the demand of its dependents.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EffectiveUrgency {
    /// The highest priority of the job and its dependents.
    pub priority: Priority,
    /// Time left until the job's own deadline or the tightest one of its dependents, less
    /// the estimated work in between, in seconds; negative after the deadline.
    pub time_left_s: Option<f64>,
    /// True if a dependent has a deadline, whatever the objectives of the job's own class
    /// are.
    pub dependents_have_deadline: bool,
}

impl EffectiveUrgency {
    /// Returns the urgency of a job without dependents that was submitted just now.
    pub fn without_dependents(spec: &JobSpec) -> Self {
        EffectiveUrgency {
            priority: spec.priority,
            time_left_s: spec.deadline_s,
            dependents_have_deadline: false,
        }
    }
}

/// Returns the time from `now` until `at` in seconds; negative if `at` has passed.
fn seconds_until(at: Instant, now: Instant) -> f64 {
    let ahead = at.saturating_duration_since(now).as_secs_f64();
    ahead - now.saturating_duration_since(at).as_secs_f64()
}

fn earliest(a: Option<Instant>, b: Option<Instant>) -> Option<Instant> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

impl Replica {
    /// Returns the highest priority of a job and its open dependents.
    pub fn effective_priority(&self, id: &str, spec: &JobSpec) -> Priority {
        let demanded = self.dependency_graph.demand.get(id).map(|d| d.priority);
        demanded.map_or(spec.priority, |priority| priority.max(spec.priority))
    }

    /// Returns the urgency of a job at this moment, including the demand of its dependents.
    pub fn effective_urgency(&self, id: &str, spec: &JobSpec, now: Instant) -> EffectiveUrgency {
        let demanded = self.demanded_deadline(id);
        let own = match spec.deadline_s {
            // A job that this controller has not seen, such as a job that is only planned,
            // counts as submitted just now.
            Some(deadline_s) if !self.dependency_graph.first_seen.contains_key(id) => {
                Some(deadline_s)
            }
            Some(_) => self.own_deadline(id, spec).map(|at| seconds_until(at, now)),
            None => None,
        };
        let left = [own, demanded.map(|at| seconds_until(at, now))];
        EffectiveUrgency {
            priority: self.effective_priority(id, spec),
            time_left_s: left.into_iter().flatten().reduce(f64::min),
            dependents_have_deadline: demanded.is_some(),
        }
    }

    /// Returns a job's own deadline, which counts from its submission.
    fn own_deadline(&self, id: &str, spec: &JobSpec) -> Option<Instant> {
        let first_seen = self.dependency_graph.first_seen.get(id)?;
        let span = Duration::try_from_secs_f64(spec.deadline_s?).ok()?;
        first_seen.checked_add(span)
    }

    /// Returns the time by which a job must be done for its dependents.
    fn demanded_deadline(&self, id: &str) -> Option<Instant> {
        let demand = self.dependency_graph.demand.get(id)?;
        demand.deadline
    }

    /// Recomputes the demand on these jobs. Where the demand on a job changes, continues
    /// with the job's pending dependencies.
    pub(super) fn propagate_demand(&mut self, ids: Vec<String>) {
        let mut queue = VecDeque::from(ids);
        while let Some(id) = queue.pop_front() {
            let after = self.demand_of_dependents(&id);
            let demand = &mut self.dependency_graph.demand;
            let before = match after {
                Some(demanded) => demand.insert(id.clone(), demanded),
                None => demand.remove(&id),
            };
            if before == after {
                continue;
            }
            for dependency in self.pending_dependencies(&id) {
                if !queue.contains(dependency) {
                    queue.push_back(dependency.clone());
                }
            }
        }
    }

    /// Returns the combined demand of a job's direct dependents on it.
    fn demand_of_dependents(&self, id: &str) -> Option<DependentDemand> {
        let dependents = self.dependency_graph.dependents.get(id)?;
        let demands = dependents
            .iter()
            .filter_map(|id| self.demand_on_dependencies(id));
        demands.reduce(DependentDemand::merge)
    }

    /// Returns the demand of a blocked job on its dependencies.
    fn demand_on_dependencies(&self, id: &str) -> Option<DependentDemand> {
        let spec = self.jobs.get(id)?.value.spec.as_ref()?;
        let deadline = earliest(self.own_deadline(id, spec), self.demanded_deadline(id));
        // The dependencies must be done early enough for the job's own work. Its tasks run
        // in parallel, so the work takes as long as one task.
        let work = Duration::try_from_secs_f64(spec.estimate_s).unwrap_or_default();
        Some(DependentDemand {
            priority: self.effective_priority(id, spec),
            deadline: deadline.map(|at| at.checked_sub(work).unwrap_or(at)),
        })
    }
}
