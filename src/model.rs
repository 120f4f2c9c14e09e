//! What the state service keeps: jobs, teams, zones, machines and rentals.
//!
//! Records are small JSON values with short field names, as `value_kb` bounds
//! each of them. Everything here is plain data and pure functions.

use std::collections::{BTreeMap, HashSet};
use std::ops::{Add, AddAssign, Sub, SubAssign};

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::wire::{Kind, MachineType, Priority, Submission};

/// A thousandth of a unit. Whole numbers, so that every controller adds up to
/// the same figure.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Amount(pub i64);

impl Amount {
    /// What a task needs: rounded up.
    pub fn need(x: f64) -> Self {
        Amount((x * 1000.0 - 1e-6).ceil().max(0.0) as i64)
    }
    /// What a machine or a limit gives: rounded down.
    pub fn room(x: f64) -> Self {
        Amount((x * 1000.0 + 1e-6).floor().max(0.0) as i64)
    }
    /// The amount in whole units, as people write it.
    pub fn units(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

/// Resources of a machine: what a task needs, what is free, or what is used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// CPUs.
    #[serde(rename = "c")]
    pub cpus: Amount,
    /// Accelerators.
    #[serde(rename = "g")]
    pub gpus: Amount,
    /// Memory, in GB.
    #[serde(rename = "m")]
    pub ram: Amount,
}

impl Resources {
    /// All that a machine of this type has.
    pub fn of_type(t: &MachineType) -> Self {
        Resources {
            cpus: Amount::room(t.cpus),
            gpus: Amount::room(t.gpus),
            ram: Amount::room(t.memory_gb),
        }
    }

    /// Whether it is nothing at all.
    pub fn is_empty(&self) -> bool {
        *self == Resources::default()
    }

    /// Whether a task that needs this much fits into it.
    pub fn fits(&self, need: &Resources) -> bool {
        need.cpus <= self.cpus && need.gpus <= self.gpus && need.ram <= self.ram
    }

    /// The resources of so many equal tasks.
    pub fn times(&self, n: usize) -> Resources {
        self.scaled(n as i64)
    }

    /// As `times`, with a sign.
    pub fn scaled(&self, n: i64) -> Resources {
        Resources {
            cpus: Amount(self.cpus.0.saturating_mul(n)),
            gpus: Amount(self.gpus.0.saturating_mul(n)),
            ram: Amount(self.ram.0.saturating_mul(n)),
        }
    }

    /// How many tasks of `need` fit at once.
    pub fn slots(&self, need: &Resources) -> usize {
        let part = |have: Amount, want: Amount| {
            if want.0 <= 0 {
                usize::MAX
            } else {
                (have.0.max(0) / want.0) as usize
            }
        };
        part(self.cpus, need.cpus)
            .min(part(self.gpus, need.gpus))
            .min(part(self.ram, need.ram))
    }
}

impl Add for Resources {
    type Output = Resources;
    fn add(self, o: Resources) -> Resources {
        Resources {
            cpus: Amount(self.cpus.0 + o.cpus.0),
            gpus: Amount(self.gpus.0 + o.gpus.0),
            ram: Amount(self.ram.0 + o.ram.0),
        }
    }
}
impl Sub for Resources {
    type Output = Resources;
    fn sub(self, o: Resources) -> Resources {
        Resources {
            cpus: Amount(self.cpus.0 - o.cpus.0),
            gpus: Amount(self.gpus.0 - o.gpus.0),
            ram: Amount(self.ram.0 - o.ram.0),
        }
    }
}
impl AddAssign for Resources {
    fn add_assign(&mut self, o: Resources) {
        *self = *self + o;
    }
}
impl SubAssign for Resources {
    fn sub_assign(&mut self, o: Resources) {
        *self = *self - o;
    }
}

/// A set of task numbers as sorted, disjoint, closed ranges. Written as text,
/// `0-4,7`: a job of thousands of tasks has to fit into one record.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ranges(pub Vec<(u32, u32)>);

impl Serialize for Ranges {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        use std::fmt::Write;
        let mut text = String::with_capacity(self.0.len() * 8);
        for (a, b) in &self.0 {
            let comma = if text.is_empty() { "" } else { "," };
            let _ = if a == b {
                write!(text, "{comma}{a}")
            } else {
                write!(text, "{comma}{a}-{b}")
            };
        }
        serializer.serialize_str(&text)
    }
}

