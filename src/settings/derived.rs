//! Computes the limits and intervals that the scheduler keeps to from the settings.

use std::time::Duration;

use super::{NextStateServiceLimits, Settings, TeamQuota};
use crate::state::records::{FORMATS, FORMATS_SHARES};

/// Maximum drift between two monotonic clocks, as a fraction of the elapsed time. The platform
/// specifies this bound.
pub const CLOCK_DRIFT: f64 = 0.0005;

/// Number of requests of a controller of which at most one may be a read barrier. The response
/// to a read barrier contains the current revision, which the replica must have reached to be
/// up to date.
pub const REQUESTS_PER_BARRIER: u32 = 4;

/// Number of read barriers that are sent within the staleness limit, or within a worker's
/// lease if the lease is shorter, while no barrier is requested.
const BARRIERS_PER_STALENESS_LIMIT: u32 = 20;

/// Fraction of `cancel_s` that is reserved for handling messages.
const HANDLING_MARGIN_FRACTION: f64 = 0.02;

/// Time after which a job that has not started is placed before all others, in multiples of
/// `gang_wait_s`.
const GANG_WAITS_UNTIL_STARVATION: f64 = 3.0;

/// Maximum time for which a job may wait beside a machine that fits it and has room. The
/// platform specifies this bound.
const MAX_WAIT_BESIDE_CAPACITY: Duration = Duration::from_secs(90);

/// Fraction of [`MAX_WAIT_BESIDE_CAPACITY`] for which a job may be kept off such a machine. The
/// rest is for proving that an earlier attempt has ended, and for placing and starting the job.
const EXCLUSION_FRACTION: f64 = 0.5;

const BYTES_PER_KIB: f64 = 1024.0;
const BYTES_PER_MIB: f64 = BYTES_PER_KIB * 1024.0;

/// Fraction of the sockets that is available to users, probes and workers, in sixteenths.
const SERVED_SOCKET_SIXTEENTHS: usize = 13;
const SIXTEENTHS: usize = 16;

/// Number of sockets of which one is used for direct commands to workers.
const SOCKETS_PER_COMMAND_CONNECTION: usize = 8;

/// Ratio of the memory limit to the maximum size of a response.
const MEMORY_PER_RESPONSE_RATIO: f64 = 16.0;

/// Minimum for the size limit on responses, in multiples of the limit on request bodies. It
/// leaves a margin above the largest page of the state, which the protocol limits to
/// 512 KiB.
const MIN_RESPONSE_BODIES: usize = 16;

impl Settings {
    /// Returns the guarantee and limit of a team, or `None` for an unknown team.
    pub fn team(&self, name: &str) -> Option<&TeamQuota> {
        let mut teams = self.deployment.teams.iter();
        teams.find(|team| team.name == name)
    }

    /// Returns the preferred owner of a machine among all controllers of the settings,
    /// whether they are up or not. If there are controllers in the machine's zone, the
    /// preferred owner is one of these.
    pub fn preferred_owner(&self, machine: &str, zone: &str) -> &str {
        let in_zone = self
            .controllers_with_zones()
            .filter(|(_, controller_zone)| *controller_zone == zone);
        let in_zone = in_zone.map(|(name, _)| name);
        let anywhere = self.controllers_with_zones().map(|(name, _)| name);
        crate::hash::preferred_controller(machine, in_zone)
            .or_else(|| crate::hash::preferred_controller(machine, anywhere))
            .unwrap_or(&self.controller_name)
    }

    /// Returns the names of all controllers, including this one, with their zones.
    fn controllers_with_zones(&self) -> impl Iterator<Item = (&str, &str)> {
        let others = self.others.iter();
        others
            .map(|peer| (peer.name.as_str(), peer.zone.as_str()))
            .chain([(self.controller_name.as_str(), self.zone.as_str())])
    }

    /// Returns the version of the newest record formats that this controller announces to the
    /// others.
    pub fn announced_formats(&self) -> u32 {
        match self.features.shares.enabled {
            true => FORMATS_SHARES,
            false => FORMATS,
        }
    }

    /// Returns the names of all controllers of the deployment, including this one.
    pub fn controllers(&self) -> Vec<&str> {
        self.controllers_with_zones()
            .map(|(name, _)| name)
            .collect()
    }

    /// Returns the length of the longest controller name, in bytes.
    pub fn max_controller_name_length(&self) -> usize {
        let names = self.controllers_with_zones();
        names.map(|(name, _)| name.len()).max().unwrap_or(0)
    }

    /// Returns the margin by which every interval that safety depends on is shortened. It
    /// allows for the drift between clocks and for the time that handling a message takes.
    pub fn timing_margin(&self) -> Duration {
        let cancel_s = self.deployment.workers.cancel_s;
        Duration::from_secs_f64(cancel_s * HANDLING_MARGIN_FRACTION + cancel_s * 2.0 * CLOCK_DRIFT)
    }

    /// Returns the maximum staleness of the replica at which a heartbeat is still answered
    /// with 200.
    ///
    /// A controller with a stale replica may not know of a cancellation that another
    /// controller has confirmed. The heartbeat that it answers keeps the cancelled task running
    /// for up to `lease_s` more, but the task must have ended `cancel_s` after the
    /// confirmation. The staleness must therefore stay below the difference, less the timing
    /// margin.
    pub fn staleness_limit(&self) -> Duration {
        let workers = &self.deployment.workers;
        Duration::from_secs_f64(workers.cancel_s - workers.lease_s)
            .saturating_sub(self.timing_margin())
    }

    /// Returns the interval between read barriers while none is requested.
    pub fn idle_barrier_interval(&self) -> Duration {
        self.staleness_limit().min(self.worker_lease()) / BARRIERS_PER_STALENESS_LIMIT
    }

