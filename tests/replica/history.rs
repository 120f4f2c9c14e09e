//! Random histories of one replica and the state service.

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use shelfhoist::state::full_read::FullRead;
use shelfhoist::state::keys::*;
use shelfhoist::state::records::*;
use shelfhoist::state::replica::Replica;
use shelfhoist::wire::WatchResponse;

use crate::service::{KeyWrite, Records, Service, apply, commit_writes, snapshot_of};

/// Number of jobs, machines, machine shards and other records of each kind.
const JOBS: usize = 4;
const MACHINES: usize = 5;
const SHARDS: usize = 3;
const OTHERS: usize = 2;

/// Id of the batch of accepted jobs.
const BATCH: &str = "n0-1";

/// The zone of all machines.
const ZONE: &str = "a";

/// A random step of a history.
#[derive(Debug)]
#[allow(dead_code, reason = "the fields are for the output of a failure")]
pub enum Action {
    /// Another controller commits to these keys.
    OtherCommit(Vec<String>),
    /// This controller sends a commit to these keys, which is executed at once.
    OwnCommit(Vec<String>),
    /// The answer to this controller's commit of this revision arrives.
    Answer(u64),
    /// The answer to a watch arrives.
    Watch,
    /// A full read executes its next page.
    Page,
    /// A full read is complete.
    Reload,
}

/// A commit that a controller has decided on.
struct Proposal {
    writes: Vec<KeyWrite>,
    /// Keys that the commit depends on, in addition to the written ones.
    guards: Vec<String>,
}

impl From<Vec<KeyWrite>> for Proposal {
    fn from(writes: Vec<KeyWrite>) -> Self {
        let guards = Vec::new();
        Proposal { writes, guards }
    }
}

/// A commit of this controller.
struct OwnCommit {
    revision: u64,
    writes: Vec<KeyWrite>,
}

/// A history of one replica and the state service.
pub struct History {
    rng: SmallRng,
    service: Service,
    replica: Replica,
    /// Commits of this controller whose answers have not arrived.
    unanswered: Vec<OwnCommit>,
    /// Commits of this controller whose answers have arrived, in the order of the answers.
    answered: Vec<OwnCommit>,
    full_read: Option<FullRead>,
}

/// Contents of a replica in a form that can be compared: a line for each entry of its tables
/// and indexes.
type View = BTreeSet<String>;

impl History {
    pub fn new(seed: u64) -> Self {
        let mut history = History {
            rng: SmallRng::seed_from_u64(seed),
            service: Service::default(),
            replica: Replica::default(),
            unanswered: Vec::new(),
            answered: Vec::new(),
            full_read: None,
        };
        let slots: Value = (0..MACHINES)
            .map(slot_entry)
            .collect::<serde_json::Map<_, _>>()
            .into();
        let machines: Value = (0..MACHINES)
            .map(|number| (machine_name(number), machine(1)))
            .collect::<serde_json::Map<_, _>>()
            .into();
        history.service.commit(vec![
            (zone_shard_key(&shard(0)), Some(json!({"m": slots}))),
            (machine_shard_key(&shard(0)), Some(json!({"m": machines}))),
        ]);
        let snapshot = snapshot_of(&history.service.records, history.service.revision());
        history.replica.reload(snapshot);
        history
    }

    /// Performs a random step.
    pub fn step(&mut self) -> Action {
        loop {
            let action = match self.rng.random_range(0..10) {
                0..=2 => Some(self.commit_as_other()),
                3..=5 => self.commit_as_own(),
                6 | 7 => self.answer(),
                8 if self.full_read.is_none() => Some(self.watch()),
                _ => Some(self.advance_full_read()),
            };
            if let Some(action) = action {
                return action;
            }
        }
    }

    fn commit_as_other(&mut self) -> Action {
        let records = self.service.records.clone();
        let Proposal { writes, .. } = self.propose(&records);
        let keys = keys_of(&writes);
        self.service.commit(writes);
        Action::OtherCommit(keys)
    }