impl<'de> Deserialize<'de> for Ranges {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(deserializer)?;
        if let Some(short) = crate::text::decode_ranges(&text) {
            return short.ok_or_else(|| serde::de::Error::custom("not a set of tasks"));
        }
        let mut ranges = Vec::new();
        for part in text.split(',').filter(|p| !p.is_empty()) {
            let (a, b) = part.split_once('-').unwrap_or((part, part));
            match (a.parse(), b.parse()) {
                (Ok(a), Ok(b)) if a <= b => ranges.push((a, b)),
                _ => return Err(serde::de::Error::custom("not a set of numbers")),
            }
        }
        Ok(Ranges(ranges))
    }
}

impl Ranges {
    /// The set of a single number.
    pub fn one(n: u32) -> Self {
        Ranges(vec![(n, n)])
    }
    /// How many numbers the set has.
    pub fn len(&self) -> usize {
        self.0.iter().map(|(a, b)| (b - a + 1) as usize).sum()
    }
    /// Whether it has none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
    /// Whether a number is in the set.
    pub fn contains(&self, n: u32) -> bool {
        self.0.iter().any(|&(a, b)| a <= n && n <= b)
    }
    /// The numbers in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|&(a, b)| a..=b)
    }
    /// Adds a number, which may be there already.
    pub fn insert(&mut self, n: u32) {
        if self.contains(n) {
            return;
        }
        let at = self.0.partition_point(|&(a, _)| a < n);
        self.0.insert(at, (n, n));
        // Join with the neighbours where they touch.
        if at + 1 < self.0.len() && self.0[at].1 + 1 == self.0[at + 1].0 {
            self.0[at].1 = self.0[at + 1].1;
            self.0.remove(at + 1);
        }
        if at > 0 && self.0[at - 1].1 + 1 == self.0[at].0 {
            self.0[at - 1].1 = self.0[at].1;
            self.0.remove(at);
        }
    }
    /// Removes a number; false if it was not there.
    pub fn remove(&mut self, n: u32) -> bool {
        let Some(at) = self.0.iter().position(|&(a, b)| a <= n && n <= b) else {
            return false;
        };
        let (a, b) = self.0.remove(at);
        if n < b {
            self.0.insert(at, (n + 1, b));
        }
        if a < n {
            self.0.insert(at, (a, n - 1));
        }
        true
    }
    /// Removes the lowest number and returns it.
    pub fn pop_first(&mut self) -> Option<u32> {
        let n = self.0.first()?.0;
        self.remove(n);
        Some(n)
    }
}

/// The part of a submission that placing needs, kept with the job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Spec {
    /// The class of jobs that objectives refer to.
    #[serde(rename = "l")]
    pub class: String,
    /// The team whose guarantee and limit apply.
    #[serde(rename = "w")]
    pub team: String,
    /// How the tasks belong together.
    #[serde(rename = "k")]
    pub kind: Kind,
    /// What it may preempt and be preempted by.
    #[serde(rename = "p")]
    pub priority: Priority,
    /// The number of tasks.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// What each task takes of its machine.
    #[serde(rename = "r")]
    pub need: Resources,
    /// The image that a machine needs before a task starts.
    #[serde(rename = "i")]
    pub image: String,
    /// The size of the image, in GB.
    #[serde(rename = "ig")]
    pub image_gb: f64,
    /// The allowed machine types, `None` for any.
    #[serde(rename = "ty", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only allowed zone, `None` for any.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks must be in the same zone.
    #[serde(rename = "oz", default, skip_serializing_if = "is_false")]
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "sp", default, skip_serializing_if = "is_false")]
    pub spread: bool,
    /// The job may use spot machines.
    #[serde(rename = "lo", default, skip_serializing_if = "is_false")]
    pub spot: bool,
    /// The owner's estimate of a task's run time, in seconds.
    #[serde(rename = "e")]
    pub estimate_s: f64,
    /// Seconds of progress between checkpoints, 0 if tasks never save.
    #[serde(rename = "cs")]
    pub checkpoint_s: f64,
    /// Seconds that a task takes to save when it is stopped.
    #[serde(rename = "ss")]
    pub save_s: f64,
    /// Seconds from the submission to the deadline, if there is one.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts; those that
    /// were done when it was accepted, or booked, are left out. Left out of the
    /// text when empty: programs from before it would write it back without.
    #[serde(rename = "aw", default, skip_serializing_if = "Vec::is_empty")]
    pub awaits: Vec<String>,
}

