//! The platform's settings file: read, then checked field by field.
//!
//! Unknown fields are ignored, as the platform may add some. Every field that
//! is used is checked, and the first one that is wrong ends the start with a
//! line that names it.

use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

use crate::model::{Amount, Room};
use crate::policy::Policy;

#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("settings: cannot read {path}: {cause}")]
    Read { path: String, cause: std::io::Error },
    #[error("settings: not the JSON expected: {0}")]
    Parse(#[from] serde_json::Error),
    #[error("settings: {field}: {problem}")]
    Field { field: String, problem: String },
}

fn wrong(field: impl Into<String>, problem: impl Into<String>) -> SettingsError {
    SettingsError::Field {
        field: field.into(),
        problem: problem.into(),
    }
}

/// One controller as the others reach it.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    #[serde(rename = "node")]
    pub name: String,
    #[serde(rename = "location")]
    pub zone: String,
    pub addr: SocketAddrV4,
}

#[derive(Debug, Clone, Deserialize)]
pub struct External {
    pub cloud: SocketAddrV4,
    pub state: SocketAddrV4,
}

/// A team's guarantee and limit. A figure of 0 means none.
#[derive(Debug, Clone, Deserialize)]
pub struct TeamTerms {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

impl TeamTerms {
    /// What the team may use at any time; `None` in a part means no cap there.
    pub fn limit(&self) -> (Option<Amount>, Option<Amount>) {
        let cap = |x: f64| (x > 0.0).then(|| Amount::room(x));
        (cap(self.cpus_max), cap(self.gpus_max))
    }

    pub fn guarantee(&self) -> Room {
        Room {
            cpus: Amount::room(self.cpus),
            gpus: Amount::room(self.gpus),
            ram: Amount(0),
        }
    }

    /// True when `used` stays within the team's limit.
    pub fn allows(&self, used: &Room) -> bool {
        let (cpus, gpus) = self.limit();
        cpus.is_none_or(|c| used.cpus <= c) && gpus.is_none_or(|g| used.gpus <= g)
    }

    /// True when the team is beyond its guarantee by as much as `part`, so that
    /// it still has all of it when that part is taken away.
    pub fn lends(&self, used: &Room, part: &Room) -> bool {
        let g = self.guarantee();
        let rest = *used - *part;
        let on_gpus = part.gpus.0 > 0 && g.gpus.0 > 0;
        rest.cpus >= g.cpus || (on_gpus && rest.gpus >= g.gpus)
    }

    /// True when `used` stays within the team's guarantee. Work that uses
    /// no accelerator is not held against a missing accelerator guarantee.
    pub fn guarantees(&self, used: &Room) -> bool {
        let g = self.guarantee();
        used.cpus <= g.cpus && used.gpus <= g.gpus
    }
}

#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

/// The state service's limits. What bounds a commit and what may be sent a
/// second is told by [`Settings`] alone, from these and those to come.
#[derive(Debug, Clone, Deserialize)]
pub struct StateTerms {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// Limits that come into force at some moment, without notice.
    #[serde(default)]
    pub next: Option<NextStateTerms>,
}

/// Limits to come; one that is not named stays as it is.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextStateTerms {
    #[serde(default)]
    pub rps: Option<f64>,
    #[serde(default)]
    pub write_rps: Option<f64>,
    #[serde(default)]
    pub value_kb: Option<f64>,
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct CloudTerms {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    pub count: usize,
    pub zones: Vec<String>,
    pub teams: Vec<TeamTerms>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: StateTerms,
    pub cloud: CloudTerms,
    pub machine_limits: Limits,
    #[serde(default)]
    pub clock_off_ms: f64,
}

/// An aim at starting or finishing a class of jobs. A hint for the queue;
/// kinds that are not known are passed over.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    pub cpu: f64,
    pub memory_mb: f64,
    pub sockets: usize,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    pub node: String,
    #[serde(rename = "location")]
    pub zone: String,
    pub serve_on: SocketAddrV4,
    pub mesh_addr: SocketAddrV4,
    pub others: Vec<Peer>,
    pub external: External,
    pub deployment: Deployment,
    /// The operators' own settings; not part of the platform's file.
    #[serde(skip)]
    pub policy: Policy,
}