    /// Commits as this controller, which decides by its replica. The commit requires that its
    /// keys are unchanged since the versions in the replica; returns `None` if they are not.
    fn commit_as_own(&mut self) -> Option<Action> {
        let known = self.expected_records();
        let Proposal { writes, guards } = self.propose(&known);
        let is_current =
            |key: &String| known.get(key).map_or(0, |record| record.1) == self.service.version(key);
        let keys = keys_of(&writes);
        if !keys.iter().chain(&guards).all(is_current) {
            return None;
        }
        let revision = self.service.commit(writes.clone());
        self.unanswered.push(OwnCommit { revision, writes });
        Some(Action::OwnCommit(keys))
    }

    /// Delivers the answer to a random commit of this controller.
    fn answer(&mut self) -> Option<Action> {
        if self.unanswered.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..self.unanswered.len());
        let commit = self.unanswered.remove(index);
        let revision = commit.revision;
        self.replica
            .apply_commit(&commit_writes(&commit.writes), revision);
        self.answered.push(commit);
        Some(Action::Answer(revision))
    }

    /// Delivers the events up to a random revision.
    fn watch(&mut self) -> Action {
        let (from, to) = (self.replica.revision, self.service.revision());
        let reached = self.rng.random_range(from..=to);
        let mut events = self.service.events_after(from);
        events.retain(|event| event.version <= reached);
        self.replica.apply_events(events, reached);
        Action::Watch
    }

    /// Reads the next page of a full read, or completes the read after its last page.
    fn advance_full_read(&mut self) -> Action {
        let mut read = self.full_read.take().unwrap_or_default();
        let max_records = self.rng.random_range(1..=self.service.records.len());
        let page = self.service.page(read.last_key(), max_records);
        if page.records.is_empty() {
            self.reload(read);
            return Action::Reload;
        }
        read.add_page(page);
        self.full_read = Some(read);
        Action::Page
    }

    fn reload(&mut self, read: FullRead) {
        let snapshot = match read.changes_needed_after() {
            Some(after) => read.into_snapshot_with(WatchResponse {
                revision: self.service.revision(),
                events: self.service.events_after(after),
            }),
            None => read.into_snapshot(),
        };
        self.replica.reload(snapshot);
    }

    /// Returns the records that the replica must contain: the state at its revision, and the
    /// answered commits of this controller above that revision.
    fn expected_records(&self) -> Records {
        let revision = self.replica.revision;
        let mut records = self.service.records_at(revision);
        let mut newer: Vec<&OwnCommit> = self.answered.iter().collect();
        newer.retain(|commit| commit.revision > revision);
        newer.sort_by_key(|commit| commit.revision);
        for commit in newer {
            apply(&mut records, &commit.writes, commit.revision);
        }
        records
    }

    /// Returns the number of keys that answered commits above the replica's revision write.
    fn expected_local_writes(&self) -> usize {
        let newer = self.answered.iter();
        let newer = newer.filter(|commit| commit.revision > self.replica.revision);
        let keys: BTreeSet<&String> = newer
            .flat_map(|commit| commit.writes.iter().map(|(key, _)| key))
            .collect();
        keys.len()
    }

    /// Returns the lines of the view that differ from those of a replica with the expected
    /// records, marked with `has` or `lacks`. Also checks that the replica keeps no further
    /// commits of this controller, which would take memory.
    pub fn differences(&self) -> Vec<String> {
        let mut expected = Replica::default();
        expected.reload(snapshot_of(&self.expected_records(), self.replica.revision));
        let (actual, expected) = (view(&self.replica), view(&expected));
        let has = actual.difference(&expected).map(|l| format!("has {l}"));
        let lacks = expected.difference(&actual).map(|l| format!("lacks {l}"));
        let kept = self.replica.local_write_count();
        let kept = (kept != self.expected_local_writes()).then(|| format!("keeps {kept} writes"));
        has.chain(lacks).chain(kept).collect()
    }
}

// Random commits. Each keeps what the scheduler's commits keep: a machine is in one shard of
// each kind, the record of a job is never removed, and a batch of accepted jobs is removed once
// all of them have records of their own.
impl History {
    fn propose(&mut self, records: &Records) -> Proposal {
        match self.rng.random_range(0..8) {
            0 | 1 => vec![self.job_write(records)].into(),
            2 => accepted_batch_change(records),
            3 | 4 => self.machine_change(records, machine_shard_key, machine),
            5 | 6 => self.machine_change(records, zone_shard_key, |_| slot()),
            _ => vec![self.other_write()].into(),
        }
    }

