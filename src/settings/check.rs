//! The checks of the settings, in the order in which they are made: the first
//! field that is wrong is the one that is reported.

use std::collections::HashSet;

use super::{NextStateServiceLimits, Settings, SettingsError, TeamQuota};

/// The longest name, in bytes.
const NAME_LIMIT: usize = 100;
/// The largest rate, size or time.
const FIGURE_LIMIT: f64 = 1e6;
/// The largest guarantee or limit of a team.
const TEAM_FIGURE_LIMIT: f64 = 1e9;
/// The smallest transaction that the scheduler can work with, in writes.
const MIN_TXN_OPS: usize = 4;
/// The smallest record limit that the scheduler can work with, in KiB.
const MIN_VALUE_KB: f64 = 2.0;
/// The longest name of a team or a controller with shares on, in bytes.
const SHARE_NAME_LIMIT: usize = 90;
/// What a team's split takes for a controller beside its name: three amounts of up to
/// thirteen digits, quotes and marks.
const SHARE_BYTES: usize = 64;
/// The fewest sockets that a controller can work with.
const MIN_SOCKETS: usize = 50;
/// How many report intervals a lease has to exceed.
const REPORTS_PER_LEASE: f64 = 2.0;
/// How many times the lease the time to cancel has to exceed.
const LEASES_PER_CANCEL: f64 = 1.1;

/// What is wrong with the value of a field.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum FieldProblem {
    /// The name of a controller or zone is empty, too long or has spaces.
    #[error("must be 1 to 100 characters with no spaces")]
    NameFormat,
    /// A team's name is empty or too long.
    #[error("must be 1 to 100 characters")]
    NameLength,
    /// A team's name has spaces or control characters.
    #[error("must hold no spaces")]
    NameSpaces,
    /// Another entry of the list has the same name.
    #[error("is named twice")]
    Duplicate,
    /// The port of an address is 0.
    #[error("needs a port")]
    NoPort,
    /// The gossip and the HTTP listener cannot share an address.
    #[error("is the same as serve_on")]
    SameAsServeOn,
    /// The deployment's count is not that of the controllers listed.
    #[error("is {count} but others names {others}")]
    ControllerCount {
        /// The deployment's count.
        count: usize,
        /// How many other controllers are listed.
        others: usize,
    },
    /// The list of zones is empty.
    #[error("names no zone")]
    NoZones,
    /// The controller's own zone is not listed.
    #[error("is not one of deployment.zones")]
    UnknownZone,
    /// A rate, size or time is not above 0, or is too large.
    #[error("must be a number above 0, a million at most")]
    NotPositive,
    /// A time is below 0.
    #[error("must be 0 or more")]
    Negative,
    /// A team's guarantee or limit is below 0 or too large.
    #[error("must be a number from 0 to a billion")]
    TeamFigure,
    /// A team's limit is below its guarantee.
    #[error("is below the guarantee")]
    BelowGuarantee,
    /// A lease has to outlast two report intervals.
    #[error("must be more than two report intervals")]
    LeaseTooShort,
    /// Cancelling has to take longer than a lease, with a margin.
    #[error("must exceed lease_s by a tenth at least")]
    CancelTooShort,
    /// An amount is below the given one, with which the scheduler can work.
    #[error("must be {0} at least")]
    TooSmall(usize),
    /// A record limit to come is too small or too large.
    #[error("must be 2 at least, a million at most")]
    ValueSize,
    /// With shares on, the names of a team and a controller make a key together.
    #[error("with shares on, needs no slash and 90 bytes at most")]
    ShareName,
    /// With shares on, a team's split names every controller.
    #[error("too many controllers or too long names for a record of a team's shares")]
    ShareRecord,
}

use FieldProblem as Problem;

type CheckResult = Result<(), SettingsError>;