/// The bound that the platform gives for the drift between steady clocks.
pub const CLOCK_DRIFT: f64 = 0.0005;

/// Read barriers take at most one in so many of a controller's requests.
pub const BARRIER_GAP_REQUESTS: u32 = 4;

impl Settings {
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|cause| SettingsError::Read {
            path: path.display().to_string(),
            cause,
        })?;
        Self::parse(&text)
    }

    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Settings = serde_json::from_str(text)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let d = &self.deployment;
        let named = |field: &str, value: &str| {
            if value.is_empty() || value.len() > 100 || value.contains(char::is_whitespace) {
                Err(wrong(field, "must be 1 to 100 characters with no spaces"))
            } else {
                Ok(())
            }
        };
        named("node", &self.node)?;
        let mut names = HashSet::from([self.node.as_str()]);
        for (i, peer) in self.others.iter().enumerate() {
            named(&format!("others[{i}].node"), &peer.name)?;
            if !names.insert(&peer.name) {
                return Err(wrong(format!("others[{i}].node"), "is named twice"));
            }
            if peer.addr.port() == 0 {
                return Err(wrong(format!("others[{i}].addr"), "needs a port"));
            }
        }
        if self.serve_on == self.mesh_addr {
            return Err(wrong("mesh_addr", "is the same as serve_on"));
        }
        for (field, addr) in [
            ("external.cloud", self.external.cloud),
            ("external.state", self.external.state),
        ] {
            if addr.port() == 0 {
                return Err(wrong(field, "needs a port"));
            }
        }
        if d.count != self.others.len() + 1 {
            return Err(wrong(
                "deployment.count",
                format!("is {} but others names {}", d.count, self.others.len()),
            ));
        }
        let mut zones = HashSet::new();
        for (i, zone) in d.zones.iter().enumerate() {
            named(&format!("deployment.zones[{i}]"), zone)?;
            if !zones.insert(zone) {
                return Err(wrong(format!("deployment.zones[{i}]"), "is named twice"));
            }
        }
        if zones.is_empty() {
            return Err(wrong("deployment.zones", "names no zone"));
        }
        if !zones.contains(&self.zone) {
            return Err(wrong("location", "is not one of deployment.zones"));
        }
        self.check_teams()?;
        let w = &d.workers;
        for (field, value) in [
            ("deployment.workers.report_s", w.report_s),
            ("deployment.workers.lease_s", w.lease_s),
            ("deployment.workers.gang_wait_s", w.gang_wait_s),
            ("deployment.workers.gang_peer_s", w.gang_peer_s),
            ("deployment.workers.cancel_s", w.cancel_s),
            ("deployment.state.rps", d.state.rps),
            ("deployment.state.write_rps", d.state.write_rps),
            ("deployment.state.value_kb", d.state.value_kb),
            ("deployment.cloud.rps", d.cloud.rps),
            ("deployment.cloud.list_lag_s", d.cloud.list_lag_s),
            ("deployment.machine_limits.cpu", d.machine_limits.cpu),
            (
                "deployment.machine_limits.memory_mb",
                d.machine_limits.memory_mb,
            ),
        ] {
            if !value.is_finite() || value <= 0.0 || value > 1e6 {
                return Err(wrong(field, "must be a number above 0, a million at most"));
            }
        }
        if w.lease_s <= 2.0 * w.report_s {
            return Err(wrong(
                "deployment.workers.lease_s",
                "must be more than two report intervals",
            ));
        }
        if w.cancel_s <= w.lease_s * 1.1 {
            return Err(wrong(
                "deployment.workers.cancel_s",
                "must exceed lease_s by a tenth at least",
            ));
        }
        if d.state.txn_ops < 4 {
            return Err(wrong("deployment.state.txn_ops", "must be 4 at least"));
        }
        if d.state.value_kb < 2.0 {
            return Err(wrong("deployment.state.value_kb", "must be 2 at least"));
        }
        if let Some(next) = &d.state.next {
            for (field, value) in [("rps", next.rps), ("write_rps", next.write_rps)] {
                if value.is_some_and(|v| !v.is_finite() || v <= 0.0 || v > 1e6) {
                    return Err(wrong(
                        format!("deployment.state.next.{field}"),
                        "must be a number above 0, a million at most",
                    ));
                }
            }
            if next.txn_ops.is_some_and(|n| n < 4) {
                return Err(wrong("deployment.state.next.txn_ops", "must be 4 at least"));
            }
            if next
                .value_kb
                .is_some_and(|v| !v.is_finite() || !(2.0..=1e6).contains(&v))
            {
                return Err(wrong(
                    "deployment.state.next.value_kb",
                    "must be 2 at least, a million at most",
                ));
            }
        }
        if d.machine_limits.sockets < 50 {
            return Err(wrong(
                "deployment.machine_limits.sockets",
                "must be 50 at least",
            ));
        }
        for (i, o) in d.objectives.iter().enumerate() {
            if o.within_s.is_some_and(|w| !w.is_finite() || w < 0.0) {
                return Err(wrong(
                    format!("deployment.objectives[{i}].within_s"),
                    "must be 0 or more",
                ));
            }
        }
        if !d.clock_off_ms.is_finite() || d.clock_off_ms < 0.0 {
            return Err(wrong("deployment.clock_off_ms", "must be 0 or more"));
        }
        Ok(())
    }

    fn check_teams(&self) -> Result<(), SettingsError> {
        let mut teams = HashSet::new();
        for (i, team) in self.deployment.teams.iter().enumerate() {
            let at = |part: &str| format!("deployment.teams[{i}].{part}");
            if team.name.is_empty() || team.name.len() > 100 {
                return Err(wrong(at("name"), "must be 1 to 100 characters"));
            }
            if team
                .name
                .contains(|c: char| c.is_whitespace() || c.is_control())
            {
                return Err(wrong(at("name"), "must hold no spaces"));
            }
            if !teams.insert(&team.name) {
                return Err(wrong(at("name"), "is named twice"));
            }
            for (part, value) in [
                ("cpus", team.cpus),
                ("cpus_max", team.cpus_max),
                ("gpus", team.gpus),
                ("gpus_max", team.gpus_max),
            ] {
                if !value.is_finite() || !(0.0..=1e9).contains(&value) {
                    return Err(wrong(at(part), "must be a number from 0 to a billion"));
                }
            }
            for (part, least, most) in [
                ("cpus_max", team.cpus, team.cpus_max),
                ("gpus_max", team.gpus, team.gpus_max),
            ] {
                if most > 0.0 && most < least {
                    return Err(wrong(at(part), "is below the guarantee"));
                }
            }
        }
        Ok(())
    }

    pub fn team(&self, name: &str) -> Option<&TeamTerms> {
        self.deployment.teams.iter().find(|t| t.name == name)
    }

    /// The home of a machine among all controllers of the settings, up or not:
    /// one of its zone, if there is any.
    pub fn home(&self, machine: &str, zone: &str) -> &str {
        let all = self
            .others
            .iter()
            .map(|p| (p.name.as_str(), p.zone.as_str()));
        let all = || {
            all.clone()
                .chain([(self.node.as_str(), self.zone.as_str())])
        };
        let near = all().filter(|(_, z)| *z == zone).map(|(n, _)| n);
        let any = all().map(|(n, _)| n);
        crate::placement::preferred(machine, near)
            .or_else(|| crate::placement::preferred(machine, any))
            .unwrap_or(&self.node)
    }

    /// All controllers of the deployment, this one included.
    pub fn controllers(&self) -> Vec<&str> {
        let others = self.others.iter().map(|p| p.name.as_str());
        others.chain([self.node.as_str()]).collect()
    }

    /// The length of the longest name of a controller.
    pub fn longest_name(&self) -> usize {
        let others = self.others.iter().map(|p| p.name.len());
        others.chain([self.node.len()]).max().unwrap_or(0)
    }

    /// What is held back from every safety span for drift between clocks and
    /// for the time that handling a message takes.
    pub fn margin(&self) -> Duration {
        let w = &self.deployment.workers;
        Duration::from_secs_f64(w.cancel_s * 0.02 + w.cancel_s * 2.0 * CLOCK_DRIFT)
    }

    /// The oldest horizon at which a beat may still be answered with 200: a
    /// cancelled task must be gone `cancel_s` after its user was told, and an
    /// answered beat keeps it for up to `lease_s`.
    pub fn horizon_limit(&self) -> Duration {
        let w = &self.deployment.workers;
        Duration::from_secs_f64(w.cancel_s - w.lease_s).saturating_sub(self.margin())
    }

    /// The pause between two read barriers that nobody has asked for.
    pub fn barrier_pause(&self) -> Duration {
        self.horizon_limit().min(self.lease()) / 20
    }

    /// The oldest horizon at which a launch may be ordered: another controller
    /// may have confirmed the job's cancellation since. It is twice the normal
    /// interval between two read barriers, so one slow answer delays nothing.
    pub fn launch_limit(&self) -> Duration {
        let requests_per_s = self.rps(true) / self.deployment.count as f64;
        let gap = Duration::from_secs_f64(BARRIER_GAP_REQUESTS as f64 / requests_per_s);
        let interval = self.barrier_pause() + gap;
        (interval * 2).clamp(self.lease() / 16, self.lease() / 4)
    }

    /// A job that has not begun after this long goes first in the queue: three
    /// times what the platform lets a gang's tasks wait for one another.
    pub fn starving_s(&self) -> f64 {
        self.deployment.workers.gang_wait_s * 3.0
    }

    pub fn lease(&self) -> Duration {
        Duration::from_secs_f64(self.deployment.workers.lease_s)
    }

    pub fn report(&self) -> Duration {
        Duration::from_secs_f64(self.deployment.workers.report_s)
    }

    /// Connections that users, probes and workers may hold together. What is
    /// left beside them and those for orders is for the state service, the
    /// cloud and the mesh.
    pub fn served_connections(&self) -> usize {
        self.deployment.machine_limits.sockets * 13 / 16
    }

    /// Connections to workers for direct orders: one a machine would be as many
    /// again as report here, when one controller is left with all of them.
    pub fn order_connections(&self) -> usize {
        (self.deployment.machine_limits.sockets / 8).max(1)
    }

    /// The longest answer that is read: what it becomes in memory is some three
    /// times that, beside the view.
    pub fn answer_bytes(&self) -> usize {
        // A page of the state, of up to 512 KiB by the protocol, is always read.
        let least = crate::http::BODY_LIMIT * 16;
        ((self.deployment.machine_limits.memory_mb * 1024.0 * 1024.0 / 16.0) as usize).max(least)
    }

    fn next(&self) -> NextStateTerms {
        self.deployment.state.next.clone().unwrap_or_default()
    }

    /// The most that a value may hold, now and once the limits have changed.
    /// Sizes are kept below both from the start: they change without notice,
    /// and what is written then is what stands there before.
    pub fn value_bytes(&self) -> usize {
        let now = self.deployment.state.value_kb;
        (self.next().value_kb.unwrap_or(now).min(now) * 1024.0) as usize
    }

    /// The most that a record may hold that stands there already.
    pub fn longest_value(&self) -> usize {
        (self.deployment.state.value_kb * 1024.0) as usize
    }

    /// The most records that a commit may write, now and later.
    pub fn txn_ops(&self) -> usize {
        let now = self.deployment.state.txn_ops;
        self.next().txn_ops.unwrap_or(now).min(now)
    }

    /// Whether values or transactions are to become smaller than they are: then
    /// records have their short texts, once all can read them.
    pub fn shrinks(&self) -> bool {
        let state = &self.deployment.state;
        self.value_bytes() < (state.value_kb * 1024.0) as usize || self.txn_ops() < state.txn_ops
    }

    /// What all controllers may ask of the state service a second; the lower
    /// figure once refusals have shown that it is in force.
    pub fn rps(&self, lowered: bool) -> f64 {
        let now = self.deployment.state.rps;
        match self.next().rps.filter(|_| lowered) {
            Some(next) => next.min(now),
            None => now,
        }
    }

    /// What all controllers may write a second, as with requests.
    pub fn write_rps(&self, lowered: bool) -> f64 {
        let now = self.deployment.state.write_rps;
        match self.next().write_rps.filter(|_| lowered) {
            Some(next) => next.min(now),
            None => now,
        }
    }
}