    /// Books the tasks of a job on random machines, or ends the job.
    fn job_write(&mut self, records: &Records) -> KeyWrite {
        let id = job_id(self.rng.random_range(0..JOBS));
        let key = job_key(&id);
        let recorded = records.get(&key).map(|record| &record.0);
        let status = match recorded.map(|job| &job["f"]) {
            Some(status) if status != "o" => status.as_str().expect("status"),
            _ => ["o", "o", "o", "d", "c"][self.rng.random_range(0..5)],
        };
        let runs: Vec<Value> = (0..self.rng.random_range(0..3))
            .map(|_| {
                let machine = machine_name(self.rng.random_range(0..MACHINES));
                let attempt = self.rng.random_range(1..4);
                json!({"m": machine, "z": ZONE, "a": attempt, "t": "0"})
            })
            .collect();
        let job = json!({"f": status, "s": job_spec(), "n": 1, "b": 1, "r": runs});
        (key, Some(job))
    }

    /// Changes, moves, removes or adds a machine in the shards of one kind. A commit that adds
    /// a machine depends on all shards, so that the machine gets into only one of them.
    fn machine_change(
        &mut self,
        records: &Records,
        key: fn(&str) -> String,
        entry: fn(u64) -> Value,
    ) -> Proposal {
        let name = machine_name(self.rng.random_range(0..MACHINES));
        let target = key(&shard(self.rng.random_range(0..SHARDS)));
        let is_removed = self.rng.random_bool(0.2);
        let all_keys: Vec<String> = (0..SHARDS).map(|number| key(&shard(number))).collect();
        let mut changed: BTreeMap<String, Value> = BTreeMap::new();
        for key in &all_keys {
            let Some((mut record, _)) = records.get(key).cloned() else {
                continue;
            };
            let machines = record["m"].as_object_mut().expect("machines");
            if machines.remove(&name).is_some() {
                changed.insert(key.clone(), record);
            }
        }
        let guards = match changed.is_empty() {
            true => all_keys,
            false => Vec::new(),
        };
        if !is_removed {
            let recorded = records.get(&target).map(|record| record.0.clone());
            let record = changed
                .entry(target)
                .or_insert_with(|| recorded.unwrap_or_else(|| json!({"m": {}})));
            record["m"][&name] = entry(self.service.revision() + 1);
        }
        let writes = changed.into_iter();
        Proposal {
            writes: writes.map(|(key, record)| (key, Some(record))).collect(),
            guards,
        }
    }

    /// Writes or removes a record that is not part of an index.
    fn other_write(&mut self) -> KeyWrite {
        let name = format!("x{}", self.rng.random_range(0..OTHERS));
        let incarnation = self.service.revision() + 1;
        let controller = ControllerRecord {
            controller: name.clone(),
            incarnation,
            formats: 0,
        };
        let controller = serde_json::to_value(controller).expect("controller");
        let (key, value) = match self.rng.random_range(0..4) {
            0 => (team_key(&name), json!({})),
            1 => (controller_key(&name), controller),
            2 => (FLEET_KEY.to_string(), controller),
            _ => {
                let request = ProvisioningRequest {
                    kind: "big".to_string(),
                    zone: ZONE.to_string(),
                    spot: false,
                    count: 1,
                    machines: Vec::new(),
                };
                let request = serde_json::to_value(request).expect("request");
                (provisioning_request_key(&name), request)
            }
        };
        let is_removed = self.rng.random_bool(0.4);
        (key, (!is_removed).then_some(value))
    }
}

