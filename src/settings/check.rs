//! Validates the settings. Only the first invalid field is reported, in the order of the
//! checks.

use std::collections::HashSet;

use super::{NextStateServiceLimits, Settings, SettingsError, TeamQuota};

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 100;
/// Maximum value of a rate, size or time, in the unit of the field.
const MAX_FIELD_VALUE: f64 = 1e6;
/// Maximum guarantee or limit of a team, in CPUs or accelerators.
const MAX_TEAM_AMOUNT: f64 = 1e9;
/// Minimum for the limit on the writes of a commit with which the scheduler can work.
const MIN_COMMIT_WRITES: usize = 4;
/// Minimum for the size limit on values, in KiB, with which the scheduler can work.
const MIN_VALUE_KB: f64 = 2.0;
/// Maximum length of the name of a team or a controller if shares are enabled, in bytes.
const MAX_NAME_BYTES_WITH_SHARES: usize = 90;
/// Maximum size of a controller's entry in the record of a team's shares, without the
/// controller's name, in bytes: three amounts of up to thirteen digits, with quotes and
/// punctuation.
const MAX_SHARE_ENTRY_BYTES: usize = 64;
/// Minimum for the limit on sockets with which a controller can work.
const MIN_SOCKETS: usize = 50;
/// Multiple of `report_s` that `lease_s` must exceed.
const HEARTBEAT_INTERVALS_PER_LEASE: f64 = 2.0;
/// Multiple of `lease_s` that `cancel_s` must exceed.
const LEASES_PER_CANCEL: f64 = 1.1;

/// Problem with the value of a field.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum FieldProblem {
    /// The name of a controller or zone is empty, is too long or contains spaces.
    #[error("must be 1 to 100 bytes long and contain no spaces")]
    NameFormat,
    /// The name of a team is empty or too long.
    #[error("must be 1 to 100 bytes long")]
    NameLength,
    /// The name of a team contains spaces or control characters.
    #[error("must not contain spaces or control characters")]
    NameSpaces,
    /// Two entries of a list have the same name.
    #[error("is a duplicate name")]
    Duplicate,
    /// The address has port 0.
    #[error("must have a port other than 0")]
    NoPort,
    /// The gossip address is also the address of the HTTP server.
    #[error("must differ from serve_on")]
    SameAsServeOn,
    /// `deployment.count` is not the number of controllers in `others` plus 1 for this
    /// controller.
    #[error("is {count}, but others lists {others} other controllers")]
    ControllerCount {
        /// Number of controllers in `deployment.count`.
        count: usize,
        /// Number of controllers listed in `others`.
        others: usize,
    },
    /// The list of zones is empty.
    #[error("must list at least one zone")]
    NoZones,
    /// The controller's zone is not one of the deployment's zones.
    #[error("is not one of deployment.zones")]
    UnknownZone,
    /// A rate, size or time is not above 0 or is too large.
    #[error("must be a number above 0 and at most 1000000")]
    NotPositive,
    /// A time is below 0.
    #[error("must be 0 or more")]
    Negative,
    /// A guarantee or limit of a team is below 0 or too large.
    #[error("must be a number from 0 to 1000000000")]
    TeamAmount,
    /// The limit of a team is below the team's guarantee.
    #[error("is below the team's guarantee")]
    BelowGuarantee,
    /// The lease of a worker does not exceed two heartbeat intervals. A single lost heartbeat
    /// could then let the lease expire.
    #[error("must be more than twice report_s")]
    LeaseTooShort,
    /// The time in which a cancelled task has to end does not exceed the lease of a worker by
    /// a sufficient margin.
    #[error("must be more than 1.1 times lease_s")]
    CancelTooShort,
    /// A limit is below this minimum, with which the scheduler can work.
    #[error("must be at least {0}")]
    TooSmall(usize),
    /// The next size limit on values is too small or too large.
    #[error("must be from 2 to 1000000")]
    ValueSize,
    /// Shares are enabled, and the name of a team or controller is too long or contains a
    /// slash. Both names together then form a key of the state service, `use/TEAM/CONTROLLER`.
    #[error("with shares enabled, must have at most 90 bytes and no slash")]
    ShareName,
    /// Shares are enabled, and the record of a team's shares, which contains the name of every
    /// controller, could exceed the size limit on values.
    #[error(
        "with shares enabled, there are too many controllers, or their names are too long, for the record of a team's shares"
    )]
    ShareRecord,
}

use FieldProblem as Problem;

type CheckResult = Result<(), SettingsError>;

