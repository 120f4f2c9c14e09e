//! Limits and times that follow from the settings.

use std::time::Duration;

use super::{NextStateServiceLimits, Settings, TeamQuota};
use crate::state::records::{FORMATS, FORMATS_SHARES};

/// The bound that the platform gives for the drift between steady clocks.
pub const CLOCK_DRIFT: f64 = 0.0005;

/// Read barriers take at most one in so many of a controller's requests.
pub const BARRIER_GAP_REQUESTS: u32 = 4;

/// So many pauses between read barriers fit into the staleness bound.
const BARRIER_PAUSES_PER_LIMIT: u32 = 20;

/// The part of the time to cancel that is held back for handling messages.
const HANDLING_MARGIN: f64 = 0.02;

/// How many gang waits a job waits before it goes first in the queue.
const STARVING_GANG_WAITS: f64 = 3.0;

const BYTES_PER_KIB: f64 = 1024.0;
const BYTES_PER_MIB: f64 = BYTES_PER_KIB * 1024.0;

/// Users, probes and workers have this part of the sockets.
const SERVED_SOCKET_SHARES: usize = 13;
const SOCKET_SHARES: usize = 16;

/// One socket in so many is for direct commands to workers.
const SOCKETS_PER_COMMAND_CONNECTION: usize = 8;

/// One response may take this part of the memory.
const RESPONSES_PER_MEMORY: f64 = 16.0;

/// How many request bodies make a page of the state, of up to 512 KiB by the
/// protocol, with room to spare.
const BODIES_PER_RESPONSE: usize = 16;

impl Settings {
    /// The terms of a team; `None` for one that the settings don't name.
    pub fn team(&self, name: &str) -> Option<&TeamQuota> {
        let mut teams = self.deployment.teams.iter();
        teams.find(|team| team.name == name)
    }

    /// The controller that a machine prefers among all of the settings, up or
    /// not: one of its zone, if there is any.
    pub fn preferred_owner(&self, machine: &str, zone: &str) -> &str {
        let in_zone = self.controllers_with_zones().filter(|(_, z)| *z == zone);
        let in_zone = in_zone.map(|(name, _)| name);
        let anywhere = self.controllers_with_zones().map(|(name, _)| name);
        crate::hash::preferred_controller(machine, in_zone)
            .or_else(|| crate::hash::preferred_controller(machine, anywhere))
            .unwrap_or(&self.controller_name)
    }

    /// The names of all controllers, this one included, with their zones.
    fn controllers_with_zones(&self) -> impl Iterator<Item = (&str, &str)> {
        let others = self.others.iter();
        others
            .map(|peer| (peer.name.as_str(), peer.zone.as_str()))
            .chain([(self.controller_name.as_str(), self.zone.as_str())])
    }

    /// The newest formats that this controller tells of.
    pub fn formats(&self) -> u32 {
        match self.features.shares.enabled {
            true => FORMATS_SHARES,
            false => FORMATS,
        }
    }

    /// All controllers of the deployment, this one included.
    pub fn controllers(&self) -> Vec<&str> {
        self.controllers_with_zones()
            .map(|(name, _)| name)
            .collect()
    }

    /// The length of the longest name of a controller, in bytes.
    pub fn max_name_length(&self) -> usize {
        let names = self.controllers_with_zones();
        names.map(|(name, _)| name.len()).max().unwrap_or(0)
    }

    /// What is held back from every safety span for drift between clocks and
    /// for the time that handling a message takes.
    pub fn margin(&self) -> Duration {
        let cancel_s = self.deployment.workers.cancel_s;
        Duration::from_secs_f64(cancel_s * HANDLING_MARGIN + cancel_s * 2.0 * CLOCK_DRIFT)
    }

    /// The staleness bound: how old the replica of the state may be when a
    /// heartbeat is still answered with 200. A cancelled task must be gone
    /// `cancel_s` after its user was told, and an answered heartbeat keeps it
    /// for up to `lease_s`.
    pub fn staleness_limit(&self) -> Duration {
        let workers = &self.deployment.workers;
        Duration::from_secs_f64(workers.cancel_s - workers.lease_s).saturating_sub(self.margin())
    }

    /// The pause between two read barriers that nobody has asked for.
    pub fn barrier_pause(&self) -> Duration {
        self.staleness_limit().min(self.worker_lease()) / BARRIER_PAUSES_PER_LIMIT
    }

