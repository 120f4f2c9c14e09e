//! Preemption: which running work is stopped for a job that finds no room.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use tokio::time::Instant;

use super::candidates::{Care, Hints};
use super::fit::{count, fit};
use super::job_facts::within_guarantee;
use super::plan::Plan;
use super::rounds::Rounds;
use super::search::{SEARCHES, Search, wanted};
use super::transaction::Draft;
use crate::model::{Job, Spec};
use crate::node::Node;
use crate::settings::{Settings, TeamTerms};
use crate::view::View;
use crate::wire::{Kind, Priority};

/// An open job that runs, as searches for work to stop look at it: where each
/// of its runs stands in the plan is worked out once a round, by number.
pub(super) struct Running {
    job: String,
    /// Controllers that clear room at once begin in different places.
    share: u64,
    /// The run's place among the job's, and its machine's in the plan.
    runs: Vec<(usize, usize)>,
}

pub(super) fn running(node: &str, view: &View, plan: &Plan) -> Vec<Running> {
    let open = view.open.iter().filter_map(|(_, id)| {
        let job = &view.jobs.get(id)?.value;
        Some((id, job))
    });
    open.filter(|(_, job)| !job.runs.is_empty())
        .map(|(id, job)| Running {
            job: id.clone(),
            share: share_of(node, id),
            runs: places_of(job, view, plan),
        })
        .collect()
}

/// Where a job's runs stand that may be stopped.
fn places_of(job: &Job, view: &View, plan: &Plan) -> Vec<(usize, usize)> {
    let runs = job.runs.iter().enumerate().filter(|(_, r)| !r.stop);
    runs.filter_map(|(n, r)| Some((n, plan.find(view, &r.machine)?)))
        .collect()
}

/// Stops work for blocked jobs that may have it stopped, as many as one
/// commit holds; again for the same job only once the effect has had time to
/// show.
pub(super) fn preempt(
    node: &Node,
    rounds: &mut Rounds,
    draft: &mut Draft,
    search: &mut Search,
    plan: &Plan,
    blocked: &[String],
    now: Instant,
) {
    let settings = &node.settings;
    let view = node.view.borrow();
    let patience = Duration::from_secs_f64(settings.deployment.workers.gang_peer_s) * 2;
    rounds
        .preempted
        .retain(|_, at| now.saturating_duration_since(*at) < patience);
    let pause = settings.report() / 2;
    rounds
        .in_vain
        .retain(|_, at| now.saturating_duration_since(*at) < pause);
    if blocked.is_empty() {
        return;
    }
    // The room that is being cleared already counts as coming, once for each
    // job that it will serve.
    let mut coming = search.coming(&view, plan).clone();
    let home = node.name();
    let hints = Hints::new(&view, home);
    let running = search.running(home, &view, plan);
    let mut changed: BTreeMap<String, Job> = BTreeMap::new();
    for id in blocked {
        if search.searches >= SEARCHES * 2 {
            break;
        }
        let Some(job) = view.jobs.get(id).map(|e| &e.value) else {
            continue;
        };
        let Some(spec) = &job.spec else { continue };
        let take = |coming: &mut Plan, care| {
            let places = fit(job, spec, coming, &hints, settings, care);
            for p in places.iter().flatten() {
                coming.take(p, &spec.team, spec.need);
            }
            places.map_or(0, |p| p.len())
        };
        let wanted = wanted(job, spec);
        let found = take(&mut coming, Care::Strict);
        let tried = rounds.preempted.contains_key(id) || rounds.in_vain.contains_key(id);
        if found >= wanted || tried {
            continue;
        }
        let left = wanted - found;
        search.searches += 1;
        let seek = Seek {
            settings,
            hints: &hints,
            running: &running,
            changed: &changed,
            coming: &coming,
        };
        let found = [Care::Strict, Care::Lax].into_iter().find_map(|care| {
            let found = seek.victims(id, job, spec, care, left)?;
            Some((found.0, care))
        });
        let Some((victims, care)) = found else {
            rounds.in_vain.insert(id.clone(), now);
            continue;
        };
        let touched = victims.iter().map(|v| v.job.as_str());
        if !draft.fits_jobs(touched.chain([id.as_str()])) {
            break;
        }
        rounds.preempted.insert(id.clone(), now);
        for victim in &victims {
            tracing::info!(
                job = victim.job,
                machine = victim.machine,
                tasks = victim.tasks,
                for_job = id,
                "preempted"
            );
            draft.change(&victim.job, |stopped| {
                if let Some(s) = &stopped.spec {
                    let room = s.need.times(victim.tasks);
                    coming.give(&view, &victim.machine, &s.team, room);
                }
                let fits = |job: &Job| view.fits_job(job, settings.value_bytes());
                stopped.stop_tasks(&victim.machine, victim.tasks, fits);
            });
            if let Some(stopped) = draft.job(&victim.job) {
                changed.insert(victim.job.clone(), stopped.clone());
            }
        }
        draft.change(id, |job| job.cleared = true);
        take(&mut coming, care);
    }
}

/// One of a few classes that a controller puts a job into.
fn share_of(node: &str, job: &str) -> u64 {
    let mut h = DefaultHasher::new();
    (node, job).hash(&mut h);
    h.finish() % 4
}

/// What a search for work to stop goes by.
pub(super) struct Seek<'a> {
    pub(super) settings: &'a Settings,
    pub(super) hints: &'a Hints<'a>,
    pub(super) running: &'a [Running],
    /// Jobs as this round has left them so far.
    pub(super) changed: &'a BTreeMap<String, Job>,
    /// Free room, with that which is being cleared.
    pub(super) coming: &'a Plan,
}