    /// Returns the maximum staleness of the replica at which a controller may command the start
    /// of a task. The staleness is limited because another controller may have confirmed the
    /// job's cancellation in the meantime. The limit is twice the usual interval between two
    /// read barriers, so that a single slow response delays no start, but at least a sixteenth
    /// and at most a quarter of a worker's lease.
    pub fn max_launch_staleness(&self) -> Duration {
        let requests_per_s = self.max_requests_per_s(true) / self.deployment.count as f64;
        let min_interval = Duration::from_secs_f64(REQUESTS_PER_BARRIER as f64 / requests_per_s);
        let interval = self.idle_barrier_interval() + min_interval;
        (interval * 2).clamp(self.worker_lease() / 16, self.worker_lease() / 4)
    }

    /// Returns the time, in seconds, after which a job that has not started is placed before
    /// all others. It is a multiple of the time for which the tasks of a gang may wait for
    /// one another.
    pub fn starvation_threshold_s(&self) -> f64 {
        self.deployment.workers.gang_wait_s * GANG_WAITS_UNTIL_STARVATION
    }

    /// Returns the maximum time for which a job is kept off a machine that fits it and has room:
    /// because tasks have failed, or because other jobs may need the machine more.
    pub fn exclusion_limit(&self) -> Duration {
        MAX_WAIT_BESIDE_CAPACITY.mul_f64(EXCLUSION_FRACTION)
    }

    /// Returns the time for which a worker keeps its tasks running after an answered
    /// heartbeat.
    pub fn worker_lease(&self) -> Duration {
        Duration::from_secs_f64(self.deployment.workers.lease_s)
    }

    /// Returns the interval between a worker's heartbeats.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.deployment.workers.report_s)
    }

    /// Returns the maximum number of connections that users, probes and workers may have
    /// open in total. The sockets that remain after these and the command connections are
    /// used for the state service, the cloud and gossip.
    pub fn served_connections(&self) -> usize {
        self.deployment.host_limits.sockets * SERVED_SOCKET_SIXTEENTHS / SIXTEENTHS
    }

    /// Returns the maximum number of connections to workers for direct commands. A controller
    /// does not keep one for each machine: every worker also has a connection for its
    /// heartbeats, so if only one controller were left, it would need twice as many connections
    /// as there are machines.
    pub fn command_connections(&self) -> usize {
        let sockets = self.deployment.host_limits.sockets;
        (sockets / SOCKETS_PER_COMMAND_CONNECTION).max(1)
    }

    /// Returns the maximum size of a response that the controller accepts, in bytes. The size
    /// is limited because a parsed response takes about three times its size in memory, in
    /// addition to the memory of the replica.
    pub fn max_response_bytes(&self) -> usize {
        let memory = self.deployment.host_limits.memory_mb * BYTES_PER_MIB;
        let min_bytes = crate::http::BODY_LIMIT * MIN_RESPONSE_BODIES;
        ((memory / MEMORY_PER_RESPONSE_RATIO) as usize).max(min_bytes)
    }

    /// Returns the next limits of the state service, all `None` if no change is configured.
    fn next_state_limits(&self) -> NextStateServiceLimits {
        self.deployment.state.next.clone().unwrap_or_default()
    }

    /// Returns the maximum size of a value, in bytes: the lower of the present limit and the
    /// next one. Values are kept within both limits from the start, as the limit changes
    /// without notice and the values that are stored at that time must not exceed the new
    /// limit.
    pub fn value_limit_bytes(&self) -> usize {
        let now = self.deployment.state.value_kb;
        let value_kb = self.next_state_limits().value_kb.unwrap_or(now).min(now);
        (value_kb * BYTES_PER_KIB) as usize
    }

    /// Returns the present limit on the size of a value, in bytes. Records from before a lower
    /// limit was announced may be as large as this.
    pub fn current_value_limit_bytes(&self) -> usize {
        (self.deployment.state.value_kb * BYTES_PER_KIB) as usize
    }

    /// Returns the maximum number of records that a commit may write: the lower of the
    /// present limit and the next one.
    pub fn max_writes_per_commit(&self) -> usize {
        let now = self.deployment.state.txn_ops;
        self.next_state_limits().txn_ops.unwrap_or(now).min(now)
    }

    /// Returns whether the next limit on values or on the writes of a commit is lower than
    /// the present one. In this case records are written in the compact encoding once all
    /// controllers can read it.
    pub fn limits_will_decrease(&self) -> bool {
        let txn_ops = self.deployment.state.txn_ops;
        self.value_limit_bytes() < self.current_value_limit_bytes()
            || self.max_writes_per_commit() < txn_ops
    }

    /// Returns the number of requests per second that all controllers together may send to
    /// the state service. `is_reduced` tells that refusals by the service indicate that the
    /// next rate is in force; that rate then applies if it is lower.
    pub fn max_requests_per_s(&self, is_reduced: bool) -> f64 {
        let next = self.next_state_limits().rps;
        rate_in_force(self.deployment.state.rps, next, is_reduced)
    }

    /// Returns the number of keys per second that all controllers together may write.
    /// `is_reduced` is the same as for [`Settings::max_requests_per_s`].
    pub fn max_writes_per_s(&self, is_reduced: bool) -> f64 {
        let next = self.next_state_limits().write_rps;
        rate_in_force(self.deployment.state.write_rps, next, is_reduced)
    }
}

/// Returns the rate that applies: the present one or, if `is_reduced` is set, the lower of the
/// present and the next one.
fn rate_in_force(present: f64, next: Option<f64>, is_reduced: bool) -> f64 {
    match next.filter(|_| is_reduced) {
        Some(next) => next.min(present),
        None => present,
    }
}