    /// The oldest horizon at which a launch may be ordered: another controller
    /// may have confirmed the job's cancellation since. It is twice the normal
    /// interval between two read barriers, so one slow answer delays nothing.
    pub fn launch_limit(&self) -> Duration {
        let requests_per_s = self.rps(true) / self.deployment.count as f64;
        let gap = Duration::from_secs_f64(BARRIER_GAP_REQUESTS as f64 / requests_per_s);
        let interval = self.barrier_pause() + gap;
        (interval * 2).clamp(self.worker_lease() / 16, self.worker_lease() / 4)
    }

    /// A job that has not begun after so many seconds goes first in the queue:
    /// a multiple of what the platform lets a gang's tasks wait for one another.
    pub fn starvation_threshold_s(&self) -> f64 {
        self.deployment.workers.gang_wait_s * STARVING_GANG_WAITS
    }

    /// How long a worker keeps its tasks after an answered heartbeat.
    pub fn worker_lease(&self) -> Duration {
        Duration::from_secs_f64(self.deployment.workers.lease_s)
    }

    /// The interval between a worker's heartbeats.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.deployment.workers.report_s)
    }

    /// Connections that users, probes and workers may hold together. What is
    /// left beside them and those for commands is for the state service, the
    /// cloud and gossip.
    pub fn served_connections(&self) -> usize {
        self.deployment.machine_limits.sockets * SERVED_SOCKET_SHARES / SOCKET_SHARES
    }

    /// Connections to workers for direct commands. One for each machine would
    /// be as many again as send heartbeats here, when one controller is left
    /// with all of them.
    pub fn command_connections(&self) -> usize {
        let sockets = self.deployment.machine_limits.sockets;
        (sockets / SOCKETS_PER_COMMAND_CONNECTION).max(1)
    }

    /// The longest response that is read, in bytes: what it becomes in memory
    /// is some three times that, beside the replica.
    pub fn max_response_bytes(&self) -> usize {
        let memory = self.deployment.machine_limits.memory_mb * BYTES_PER_MIB;
        let page = crate::http::BODY_LIMIT * BODIES_PER_RESPONSE;
        ((memory / RESPONSES_PER_MEMORY) as usize).max(page)
    }

    fn next_state_terms(&self) -> NextStateServiceLimits {
        self.deployment.state.next.clone().unwrap_or_default()
    }

    /// The most bytes that a value may hold, now and once the limits have changed.
    /// Sizes are kept below both from the start: they change without notice,
    /// and what is written then is what stands there before.
    pub fn value_limit_bytes(&self) -> usize {
        let now = self.deployment.state.value_kb;
        let lowest = self.next_state_terms().value_kb.unwrap_or(now).min(now);
        (lowest * BYTES_PER_KIB) as usize
    }

    /// The most bytes that an existing record may hold: the present limit.
    pub fn current_value_limit_bytes(&self) -> usize {
        (self.deployment.state.value_kb * BYTES_PER_KIB) as usize
    }

    /// The most records that a commit may write, now and later.
    pub fn txn_ops(&self) -> usize {
        let now = self.deployment.state.txn_ops;
        self.next_state_terms().txn_ops.unwrap_or(now).min(now)
    }

    /// Whether values or transactions are to become smaller than they are: then
    /// records are written in the compact encoding, once all can read it.
    pub fn limits_will_fall(&self) -> bool {
        let txn_ops = self.deployment.state.txn_ops;
        self.value_limit_bytes() < self.current_value_limit_bytes() || self.txn_ops() < txn_ops
    }

    /// The requests that all controllers together may send to the state service
    /// a second; with `lowered`, which refusals show, the lower rate to come.
    pub fn rps(&self, lowered: bool) -> f64 {
        let next = self.next_state_terms().rps;
        rate_in_force(self.deployment.state.rps, next, lowered)
    }

    /// The keys that all controllers together may write a second, as with
    /// [`Settings::rps`].
    pub fn write_rps(&self, lowered: bool) -> f64 {
        let next = self.next_state_terms().write_rps;
        rate_in_force(self.deployment.state.write_rps, next, lowered)
    }
}

fn rate_in_force(present: f64, next: Option<f64>, lowered: bool) -> f64 {
    match next.filter(|_| lowered) {
        Some(next) => next.min(present),
        None => present,
    }
}
