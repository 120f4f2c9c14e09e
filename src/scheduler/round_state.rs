//! State that a controller carries over from one placement round to the next.

use std::time::Duration;

use foldhash::HashMap;
use tokio::time::Instant;

use super::wait_states::WaitReason;
use crate::settings::Settings;
use crate::state::records::Job;
use crate::state::replica::Replica;
use crate::wire::JobKind;
use crate::workers::AttemptKey;

/// Maximum number of records in a commit after a larger commit was refused.
const SMALL_COMMIT_RECORDS: usize = 4;

/// Largest exponent of the retry delay, which doubles with each failure.
const MAX_RETRY_DELAY_EXPONENT: u32 = 5;

/// Time that a preemption has to free its resources before another preemption may be made
/// for the same job, as a multiple of the time that a gang waits for its peers.
const PREEMPTION_TIMEOUT_GANG_WAITS: u32 = 2;

/// Returns the delay before a job with this number of errors is retried.
pub fn retry_delay(errors: u32, base: Duration) -> Duration {
    match errors {
        0 => Duration::ZERO,
        errors => base * 2u32.pow((errors - 1).min(MAX_RETRY_DELAY_EXPONENT)),
    }
}

/// Version of a job's record that this controller last observed, and the time at which it
/// first observed that version.
struct ObservedVersion {
    version: u64,
    since: Instant,
}

/// Retry back-off after a job's latest failure.
struct RetryBackoff {
    errors: u32,
    until: Instant,
}

/// State that placement rounds carry over. None of it has to survive a restart of the
/// controller.
#[derive(Default)]
pub(super) struct RoundState {
    observed: HashMap<String, ObservedVersion>,
    backoffs: HashMap<String, RetryBackoff>,
    /// Time of the latest preemption for each job, by job id. Removed after the preemption
    /// timeout; until then, the resources of the stopped tasks may not be free yet.
    pub(super) preempted_for: HashMap<String, Instant>,
    /// Times at which a preemption search for a job found no candidates, by job id. The
    /// search is not repeated in every round, as it examines all running work, which
    /// changes little between rounds.
    pub(super) without_candidates: HashMap<String, Instant>,
    /// Time at which a round last examined the whole queue.
    pub(super) queue_examined_at: Option<Instant>,
    /// First termination of an array task that did not fit into the last commit.
    pub(super) next_termination: Option<AttemptKey>,
    /// Number of records that the last commit wrote.
    pub(super) records_written: usize,
    /// True if the last commit was refused as too large, so that the next one writes few
    /// records.
    pub(super) small_commits: bool,
    /// True if gangs or services had placements that did not fit into the last commit.
    pub(super) gangs_deferred: bool,
    /// Jobs whose records the state service refused as too large, with the end of their
    /// exclusion from commits. Excluding them lets the other jobs be committed.
    excluded: HashMap<String, Instant>,
}

impl RoundState {
    /// Returns the time since this controller first observed the current version of a
    /// job's record.
    pub(super) fn unchanged_for(&self, id: &str, now: Instant) -> Duration {
        let observed = self.observed.get(id);
        observed.map_or(Duration::ZERO, |observed| {
            now.saturating_duration_since(observed.since)
        })
    }

    /// Removes the state of jobs that are no longer open.
    pub(super) fn retain_open_jobs(&mut self, replica: &Replica) {
        self.observed
            .retain(|id, _| replica.jobs.get(id).is_some_and(|e| e.value.is_open()));
        self.backoffs.retain(|id, _| self.observed.contains_key(id));
    }

    /// Records the current version of a job's record.
    pub(super) fn observe(&mut self, id: &str, version: u64, now: Instant) {
        let observed = self
            .observed
            .entry(id.to_string())
            .or_insert(ObservedVersion {
                version,
                since: now,
            });
        if observed.version != version {
            *observed = ObservedVersion {
                version,
                since: now,
            };
        }
    }

    /// Starts the retry back-off of a job whose error count has changed. A lower count
    /// means that the job has succeeded and failed again since the last round.
    pub(super) fn update_backoff(
        &mut self,
        settings: &Settings,
        id: &str,
        errors: u32,
        now: Instant,
    ) {
        let backoff = self.backoffs.get(id);
        if backoff.is_none_or(|backoff| backoff.errors != errors) {
            let delay = retry_delay(errors, settings.heartbeat_interval());
            let until = now + delay.min(settings.exclusion_limit());
            self.backoffs
                .insert(id.to_string(), RetryBackoff { errors, until });
        }
    }

    /// Returns the wait reason of a job that must wait after a failure. Any job waits
    /// until its back-off is over. A job that is suspected faulty also waits until the
    /// tasks that are being retried have ended or have run for some time: a service's for the
    /// duration of a worker lease, an array's for [`Settings::exclusion_limit`].
    pub(super) fn failure_wait_reason(
        &self,
        settings: &Settings,
        id: &str,
        job: &Job,
        now: Instant,
    ) -> Option<WaitReason> {
        let reason = match job.is_suspected_faulty() {
            true => WaitReason::SuspectedFaulty,
            false => WaitReason::BackOff,
        };
        if self
            .backoffs
            .get(id)
            .is_some_and(|backoff| backoff.until > now)
        {
            return Some(reason);
        }
        let is_service = job
            .spec
            .as_ref()
            .is_some_and(|s| s.kind == JobKind::Service);
        let trial = match is_service {
            true => settings.worker_lease(),
            false => settings.exclusion_limit(),
        };
        let is_on_trial = job.booked_count() > 0 && self.unchanged_for(id, now) <= trial;
        (job.is_suspected_faulty() && is_on_trial).then_some(reason)
    }

    /// Returns the maximum number of records in the next commit.
    pub(super) fn max_records(&self, txn_ops: usize) -> usize {
        match self.small_commits {
            true => txn_ops.min(SMALL_COMMIT_RECORDS),
            false => txn_ops,
        }
    }

    /// Removes the records of earlier preemption attempts that no longer prevent a new
    /// attempt for the same job: preemptions older than the preemption timeout, and
    /// searches without candidates older than half a heartbeat interval.
    pub(super) fn expire_preemption_attempts(&mut self, settings: &Settings, now: Instant) {
        let gang_wait = Duration::from_secs_f64(settings.deployment.workers.gang_peer_s);
        let preemption_timeout = gang_wait * PREEMPTION_TIMEOUT_GANG_WAITS;
        let search_interval = settings.heartbeat_interval() / 2;
        let age = |at: &Instant| now.saturating_duration_since(*at);
        self.preempted_for
            .retain(|_, at| age(at) < preemption_timeout);
        self.without_candidates
            .retain(|_, at| age(at) < search_interval);
    }

    /// Excludes a job from all commits until this time.
    pub(super) fn exclude(&mut self, id: &str, until: Instant) {
        self.excluded.insert(id.to_string(), until);
    }

    /// Returns whether a job is excluded from commits.
    pub(super) fn is_excluded(&self, id: &str) -> bool {
        self.excluded.contains_key(id)
    }

    /// Ends the exclusion of jobs whose exclusion time is over.
    pub(super) fn expire_exclusions(&mut self, now: Instant) {
        self.excluded.retain(|_, until| *until > now);
    }
}
