//! One placement round: a transaction of terminations, bookings and preemptions,
//! decided on one revision of the replica.
//!
//! | module | task |
//! | --- | --- |
//! | `queue_pass` | placements for the jobs of the queue, in its order |
//! | `booking` | the placements as bookings of the transaction |

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
use crate::state::records::{Resources, Spec};
use crate::state::replica::Replica;
use crate::wire::{Precondition, Write};
use crate::workers::AttemptKey;

/// What one round has decided, as the transaction that records it.
pub(super) struct Batch {
    /// How many jobs it admits.
    pub(super) jobs: usize,
    /// The terminations that it records.
    pub(super) terminations: Vec<AttemptKey>,
    pub(super) preconditions: Vec<Precondition>,
    pub(super) writes: Vec<Write>,
}

/// Puts together one transaction: the terminations that are known, then as many jobs
/// as it can hold, in queue order. `None` when there is nothing to write.
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
    // Terminations go first, as they free resources; but where gangs or services had
    // their placements and did not fit into the last commit, they go before them.
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
    round.into_batch(admitted, terminations)
}

/// Without work of its own, a controller still goes through the queue now and
/// then to record why jobs wait: any controller may be asked.
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
    // A machine that receives no commands may stand in its zone shard's record for a
    // while: what is placed there ends at once, and would be placed there again.
    let owned_workers = controller.workers.owned();
    for (machine, worker) in owned_workers.iter() {
        if worker.unreachable_since.is_none() {
            continue;
        }
        if let Some(slot_index) = plan.slot_index_of(replica, machine) {
            plan.plan_slots[slot_index].free = Resources::default();
        }
    }
    plan
}

/// The placements found for a job that this controller books.
struct JobPlacement<'a> {
    id: &'a str,
    spec: Spec,
    tasks: Vec<TaskPlacement>,
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
    /// Zone shards that the transaction writes anyway.
    touched_shards: BTreeSet<String>,
    placements: Vec<JobPlacement<'a>>,
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
        let max_records = state.max_records(controller.settings.txn_ops());
        Round {
            controller,
            replica,
            state,
            now,
            own: own.iter().map(String::as_str).collect(),
            alive,
            plan: starting_plan(controller, replica),
            transaction: Transaction::new(replica, max_records)
                .with_accounts(BookingAccounts::new(replica, &controller.settings)),
            search: RoundSearch::default(),
            touched_shards: BTreeSet::new(),
            placements: Vec::new(),
            blocked: Vec::new(),
        }
    }

    /// How many records the transaction may have while terminations of arrays are
    /// added: some are left for what is to be placed.
    fn max_records_for_arrays(&self) -> usize {
        match self.own.is_empty() {
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

    fn into_batch(self, admitted: usize, terminations: Vec<AttemptKey>) -> Option<Batch> {
        if self.transaction.is_empty() {
            return None;
        }
        let (preconditions, writes) = self.transaction.into_commit();
        Some(Batch {
            jobs: admitted,
            terminations,
            preconditions,
            writes,
        })
    }
}
