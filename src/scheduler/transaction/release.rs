//! Releases of bookings whose tasks are proven to have ended.

use std::collections::BTreeSet;

use super::Transaction;
use super::size::TouchedRecords;
use crate::state::keys::shard_id;
use crate::state::records::{JobSpec, MachineLifecycle};
use crate::workers::{AttemptKey, TerminationEvidence};

/// Outcome of recording a termination in the transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// The termination was added to the transaction.
    Recorded,
    /// The commit has no space for the termination, which is left for the next commit.
    TransactionFull,
    /// The task is no longer booked, or the evidence is no longer valid. Nothing was
    /// changed.
    Stale,
}

/// Period for which the evidence of a termination is valid.
enum EvidenceValidity {
    /// As long as the record of the machine shard with this id does not change.
    WhileUnchanged(String),
    /// The machine is gone for good, and its record has been deleted.
    Forever,
}

impl Transaction<'_> {
    /// Releases a booking whose task is proven to have ended. `controller` and
    /// `incarnation` identify the process that has the evidence.
    #[must_use]
    pub fn release(
        &mut self,
        key: &AttemptKey,
        evidence: TerminationEvidence,
        controller: &str,
        incarnation: u64,
    ) -> ReleaseOutcome {
        let validity = self.evidence_validity(key, evidence, controller, incarnation);
        let (Some(validity), Some(spec)) = (validity, self.booked_spec(key)) else {
            return ReleaseOutcome::Stale;
        };
        if !self.can_release(key, &validity) {
            return ReleaseOutcome::TransactionFull;
        }
        // The records of the team and of the zone shard are not written. Every controller
        // sees from the job's record that the task has ended, and the next booking that
        // writes these records takes the released resources into account.
        self.release_from_share(&key.job, &spec);
        if let Some(job) = self.edit_job(&key.job) {
            job.release(&key.machine, key.attempt, key.task, evidence.outcome);
        }
        let machine = self.released_by_machine.entry(key.machine.clone());
        *machine.or_default() += spec.need;
        *self.released_by_team.entry(spec.team).or_default() += spec.need;
        if let EvidenceValidity::WhileUnchanged(machine_shard) = validity {
            self.guarded_machine_shards.insert(machine_shard);
        }
        ReleaseOutcome::Recorded
    }

    /// Returns for how long the evidence is valid, or `None` if it is no longer valid.
    ///
    /// Safety 3: the evidence is valid only while the machine is still owned by the claim
    /// under which the termination was proven, or once the machine is gone for good. The
    /// commit guards the record of the machine shard, and so fails if the claim has
    /// changed.
    fn evidence_validity(
        &self,
        key: &AttemptKey,
        evidence: TerminationEvidence,
        controller: &str,
        incarnation: u64,
    ) -> Option<EvidenceValidity> {
        let Some(entry) = self.replica.machines.get(&key.machine) else {
            let booked_at = self.replica.job_version(&key.job);
            let is_gone = self.replica.is_gone_without_record(&key.machine, booked_at);
            return is_gone.then_some(EvidenceValidity::Forever);
        };
        let machine = &entry.value;
        let same_claim = machine.owner == controller
            && machine.incarnation == incarnation
            && machine.fencing_token == evidence.fencing_token;
        let proven = machine.lifecycle == MachineLifecycle::Gone || same_claim;
        let machine_shard = || shard_id(&machine.zone, &machine.shard);
        proven.then(|| EvidenceValidity::WhileUnchanged(machine_shard()))
    }

    /// Returns the spec of the task's job if the task is still booked.
    fn booked_spec(&self, key: &AttemptKey) -> Option<JobSpec> {
        let job = self.job(&key.job)?;
        job.find_run(&key.machine, key.attempt, key.task)?;
        job.spec.clone()
    }

    /// Returns whether the commit has capacity for the job's record and for the guard, if there
    /// is one.
    fn can_release(&self, key: &AttemptKey, validity: &EvidenceValidity) -> bool {
        let job_alone = TouchedRecords {
            job: &key.job,
            team: None,
            zone_shards: &BTreeSet::new(),
            machines: 0,
        };
        let can_guard = match validity {
            EvidenceValidity::WhileUnchanged(machine_shard) => self.can_guard(machine_shard),
            EvidenceValidity::Forever => true,
        };
        can_guard && self.has_capacity_for(&job_alone)
    }

    /// Returns a task's resources to the share that its booking counts against.
    fn release_from_share(&mut self, id: &str, spec: &JobSpec) {
        let share = match (&self.accounts, self.job(id)) {
            (Some(accounts), Some(job)) => accounts.controller_of_bookings(&spec.team, job),
            _ => return,
        };
        if let Some(accounts) = &mut self.accounts {
            accounts.release(&spec.team, &share, spec.need);
        }
    }
}