fn is_false(b: &bool) -> bool {
    !b
}

impl From<&Submission> for Spec {
    fn from(s: &Submission) -> Self {
        Spec {
            class: s.class.clone(),
            team: s.team.clone(),
            kind: s.kind,
            priority: s.priority,
            tasks: s.tasks,
            need: Resources {
                cpus: Amount::need(s.cpus),
                gpus: Amount::need(s.gpus),
                ram: Amount::need(s.memory_gb),
            },
            image: s.image.clone(),
            image_gb: s.image_gb,
            types: s.types.clone(),
            zone: s.zone.clone(),
            one_zone: s.one_zone,
            spread: s.spread,
            spot: s.spot,
            estimate_s: s.estimate_s,
            checkpoint_s: s.checkpoint_s,
            save_s: s.save_s,
            deadline_s: s.deadline_s,
            awaits: distinct(s.awaits.as_deref().unwrap_or_default()),
        }
    }
}

/// Each once, in the order in which they first come.
fn distinct(ids: &[String]) -> Vec<String> {
    let mut seen = HashSet::new();
    let first = ids.iter().filter(|id| seen.insert(id.as_str()));
    first.cloned().collect()
}

impl Spec {
    /// Whether tasks may run on machines of this type.
    pub fn allows_type(&self, t: &str) -> bool {
        self.types
            .as_ref()
            .is_none_or(|ts| ts.iter().any(|x| x == t))
    }

    /// Whether the machine's type, zone and kind are allowed; room apart.
    pub fn allows(&self, kind: &str, zone: &str, spot: bool) -> bool {
        self.allows_type(kind)
            && self.zone.as_deref().is_none_or(|z| z == zone)
            && (self.spot || !spot)
    }

    /// At most half of the tasks, rounded up, in one zone.
    pub fn zone_cap(&self) -> usize {
        if self.spread {
            (self.tasks as usize).div_ceil(2)
        } else {
            usize::MAX
        }
    }

    /// Whether all tasks have to run at the same time.
    pub fn is_gang(&self) -> bool {
        self.kind == Kind::Gang
    }

    /// About how long its names are together.
    pub fn names_bytes(&self) -> usize {
        const MARKS: usize = 3;
        let types = self.types.iter().flatten().chain(&self.awaits);
        let lists: usize = types.map(|name| name.len() + MARKS).sum();
        let zone = self.zone.as_ref().map_or(0, String::len);
        self.class.len() + self.team.len() + self.image.len() + zone + lists
    }

    /// How much of its text the ids take that it awaits, with quotes and commas.
    pub fn awaits_bytes(&self) -> usize {
        const NAME: usize = 10;
        let ids: usize = self.awaits.iter().map(|id| id.len() + 3).sum();
        if ids == 0 { 0 } else { ids + NAME }
    }
}

/// Tasks of one attempt booked on one machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The machine.
    #[serde(rename = "m")]
    pub machine: String,
    /// Kept with the booking, so that a zone's count needs no machine record.
    #[serde(rename = "z")]
    pub zone: String,
    /// The attempt; the tasks of a gang find each other through it.
    #[serde(rename = "a")]
    pub attempt: u64,
    /// The numbers of the tasks.
    #[serde(rename = "t")]
    pub tasks: Ranges,
    /// The run is wanted gone: preempted, drained, or of a broken gang.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub stop: bool,
}

/// Whether a job has reached its final state, and which.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// It has not: tasks run, wait, or are still to start.
    #[default]
    #[serde(rename = "o")]
    Open,
    /// All tasks are done.
    #[serde(rename = "d")]
    Done,
    /// Its user cancelled it.
    #[serde(rename = "c")]
    Cancelled,
}

