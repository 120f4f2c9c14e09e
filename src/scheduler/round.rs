//! One placement round: a transaction of recorded ends, bookings and
//! preemptions, decided on one revision of the replica.

use std::collections::BTreeSet;

use tokio::time::Instant;

use super::candidates::PlacementHints;
use super::ownership::{jobs_to_place, preferred_placer};
use super::plan::{Plan, TaskPlacement};
use super::preemption::{Preemption, forget_old_attempts};
use super::queue::{is_starving, queue};
use super::round_search::RoundSearch;
use super::round_state::RoundState;
use super::terminations::record_ends;
use super::transaction::Transaction;
use super::wait_states::WaitReason;
use crate::accounting::BookingAccounts;
use crate::controller::Controller;
use crate::state::records::{Job, Resources, Spec};
use crate::state::replica::Replica;
use crate::wire::{Kind, Precondition, Write};
use crate::workers::AttemptKey;

/// What one round has decided, as the transaction that records it.
pub(super) struct Batch {
    /// How many jobs it admits.
    pub(super) jobs: usize,
    /// The ends that it records.
    pub(super) ends: Vec<AttemptKey>,
    pub(super) guards: Vec<Precondition>,
    pub(super) writes: Vec<Write>,
}

/// Puts together one transaction: the ends that are known, then as many jobs as
/// it can hold, in queue order. `None` when there is nothing to write.
pub(super) fn decide(controller: &Controller, state: &mut RoundState) -> Option<Batch> {
    let now = Instant::now();
    let replica = controller.replica.borrow();
    let own = jobs_to_place(controller, state, &replica, now);
    if own.is_empty()
        && !is_queue_due(controller, state, now)
        && controller.workers.pending_terminations().is_empty()
    {
        return None;
    }
    state.queue_examined = Some(now);
    state.expire_exclusions(now);
    let alive = controllers_alive(controller, now);
    let mut round = Round::new(controller, &replica, state, &own, &alive, now);
    // Ends go first, as they free resources; but where gangs or services had
    // their places and the last commit no room for them, they go before the ends.
    let ends_first = !round.state.gangs_deferred;
    let mut ends = Vec::new();
    if ends_first {
        ends = round.record_ends(round.limit_for_array_ends());
    }
    round.forget_settled_reasons();
    round.place_queue();
    let admitted = round.book_placements(ends_first);
    if !ends_first {
        ends = round.record_ends(round.transaction.max_records);
    }
    if admitted == 0 {
        round.preempt();
    }
    round.into_batch(admitted, ends)
}

/// Without work of its own, a controller still goes through the queue now and
/// then to note why jobs wait: any controller may be asked.
fn is_queue_due(controller: &Controller, state: &RoundState, now: Instant) -> bool {
    state.queue_examined.is_none_or(|at| {
        now.saturating_duration_since(at) > controller.settings.heartbeat_interval()
    })
}

/// The names of the controllers that are up.
fn controllers_alive(controller: &Controller, now: Instant) -> Vec<String> {
    let peers = controller.peers.borrow();
    let alive = peers.alive(controller, now);
    alive.into_iter().map(str::to_string).collect()
}

/// The free resources that a round starts from.
fn starting_plan(controller: &Controller, replica: &Replica) -> Plan {
    let mut plan = Plan::from_replica(replica);
    // A machine that receives no orders may stand in its zone shard's record for a
    // while: what is placed there ends at once, and would be placed there again.
    let owned_workers = controller.workers.owned();
    for (machine, _) in owned_workers
        .iter()
        .filter(|(_, h)| h.unreachable_since.is_some())
    {
        if let Some(at) = plan.slot_index_of(replica, machine) {
            plan.plan_slots[at].free = Resources::default();
        }
    }
    plan
}

/// The places found for a job that this controller books.
struct Placement<'a> {
    id: &'a str,
    spec: Spec,
    places: Vec<TaskPlacement>,
}

/// What a round decides about one job of the queue.
enum Decision {
    /// The job's tasks take these places.
    Place(Spec, Vec<TaskPlacement>),
    /// The job waits.
    WaitReason(Waiting),
}

/// How a job waits for the rest of the round.
struct Waiting {
    spec: Spec,
    why: WaitReason,
    /// It has waited beyond the bound: resources are reserved for it.
    starving: bool,
    /// Other work may be preempted for it.
    blocked: bool,
}

