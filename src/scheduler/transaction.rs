//! One commit in the making: records as they will be, each touched once.
//!
//! Ends, admissions and stops are laid into the same draft, so that a round
//! writes every job, team and part at most once however many of its tasks
//! have changed. The service's writes grow with rounds, not with tasks.

use std::collections::{BTreeMap, BTreeSet};

use super::plan::Place;
use crate::machines::{EndKey, Proof};
use crate::model::{Job, Life, Part, Room, Spec, Team};
use crate::node::{guard, put};
use crate::view::{View, group_key, job_key, part_id, part_key, team_key};
use crate::wire::{Guard, Kind, Write};

/// Conditions that a commit may have for each write of which it may have, by the
/// protocol.
pub const GUARDS_PER_WRITE: usize = 4;

/// What a commit may hold in all, by the protocol, less a part for what the
/// estimates below leave out.
pub const COMMIT_BYTES: usize = crate::http::BODY_LIMIT * 9 / 10;

/// About what a machine takes in a part's record, and in a group's.
pub const SLOT: usize = 110;

/// The same in a part's short text.
const SHORT_SLOT: usize = 10;

/// About what a job takes in its record.
fn job_bytes(job: &Job) -> usize {
    const SPEC: usize = 500;
    const RUN: usize = 100;
    const TASK: usize = 8;
    SPEC + job.runs.len() * RUN + (job.booked() + job.retry.len()) * TASK
}

pub struct Draft<'a> {
    view: &'a View,
    /// The most records that one commit may write.
    pub most: usize,
    pub jobs: BTreeMap<String, Job>,
    teams: BTreeMap<String, Room>,
    parts: BTreeMap<String, Part>,
    /// What this draft's ends free.
    released: BTreeMap<String, Room>,
    team_released: BTreeMap<String, Room>,
    /// Groups of machines that must be as they are, but are not written.
    groups: BTreeSet<String>,
}

