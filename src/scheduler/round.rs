//! One placement round: decides on terminations, bookings and preemptions on one
//! revision of the replica, and builds the transaction that records them.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `queue_pass` | finds placements for the jobs of the queue, in its order |
//! | `booking` | adds the placements to the transaction as bookings |

mod booking;
mod queue_pass;

use std::collections::BTreeSet;

use tokio::time::Instant;

use super::ownership::jobs_to_place;
use super::plan::{Plan, TaskPlacement};
use super::preemption::{Preemption, PreemptionContext};
use super::round_search::RoundSearch;
use super::round_state::RoundState;
use super::terminations::record_terminations;
use super::transaction::Transaction;
use crate::accounting::BookingAccounts;
use crate::controller::Controller;
use crate::state::records::{Capacity, JobSpec};
use crate::state::replica::Replica;
use crate::wire::Commit;
use crate::workers::AttemptKey;

/// Commit of one round, and the decisions that it records.
pub(super) struct RoundCommit {
    /// Number of jobs that get bookings.
    pub(super) admitted_jobs: usize,
    /// Terminations that the transaction records.
    pub(super) terminations: Vec<AttemptKey>,
    pub(super) commit: Commit,
}

/// Builds the transaction of one round: the pending terminations, and bookings for as many
/// jobs as it has space for, in queue order. If no job gets a booking, running work is
/// preempted instead. Returns `None` if there is nothing to write.
pub(super) fn decide_round(controller: &Controller, state: &mut RoundState) -> Option<RoundCommit> {
    let now = Instant::now();
    let replica = controller.replica.borrow();
    let own_jobs = jobs_to_place(controller, state, &replica, now);
    if own_jobs.is_empty()
        && !is_queue_due(controller, state, now)
        && controller.workers.pending_terminations().is_empty()
    {
        return None;
    }
    state.queue_examined_at = Some(now);
    state.expire_exclusions(now);
    let alive = alive_controllers(controller, now);
    let mut round = Round::new(controller, &replica, state, &own_jobs, &alive, now);
    // Terminations are usually added to the transaction before bookings, as they free
    // resources. If gangs or services did not fit into the last commit although they had
    // placements, bookings are added first.
    let terminations_first = !round.state.gangs_deferred;
    let mut terminations = Vec::new();
    if terminations_first {
        terminations = round.record_terminations(round.max_records_for_arrays());
    }
    controller.placement.retain_waiting_jobs(&replica);
    round.place_queue();
    let admitted = round.book_placements(terminations_first);
    if !terminations_first {
        terminations = round.record_terminations(round.transaction.max_records);
    }
    if admitted == 0 {
        round.preempt();
    }
    round.into_round_commit(admitted, terminations)
}

/// Returns whether no round has examined the queue within the last heartbeat interval. A
/// controller without jobs of its own still examines the queue at that interval to record
/// why jobs wait, as users may ask any controller for the reason.
fn is_queue_due(controller: &Controller, state: &RoundState, now: Instant) -> bool {
    state.queue_examined_at.is_none_or(|at| {
        now.saturating_duration_since(at) > controller.settings.heartbeat_interval()
    })
}

/// Returns the names of the controllers that are alive.
fn alive_controllers(controller: &Controller, now: Instant) -> Vec<String> {
    let peers = controller.peers.borrow();
    let alive = peers.alive_controllers(controller, now);
    alive.into_iter().map(str::to_string).collect()
}

/// Returns the plan that a round starts from.
fn starting_plan(controller: &Controller, replica: &Replica) -> Plan {
    let mut plan = Plan::from_replica(replica);
    // A machine whose worker is unreachable receives no commands, but can still have free
    // resources in the zone shard's record. Tasks placed there would end immediately and be
    // placed there again, so the plan counts nothing on the machine as free.
    let owned_workers = controller.workers.owned();
    for (machine, worker) in owned_workers.iter() {
        if worker.unreachable_since.is_none() {
            continue;
        }
        if let Some(slot_index) = plan.slot_index_of(replica, machine) {
            plan.plan_slots[slot_index].free = Capacity::default();
        }
    }
    plan
}

/// Placements that the round has found for one of the controller's own jobs and books after
/// the queue has been processed.
struct JobPlacement<'a> {
    id: &'a str,
    spec: JobSpec,
    tasks: Vec<TaskPlacement>,
}

/// State of a round in progress.
struct Round<'a> {
    controller: &'a Controller,
    replica: &'a Replica,
    state: &'a mut RoundState,
    now: Instant,
    /// Ids of the controller's own jobs, which are those that this controller places.
    own_jobs: BTreeSet<&'a str>,
    /// Names of the controllers that are alive.
    alive: &'a [String],
    plan: Plan,
    /// The plan without the reservation for a starving gang; `None` while there is none.
    unreserved_plan: Option<Plan>,
    transaction: Transaction<'a>,
    search: RoundSearch,
    /// Ids of the zone shards that the transaction writes already, or will write for the
    /// placements found so far.
    touched_shards: BTreeSet<String>,
    placements: Vec<JobPlacement<'a>>,
    /// Ids of own jobs that running work may be preempted for.
    blocked: Vec<String>,
}

impl<'a> Round<'a> {
    fn new(
        controller: &'a Controller,
        replica: &'a Replica,
        state: &'a mut RoundState,
        own_jobs: &'a [String],
        alive: &'a [String],
        now: Instant,
    ) -> Self {
        let max_records = state.max_records(controller.settings.max_writes_per_commit());
        Round {
            controller,
            replica,
            state,
            now,
            own_jobs: own_jobs.iter().map(String::as_str).collect(),
            alive,
            plan: starting_plan(controller, replica),
            unreserved_plan: None,
            transaction: Transaction::new(replica, max_records)
                .with_accounts(BookingAccounts::new(replica, &controller.settings)),
            search: RoundSearch::default(),
            touched_shards: BTreeSet::new(),
            placements: Vec::new(),
            blocked: Vec::new(),
        }
    }

    /// Returns the maximum number of records in the transaction while terminations of
    /// arrays are added. If this controller has jobs to place, 3/8 of the records are left
    /// for them.
    fn max_records_for_arrays(&self) -> usize {
        match self.own_jobs.is_empty() {
            true => self.transaction.max_records,
            false => self.transaction.max_records * 5 / 8,
        }
    }

    fn record_terminations(&mut self, max_records_for_arrays: usize) -> Vec<AttemptKey> {
        record_terminations(
            self.controller,
            self.replica,
            self.state,
            &mut self.transaction,
            &mut self.plan,
            max_records_for_arrays,
        )
    }

    /// Preempts running work for the blocked jobs.
    fn preempt(&mut self) {
        self.state
            .expire_preemption_attempts(&self.controller.settings, self.now);
        if self.blocked.is_empty() {
            return;
        }
        let mut preemption = Preemption::new(PreemptionContext {
            controller: self.controller,
            replica: self.replica,
            state: self.state,
            transaction: &mut self.transaction,
            search: &mut self.search,
            plan: &self.plan,
            now: self.now,
        });
        preemption.run(&self.blocked);
    }

    fn into_round_commit(
        self,
        admitted: usize,
        terminations: Vec<AttemptKey>,
    ) -> Option<RoundCommit> {
        if self.transaction.is_empty() {
            return None;
        }
        Some(RoundCommit {
            admitted_jobs: admitted,
            terminations,
            commit: self.transaction.into_commit(),
        })
    }
}