/// One round in the making.
struct Round<'a> {
    controller: &'a Controller,
    replica: &'a Replica,
    state: &'a mut RoundState,
    now: Instant,
    /// The jobs that this controller places.
    own: BTreeSet<&'a str>,
    /// The controllers that are up.
    alive: &'a [String],
    plan: Plan,
    transaction: Transaction<'a>,
    search: RoundSearch,
    /// Parts that the transaction writes anyway.
    touched_shards: BTreeSet<String>,
    placements: Vec<Placement<'a>>,
    /// Own jobs that other work may be preempted for.
    blocked: Vec<String>,
}

impl<'a> Round<'a> {
    fn new(
        controller: &'a Controller,
        replica: &'a Replica,
        state: &'a mut RoundState,
        own: &'a [String],
        alive: &'a [String],
        now: Instant,
    ) -> Self {
        let records = state.commit_size(controller.settings.txn_ops());
        Round {
            controller,
            replica,
            state,
            now,
            own: own.iter().map(String::as_str).collect(),
            alive,
            plan: starting_plan(controller, replica),
            transaction: Transaction::new(replica, records)
                .with_accounts(BookingAccounts::new(replica, &controller.settings)),
            search: RoundSearch::default(),
            touched_shards: BTreeSet::new(),
            placements: Vec::new(),
            blocked: Vec::new(),
        }
    }

    /// How many records the transaction may have while ends of arrays are added:
    /// some are left for what is to be placed.
    fn limit_for_array_ends(&self) -> usize {
        match self.own.is_empty() {
            true => self.transaction.max_records,
            false => self.transaction.max_records * 5 / 8,
        }
    }

    fn record_ends(&mut self, limit_for_arrays: usize) -> Vec<AttemptKey> {
        record_ends(
            self.controller,
            self.replica,
            self.state,
            &mut self.transaction,
            &mut self.plan,
            limit_for_arrays,
        )
    }

    /// Drops the reasons of jobs that wait no longer.
    fn forget_settled_reasons(&self) {
        self.controller.placement.retain_waiting_jobs(self.replica);
    }

    /// Gives places to the jobs that wait, in queue order. All of them are in one
    /// queue, whoever places them: a job that another controller places first
    /// keeps its resources in this plan, too.
    fn place_queue(&mut self) {
        self.touched_shards = self.transaction.zone_shards();
        let settings = &self.controller.settings;
        let queue = {
            let first_seen = self.controller.placement.first_seen();
            queue(self.replica, &self.plan, settings, &first_seen, self.now)
        };
        for id in queue {
            let own = self.own.contains(id);
            match self.decide_job(id, own) {
                Some(Decision::Place(spec, places)) => self.reserve(id, spec, places, own),
                Some(Decision::WaitReason(waiting)) => self.leave_waiting(id, &waiting),
                None => {}
            }
        }
    }

    /// Decides whether a job is placed or waits; `None` if it is not considered
    /// in this round.
    fn decide_job(&mut self, id: &str, own: bool) -> Option<Decision> {
        let job = self.transaction.job(id).filter(|job| job.waiting() > 0)?;
        // A job that failed in this very transaction waits for the next.
        let errors_before = self.replica.jobs.get(id).map_or(0, |e| e.value.errors);
        if job.errors > errors_before
            || self
                .state
                .failure_wait(self.controller, id, job, self.now)
                .is_some()
        {
            return None;
        }
        let spec = job.spec.clone()?;
        let hints = self.hints(id, &spec, own);
        let found = self
            .search
            .place(self.controller, &hints, &self.plan, id, job, &spec);
        let decision = match found {
            Ok(mut places) => {
                // One task shows whether the job still fails; of a gang it takes
                // all, and a service whose first replica has run for a while is
                // in order.
                if job.is_suspected_faulty() && !spec.is_gang() && job.booked() == 0 {
                    places.truncate(1);
                }
                Decision::Place(spec, places)
            }
            // It preempts nobody and has nothing reserved for it.
            Err(_) if job.is_suspected_faulty() => Decision::WaitReason(Waiting {
                spec,
                why: WaitReason::Fails,
                starving: false,
                blocked: false,
            }),
            Err(why) => {
                let no_room = matches!(
                    why,
                    WaitReason::NoRoom | WaitReason::NoZone | WaitReason::Spread
                );
                Decision::WaitReason(Waiting {
                    starving: no_room && self.is_starving(id, job, &spec),
                    blocked: own && no_room,
                    spec,
                    why,
                })
            }
        };
        Some(decision)
    }

