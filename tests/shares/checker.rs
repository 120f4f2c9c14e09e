//! A checker that reads every committed revision and verifies the invariants of shares,
//! bookings and moves. It computes all sums from the records, independently of the program.
//!
//! Each move increases the generation of its team's share record by one. A generation is settled
//! once no move of the team is pending.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use shares::{MoveRecord, Pool, Share};
use shelfhoist::state::records::{Amount, Job, MachineShard, Resources};

use tokio::time::Instant;

use crate::stand_ins::{DeploymentOptions, Simulation};

/// A violation of an invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// The shares of a team add up to more than its limit.
    AboveLimit,
    /// The sum of all shares, or the pool, exceeds the capacity of the machines on record.
    AboveMachines,
    /// More is booked against a share than it has.
    Overbooked,
    /// Apart from its share, a job changed when a move charged it to another share.
    MovedJobChanged,
    /// The change of a share record does not match the moves that were requested.
    WrongMove,
    /// The record of a move was changed or removed.
    MoveRewritten,
    /// More is booked for a team than its limit.
    TeamAboveLimit,
}

/// Counts of observed events, for the report of the test.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    pub revisions: usize,
    pub moves: usize,
    /// Number of times that a move charged a job with bookings to another share.
    pub jobs_reassigned: usize,
    /// Number of generations that were settled.
    pub settled: usize,
    /// Number of moves that were requested before the previous generation was settled.
    pub superseded: usize,
    /// Number of machines that were removed from the records.
    pub machines_removed: usize,
    /// Largest amount booked for one team at any time, in thousandths of a CPU.
    pub max_booked: i64,
}

/// The records as of the last revision, and the violations found so far.
#[derive(Default)]
struct Observed {
    jobs: BTreeMap<String, Job>,
    shares: BTreeMap<String, Share>,
    moves: BTreeMap<String, MoveRecord>,
    machines: BTreeMap<String, Resources>,
    names: BTreeMap<String, BTreeSet<String>>,
    pool: Option<Pool>,
    /// Request time of each generation that is not settled, by team and generation.
    requested: BTreeMap<(String, u64), Instant>,
    /// Time of each move from its request until it was settled.
    durations: Vec<Duration>,
    violations: BTreeMap<Violation, String>,
    counts: Counts,
}

/// The checker of one deployment.
pub struct Checker {
    /// The limits of the teams, in CPUs.
    limits: BTreeMap<String, Amount>,
    observed: RefCell<Observed>,
}

/// Returns the resources of a machine type of the stand-in cloud.
fn machine_resources(kind: &str) -> Resources {
    let cpus = match kind {
        "small" => 4.0,
        _ => 8.0,
    };
    Resources {
        cpus: Amount::rounded_down(cpus),
        gpus: Amount(0),
        ram: Amount::rounded_down(16.0),
    }
}

fn decode<T: serde::de::DeserializeOwned>(value: &Value) -> T {
    serde_json::from_str(&value.to_string()).expect("a record")
}

impl Checker {
    /// Returns a checker that observes every commit of the deployment from now on.
    pub fn watch(simulation: &Simulation) -> Rc<Self> {
        let checker = Rc::new(Checker::new(&simulation.shape));
        let observer = checker.clone();
        let observe = move |pairs: &BTreeMap<String, (Value, u64)>, keys: &[&str], revision| {
            let value = |key: &str| pairs.get(key).map(|pair| pair.0.clone());
            let written: Vec<(&str, Option<Value>)> =
                keys.iter().map(|key| (*key, value(key))).collect();
            observer.observe(&written, revision);
        };
        simulation
            .state
            .observers
            .borrow_mut()
            .push(Box::new(observe));
        checker
    }

    /// Returns a checker for the limits of this deployment. The caller passes each commit to
    /// [`observe`](Self::observe).
    pub fn new(shape: &DeploymentOptions) -> Self {
        let limits = shape.teams.iter();
        Checker {
            limits: limits
                .map(|(name, _, limit)| (name.clone(), Amount::rounded_down(*limit)))
                .collect(),
            observed: RefCell::default(),
        }
    }

    /// Checks one commit, given the keys that it wrote with their records.
    pub fn observe(&self, written: &[(&str, Option<Value>)], revision: u64) {
        let observed = &mut *self.observed.borrow_mut();
        observed.counts.revisions += 1;
        let before = observed.shares.clone();
        // A booking writes the zone shards of its machines; a move writes none.
        let books = written.iter().any(|(key, _)| key.starts_with("sh/zone/"));
        let mut new_moves = Vec::new();
        for (key, value) in written {
            let Some((table, id)) = key
                .strip_prefix("sh/")
                .map(|k| k.split_once('/').unwrap_or((k, "")))
            else {
                continue;
            };
            match table {
                "job" => observed.apply_job(id, value.as_ref().map(decode), books, revision),
                "share" => observed.apply_share(id, value.as_ref().map(decode)),
                "move" => {
                    new_moves.extend(observed.apply_move(id, value.as_ref().map(decode), revision))
                }
                "machine" => observed.apply_machines(id, value.as_ref().map(decode)),
                "pool" => observed.pool = value.as_ref().map(decode),
                _ => {}
            }
        }
        observed.check_generations(&before, &new_moves, revision);
        observed.check_sums(&self.limits, revision);
    }