/// `job/ID`. Once final and with nothing on any machine, the spec and the
/// progress are dropped; the final state stays for good.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Whether it is over, and how it ended.
    #[serde(rename = "f", default)]
    pub status: JobStatus,
    /// What placing needs to know of it, while it is needed.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<Spec>,
    /// The number of tasks, kept for display when the spec is gone.
    #[serde(rename = "n", default)]
    pub tasks: u32,
    /// The revision at which it was accepted, near enough: the queue's order.
    #[serde(rename = "b", default)]
    pub accepted_revision: u64,
    /// The last attempt number given out.
    #[serde(rename = "a", default)]
    pub attempt: u64,
    /// The next task that was never started.
    #[serde(rename = "x", default)]
    pub next: u32,
    /// Tasks that were started before and have to be started again.
    #[serde(rename = "q", default, skip_serializing_if = "Ranges::is_empty")]
    pub retry: Ranges,
    /// What is booked on machines.
    #[serde(
        rename = "r",
        default,
        skip_serializing_if = "Vec::is_empty",
        deserialize_with = "crate::text::runs"
    )]
    pub runs: Vec<Run>,
    /// Work has been stopped for it: it goes first, or the room that was
    /// cleared would go to whoever looks next.
    #[serde(rename = "c", default, skip_serializing_if = "is_false")]
    pub cleared: bool,
    /// Attempts that failed since the last success, for the back-off: however
    /// many tasks of one attempt fail, it is one.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero")]
    pub errors: u32,
    /// The latest attempt that counts among them.
    #[serde(rename = "ea", default, skip_serializing_if = "is_zero_u64")]
    pub failed_attempt: u64,
    /// The machines that it failed on since then, the latest last.
    #[serde(rename = "em", default, skip_serializing_if = "Vec::is_empty")]
    pub failed_on: Vec<String>,
}

/// A job that has failed on so many machines in a row, and has succeeded on
/// none since, is taken to have a mistake of its own.
pub const DOUBT: usize = 3;

/// How many of those machines its record names.
pub const FAILED_ON: usize = DOUBT + 1;