/// Reports `problem` of a field unless `condition` holds.
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
    pub(super) fn check(&self) -> CheckResult {
        self.check_controllers()?;
        self.check_addresses()?;
        self.check_controller_count()?;
        self.check_zones()?;
        self.check_teams()?;
        self.check_figures()?;
        self.check_worker_timing()?;
        self.check_state_limits()?;
        if let Some(next) = &self.deployment.state.next {
            check_next_state_limits(next)?;
        }
        self.check_sockets()?;
        self.check_objectives()?;
        self.check_clock_offset()
    }

    /// Checks what the features that are on ask of the settings.
    pub fn check_features(&self) -> CheckResult {
        if !self.features.shares.enabled {
            return Ok(());
        }
        let is_fit = |name: &str| name.len() <= SHARE_NAME_LIMIT && !name.contains('/');
        let controllers = self.controllers();
        for name in &controllers {
            require(is_fit(name), *name, Problem::ShareName)?;
        }
        for (i, team) in self.deployment.teams.iter().enumerate() {
            let field = format!("deployment.teams[{i}].name");
            require(is_fit(&team.name), field, Problem::ShareName)?;
        }
        let split: usize = controllers
            .iter()
            .map(|name| name.len() + SHARE_BYTES)
            .sum();
        // What is granted, and what is left to move.
        let fits = SHARE_BYTES + self.max_name_length() + split * 2 <= self.value_limit_bytes();
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
            check_team_figures(&prefix, team)?;
        }
        Ok(())
    }

    fn check_figures(&self) -> CheckResult {
        let workers = &self.deployment.workers;
        let state = &self.deployment.state;
        let cloud = &self.deployment.cloud;
        let limits = &self.deployment.machine_limits;
        for (field, figure) in [
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
            require(is_positive(figure), field, Problem::NotPositive)?;
        }
        Ok(())
    }

    fn check_worker_timing(&self) -> CheckResult {
        let workers = &self.deployment.workers;
        require(
            workers.lease_s > REPORTS_PER_LEASE * workers.report_s,
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
            state.txn_ops >= MIN_TXN_OPS,
            "deployment.state.txn_ops",
            Problem::TooSmall(MIN_TXN_OPS),
        )?;
        require(
            state.value_kb >= MIN_VALUE_KB,
            "deployment.state.value_kb",
            Problem::TooSmall(MIN_VALUE_KB as usize),
        )
    }

    fn check_sockets(&self) -> CheckResult {
        require(
            self.deployment.machine_limits.sockets >= MIN_SOCKETS,
            "deployment.machine_limits.sockets",
            Problem::TooSmall(MIN_SOCKETS),
        )
    }

    fn check_objectives(&self) -> CheckResult {
        for (i, objective) in self.deployment.objectives.iter().enumerate() {
            let is_right = objective.within_s.is_none_or(is_zero_or_more);
            let field = format!("deployment.objectives[{i}].within_s");
            require(is_right, field, Problem::Negative)?;
        }
        Ok(())
    }

    fn check_clock_offset(&self) -> CheckResult {
        let is_right = is_zero_or_more(self.deployment.clock_off_ms);
        require(is_right, "deployment.clock_off_ms", Problem::Negative)
    }
}

fn check_name(field: &str, name: &str) -> CheckResult {
    let is_right = (1..=NAME_LIMIT).contains(&name.len()) && !name.contains(char::is_whitespace);
    require(is_right, field, Problem::NameFormat)
}

fn check_team_name(field: &str, name: &str) -> CheckResult {
    let has_length = (1..=NAME_LIMIT).contains(&name.len());
    require(has_length, field, Problem::NameLength)?;
    let is_forbidden = |c: char| c.is_whitespace() || c.is_control();
    require(!name.contains(is_forbidden), field, Problem::NameSpaces)
}

fn check_team_figures(prefix: &str, team: &TeamQuota) -> CheckResult {
    for (part, figure) in [
        ("cpus", team.cpus),
        ("cpus_max", team.cpus_max),
        ("gpus", team.gpus),
        ("gpus_max", team.gpus_max),
    ] {
        let is_right = (0.0..=TEAM_FIGURE_LIMIT).contains(&figure);
        require(is_right, format!("{prefix}.{part}"), Problem::TeamFigure)?;
    }
    for (part, guarantee, limit) in [
        ("cpus_max", team.cpus, team.cpus_max),
        ("gpus_max", team.gpus, team.gpus_max),
    ] {
        let is_right = limit <= 0.0 || limit >= guarantee;
        require(
            is_right,
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
        next.txn_ops.is_none_or(|writes| writes >= MIN_TXN_OPS),
        "deployment.state.next.txn_ops",
        Problem::TooSmall(MIN_TXN_OPS),
    )?;
    let is_value_size = |size: f64| (MIN_VALUE_KB..=FIGURE_LIMIT).contains(&size);
    require(
        next.value_kb.is_none_or(is_value_size),
        "deployment.state.next.value_kb",
        Problem::ValueSize,
    )
}

fn is_positive(figure: f64) -> bool {
    figure > 0.0 && figure <= FIGURE_LIMIT
}

fn is_zero_or_more(figure: f64) -> bool {
    figure.is_finite() && figure >= 0.0
}