    /// Returns all violations, each with the description of its first occurrence.
    pub fn violations(&self) -> BTreeMap<Violation, String> {
        self.observed.borrow().violations.clone()
    }

    /// Asserts that no violation was found.
    pub fn assert_no_violations(&self, case: &str) {
        let violations = self.violations();
        assert!(violations.is_empty(), "{case}: {violations:#?}");
    }

    pub fn counts(&self) -> Counts {
        self.observed.borrow().counts
    }

    /// Returns the durations of the moves, the shortest first.
    pub fn durations(&self) -> Vec<Duration> {
        let mut durations = self.observed.borrow().durations.clone();
        durations.sort();
        durations
    }

    /// Returns the share record of a team, if there is one.
    pub fn share(&self, team: &str) -> Option<Share> {
        self.observed.borrow().shares.get(team).cloned()
    }

    /// Returns whether the pool exists.
    pub fn has_pool(&self) -> bool {
        self.observed.borrow().pool.is_some()
    }

    /// Returns whether any share record has pending amounts.
    pub fn is_moving(&self) -> bool {
        let observed = self.observed.borrow();
        observed
            .shares
            .values()
            .any(|share| !share.pending.is_empty())
    }

    /// Describes the pending amounts of all teams, for messages.
    pub fn pending(&self) -> String {
        let observed = self.observed.borrow();
        let shares = observed
            .shares
            .iter()
            .filter(|(_, s)| !s.pending.is_empty());
        let text: Vec<String> = shares
            .map(|(team, share)| format!("{team}: {share:?} used {:?}", observed.booked(team)))
            .collect();
        text.join("; ")
    }

    /// Returns all jobs without the share that they are charged to, so that attempts and
    /// machines can be compared.
    pub fn placements(&self) -> BTreeMap<String, Job> {
        let observed = self.observed.borrow();
        let jobs = observed.jobs.iter().map(|(id, job)| {
            let mut job = job.clone();
            job.share = None;
            (id.clone(), job)
        });
        jobs.collect()
    }
}

/// Returns whether any task is still booked on the same machine in the same attempt.
fn survives(old: &Job, new: &Job) -> bool {
    old.runs.iter().any(|run| {
        let mut tasks = run.tasks.iter();
        tasks.any(|task| new.find_run(&run.machine, run.attempt, task).is_some())
    })
}

/// Returns the resources that a job has booked.
fn booked(job: &Job) -> Resources {
    let spec = job.spec.as_ref();
    spec.map_or(Resources::default(), |spec| {
        spec.need.times(job.booked_count())
    })
}

impl Observed {
    /// Records a violation, if it is the first of its kind.
    fn record_violation(&mut self, violation: Violation, description: String) {
        self.violations.entry(violation).or_insert(description);
    }

    /// Applies a written job and checks the change of its share. If a move charges the job to
    /// another share, nothing else of the job may change. A commit that books tasks may change
    /// the share only if no earlier booking remains.
    fn apply_job(&mut self, id: &str, job: Option<Job>, books: bool, revision: u64) {
        let Some(job) = job else {
            self.jobs.remove(id);
            return;
        };
        if let Some(old) = self.jobs.insert(id.to_string(), job.clone())
            && old.share != job.share
            && !old.runs.is_empty()
        {
            self.counts.jobs_reassigned += usize::from(!books);
            let with_old_share = Job {
                share: old.share.clone(),
                ..job.clone()
            };
            let changed = match books {
                true => survives(&old, &job),
                false => with_old_share != old,
            };
            if changed {
                let description = format!("{id} at {revision}: {old:?} became {job:?}");
                self.record_violation(Violation::MovedJobChanged, description);
            }
        }
    }

    /// Applies a written share record.
    fn apply_share(&mut self, team: &str, share: Option<Share>) {
        match share {
            Some(share) => _ = self.shares.insert(team.to_string(), share),
            None => _ = self.shares.remove(team),
        }
    }

    /// Applies the written record of a move, which must never be changed or removed later.
    /// Returns the record if it is new.
    fn apply_move(
        &mut self,
        id: &str,
        record: Option<MoveRecord>,
        revision: u64,
    ) -> Option<MoveRecord> {
        if self.moves.contains_key(id) || record.is_none() {
            self.record_violation(Violation::MoveRewritten, format!("{id} at {revision}"));
            return None;
        }
        let record = record?;
        self.moves.insert(id.to_string(), record.clone());
        self.counts.moves += 1;
        Some(record)
    }