/// Accepts new jobs in a batch, or removes the batch once every job has a record of its own.
/// Gives the jobs that have none such a record first.
fn accepted_batch_change(records: &Records) -> Proposal {
    let batch_key = accepted_batch_key(BATCH);
    let job_keys: Vec<String> = (0..JOBS).map(|number| job_key(&job_id(number))).collect();
    let write = if records.contains_key(&batch_key) {
        let mut missing = job_keys.iter().filter(|key| !records.contains_key(*key));
        match missing.next() {
            Some(key) => (key.clone(), Some(open_job())),
            None => (batch_key, None),
        }
    } else {
        let jobs = (0..JOBS).map(|number| (job_id(number), job_spec()));
        let jobs: serde_json::Map<String, Value> = jobs.collect();
        (batch_key, Some(json!({"b": 1, "j": jobs})))
    };
    vec![write].into()
}

fn open_job() -> Value {
    json!({"f": "o", "s": job_spec(), "n": 1, "b": 1})
}

fn keys_of(writes: &[KeyWrite]) -> Vec<String> {
    writes.iter().map(|(key, _)| key.clone()).collect()
}

fn job_id(number: usize) -> String {
    format!("job-{number:06}")
}

fn machine_name(number: usize) -> String {
    format!("host-{number:06}")
}

fn shard(number: usize) -> String {
    shard_id(ZONE, &format!("n0.{number}"))
}

fn slot_entry(number: usize) -> (String, Value) {
    (machine_name(number), slot())
}

fn slot() -> Value {
    let slot = MachineSlot {
        kind: "big".to_string(),
        spot: false,
        free: Resources::default(),
        unbooked: Resources::default(),
    };
    serde_json::to_value(slot).expect("slot")
}

/// Returns the record of a machine with this fencing token.
fn machine(fencing_token: u64) -> Value {
    let machine = Machine {
        fencing_token,
        ..Machine::new("big", ZONE)
    };
    serde_json::to_value(machine).expect("machine")
}

fn job_spec() -> Value {
    let submission = json!({"name_id":"job-000000","lot":"x","crew":"t","cut":"batch",
        "urgency":"normal","boards":1,"vcpus":2.0,"cards":0.0,"ram_gb":4.0,"blueprint":"i",
        "pull_gb":1.0,"grades":null,"yard":null,"same_place":false,"scatter":false,
        "loaners":false,"expect_s":10.0,"notch_s":0.0,"stow_s":0.0,"due_s":null});
    let submission: shelfhoist::wire::Submission =
        serde_json::from_value(submission).expect("submission");
    serde_json::to_value(JobSpec::from(&submission)).expect("spec")
}

/// Returns the contents of all tables and indexes of a replica.
fn view(replica: &Replica) -> View {
    let mut lines = View::from([
        format!("fleet {:?}", replica.fleet_leader),
        format!("open {:?}", replica.open_jobs),
        format!("team used {:?}", replica.team_used("t")),
    ]);
    lines.extend(replica.teams.iter().map(|e| format!("{e:?}")));
    lines.extend(replica.controllers.iter().map(|e| format!("{e:?}")));
    lines.extend(replica.zone_shards.iter().map(|e| format!("{e:?}")));
    lines.extend(replica.machine_shards.iter().map(|e| format!("{e:?}")));
    lines.extend(
        replica
            .provisioning_requests
            .iter()
            .map(|e| format!("{e:?}")),
    );
    lines.extend(replica.accepted_batches.iter().map(|e| format!("{e:?}")));
    let jobs: BTreeMap<_, _> = replica.jobs.iter().collect();
    lines.extend(jobs.iter().map(|e| format!("{e:?}")));
    for (id, entry) in &replica.machines {
        lines.insert(format!("machine {id} {:?}", entry.value));
    }
    for number in 0..MACHINES {
        let name = machine_name(number);
        let jobs: BTreeSet<&str> = replica.jobs_on(&name).map(|(id, _)| id).collect();
        let booked = replica.booked_on(&name);
        let zone_shard = replica.zone_shard_of(&name);
        lines.insert(format!("{name} {jobs:?} {booked:?} {zone_shard:?}"));
    }
    let slots = replica.placeable_machines().count();
    lines.insert(format!("{slots} slots, stale {:?}", replica.stale_slots()));
    let without_record: BTreeSet<&str> = replica.booked_machines_without_record().collect();
    lines.insert(format!("booked without record {without_record:?}"));
    lines
}