impl<'a> Draft<'a> {
    pub fn new(view: &'a View, most: usize) -> Self {
        Draft {
            view,
            most,
            jobs: BTreeMap::new(),
            teams: BTreeMap::new(),
            parts: BTreeMap::new(),
            released: BTreeMap::new(),
            team_released: BTreeMap::new(),
            groups: BTreeSet::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.jobs.len() + self.teams.len() + self.parts.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The parts that it writes.
    pub fn parts(&self) -> BTreeSet<String> {
        self.parts.keys().cloned().collect()
    }

    /// A job as this draft has it.
    pub fn job(&self, id: &str) -> Option<&Job> {
        let known = || self.view.jobs.get(id).map(|e| &e.value);
        self.jobs.get(id).or_else(known)
    }

    /// About how long it is as a request.
    fn bytes(&self) -> usize {
        let jobs: usize = self.jobs.values().map(job_bytes).sum();
        let slots: usize = self.parts.values().map(|p| p.machines.len()).sum();
        jobs + slots * self.slot() + (self.len() + self.groups.len()) * SLOT
    }

    /// About what a machine takes in the text that its part will have.
    fn slot(&self) -> usize {
        if self.view.is_short() {
            SHORT_SLOT
        } else {
            SLOT
        }
    }

    fn has_room(
        &self,
        job: &str,
        team: Option<&str>,
        parts: &BTreeSet<&str>,
        tasks: usize,
    ) -> bool {
        let machines = |p: &str| self.view.parts.get(p).map_or(0, |e| e.value.machines.len());
        let more: usize = parts
            .iter()
            .filter(|p| !self.parts.contains_key(**p))
            .map(|p| machines(p) * self.slot())
            .sum();
        let job_now = if self.jobs.contains_key(job) {
            0
        } else {
            self.job(job).map_or(0, job_bytes)
        };
        if self.bytes() + more + job_now + tasks * self.slot() > COMMIT_BYTES {
            return false;
        }
        let new = usize::from(!self.jobs.contains_key(job))
            + usize::from(team.is_some_and(|t| !self.teams.contains_key(t)))
            + parts
                .iter()
                .filter(|p| !self.parts.contains_key(**p))
                .count();
        self.len() + new <= self.most
    }

    fn edit_job(&mut self, id: &str) -> Option<&mut Job> {
        if !self.jobs.contains_key(id) {
            let job = self.view.jobs.get(id)?.value.clone();
            self.jobs.insert(id.to_string(), job);
        }
        self.jobs.get_mut(id)
    }

    fn edit_team(&mut self, team: &str) -> &mut Room {
        let released = self.team_released.get(team).copied().unwrap_or_default();
        let used = self.view.team_used(team) - released;
        self.teams.entry(team.to_string()).or_insert(used)
    }

    fn edit_part(&mut self, id: &str) -> &mut Part {
        let (view, released) = (self.view, &self.released);
        self.parts.entry(id.to_string()).or_insert_with(|| {
            let known = view.parts.get(id).map(|e| e.value.clone());
            let mut part = known.unwrap_or_default();
            for (machine, slot) in &mut part.machines {
                let room = view
                    .type_of(&slot.kind)
                    .map_or(Room::default(), Room::of_type);
                let ended = released.get(machine).copied().unwrap_or_default();
                slot.free = room - view.booked_on(machine) - slot.unbooked + ended;
            }
            part
        })
    }

    /// Releases a booking whose task is surely gone. `node` and `incarnation`
    /// are those of the controller that has the proof.
    pub fn release(
        &mut self,
        key: &EndKey,
        proof: Proof,
        node: &str,
        incarnation: u64,
    ) -> Released {
        // Safety 3: what proved the end holds only while the machine is still
        // ours by the claim that it was proven under, or once it is gone for
        // good; the guard on its record makes the commit depend on it.
        let group = match self.view.machines.get(&key.machine).map(|e| &e.value) {
            Some(m)
                if m.life == Life::Gone
                    || (m.holder == node
                        && m.incarnation == incarnation
                        && m.token == proof.token) =>
            {
                part_id(&m.zone, &m.part)
            }
            _ => return Released::Stale,
        };
        let Some(job) = self.job(&key.job) else {
            return Released::Stale;
        };
        let Some(spec) = job.spec.clone() else {
            return Released::Stale;
        };
        if job.find(&key.machine, key.attempt, key.task).is_none() {
            return Released::Stale;
        }
        // Neither the team's record nor the part's is written: what ends is
        // known to all from the job's, and the next booking there counts it.
        let most = self.most * (GUARDS_PER_WRITE - 1);
        if !self.has_room(&key.job, None, &BTreeSet::new(), 0)
            || (self.groups.len() >= most && !self.groups.contains(&group))
        {
            return Released::Full;
        }
        if let Some(job) = self.edit_job(&key.job) {
            job.release(&key.machine, key.attempt, key.task, proof.outcome);
        }
        *self.released.entry(key.machine.clone()).or_default() += spec.need;
        *self.team_released.entry(spec.team).or_default() += spec.need;
        self.groups.insert(group);
        Released::Yes
    }

    /// The places that this commit has room for: all of a gang's or none, of
    /// other jobs as many as there are. An array may have its places in more
    /// parts than any commit writes: the rest follow, or it would wait for ever.
    fn bookable<'p>(&self, id: &str, spec: &Spec, places: &'p [Place]) -> Vec<&'p Place> {
        let mut parts: BTreeSet<&str> = places.iter().map(|p| &*p.part).collect();
        let mut machines: BTreeSet<usize> = places.iter().map(|p| p.at).collect();
        if self.has_room(id, Some(&spec.team), &parts, machines.len()) {
            return places.iter().collect();
        }
        let mut some = Vec::new();
        if spec.is_gang() {
            return some;
        }
        parts.clear();
        machines.clear();
        for place in places {
            let new_part = parts.insert(&place.part);
            let new_machine = machines.insert(place.at);
            if (!new_part && !new_machine)
                || self.has_room(id, Some(&spec.team), &parts, machines.len())
            {
                some.push(place);
                continue;
            }
            if new_part {
                parts.remove(&*place.part);
            }
            if new_machine {
                machines.remove(&place.at);
            }
        }
        some
    }