impl Seek<'_> {
    /// The least work whose end makes room for `wanted` of the job's tasks: one
    /// task after another, of the lowest priority and the youngest job first,
    /// until they fit; or for some of them, which the answer tells.
    pub(super) fn victims(
        &self,
        id: &str,
        job: &Job,
        spec: &Spec,
        care: Care,
        wanted: usize,
    ) -> Option<(Vec<Victim>, bool)> {
        let (settings, hints, coming) = (self.settings, self.hints, self.coming);
        let view = hints.view;
        let terms = settings.team(&spec.team)?;
        // Independent tasks that give way to independent tasks lose more than
        // they gain: such work ends soon and makes room by itself. They stop
        // lower priorities only.
        let tasks = if spec.is_gang() {
            spec.tasks as usize
        } else {
            1
        };
        let inside = spec.kind != Kind::Array
            && within_guarantee(terms, &coming.used(&spec.team), spec, tasks);
        // What would stay within its team's guarantee, were it stopped, is not
        // borrowed: its team would have it back, and stop other work for it.
        let borrowed = |victim: &Spec, terms: Option<&TeamTerms>, plan: &Plan| {
            let tasks = if victim.is_gang() {
                victim.tasks as usize
            } else {
                1
            };
            terms.is_some_and(|t| t.lends(&plan.used(&victim.team), &victim.need.times(tasks)))
        };
        let image = view.image(&spec.image);
        let allowed: Vec<bool> = view
            .classes
            .iter()
            .map(|c| spec.allows(&c.kind, &c.zone, c.spot))
            .collect();
        let ours = (spec, view.priority(id, spec));
        let mut candidates = Vec::new();
        for other in self.running.iter().filter(|r| r.job != id) {
            // As this round has left it so far.
            let changed = self.changed.get(&other.job);
            let known = view.jobs.get(&other.job).map(|e| &e.value);
            let Some(entry) = changed.or(known) else {
                continue;
            };
            let Some(victim) = &entry.spec else {
                continue;
            };
            let terms = settings.team(&victim.team);
            let theirs = (victim, view.priority(&other.job, victim));
            if !may_preempt(ours, inside, theirs, borrowed(victim, terms, coming)) {
                continue;
            }
            // Work on accelerators is the last to go for work without.
            if care == Care::Strict && spec.need.gpus.0 == 0 && victim.need.gpus.0 > 0 {
                continue;
            }
            let anew = changed.map(|job| places_of(job, view, coming));
            for (n, at) in anew.as_ref().unwrap_or(&other.runs) {
                let spot = &coming.spots[*at];
                if allowed[spot.class as usize] {
                    let order = (
                        theirs.1,
                        !view.has_image(spot.machine, image),
                        other.share,
                        std::cmp::Reverse(entry.born),
                    );
                    let run = &entry.runs[*n];
                    candidates.push((order, *at, &other.job, run, theirs, terms));
                }
            }
        }
        candidates.sort_by_key(|c| c.0);
        let mut after = coming.clone();
        let mut victims: Vec<Victim> = Vec::new();
        // What has been found for some of the tasks.
        let mut some: Option<Vec<Victim>> = None;
        let mut most = count(job, spec, &after, hints, settings, care);
        let mut looks = 0;
        for (_, at, other, run, theirs, terms) in candidates {
            let victim = theirs.0;
            let whole = victim.is_gang();
            let mut left = run.tasks.len();
            while left > 0 {
                // Borrowed work counts as borrowed only down to the guarantee.
                if !may_preempt(ours, inside, theirs, borrowed(victim, terms, &after)) {
                    break;
                }
                let n = if whole { left } else { 1 };
                left -= n;
                after.free(at, &victim.team, victim.need.times(n));
                match victims.last_mut() {
                    Some(v) if v.job == *other && v.machine == run.machine => v.tasks += n,
                    _ => victims.push(Victim {
                        job: other.clone(),
                        machine: run.machine.clone(),
                        tasks: n,
                    }),
                }
                // Only a machine that now holds a task can have made it fit.
                if !after.spots[at].free.fits(&spec.need) {
                    continue;
                }
                looks += 1;
                if looks > LOOKS {
                    return some.map(|v| (v, false));
                }
                let Ok(places) = fit(job, spec, &after, hints, settings, care) else {
                    continue;
                };
                if places.len() <= most {
                    continue;
                }
                most = places.len();
                // Only what was cleared where the job will be is needed.
                let used: BTreeSet<&str> = places.iter().map(|p| &*p.machine).collect();
                let needed = victims.iter().filter(|v| used.contains(v.machine.as_str()));
                let needed: Vec<Victim> = needed.cloned().collect();
                if most >= wanted {
                    return Some((needed, true));
                }
                some = Some(needed);
            }
        }
        some.map(|v| (v, false))
    }
}

/// How often one search for work to stop tries whether the job fits now.
const LOOKS: usize = 200;

/// Work that may be stopped for another job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Victim {
    pub job: String,
    pub machine: String,
    pub tasks: usize,
}

/// Whether PROTOCOL lets work of `victim` be stopped for `job`. The priorities
/// are those of the view, with what needs the jobs counted in.
pub fn may_preempt(
    job: (&Spec, Priority),
    job_in_guarantee: bool,
    victim: (&Spec, Priority),
    victim_borrows: bool,
) -> bool {
    let ((job, priority), (victim, its_priority)) = (job, victim);
    if its_priority < priority {
        return true;
    }
    // Borrowed work of another team goes back for a guarantee, but for
    // services: what people use now is not ended for what is to begin.
    job_in_guarantee && victim_borrows && victim.team != job.team && victim.kind != Kind::Service
}