    /// Applies a written machine shard.
    fn apply_machines(&mut self, shard: &str, record: Option<MachineShard>) {
        let machines = record.map(|record| record.machines).unwrap_or_default();
        let names: BTreeSet<String> = machines.keys().cloned().collect();
        let before = self.names.insert(shard.to_string(), names.clone());
        let removed = before.unwrap_or_default().difference(&names).count();
        self.counts.machines_removed += removed;
        let resources = machines
            .values()
            .map(|machine| machine_resources(&machine.kind));
        self.machines.insert(shard.to_string(), resources.sum());
    }

    /// Checks that the generation of a share record increases by exactly one with each move, and
    /// that each move changes the targets of its two shares by the amount that it moves.
    fn check_generations(
        &mut self,
        before: &BTreeMap<String, Share>,
        new_moves: &[MoveRecord],
        revision: u64,
    ) {
        let teams: BTreeSet<String> = before.keys().chain(self.shares.keys()).cloned().collect();
        for team in teams {
            let (Some(old), Some(new)) = (before.get(&team), self.shares.get(&team).cloned())
            else {
                continue;
            };
            let of_team: Vec<&MoveRecord> = new_moves
                .iter()
                .filter(|record| record.team.as_str() == team)
                .collect();
            if new.generation != old.generation + of_team.len() as u64 {
                let description =
                    format!("{team} at {revision}: {old:?} became {new:?} by {of_team:?}");
                self.record_violation(Violation::WrongMove, description);
            }
            for record in of_team {
                let target_change = |name: &str| new.target_for(name) - old.target_for(name);
                let negative_amount = Resources::default() - record.amount;
                if target_change(record.from.as_str()) != negative_amount
                    || target_change(record.to.as_str()) != record.amount
                {
                    let description =
                        format!("{team} at {revision}: {record:?} made {old:?} into {new:?}");
                    self.record_violation(Violation::WrongMove, description);
                }
                let generation = (team.clone(), record.generation);
                self.requested.insert(generation, Instant::now());
                self.counts.superseded += usize::from(old.settled < old.generation);
            }
            self.counts.settled += usize::from(new.settled > old.settled);
            self.record_settled(&team, new.settled);
        }
        for record in new_moves {
            if !self.shares.contains_key(record.team.as_str()) {
                self.record_violation(
                    Violation::WrongMove,
                    format!("{record:?} at {revision} without a share record"),
                );
            }
        }
    }

    /// Records the durations of a team's newly settled moves: those in `requested` with a
    /// generation of at most `settled`. Removes them from `requested`.
    fn record_settled(&mut self, team: &str, settled: u64) {
        let first = (team.to_string(), 0);
        let last = (team.to_string(), settled);
        let done: Vec<_> = self
            .requested
            .range(first..=last)
            .map(|(key, _)| key.clone())
            .collect();
        for key in done {
            let requested = self.requested.remove(&key);
            self.durations
                .extend(requested.map(|requested| requested.elapsed()));
        }
    }

    /// Returns the resources that are booked against each share of a team.
    fn booked(&self, team: &str) -> BTreeMap<String, Resources> {
        let mut sums: BTreeMap<String, Resources> = BTreeMap::new();
        let fallback = self
            .shares
            .get(team)
            .map(|share| share.fallback.to_string());
        for job in self.jobs.values() {
            let is_of_team = job.spec.as_ref().is_some_and(|spec| spec.team == team);
            if is_of_team && !job.runs.is_empty() {
                let named = job.share.as_ref().map(|name| name.to_string());
                let name = named.or_else(|| fallback.clone()).unwrap_or_default();
                *sums.entry(name).or_default() += booked(job);
            }
        }
        sums
    }

    /// Checks the booked and granted sums against the limits, the shares and the machines.
    fn check_sums(&mut self, limits: &BTreeMap<String, Amount>, revision: u64) {
        let mut all = Resources::default();
        for (team, limit) in limits {
            let used = self.booked(team);
            let total: Resources = used.values().copied().sum();
            self.counts.max_booked = self.counts.max_booked.max(total.cpus.0);
            if total.cpus > *limit {
                self.record_violation(
                    Violation::TeamAboveLimit,
                    format!("{team} at {revision}: {used:?}"),
                );
            }
            let Some(share) = self.shares.get(team).cloned() else {
                continue;
            };
            let granted = share.granted.values().copied().sum::<Resources>();
            all += granted;
            if granted.cpus > *limit {
                self.record_violation(
                    Violation::AboveLimit,
                    format!("{team} at {revision}: {share:?}"),
                );
            }
            for (name, used) in used {
                if !share.granted_to(&name).fits(&used) {
                    let description =
                        format!("{team} of {name} at {revision}: {used:?} in {share:?}");
                    self.record_violation(Violation::Overbooked, description);
                }
            }
        }
        let machines: Resources = self.machines.values().copied().sum();
        let capacity = self.pool.map(|pool| pool.capacity).unwrap_or_default();
        if !machines.fits(&all.max(&capacity)) {
            let description = format!("at {revision}: {all:?} and {capacity:?} of {machines:?}");
            self.record_violation(Violation::AboveMachines, description);
        }
    }
}
