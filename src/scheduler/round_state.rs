//! What a controller remembers from one placement round to the next.

use std::time::Duration;

use foldhash::HashMap;
use tokio::time::Instant;

use super::wait_states::WaitReason;
use crate::settings::Settings;
use crate::state::records::Job;
use crate::state::replica::Replica;
use crate::wire::JobKind;
use crate::workers::AttemptKey;

/// How many records a commit writes while commits of the usual size are refused.
const SMALL_COMMIT_RECORDS: usize = 4;

/// The retry delay doubles with each failure up to this power of two.
const MAX_RETRY_DELAY_EXPONENT: u32 = 5;

/// How long a preemption is given to show its effect before the same job may
/// preempt again, as a multiple of a gang's wait for its peers.
const PREEMPTION_PATIENCE: u32 = 2;

/// How long a job that failed so often waits before it is tried again.
pub fn retry_delay(errors: u32, base: Duration) -> Duration {
    match errors {
        0 => Duration::ZERO,
        errors => base * 2u32.pow((errors - 1).min(MAX_RETRY_DELAY_EXPONENT)),
    }
}

/// The version in which this controller knows a job, and since when.
struct ObservedVersion {
    version: u64,
    since: Instant,
}

/// The end of the wait after a job's latest failure.
struct RetryBackoff {
    errors: u32,
    until: Instant,
}

/// The state that placement rounds carry forward. None of it has to survive a
/// restart of the controller.
#[derive(Default)]
pub(super) struct RoundState {
    observed: HashMap<String, ObservedVersion>,
    backoffs: HashMap<String, RetryBackoff>,
    /// Jobs that preemptions were made for, and when: their effect is yet to show.
    pub(super) preempted_for: HashMap<String, Instant>,
    /// Jobs that nothing was found to preempt for, and when: each search goes through
    /// all running work, and little changes from one round to the next.
    pub(super) without_candidates: HashMap<String, Instant>,
    /// When a round last went through the whole queue.
    pub(super) queue_examined: Option<Instant>,
    /// The first termination of an array's task that did not fit into the last commit.
    pub(super) next_termination: Option<AttemptKey>,
    /// How many records the last commit wrote.
    pub(super) records_written: usize,
    /// The last commit was too long: the next one writes few records.
    pub(super) small_commits: bool,
    /// Gangs or services had their placements, but did not fit into the last commit.
    pub(super) gangs_deferred: bool,
    /// Jobs whose record the state service refused for its size: excluded until
    /// then, so that the others go on.
    excluded: HashMap<String, Instant>,
}

impl RoundState {
    /// How long a job's record has been as it is.
    pub(super) fn unchanged_for(&self, id: &str, now: Instant) -> Duration {
        let observed = self.observed.get(id);
        observed.map_or(Duration::ZERO, |known| {
            now.saturating_duration_since(known.since)
        })
    }

    /// Drops what is remembered of jobs that are no longer open.
    pub(super) fn retain_open_jobs(&mut self, replica: &Replica) {
        self.observed
            .retain(|id, _| replica.jobs.get(id).is_some_and(|e| e.value.is_open()));
        self.backoffs.retain(|id, _| self.observed.contains_key(id));
    }

    /// Records the version of a job's record.
    pub(super) fn observe(&mut self, id: &str, version: u64, now: Instant) {
        let known = self
            .observed
            .entry(id.to_string())
            .or_insert(ObservedVersion {
                version,
                since: now,
            });
        if known.version != version {
            *known = ObservedVersion {
                version,
                since: now,
            };
        }
    }

    /// Starts the retry back-off of a job whose count of errors has changed. A lower
    /// count means that it has succeeded and failed again since.
    pub(super) fn update_backoff(&mut self, id: &str, errors: u32, base: Duration, now: Instant) {
        let known = self.backoffs.get(id);
        if known.is_none_or(|known| known.errors != errors) {
            let until = now + retry_delay(errors, base);
            self.backoffs
                .insert(id.to_string(), RetryBackoff { errors, until });
        }
    }

    /// Why a job that has failed waits, if it does: until its back-off is over;
    /// and one that fails on every machine until what is tried has ended, or,
    /// of a service, has run for a lease.
    pub(super) fn failure_wait(
        &self,
        settings: &Settings,
        id: &str,
        job: &Job,
        now: Instant,
    ) -> Option<WaitReason> {
        let reason = match job.is_suspected_faulty() {
            true => WaitReason::Fails,
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
        let proven = is_service && self.unchanged_for(id, now) > settings.worker_lease();
        (job.is_suspected_faulty() && job.booked() > 0 && !proven).then_some(reason)
    }

    /// How many records the next commit may write.
    pub(super) fn max_records(&self, txn_ops: usize) -> usize {
        match self.small_commits {
            true => txn_ops.min(SMALL_COMMIT_RECORDS),
            false => txn_ops,
        }
    }

    /// Drops preemptions and vain searches of so long ago that the same job may
    /// try again.
    pub(super) fn expire_preemption_attempts(&mut self, settings: &Settings, now: Instant) {
        let gang_wait = Duration::from_secs_f64(settings.deployment.workers.gang_peer_s);
        let patience = gang_wait * PREEMPTION_PATIENCE;
        let search_pause = settings.heartbeat_interval() / 2;
        let age = |at: &Instant| now.saturating_duration_since(*at);
        self.preempted_for.retain(|_, at| age(at) < patience);
        self.without_candidates
            .retain(|_, at| age(at) < search_pause);
    }

    /// Leaves a job out of all commits until then.
    pub(super) fn exclude(&mut self, id: &str, until: Instant) {
        self.excluded.insert(id.to_string(), until);
    }

    /// Whether a job is left out of commits.
    pub(super) fn is_excluded(&self, id: &str) -> bool {
        self.excluded.contains_key(id)
    }

    /// Takes the jobs back in whose exclusion is over.
    pub(super) fn expire_exclusions(&mut self, now: Instant) {
        self.excluded.retain(|_, until| *until > now);
    }
}