    /// The hints for a job: those of the controller that places it.
    fn hints(&self, id: &str, spec: &Spec, own: bool) -> PlacementHints<'a> {
        let home = match own {
            true => self.controller.name(),
            false => {
                let alive = self.alive.iter().map(String::as_str);
                preferred_placer(&self.controller.settings, id, &spec.team, alive).unwrap_or("")
            }
        };
        let mut hints = PlacementHints::new(self.replica, home);
        if own {
            hints.touched_shards = self.touched_shards.clone();
        }
        hints.retry_failed_machines =
            self.state.unchanged_for(id, self.now) > self.controller.settings.worker_lease();
        hints
    }

    fn is_starving(&self, id: &str, job: &Job, spec: &Spec) -> bool {
        let age = self.controller.placement.age_s(id, self.now);
        is_starving(job, spec, &self.controller.settings, age)
    }

    /// Takes a job's places out of the plan; those of an own job are booked later.
    fn reserve(&mut self, id: &'a str, spec: Spec, places: Vec<TaskPlacement>, own: bool) {
        for place in &places {
            self.plan.reserve(place, &spec.team, spec.need);
        }
        if own {
            let zone_shards = places.iter().map(|place| place.shard.to_string());
            self.touched_shards.extend(zone_shards);
            self.placements.push(Placement { id, spec, places });
        }
    }

    /// Notes why a job waits, and what is done about it.
    fn leave_waiting(&mut self, id: &str, waiting: &Waiting) {
        self.controller
            .placement
            .record_wait_reason(id, waiting.why, self.now);
        if waiting.starving {
            self.search
                .reserve_for_first_gang(self.replica, &mut self.plan, &waiting.spec);
        }
        if waiting.blocked {
            self.blocked.push(id.to_string());
        }
    }

    /// Books the placements, and tells how many jobs got any of theirs. Each has
    /// its resources by the queue's order; but into the transaction go first
    /// those whose tasks stay or start together: arrays come back with every end,
    /// and would fill one after another while whole machines stand empty. Those
    /// of a pipeline are few, and the rest of it follows.
    fn book_placements(&mut self, ends_first: bool) -> usize {
        let mut placements = std::mem::take(&mut self.placements);
        placements.sort_by_key(|p| {
            p.spec.kind == Kind::Array
                && p.spec.dependencies.is_empty()
                && !self.replica.has_dependents(p.id)
        });
        self.state.gangs_deferred = false;
        let mut admitted = 0;
        for placement in &placements {
            let Placement { id, spec, places } = placement;
            let booked = self.transaction.book(id, spec, places);
            if booked < places.len() {
                // The rest go into the next commit, every other time before ends.
                self.state.gangs_deferred |= ends_first && spec.kind != Kind::Array;
                self.controller
                    .placement
                    .record_wait_reason(id, WaitReason::Queue, self.now);
            }
            if booked > 0 {
                admitted += 1;
                self.report_booking(placement, booked);
            }
        }
        admitted
    }

    /// Logs a booking, and notes why the rest of the job waits.
    fn report_booking(&mut self, placement: &Placement, booked: usize) {
        let Placement { id, spec, places } = placement;
        let class = self.plan.plan_slots[places[0].slot_index].class;
        tracing::debug!(
            job = id,
            class = spec.class,
            tasks = booked,
            machine = &*places[0].machine,
            kind = self.replica.classes[class as usize].kind,
            "places"
        );
        let job = self.transaction.job(id);
        if job.is_none_or(|job| job.waiting() == 0) {
            self.controller.placement.clear_wait_reason(id);
        } else if booked == places.len() && job.is_some_and(|job| !job.is_suspected_faulty()) {
            self.blocked.push((*id).to_string());
            self.controller
                .placement
                .record_wait_reason(id, WaitReason::NoRoom, self.now);
        }
    }

    /// Stops running work for the blocked jobs.
    fn preempt(&mut self) {
        forget_old_attempts(self.controller, self.state, self.now);
        if self.blocked.is_empty() {
            return;
        }
        let mut preemption = Preemption::new(
            self.controller,
            self.replica,
            self.state,
            &mut self.transaction,
            &mut self.search,
            &self.plan,
            self.now,
        );
        preemption.run(&self.plan, &self.blocked);
    }

    fn into_batch(self, admitted: usize, ends: Vec<AttemptKey>) -> Option<Batch> {
        if self.transaction.is_empty() {
            return None;
        }
        let (guards, writes) = self.transaction.into_commit();
        Some(Batch {
            jobs: admitted,
            ends,
            guards,
            writes,
        })
    }
}