fn is_zero_u64(n: &u64) -> bool {
    *n == 0
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

impl Job {
    /// A job that was just accepted; `accepted_revision` is the revision at that time.
    pub fn new(spec: Spec, accepted_revision: u64) -> Self {
        Job {
            status: JobStatus::Open,
            tasks: spec.tasks,
            spec: Some(spec),
            accepted_revision,
            attempt: 0,
            next: 0,
            retry: Ranges::default(),
            runs: Vec::new(),
            cleared: false,
            errors: 0,
            failed_attempt: 0,
            failed_on: Vec::new(),
        }
    }

    /// Whether it is neither done nor cancelled.
    pub fn is_open(&self) -> bool {
        self.status == JobStatus::Open
    }

    /// Whether the job rather than the machines is to blame for its failures.
    pub fn is_doubtful(&self) -> bool {
        self.failed_on.len() >= DOUBT
    }

    fn note_failure(&mut self, machine: &str, attempt: u64) {
        if attempt > self.failed_attempt {
            self.failed_attempt = attempt;
            self.errors = self.errors.saturating_add(1).min(1000);
        }
        self.failed_on.retain(|m| m != machine);
        if self.failed_on.len() == FAILED_ON {
            self.failed_on.remove(0);
        }
        self.failed_on.push(machine.to_string());
    }

    /// It has succeeded somewhere: what failed before was the machines' fault.
    pub fn note_success(&mut self) {
        self.errors = 0;
        self.failed_attempt = 0;
        self.failed_on.clear();
    }

    /// How many tasks are booked on machines.
    pub fn booked(&self) -> usize {
        self.runs.iter().map(|r| r.tasks.len()).sum()
    }

    /// Tasks that wait for a place.
    pub fn waiting(&self) -> usize {
        if !self.is_open() {
            return 0;
        }
        match &self.spec {
            // A gang's next attempt waits until the old one is wholly gone.
            Some(s) if s.is_gang() && self.runs.is_empty() => s.tasks as usize,
            Some(s) if s.is_gang() => 0,
            Some(s) => (s.tasks - self.next.min(s.tasks)) as usize + self.retry.len(),
            None => 0,
        }
    }

    /// How many tasks are done.
    pub fn done_count(&self) -> u32 {
        match self.status {
            JobStatus::Done => self.tasks,
            _ => (self.next as usize).saturating_sub(self.retry.len() + self.booked()) as u32,
        }
    }

    /// The run that has this task on this machine in this attempt.
    pub fn find(&self, machine: &str, attempt: u64, task: u32) -> Option<&Run> {
        self.runs
            .iter()
            .find(|r| r.machine == machine && r.attempt == attempt && r.tasks.contains(task))
    }

    /// Tasks booked in each zone, old attempts included.
    pub fn per_zone(&self) -> BTreeMap<&str, usize> {
        let mut zones = BTreeMap::new();
        for run in &self.runs {
            *zones.entry(run.zone.as_str()).or_insert(0) += run.tasks.len();
        }
        zones
    }

    /// Books the next waiting task under `attempt`.
    pub fn book(&mut self, machine: &str, zone: &str, attempt: u64, task: u32) {
        if let Some(run) = self
            .runs
            .iter_mut()
            .find(|r| r.machine == machine && r.attempt == attempt && !r.stop)
        {
            run.tasks.insert(task);
            return;
        }
        self.runs.push(Run {
            machine: machine.to_string(),
            zone: zone.to_string(),
            attempt,
            tasks: Ranges::one(task),
            stop: false,
        });
    }

    /// The next task that was never started.
    pub fn take_fresh(&mut self) -> Option<u32> {
        (self.next < self.tasks).then(|| {
            self.next += 1;
            self.next - 1
        })
    }

    /// Releases a booking whose task is surely gone. False when there was none.
    pub fn release(&mut self, machine: &str, attempt: u64, task: u32, outcome: Outcome) -> bool {
        let Some(at) = self
            .runs
            .iter()
            .position(|r| r.machine == machine && r.attempt == attempt && r.tasks.contains(task))
        else {
            return false;
        };
        self.runs[at].tasks.remove(task);
        if self.runs[at].tasks.is_empty() {
            self.runs.remove(at);
        }
        let gang = self.spec.as_ref().is_some_and(Spec::is_gang);
        if self.is_open() {
            match (outcome, gang) {
                // A gang completes together: one done task proves all.
                (Outcome::Done, true) => self.status = JobStatus::Done,
                (Outcome::Done, false) => self.note_success(),
                (_, true) => {
                    // One member lost breaks the attempt: all must go.
                    for run in &mut self.runs {
                        run.stop = true;
                    }
                    self.next = 0;
                }
                (_, false) => self.retry.insert(task),
            }
            if outcome == Outcome::Failed {
                self.note_failure(machine, attempt);
            }
            if !gang && self.next == self.tasks && self.retry.is_empty() && self.runs.is_empty() {
                self.status = JobStatus::Done;
            }
        }
        self.settle();
        true
    }

    /// Marks tasks on a machine as wanted gone: all of a gang's everywhere, as
    /// it saves only when all are told; else `count`, the latest first, or all
    /// there when the record has no room for a run that is split.
    pub fn stop_tasks(&mut self, machine: &str, count: usize, fits: impl Fn(&Job) -> bool) {
        let before = self.clone();
        self.split_stops(machine, count);
        if !fits(self) {
            *self = before;
            for run in self.runs.iter_mut().filter(|r| r.machine == machine) {
                run.stop = true;
            }
        }
    }

    fn split_stops(&mut self, machine: &str, count: usize) {
        if self.spec.as_ref().is_some_and(Spec::is_gang) {
            for run in &mut self.runs {
                run.stop = true;
            }
            return;
        }
        let mut left = count;
        let mut split: Vec<Run> = Vec::new();
        for run in self.runs.iter_mut().rev() {
            if run.machine != machine || run.stop || left == 0 {
                continue;
            }
            if run.tasks.len() <= left {
                left -= run.tasks.len();
                run.stop = true;
                continue;
            }
            let mut part = Run {
                tasks: Ranges::default(),
                stop: true,
                ..run.clone()
            };
            while left > 0 {
                let Some(&(_, last)) = run.tasks.0.last() else {
                    break;
                };
                run.tasks.remove(last);
                part.tasks.insert(last);
                left -= 1;
            }
            split.push(part);
        }
        // What is stopped in steps stays one run, or the record would grow.
        for part in split {
            let known = self
                .runs
                .iter_mut()
                .find(|r| r.stop && r.machine == part.machine && r.attempt == part.attempt);
            match known {
                Some(run) => part.tasks.iter().for_each(|n| run.tasks.insert(n)),
                None => self.runs.push(part),
            }
        }
    }

    /// Drops what a finished job no longer needs.
    pub fn settle(&mut self) {
        if !self.is_open() && self.runs.is_empty() {
            self.spec = None;
            self.retry = Ranges::default();
            self.note_success();
        }
    }

    /// Makes the job cancelled, unless it is over already.
    pub fn cancel(&mut self) {
        if self.is_open() {
            self.status = JobStatus::Cancelled;
            self.settle();
        }
    }
}

/// `new/ID`: jobs that were accepted together, in one write. Each stands for
/// its own record until that is first written; from then on that one counts.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Arrivals {
    /// The revision at which they were accepted.
    #[serde(rename = "b")]
    pub accepted_revision: u64,
    /// The jobs by their ids.
    #[serde(rename = "j")]
    pub jobs: BTreeMap<String, Spec>,
}

