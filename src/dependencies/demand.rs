//! What blocked jobs demand of their dependencies: a job has the highest priority and
//! the tightest deadline of its dependents, direct or not, less the work between.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::state::records::Spec;
use crate::state::replica::Replica;
use crate::wire::Priority;

/// What the dependents of a job, direct or not, demand of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct DependentDemand {
    priority: Priority,
    /// By when it has to be done, so that all of them can be in time.
    deadline: Option<Instant>,
}

impl DependentDemand {
    /// The demand of both.
    fn merge(self, other: Self) -> Self {
        DependentDemand {
            priority: self.priority.max(other.priority),
            deadline: earliest(self.deadline, other.deadline),
        }
    }
}

/// How urgent a job is, with its dependents counted in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EffectiveUrgency {
    /// The highest priority of the job and its dependents.
    pub priority: Priority,
    /// The seconds left until its deadline, or until the tightest of its dependents',
    /// less the work between.
    pub time_left_s: Option<f64>,
    /// A dependent asks for a deadline, whatever the objectives of the job's own
    /// class are.
    pub dependents_have_deadline: bool,
}

impl EffectiveUrgency {
    /// That of a job without dependents, submitted just now.
    pub fn without_dependents(spec: &Spec) -> Self {
        EffectiveUrgency {
            priority: spec.priority,
            time_left_s: spec.deadline_s,
            dependents_have_deadline: false,
        }
    }
}

/// The number of seconds from `now` until `at`; negative when it is over.
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
    /// The highest priority of a job and its open dependents.
    pub fn effective_priority(&self, id: &str, spec: &Spec) -> Priority {
        let demanded = self.dependency_graph.demand.get(id).map(|d| d.priority);
        demanded.map_or(spec.priority, |priority| priority.max(spec.priority))
    }

    /// How urgent a job is at this moment, with its dependents counted in.
    pub fn effective_urgency(&self, id: &str, spec: &Spec, now: Instant) -> EffectiveUrgency {
        let demanded = self.demanded_deadline(id);
        let own = match spec.deadline_s {
            // Known by its spec alone, as in a plan: submitted just now.
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

    /// A job's own deadline, which counts from its submission.
    fn own_deadline(&self, id: &str, spec: &Spec) -> Option<Instant> {
        let first_seen = self.dependency_graph.first_seen.get(id)?;
        let span = Duration::try_from_secs_f64(spec.deadline_s?).ok()?;
        first_seen.checked_add(span)
    }

    /// By when a job has to be done for its dependents.
    fn demanded_deadline(&self, id: &str) -> Option<Instant> {
        let demand = self.dependency_graph.demand.get(id)?;
        demand.deadline
    }

    /// Works out what is demanded of these jobs, and of their pending dependencies as
    /// far as that changes anything.
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

    /// What the direct dependents of a job demand of it together.
    fn demand_of_dependents(&self, id: &str) -> Option<DependentDemand> {
        let dependents = self.dependency_graph.dependents.get(id)?;
        let demands = dependents
            .iter()
            .filter_map(|id| self.demand_on_dependencies(id));
        demands.reduce(DependentDemand::merge)
    }

    /// What a blocked job demands of its dependencies.
    fn demand_on_dependencies(&self, id: &str) -> Option<DependentDemand> {
        let spec = self.jobs.get(id)?.value.spec.as_ref()?;
        let deadline = earliest(self.own_deadline(id, spec), self.demanded_deadline(id));
        // Its own work comes between; tasks of one job run side by side.
        let work = Duration::try_from_secs_f64(spec.estimate_s).unwrap_or_default();
        Some(DependentDemand {
            priority: self.effective_priority(id, spec),
            deadline: deadline.map(|at| at.checked_sub(work).unwrap_or(at)),
        })
    }
}