/// Returns an error with the field and the problem unless `condition` is true.
fn require(condition: bool, field: impl Into<String>, problem: FieldProblem) -> CheckResult {
    if condition {
        return Ok(());
    }
    Err(SettingsError::Field {
        field: field.into(),
        problem,
    })
}

impl Settings {
    /// Checks all fields of the settings file.
    pub(super) fn check(&self) -> CheckResult {
        self.check_controllers()?;
        self.check_addresses()?;
        self.check_controller_count()?;
        self.check_zones()?;
        self.check_teams()?;
        self.check_positive_values()?;
        self.check_worker_timing()?;
        self.check_state_limits()?;
        if let Some(next) = &self.deployment.state.next {
            check_next_state_limits(next)?;
        }
        self.check_sockets()?;
        self.check_objectives()?;
        self.check_clock_offset()
    }

    /// Checks the settings against the requirements of the enabled features.
    pub fn check_features(&self) -> CheckResult {
        if !self.features.shares.enabled {
            return Ok(());
        }
        let is_valid_name =
            |name: &str| name.len() <= MAX_NAME_BYTES_WITH_SHARES && !name.contains('/');
        let controllers = self.controllers();
        for name in &controllers {
            require(is_valid_name(name), *name, Problem::ShareName)?;
        }
        for (i, team) in self.deployment.teams.iter().enumerate() {
            let field = format!("deployment.teams[{i}].name");
            require(is_valid_name(&team.name), field, Problem::ShareName)?;
        }
        let shares_bytes: usize = controllers
            .iter()
            .map(|name| name.len() + MAX_SHARE_ENTRY_BYTES)
            .sum();
        // The record contains the granted amounts and the amounts that remain to be moved,
        // each with an entry for every controller.
        let fits = MAX_SHARE_ENTRY_BYTES + self.max_controller_name_length() + shares_bytes * 2
            <= self.value_limit_bytes();
        require(fits, "deployment.count", Problem::ShareRecord)
    }

    fn check_controllers(&self) -> CheckResult {
        check_name("node", &self.controller_name)?;
        let mut names = HashSet::from([self.controller_name.as_str()]);
        for (i, peer) in self.others.iter().enumerate() {
            let name_field = format!("others[{i}].node");
            check_name(&name_field, &peer.name)?;
            require(names.insert(&peer.name), name_field, Problem::Duplicate)?;
            let has_port = peer.addr.port() != 0;
            require(has_port, format!("others[{i}].addr"), Problem::NoPort)?;
        }
        Ok(())
    }

    fn check_addresses(&self) -> CheckResult {
        let is_distinct = self.serve_on != self.gossip_addr;
        require(is_distinct, "mesh_addr", Problem::SameAsServeOn)?;
        let (cloud, state) = (self.external.cloud, self.external.state);
        require(cloud.port() != 0, "external.cloud", Problem::NoPort)?;
        require(state.port() != 0, "external.state", Problem::NoPort)
    }

    fn check_controller_count(&self) -> CheckResult {
        let count = self.deployment.count;
        let others = self.others.len();
        let problem = Problem::ControllerCount { count, others };
        require(count == others + 1, "deployment.count", problem)
    }

    fn check_zones(&self) -> CheckResult {
        let mut zones = HashSet::new();
        for (i, zone) in self.deployment.zones.iter().enumerate() {
            let field = format!("deployment.zones[{i}]");
            check_name(&field, zone)?;
            require(zones.insert(zone), field, Problem::Duplicate)?;
        }
        require(!zones.is_empty(), "deployment.zones", Problem::NoZones)?;
        let is_known = zones.contains(&self.zone);
        require(is_known, "location", Problem::UnknownZone)
    }

    fn check_teams(&self) -> CheckResult {
        let mut names = HashSet::new();
        for (i, team) in self.deployment.teams.iter().enumerate() {
            let prefix = format!("deployment.teams[{i}]");
            let name_field = format!("{prefix}.name");
            check_team_name(&name_field, &team.name)?;
            require(names.insert(&team.name), name_field, Problem::Duplicate)?;
            check_team_amounts(&prefix, team)?;
        }
        Ok(())
    }

    fn check_positive_values(&self) -> CheckResult {
        let workers = &self.deployment.workers;
        let state = &self.deployment.state;
        let cloud = &self.deployment.cloud;
        let limits = &self.deployment.host_limits;
        for (field, value) in [
            ("workers.report_s", workers.report_s),
            ("workers.lease_s", workers.lease_s),
            ("workers.gang_wait_s", workers.gang_wait_s),
            ("workers.gang_peer_s", workers.gang_peer_s),
            ("workers.cancel_s", workers.cancel_s),
            ("state.rps", state.rps),
            ("state.write_rps", state.write_rps),
            ("state.value_kb", state.value_kb),
            ("cloud.rps", cloud.rps),
            ("cloud.list_lag_s", cloud.list_lag_s),
            ("machine_limits.cpu", limits.cpu),
            ("machine_limits.memory_mb", limits.memory_mb),
        ] {
            let field = format!("deployment.{field}");
            require(is_positive(value), field, Problem::NotPositive)?;
        }
        Ok(())
    }