/// How a task's time on a machine came to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It is complete.
    Done,
    /// It failed by itself: counts towards the back-off.
    Failed,
    /// Stopped, refused, or lost with its machine.
    Lost,
}

/// `team/T`: what the team's bookings take.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// The resources of all booked tasks.
    #[serde(rename = "u")]
    pub used: Resources,
}

/// A machine that takes work, as its zone shard lists it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineSlot {
    /// The machine type.
    #[serde(rename = "t")]
    pub kind: String,
    /// Whether it is a spot machine.
    #[serde(rename = "l", default, skip_serializing_if = "is_false")]
    pub spot: bool,
    /// When the record was last written. What has ended since is free, too:
    /// planning takes the type's room less the bookings that stand by then.
    #[serde(rename = "f", default)]
    pub free: Resources,
    /// What tasks take there that nobody has booked, as its holder reported.
    #[serde(rename = "o", default, skip_serializing_if = "Resources::is_empty")]
    pub unbooked: Resources,
}

/// `zone/Z/PART`: free room per machine that takes work. One record a zone
/// would outgrow `value_kb` at some hundred machines, and be written by all
/// controllers at once; a machine stays in its part.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneShard {
    /// The machines by their ids.
    #[serde(rename = "m", default, deserialize_with = "crate::text::slots")]
    pub machines: BTreeMap<String, MachineSlot>,
}

/// The most that a machine's slot can take of its part's record: its names,
/// quotes and marks, and twice three amounts of up to nine digits.
pub fn slot_entry_bytes(machine: &str, kind: &str) -> usize {
    machine.len() + kind.len() + 130
}

/// How far a rented machine has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MachineLifecycle {
    /// Rented, not yet heard from.
    #[serde(rename = "b")]
    Booting,
    /// Takes work.
    #[serde(rename = "a")]
    Active,
    /// Takes no new work.
    #[serde(rename = "d")]
    Draining,
    /// Goes back to the cloud; never undone.
    #[serde(rename = "r")]
    Returning,
    /// The cloud has confirmed: nothing on it exists any more.
    #[serde(rename = "g")]
    Gone,
}

/// `machine/Z/PART`: the machines of one part, so that a takeover, a rental or
/// a return of dozens costs a few writes. Each has a token of its own.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineShard {
    /// The machines by their ids.
    #[serde(rename = "m", default, deserialize_with = "crate::text::members")]
    pub machines: BTreeMap<String, Machine>,
}

/// The most that a machine takes of its group's record: names, quotes and
/// marks, the incarnation and the token.
pub fn machine_entry_bytes(machine: &str, kind: &str, holder: usize) -> usize {
    machine.len() + kind.len() + holder + 110
}