    /// Books a job's waiting tasks, and tells how many; none when the commit
    /// is full.
    pub fn book(&mut self, id: &str, spec: &Spec, places: &[Place]) -> usize {
        let places = self.bookable(id, spec, places);
        if places.is_empty() {
            return 0;
        }
        // Safety 7: no task starts before all that its job awaits is done. That
        // is final, so this view, which the commit is decided on, can only be
        // late in knowing it; what is launched follows from bookings alone.
        if !self.view.is_ready(spec) {
            return 0;
        }
        let Some(job) = self.edit_job(id) else {
            return 0;
        };
        if let Some(spec) = &mut job.spec {
            spec.awaits.clear();
        }
        book(job, spec, &places);
        for place in &places {
            if let Some(slot) = self
                .edit_part(&place.part)
                .machines
                .get_mut(&*place.machine)
            {
                slot.free -= spec.need;
            }
        }
        *self.edit_team(&spec.team) += spec.need.times(places.len());
        places.len()
    }

    /// Changes jobs alone; false when the commit is full.
    pub fn fits_jobs<'b>(&self, ids: impl Iterator<Item = &'b str>) -> bool {
        let new: BTreeSet<&str> = ids.filter(|id| !self.jobs.contains_key(*id)).collect();
        let more: usize = new
            .iter()
            .filter_map(|id| self.job(id))
            .map(job_bytes)
            .sum();
        self.len() + new.len() <= self.most && self.bytes() + more <= COMMIT_BYTES
    }

    pub fn change(&mut self, id: &str, edit: impl FnOnce(&mut Job)) {
        if let Some(job) = self.edit_job(id) {
            edit(job);
        }
    }

    /// Guards and writes every record that the draft has touched.
    pub fn into_commit(self) -> (Vec<Guard>, Vec<Write>) {
        let mut guards = Vec::new();
        let mut writes = Vec::new();
        for (id, job) in &self.jobs {
            guards.push(guard(job_key(id), self.view.job_version(id)));
            writes.push(self.view.put_job(id, job));
        }
        for (name, used) in self.teams {
            guards.push(guard(team_key(&name), self.view.team_version(&name)));
            writes.push(put(team_key(&name), &Team { used }));
        }
        for (id, part) in &self.parts {
            guards.push(guard(part_key(id), self.view.part_version(id)));
            writes.push(self.view.put_part(id, part));
        }
        for id in &self.groups {
            guards.push(guard(group_key(id), self.view.group_version(id)));
        }
        (guards, writes)
    }
}

/// What became of an end.
#[derive(Debug, PartialEq, Eq)]
pub enum Released {
    Yes,
    /// The commit is full: it goes into the next.
    Full,
    /// Nothing is booked any more, or what proved it no longer holds.
    Stale,
}

/// Books the places for the job's next waiting tasks. A gang's attempt is new.
/// Tasks that were never started share the first attempt, so that those on one
/// machine share one run in the job's record; those that were get a new one.
pub fn book(job: &mut Job, spec: &Spec, places: &[&Place]) {
    job.cleared = false;
    // More replicas follow what has failed only once others run well.
    if spec.kind == Kind::Service && job.is_doubtful() && job.booked() > 0 {
        job.note_success();
    }
    let again = job.attempt.max(1) + 1;
    if spec.is_gang() {
        job.attempt += 1;
    } else {
        job.attempt = job.attempt.max(1);
    }
    for (i, place) in places.iter().enumerate() {
        let (task, attempt) = if spec.is_gang() {
            (Some(i as u32), job.attempt)
        } else if let Some(task) = job.retry.pop_first() {
            job.attempt = again;
            (Some(task), again)
        } else {
            (job.take_fresh(), 1)
        };
        if let Some(task) = task {
            job.book(&place.machine, &place.zone, attempt, task);
        }
    }
}