    fn check_worker_timing(&self) -> CheckResult {
        let workers = &self.deployment.workers;
        require(
            workers.lease_s > HEARTBEAT_INTERVALS_PER_LEASE * workers.report_s,
            "deployment.workers.lease_s",
            Problem::LeaseTooShort,
        )?;
        require(
            workers.cancel_s > workers.lease_s * LEASES_PER_CANCEL,
            "deployment.workers.cancel_s",
            Problem::CancelTooShort,
        )
    }

    fn check_state_limits(&self) -> CheckResult {
        let state = &self.deployment.state;
        require(
            state.txn_ops >= MIN_COMMIT_WRITES,
            "deployment.state.txn_ops",
            Problem::TooSmall(MIN_COMMIT_WRITES),
        )?;
        require(
            state.value_kb >= MIN_VALUE_KB,
            "deployment.state.value_kb",
            Problem::TooSmall(MIN_VALUE_KB as usize),
        )
    }

    fn check_sockets(&self) -> CheckResult {
        require(
            self.deployment.host_limits.sockets >= MIN_SOCKETS,
            "deployment.machine_limits.sockets",
            Problem::TooSmall(MIN_SOCKETS),
        )
    }

    fn check_objectives(&self) -> CheckResult {
        for (i, objective) in self.deployment.objectives.iter().enumerate() {
            let is_valid = objective.within_s.is_none_or(is_zero_or_more);
            let field = format!("deployment.objectives[{i}].within_s");
            require(is_valid, field, Problem::Negative)?;
        }
        Ok(())
    }

    fn check_clock_offset(&self) -> CheckResult {
        let is_valid = is_zero_or_more(self.deployment.clock_off_ms);
        require(is_valid, "deployment.clock_off_ms", Problem::Negative)
    }
}

fn check_name(field: &str, name: &str) -> CheckResult {
    let is_valid =
        (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.contains(char::is_whitespace);
    require(is_valid, field, Problem::NameFormat)
}

fn check_team_name(field: &str, name: &str) -> CheckResult {
    let has_valid_length = (1..=MAX_NAME_BYTES).contains(&name.len());
    require(has_valid_length, field, Problem::NameLength)?;
    let is_forbidden = |c: char| c.is_whitespace() || c.is_control();
    require(!name.contains(is_forbidden), field, Problem::NameSpaces)
}

fn check_team_amounts(prefix: &str, team: &TeamQuota) -> CheckResult {
    for (part, value) in [
        ("cpus", team.cpus),
        ("cpus_max", team.cpus_max),
        ("gpus", team.gpus),
        ("gpus_max", team.gpus_max),
    ] {
        let is_valid = (0.0..=MAX_TEAM_AMOUNT).contains(&value);
        require(is_valid, format!("{prefix}.{part}"), Problem::TeamAmount)?;
    }
    for (part, guarantee, limit) in [
        ("cpus_max", team.cpus, team.cpus_max),
        ("gpus_max", team.gpus, team.gpus_max),
    ] {
        let is_valid = limit <= 0.0 || limit >= guarantee;
        require(
            is_valid,
            format!("{prefix}.{part}"),
            Problem::BelowGuarantee,
        )?;
    }
    Ok(())
}

fn check_next_state_limits(next: &NextStateServiceLimits) -> CheckResult {
    for (part, rate) in [("rps", next.rps), ("write_rps", next.write_rps)] {
        let field = format!("deployment.state.next.{part}");
        require(rate.is_none_or(is_positive), field, Problem::NotPositive)?;
    }
    require(
        next.txn_ops
            .is_none_or(|writes| writes >= MIN_COMMIT_WRITES),
        "deployment.state.next.txn_ops",
        Problem::TooSmall(MIN_COMMIT_WRITES),
    )?;
    let is_value_size = |size: f64| (MIN_VALUE_KB..=MAX_FIELD_VALUE).contains(&size);
    require(
        next.value_kb.is_none_or(is_value_size),
        "deployment.state.next.value_kb",
        Problem::ValueSize,
    )
}

fn is_positive(value: f64) -> bool {
    value > 0.0 && value <= MAX_FIELD_VALUE
}

fn is_zero_or_more(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}