/// One machine, as its group has it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// The controller that commands it; empty if none has claimed it.
    #[serde(rename = "h", default)]
    pub holder: String,
    /// The incarnation of the holder that bumped the token: after a restart
    /// the same node must bump it again before it gives orders.
    #[serde(rename = "i", default)]
    pub incarnation: u64,
    /// The fencing token of the holder's commands.
    #[serde(rename = "k", default)]
    pub token: u64,
    /// Session and number of the report that it was last claimed on: one that
    /// is no newer is a late copy, whoever it comes to.
    #[serde(rename = "s", default)]
    pub seen: (u64, u64),
    /// How far it has come.
    #[serde(rename = "f")]
    pub life: MachineLifecycle,
    /// The machine type.
    #[serde(rename = "t")]
    pub kind: String,
    /// Zone and part are the record's key: not written again.
    #[serde(skip)]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "l", default, skip_serializing_if = "is_false")]
    pub spot: bool,
    /// The part of its zone's record that it belongs to, from its first record
    /// on: the name of its home controller and a number.
    #[serde(skip)]
    pub part: String,
}

impl Machine {
    /// One that nobody has claimed yet.
    pub fn new(kind: &str, zone: &str) -> Self {
        Machine {
            holder: String::new(),
            incarnation: 0,
            token: 0,
            seen: (0, 0),
            life: MachineLifecycle::Booting,
            kind: kind.to_string(),
            zone: zone.to_string(),
            spot: false,
            part: String::new(),
        }
    }
}

/// `hire/ID`: a rental that is or may be under way, or whose machines are.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rental {
    /// The machine type.
    #[serde(rename = "t")]
    pub kind: String,
    /// The zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether spot machines are rented.
    #[serde(rename = "l", default)]
    pub spot: bool,
    /// How many machines were requested.
    #[serde(rename = "n")]
    pub count: u32,
    /// What the cloud has answered; empty until then. One write records all
    /// machines of a rental: they boot until their workers are claimed.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub machines: Vec<String>,
}

/// `types`: the cloud's machine types as last read.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Types {
    /// All machine types.
    pub types: Vec<MachineType>,
}

/// `fleet`: who rents; `node/N`: that controller N is up. Both are tied to the
/// controller's state lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ControllerRecord {
    /// The controller's name.
    #[serde(rename = "h")]
    pub node: String,
    /// Which of the controller's starts it is from.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// The newest formats that its program knows. Programs from before there
    /// were any leave it out, and pass over it.
    #[serde(rename = "v", default, skip_serializing_if = "is_zero")]
    pub formats: u32,
}

/// The formats that this program reads and may write: 2 has compact encodings for
/// parts, groups and runs, and jobs that await others.
pub const FORMATS: u32 = 2;

/// `formats`: which controllers have been seen to run a program that knows the
/// newer formats, and whether all have. A controller is never seen to go back:
/// one that ends before its turn in an upgrade has not been seen yet. What an
/// older program could not read, or would spoil, is written only once `all`
/// stands here; that is for good.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Formats {
    /// The newest format that each controller can read, by their names.
    #[serde(rename = "n", default)]
    pub nodes: BTreeMap<String, u32>,
    /// The newest format that every controller can read.
    #[serde(rename = "a", default)]
    pub all: u32,
}

impl Formats {
    /// The record as it should be, once these controllers have been seen; all
    /// that the settings name have to be before anything new is written.
    pub fn with<'a>(
        &self,
        seen: impl Iterator<Item = (&'a str, u32)>,
        configured: &[&str],
    ) -> Formats {
        let mut next = self.clone();
        for (name, formats) in seen.filter(|(_, f)| *f > 0) {
            let known = next.nodes.entry(name.to_string()).or_default();
            *known = formats.max(*known);
        }
        let of = |name: &&str| next.nodes.get(*name).copied().unwrap_or(0);
        let least = configured.iter().map(of).min().unwrap_or(0);
        next.all = next.all.max(least);
        next
    }
}

/// Splits `job-000412/3` into the job and the task's number.
pub fn split_task(task: &str) -> Option<(&str, u32)> {
    let (job, n) = task.rsplit_once('/')?;
    if n.is_empty() || (n.len() > 1 && n.starts_with('0')) {
        return None;
    }
    Some((job, n.parse().ok()?))
}

/// Ids look like `job-000412`: the word, a dash and digits.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("job-")
        .is_some_and(|d| (1..=18).contains(&d.len()) && d.bytes().all(|b| b.is_ascii_digit()))
}
