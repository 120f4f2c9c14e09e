//! Releases of bookings whose task has surely ended.

use std::collections::BTreeSet;

use super::Transaction;
use super::size::TouchedRecords;
use crate::state::keys::shard_id;
use crate::state::records::{MachineLifecycle, Spec};
use crate::workers::{AttemptKey, TerminationEvidence};

/// What became of a termination that was to be recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// It is in the transaction.
    Recorded,
    /// The commit is full: it goes into the next.
    TransactionFull,
    /// Nothing is booked any more, or what proved it no longer holds.
    Stale,
}

impl Transaction<'_> {
    /// Releases a booking whose task is surely gone. `controller` and `incarnation`
    /// are those of the process that has the evidence.
    #[must_use]
    pub fn release(
        &mut self,
        key: &AttemptKey,
        evidence: TerminationEvidence,
        controller: &str,
        incarnation: u64,
    ) -> ReleaseOutcome {
        let machine_shard = self.evidence_shard(key, evidence, controller, incarnation);
        let (Some(machine_shard), Some(spec)) = (machine_shard, self.booked_spec(key)) else {
            return ReleaseOutcome::Stale;
        };
        if !self.can_release(key, &machine_shard) {
            return ReleaseOutcome::TransactionFull;
        }
        // Neither the team's record nor the zone shard's is written: what has ended is
        // known to all from the job's, and the next booking there counts it.
        self.release_from_share(&key.job, &spec);
        if let Some(job) = self.edit_job(&key.job) {
            job.release(&key.machine, key.attempt, key.task, evidence.outcome);
        }
        let machine = self.released_by_machine.entry(key.machine.clone());
        *machine.or_default() += spec.need;
        *self.released_by_team.entry(spec.team).or_default() += spec.need;
        self.guarded_machine_shards.insert(machine_shard);
        ReleaseOutcome::Recorded
    }

    /// The machine shard whose record the evidence depends on, if it still holds.
    ///
    /// Safety 3: what proved the termination holds only while the machine is still ours
    /// by the claim that it was proven under, or once it is gone for good; the guard
    /// on its machine shard's record makes the commit depend on it.
    fn evidence_shard(
        &self,
        key: &AttemptKey,
        evidence: TerminationEvidence,
        controller: &str,
        incarnation: u64,
    ) -> Option<String> {
        let machine = &self.replica.machines.get(&key.machine)?.value;
        let same_claim = machine.owner == controller
            && machine.incarnation == incarnation
            && machine.fencing_token == evidence.fencing_token;
        let proven = machine.lifecycle == MachineLifecycle::Gone || same_claim;
        proven.then(|| shard_id(&machine.zone, &machine.shard))
    }

    /// The spec of the job that the task belongs to, if the task is still booked.
    fn booked_spec(&self, key: &AttemptKey) -> Option<Spec> {
        let job = self.job(&key.job)?;
        job.find(&key.machine, key.attempt, key.task)?;
        job.spec.clone()
    }

    /// Whether the commit can hold the job's record and the guard on the machine shard.
    fn can_release(&self, key: &AttemptKey, machine_shard: &str) -> bool {
        let job_alone = TouchedRecords {
            job: &key.job,
            team: None,
            zone_shards: &BTreeSet::new(),
            machines: 0,
        };
        self.can_guard(machine_shard) && self.has_capacity_for(&job_alone)
    }

    /// Gives a task's resources back to the share that its booking counts against.
    fn release_from_share(&mut self, id: &str, spec: &Spec) {
        let share = match (&self.accounts, self.job(id)) {
            (Some(accounts), Some(job)) => accounts.controller_of_bookings(&spec.team, job),
            _ => return,
        };
        if let Some(accounts) = &mut self.accounts {
            accounts.release(&spec.team, &share, spec.need);
        }
    }
}
