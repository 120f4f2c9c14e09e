//! The rented machines: who rents, what is rented, what goes back.
//!
//! One controller at a time rents, the one whose name stands under `fleet`,
//! tied to a state lease. That alone makes nothing safe, and need not: every
//! rental is committed before the call under a name that is never used again,
//! and whatever turns up unexpectedly is used or returned.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::time::{Instant, sleep};

use crate::admission::{self, Care, Hints, Plan};
use crate::draft::{COMMIT_BYTES, Groups};
use crate::http::Response;
use crate::machines::{EndKey, Hand};
use crate::model::{
    DOUBT, FORMATS, Final, Hire, Job, Life, Machine, Part, Renter, Room, Spec, Types,
};
use crate::node::{Node, guard, put, skipped};
use crate::pipeline::Standing;
use crate::policy::MachineFacts;
use crate::settings::Settings;
use crate::store::{Bucket, Class, StoreError};
use crate::view::{
    Entry, FLEET_KEY, FORMATS_KEY, TYPES_KEY, View, arrivals_key, hire_key, job_key, node_key,
    part_id, part_key,
};
use crate::wire::{
    Guard, Kind, ListedStage, MachineList, MachineNames, MachineType, MachineTypes, RentRequest,
    Report, Write, raw,
};

/// A kind of offer: type, zone, spot.
type Offer = (String, String, bool);

/// Since when and until when live reports have shown too low a token, and the
/// newest of them.
#[derive(Debug, Clone, Copy)]
struct Unshown {
    first: Instant,
    last: Instant,
    at: (u64, u64),
}

impl Unshown {
    fn is_deaf(&self, lease: Duration) -> bool {
        self.last.saturating_duration_since(self.first) > lease.mul_f64(1.1)
    }
}

/// What boots have taken of late, by type and zone, and what boots now.
#[derive(Debug, Default)]
pub struct Boots {
    /// The mean of those seen, the latest counting most, in seconds.
    learned: HashMap<(String, String), f64>,
    /// Since when a machine boots, and by which offer.
    since: HashMap<String, (Instant, Offer)>,
    /// When a machine of an offer last came up.
    up: HashMap<Offer, Instant>,
    /// Machines that are late.
    late: HashSet<String>,
    /// Offers of which no machine comes up: how often in a row one was late or
    /// given up, and until when they are left alone.
    failed: HashMap<Offer, (Instant, u32)>,
}

impl Boots {
    /// Takes in what boots now and which of the others has come up.
    pub fn see<'a>(
        &mut self,
        booting: impl Iterator<Item = (&'a str, &'a str, &'a str, bool)>,
        is_up: impl Fn(&str) -> bool,
        now: Instant,
    ) {
        let mut still: HashSet<&str> = HashSet::new();
        for (id, kind, zone, spot) in booting {
            still.insert(id);
            if !self.since.contains_key(id) {
                let offer = (kind.to_string(), zone.to_string(), spot);
                self.since.insert(id.to_string(), (now, offer));
            }
        }
        let (learned, failed, up) = (&mut self.learned, &mut self.failed, &mut self.up);
        self.late.retain(|id| still.contains(id.as_str()));
        self.since.retain(|id, (since, offer)| {
            if still.contains(id.as_str()) {
                return true;
            }
            if is_up(id) {
                up.insert(offer.clone(), now);
                let took = now.saturating_duration_since(*since).as_secs_f64();
                let mean = learned.entry((offer.0.clone(), offer.1.clone()));
                mean.and_modify(|m| *m += (took - *m) / 4.0).or_insert(took);
                failed.remove(offer);
            }
            false
        });
    }

    /// After how many seconds a machine of this type is late: what is usual by
    /// the cloud's word, more where boots have been seen to take longer; never
    /// so much that one waits for it to the end.
    pub fn late_s(&self, kind: &MachineType, zone: &str, limit_s: f64) -> f64 {
        let usual = kind.boot_s * BOOT_USUAL;
        let key = (kind.name.clone(), zone.to_string());
        let seen = self.learned.get(&key).copied().unwrap_or(0.0);
        (seen * BOOT_USUAL)
            .max(usual)
            .min(limit_s / 2.0)
            .max(usual.min(limit_s))
    }

    /// A machine that boots is late, or is given up. Where no other of its offer
    /// has come up since it was rented, the next is tried later, and later each
    /// time; a few of many may fail at any time.
    pub fn fails(&mut self, id: &str, pause: Duration, now: Instant) {
        let Some((since, offer)) = self.since.get(id) else {
            return;
        };
        if self.up.get(offer).is_some_and(|t| t > since) {
            return;
        }
        let (until, count) = self.failed.entry(offer.clone()).or_insert((now, 0));
        // Those of one rental count once.
        if *until <= now {
            *until = now + pause * 2u32.pow((*count).min(3));
            *count += 1;
        }
    }

    pub fn is_left_alone(&self, offer: &Offer, now: Instant) -> bool {
        self.failed
            .get(offer)
            .is_some_and(|(until, _)| *until > now)
    }
}

/// PROTOCOL: a boot usually takes at most so many times what the cloud says.
const BOOT_USUAL: f64 = 1.5;

#[derive(Default)]
pub struct FleetState {
    /// The last report of a worker that asked to be claimed, without tasks:
    /// its address and its kind.
    pub reports: HashMap<String, Report>,
    /// When a machine was last sent to its home, and whether it was soon back.
    pub sent_home: HashMap<String, (Instant, bool)>,
    /// Since when a worker is kept here that waits to be claimed.
    pub kept: HashMap<String, Instant>,
    /// When a machine was last sent back to its holder.
    pub sent_back: HashMap<String, Instant>,
    /// When any was sent home that another controller holds.
    pub last_sent_home: Option<Instant>,
    /// Machines with a notice that are not draining yet.
    pub recalled: HashSet<String>,
    /// Offers that were refused, and how often in a row.
    refused: HashMap<Offer, (Instant, u32)>,
    boots: Boots,
    empty_since: HashMap<String, Instant>,
    first_seen: HashMap<String, Instant>,
    /// Machines whose live reports show a token below the recorded one.
    unshown: HashMap<String, Unshown>,
    /// Since when the cloud lists machines that have no record.
    listed: HashMap<String, Instant>,
    /// Machines confirmed gone: a late list may still name them.
    gone: HashMap<String, Instant>,
    lease: Option<u64>,
    extended: Option<Instant>,
    listed_at: Option<Instant>,
    described_at: Option<Instant>,
    consolidated_at: Option<Instant>,
    types_at: Option<Instant>,
    /// The cloud is left alone until then.
    cloud_pause: Option<Instant>,
    cloud_calls: Option<Bucket>,
    /// Rentals whose call is under way.
    calling: HashSet<String>,
}

impl FleetState {
    /// Whether a worker has reported for longer than its lease without taking
    /// up the token under which its machine is held, by whomever: its reports
    /// arrive, but no answer and no order does. It tries one controller after
    /// another, and is not claimed again and again: it goes back.
    pub fn hears_nothing(
        &mut self,
        report: &Report,
        token: u64,
        lease: Duration,
        now: Instant,
    ) -> bool {
        let id = &report.machine;
        if report.token >= token {
            self.unshown.remove(id);
            return false;
        }
        let at = (report.session, report.seq);
        let fresh = Unshown {
            first: now,
            last: now,
            at: (0, 0),
        };
        let seen = self.unshown.entry(id.clone()).or_insert(fresh);
        // A late copy is not a sign of anything.
        if at <= seen.at {
            return false;
        }
        // It may have been with others meanwhile, and heard them.
        if now.saturating_duration_since(seen.last) > lease * 2 {
            *seen = fresh;
        }
        seen.last = now;
        seen.at = at;
        seen.is_deaf(lease)
    }

    /// Machines that were found so just now.
    fn deaf(&self, lease: Duration, now: Instant) -> Vec<String> {
        let just = |u: &Unshown| now.saturating_duration_since(u.last) < lease / 2;
        let deaf = self
            .unshown
            .iter()
            .filter(|(_, u)| u.is_deaf(lease) && just(u));
        deaf.map(|(id, _)| id.clone()).collect()
    }

    /// Takes a gap in which this process did not run out of every span.
    pub fn skip(&mut self, gap: Duration, now: Instant) {
        let spans = [
            &mut self.empty_since,
            &mut self.first_seen,
            &mut self.listed,
        ];
        for at in spans.into_iter().flat_map(|s| s.values_mut()) {
            *at = skipped(*at, gap, now);
        }
        for (since, _) in self.boots.since.values_mut() {
            *since = skipped(*since, gap, now);
        }
        for seen in self.unshown.values_mut() {
            seen.first = skipped(seen.first, gap, now);
            seen.last = skipped(seen.last, gap, now);
        }
    }

    /// Whether a listed machine without a record has been one for so long.
    fn unheard(&mut self, id: &str, limit: Duration) -> bool {
        let first = self
            .listed
            .entry(id.to_string())
            .or_insert_with(Instant::now);
        first.elapsed() > limit
    }

    pub fn remember(&mut self, report: &Report) {
        let mut kept = report.clone();
        kept.tasks = Vec::new();
        self.reports.insert(report.machine.clone(), kept);
    }

    /// Offers that the cloud has refused of late, for the report.
    pub fn refused_now(&self, now: Instant) -> Vec<String> {
        let mut all: Vec<String> = self
            .refused
            .iter()
            .filter(|(_, (until, _))| *until > now)
            .map(|((kind, zone, spot), _)| {
                format!("{kind} in {zone}{}", if *spot { " (spot)" } else { "" })
            })
            .collect();
        all.sort();
        all
    }
}

impl Node {
    pub fn is_renter(&self) -> bool {
        self.view
            .borrow()
            .fleet
            .as_ref()
            .is_some_and(|f| f.value.incarnation == self.incarnation)
            && self.fleet.borrow().lease.is_some()
    }

    async fn cloud(&self, method: &str, path: &str, body: Option<Vec<u8>>) -> Option<Response> {
        self.cloud_if(method, path, body, || true).await
    }

    /// The same if it is still wanted when its turn has come, by one who still
    /// rents: the limit, or this process standing still, may hold it up.
    async fn cloud_if(
        &self,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
        wanted: impl Fn() -> bool,
    ) -> Option<Response> {
        let pause = self.fleet.borrow().cloud_pause;
        if pause.is_some_and(|t| t > Instant::now()) {
            return None;
        }
        // The renter alone calls; rentals call at once, inside the limit.
        loop {
            let now = Instant::now();
            let taken = {
                let rps = self.settings.deployment.cloud.rps;
                let mut fleet = self.fleet.borrow_mut();
                let bucket = fleet
                    .cloud_calls
                    .get_or_insert_with(|| Bucket::new(rps * 0.9, rps, now));
                bucket.take_one(now)
            };
            match taken {
                Ok(()) => break,
                Err(wait) => sleep(wait).await,
            }
        }
        if !wanted() || !self.is_renter() || !self.has_state() {
            return None;
        }
        let limit = self.settings.lease() / 3;
        let answer = self
            .client
            .call(self.settings.external.cloud, method, path, body, limit)
            .await;
        match answer {
            Ok(r) if r.status == 429 || (r.status >= 500 && !is_no_capacity(&r)) => {
                tracing::debug!(status = r.status, path, "cloud refuses");
                let pause = self.store.jitter(Duration::from_secs(1));
                self.fleet.borrow_mut().cloud_pause = Some(Instant::now() + pause);
                None
            }
            Ok(r) => Some(r),
            Err(error) => {
                tracing::debug!(%error, path, "cloud does not answer");
                None
            }
        }
    }
}

fn is_no_capacity(r: &Response) -> bool {
    String::from_utf8_lossy(&r.body).contains("no capacity")
}

/// Keeps this controller's state lease, the key that says it is up, and, when
/// nobody has it, the key that says who rents. True when there is more to do
/// at once.
async fn keep_lease(node: &Node) -> Result<bool, StoreError> {
    let ttl = node.settings.lease() / 2;
    let held = node.fleet.borrow().lease;
    let Some(lease) = held else {
        let lease = node.store.hold(ttl).await?;
        let mut fleet = node.fleet.borrow_mut();
        fleet.lease = Some(lease);
        fleet.extended = Some(Instant::now());
        return Ok(true);
    };
    let due = node
        .fleet
        .borrow()
        .extended
        .is_none_or(|t| t.elapsed() > ttl / 4);
    if due {
        match node.store.extend(lease).await {
            Ok(()) => node.fleet.borrow_mut().extended = Some(Instant::now()),
            Err(StoreError::NoLease) => {
                tracing::info!("the state lease has run out");
                node.fleet.borrow_mut().lease = None;
                return Ok(false);
            }
            Err(e) => return Err(e),
        }
    }
    let me = Renter {
        node: node.name().to_string(),
        incarnation: node.incarnation,
        formats: FORMATS,
    };
    let mut guards = Vec::new();
    let mut writes = Vec::new();
    let mut sign = |key: String, version: u64| {
        guards.push(guard(key.clone(), version));
        writes.push(Write::Put {
            key,
            value: raw(&me),
            lease: Some(lease),
        });
    };
    {
        let view = node.view.borrow();
        match view.nodes.get(node.name()) {
            Some(e) if e.value == me => {}
            other => {
                let key = node_key(node.name());
                let absent = view.absent_version(&key);
                sign(key, other.map_or(absent, |e| e.version));
            }
        }
        match &view.fleet {
            None => sign(FLEET_KEY.to_string(), view.absent_version(FLEET_KEY)),
            // An earlier run of this process rented, and its state lease still
            // stands: it is surely over, and nobody else may rent till then.
            Some(e) if e.value.node == me.node && e.value != me => {
                sign(FLEET_KEY.to_string(), e.version);
            }
            Some(_) => {}
        }
        // It stands with no lease: what it says is for good.
        let known = &view.formats;
        let seen = view
            .nodes
            .iter()
            .map(|(n, e)| (n.as_str(), e.value.formats));
        let next = known.value.with(seen, &node.settings.controllers());
        let unreadable = view.is_unreadable(FORMATS_KEY);
        if view.nodes.contains_key(node.name()) && (next != known.value || unreadable) {
            let version = known.version.max(view.absent_version(FORMATS_KEY));
            guards.push(guard(FORMATS_KEY.to_string(), version));
            writes.push(put(FORMATS_KEY.to_string(), &next));
        }
    }
    if writes.is_empty() {
        return Ok(false);
    }
    let rents = guards.iter().any(|g| g.key == FLEET_KEY);
    match node.commit(Class::Lease, guards, writes).await {
        Ok(_) => {
            if rents {
                tracing::info!("renting from now on");
            }
            Ok(false)
        }
        Err(StoreError::NoLease) => {
            node.fleet.borrow_mut().lease = None;
            Ok(false)
        }
        Err(e) => Err(e),
    }
}

/// The renter reads the machine types and keeps them in the state, where
/// every controller, a newly started one too, finds them.
pub async fn keep_types(node: Rc<Node>) {
    let tick = node.settings.report() / 3;
    loop {
        // Until the types are known nobody can accept anything.
        let known = !node.view.borrow().types.value.types.is_empty();
        sleep(if known { tick } else { tick / 16 }).await;
        if !node.is_renter() {
            continue;
        }
        let fresh = Duration::from_secs_f64(node.settings.deployment.cloud.list_lag_s) * 3;
        let due = node
            .fleet
            .borrow()
            .types_at
            .is_none_or(|t| t.elapsed() > fresh);
        if !due {
            continue;
        }
        let Some(r) = node.cloud("GET", "/flavors", None).await else {
            continue;
        };
        let Ok(MachineTypes { types }) = r.parse::<MachineTypes>() else {
            continue;
        };
        node.fleet.borrow_mut().types_at = Some(Instant::now());
        let types = Types { types };
        let known = node.view.borrow().types.clone();
        let unreadable = node.view.borrow().absent_version(TYPES_KEY);
        if known.value != types || unreadable > 0 {
            let version = known.version.max(unreadable);
            let guards = vec![guard(TYPES_KEY.to_string(), version)];
            let writes = vec![put(TYPES_KEY.to_string(), &types)];
            if let Err(error) = node.commit(Class::Lease, guards, writes).await {
                tracing::debug!(%error, "types not recorded");
                node.fleet.borrow_mut().types_at = None;
            }
        }
    }
}

/// Keeps the state lease by a loop of its own: the cloud's answers and the
/// budget may hold up the rest for longer than it lasts.
pub async fn keep_leases(node: Rc<Node>) {
    let tick = node.settings.lease() / 16;
    let soon = tick / 16;
    loop {
        if !node.view.borrow().loaded {
            sleep(soon).await;
            continue;
        }
        match keep_lease(&node).await {
            // A lease that is new signs for this controller at once.
            Ok(true) => continue,
            Ok(false) => {}
            Err(error) => tracing::debug!(%error, "state lease"),
        }
        sleep(node.store.jitter(tick)).await;
    }
}

pub async fn keep_fleet(node: Rc<Node>) {
    loop {
        let tick = node.settings.report().min(node.settings.lease() / 8) / 2;
        sleep(node.store.jitter(tick)).await;
        if !node.view.borrow().loaded {
            continue;
        }
        if node.has_state() {
            drain_recalled(&node).await;
            send_away(&node, judge_own).await;
        }
        if !node.is_renter() || !node.has_state() {
            continue;
        }
        tend(&node).await;
    }
}

async fn set_life(node: &Node, id: &str, life: Life) -> bool {
    let all = set_lives(node, &[(id.to_string(), life)]).await;
    all.contains(id)
}

/// Writes machines' new lives, taking them out of their parts' records unless
/// they stay active; as many as one commit holds, and tells which. Guarded by
/// the parts, too, so that no booking slips in between.
async fn set_lives(node: &Node, lives: &[(String, Life)]) -> HashSet<String> {
    let ops = node.settings.txn_ops();
    let mut changed = HashSet::new();
    let (mut guards, mut writes);
    {
        let view = node.view.borrow();
        let mut groups = Groups::new(&view);
        let mut parts: BTreeMap<String, (Part, bool)> = BTreeMap::new();
        for (id, life) in lives {
            let Some(entry) = view.machines.get(id) else {
                continue;
            };
            let mut machine = entry.value.clone();
            // Safety 5: returning is never undone.
            let onward = match machine.life {
                Life::Gone => false,
                Life::Returning => *life == Life::Gone,
                _ => machine.life != *life,
            };
            // A group and perhaps its part, which is about as long.
            let group = part_id(&machine.zone, &machine.part);
            let part = view
                .part_of(id)
                .map_or_else(|| group.clone(), |p| p.to_string());
            let full = groups.is_full(ops / 2) || groups.bytes() > COMMIT_BYTES / 3;
            // The other half is for parts.
            let crowded = !parts.contains_key(&part) && parts.len() >= ops - ops / 2;
            if !onward || crowded || (!groups.has(&group) && full) {
                continue;
            }
            machine.life = *life;
            groups.put(id, machine);
            changed.insert(id.clone());
            if *life != Life::Active
                && let Some(entry) = view.parts.get(&part)
            {
                // The part is guarded even if the machine is not in its
                // record: its holder could be putting it there just now.
                let record = parts.entry(part);
                let record = record.or_insert_with(|| (entry.value.clone(), false));
                record.1 |= record.0.machines.remove(id).is_some();
            }
        }
        (guards, writes) = groups.into_commit();
        for (id, (part, changed)) in parts {
            guards.push(guard(part_key(&id), view.part_version(&id)));
            if changed {
                writes.push(view.put_part(&id, &part));
            }
        }
    }
    if writes.is_empty() {
        return changed;
    }
    if let Err(error) = node.commit(Class::Life, guards, writes).await {
        tracing::debug!(?lives, %error, "lives not changed");
        changed.clear();
    }
    changed
}

/// Machines with a spot notice take no new work, and gangs that can save are
/// told to while there is time.
async fn drain_recalled(node: &Node) {
    let ids: Vec<String> = node.fleet.borrow_mut().recalled.drain().collect();
    for id in ids {
        let life = node.view.borrow().machines.get(&id).map(|m| m.value.life);
        if life == Some(Life::Active) && node.holds(&id) {
            tracing::info!(machine = id, "is being taken back: draining");
            if !set_life(node, &id, Life::Draining).await {
                node.fleet.borrow_mut().recalled.insert(id.clone());
                continue;
            }
        }
        let (guards, writes) = stops_for_drain(node, &id);
        if !writes.is_empty()
            && let Err(error) = node.commit(Class::Life, guards, writes).await
        {
            tracing::debug!(machine = id, %error, "drain not committed");
        }
    }
}

fn stops_for_drain(node: &Node, machine: &str) -> (Vec<Guard>, Vec<Write>) {
    let view = node.view.borrow();
    let ops = node.settings.txn_ops();
    let mut guards = Vec::new();
    let mut writes = Vec::new();
    let mut bytes = 0;
    for (id, entry) in view.jobs_on(machine) {
        let saves = entry
            .value
            .spec
            .as_ref()
            .is_some_and(|s| s.checkpoint_s > 0.0 || s.kind == Kind::Service);
        let told = entry
            .value
            .runs
            .iter()
            .all(|r| r.machine != machine || r.stop);
        let full = writes.len() == ops || bytes > COMMIT_BYTES / 2;
        if !saves || told || !entry.value.is_open() || full {
            continue;
        }
        let mut job = entry.value.clone();
        let gang = job.spec.as_ref().is_some_and(Spec::is_gang);
        for run in &mut job.runs {
            if gang || run.machine == machine {
                run.stop = true;
            }
        }
        guards.push(guard(job_key(id), entry.version));
        let write = view.put_job(id, &job);
        if let Write::Put { value, .. } = &write {
            bytes += value.get().len();
        }
        writes.push(write);
    }
    (guards, writes)
}

/// One line a while on what is rented and how full it is, for a replay.
fn describe(node: &Node) {
    {
        let mut fleet = node.fleet.borrow_mut();
        let due = node.settings.lease();
        if fleet.described_at.is_some_and(|t| t.elapsed() < due) {
            return;
        }
        fleet.described_at = Some(Instant::now());
    }
    let view = node.view.borrow();
    let mut kinds: BTreeMap<String, (usize, f64, f64)> = BTreeMap::new();
    for (id, e) in &view.machines {
        let m = &e.value;
        let name = format!(
            "{}{}{}",
            m.kind,
            if m.spot { "*" } else { "" },
            if m.life == Life::Active { "" } else { "?" }
        );
        let entry = kinds.entry(name).or_default();
        entry.0 += 1;
        entry.1 += view.booked_on(id).cpus.units();
        entry.2 += view.type_of(&m.kind).map_or(0.0, |t| t.cpus);
    }
    // Machines that nobody counts on yet, and where work on accelerators fits.
    let active = |m: &Machine| m.life == Life::Active;
    let machines = view.machines.iter().filter(|(_, e)| active(&e.value));
    let unlisted = machines.filter(|(id, _)| view.slot(id).is_none()).count();
    let plan = Plan::of(&view);
    let places: Vec<(&str, usize)> = view
        .zone_names
        .all()
        .map(|zone| (zone, spare_places(&view, &plan, Some(zone))))
        .collect();
    let mut waiting: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for (_, id) in &view.open {
        if let Some(job) = view.jobs.get(id).map(|e| &e.value)
            && let Some(spec) = &job.spec
        {
            let entry = waiting.entry(&spec.class).or_default();
            entry.0 += job.waiting();
            entry.1 += job.booked();
        }
    }
    tracing::debug!(
        ?kinds,
        ?waiting,
        unlisted,
        ?places,
        "fleet (number, CPUs booked, CPUs), tasks (waiting, booked)"
    );
}

type Leaving = Vec<(String, Life, &'static str)>;

/// Judges and carries it out. What is found is judged again once the budget is
/// there: it may have waited, or this process may have stood still, and who was
/// silent may have been heard meanwhile.
async fn send_away(node: &Node, judge: fn(&Node) -> Leaving) {
    let first = judge(node);
    if first.is_empty() {
        return;
    }
    node.store.ready(Class::Life, 1).await;
    if !node.has_state() {
        return;
    }
    let leaving = judge(node);
    let (known, new): (Vec<_>, Vec<_>) = {
        let view = node.view.borrow();
        let known = |id: &str| view.machines.contains_key(id);
        leaving.into_iter().partition(|(id, _, _)| known(id))
    };
    let lives: Vec<(String, Life)> = known.iter().map(|l| (l.0.clone(), l.1)).collect();
    let changed = set_lives(node, &lives).await;
    for (id, life, why) in known.iter().filter(|l| changed.contains(&l.0)) {
        tracing::info!(machine = id, ?life, why, "leaves service");
    }
    let lost: Vec<(String, Machine)> = {
        let view = node.view.borrow();
        new.iter()
            .filter_map(|(id, _, _)| never_came_up(&view, id))
            .collect()
    };
    take_up(node, &lost).await;
}

/// One pass over the fleet.
async fn tend(node: &Rc<Node>) {
    describe(node);
    finish_returns(node).await;
    settle_records(node).await;
    settle_doomed(node).await;
    read_list(node).await;
    send_away(node, judge).await;
    consolidate(node).await;
}

/// Rents what is missing, apart from the rest: work waits for it.
pub async fn keep_renting(node: Rc<Node>) {
    let tick = node.settings.report().min(node.settings.lease() / 8) / 2;
    loop {
        sleep(node.store.jitter(tick)).await;
        if node.view.borrow().loaded && node.is_renter() && node.has_state() {
            rent(&node).await;
        }
    }
}

async fn rent(node: &Rc<Node>) {
    resolve_hires(node);
    // What an answer that is awaited refuses is not asked for again.
    if !node.fleet.borrow().calling.is_empty() {
        return;
    }
    let hires = demand(node);
    if hires.is_empty() {
        return;
    }
    let mut guards = Vec::new();
    let mut writes = Vec::new();
    for hire in hires {
        let id = format!(
            "{}-{:x}",
            node.name(),
            node.rng.borrow_mut().random::<u64>()
        );
        tracing::info!(
            kind = hire.kind,
            zone = hire.zone,
            spot = hire.spot,
            count = hire.count,
            "renting"
        );
        // Safety 5: the intent comes before the call, under a unique name.
        guards.push(guard(hire_key(&id), 0));
        writes.push(put(hire_key(&id), &hire));
    }
    // Who has stood still, and rents no more, finds out by this.
    match node.view.borrow().fleet.as_ref() {
        Some(mine) => guards.push(guard(FLEET_KEY.to_string(), mine.version)),
        None => return,
    }
    match node.commit(Class::Lease, guards, writes).await {
        Ok(_) => resolve_hires(node),
        Err(error) => tracing::debug!(%error, "rental not recorded"),
    }
}

/// Empties a machine whose accelerators nobody needs, when the services that
/// keep it rented have room elsewhere: they move, and it goes back.
async fn consolidate(node: &Node) {
    let pause = node.settings.lease();
    let due = node
        .fleet
        .borrow()
        .consolidated_at
        .is_none_or(|t| t.elapsed() > pause);
    if !due {
        return;
    }
    let Some((id, guards, writes)) = movable(node) else {
        return;
    };
    node.fleet.borrow_mut().consolidated_at = Some(Instant::now());
    let moved = writes.len().saturating_sub(2);
    match node.commit(Class::Room, guards, writes).await {
        Ok(_) => tracing::info!(machine = id, services = moved, "emptied: its services move"),
        Err(error) => tracing::debug!(machine = id, %error, "not emptied"),
    }
}

fn movable(node: &Node) -> Option<(String, Vec<Guard>, Vec<Write>)> {
    let view = node.view.borrow();
    let settings = &node.settings;
    let gpu = view.gpu_spec.as_ref()?;
    let waits = |id: &String| {
        let job = view.jobs.get(id).map(|e| &e.value);
        let job = job.filter(|j| !j.is_doubtful());
        job.is_some_and(|j| j.waiting() > 0 && j.spec.as_ref().is_some_and(|s| s.need.gpus.0 > 0))
    };
    if view.open.iter().any(|(_, id)| waits(id)) {
        return None;
    }
    let ops = settings.txn_ops();
    let plan = Plan::of(&view);
    // Places that stay for work on accelerators: two of its usual jobs'.
    let home = node.name();
    let hints = Hints::new(&view, home);
    let mut best: Option<(f64, &String, Vec<&str>)> = None;
    for (id, entry) in &view.machines {
        let m = &entry.value;
        let Some(kind) = view.type_of(&m.kind) else {
            continue;
        };
        if m.life != Life::Active || kind.gpus <= 0.0 {
            continue;
        }
        let jobs: Vec<&str> = view.jobs_on(id).map(|(job, _)| job).collect();
        let all_services = view.jobs_on(id).all(|(_, e)| {
            let spec = e.value.spec.as_ref();
            e.value.is_open() && spec.is_some_and(|s| s.kind == Kind::Service)
        });
        if jobs.is_empty() || !all_services || jobs.len() + 2 > ops {
            continue;
        }
        let mut without = plan.clone();
        if let Some(at) = without.find(&view, id) {
            without.spots[at].free = Room::default();
        }
        if spare_places(&view, &without, None) < 2 * gpu.tasks as usize {
            continue;
        }
        let fits = jobs.iter().all(|job| {
            let mut moved = view.jobs[*job].value.clone();
            let Some(spec) = moved.spec.clone() else {
                return false;
            };
            // What it would be after the stop: those tasks wait.
            let mut count = 0;
            for run in view.jobs[*job]
                .value
                .runs
                .iter()
                .filter(|r| r.machine == *id)
            {
                for task in run.tasks.iter() {
                    moved.release(id, run.attempt, task, crate::model::Outcome::Lost);
                    count += 1;
                }
            }
            without.teams.entry(spec.team.clone()).and_modify(|used| {
                *used -= spec.need.times(count);
            });
            match admission::fit(&moved, &spec, &without, &hints, settings, Care::Strict) {
                Ok(places) if places.len() >= count => {
                    for p in &places {
                        without.take(p, &spec.team, spec.need);
                    }
                    true
                }
                _ => false,
            }
        });
        let gain = cost(kind, m.spot) / jobs.len() as f64;
        if fits && best.as_ref().is_none_or(|(g, _, _)| gain > *g) {
            best = Some((gain, id, jobs));
        }
    }
    let (_, id, jobs) = best?;
    let entry = view.machines.get(id)?;
    let mut machine = entry.value.clone();
    machine.life = Life::Draining;
    let part_id = view.part_of(id)?.to_string();
    let part = view.parts.get(&part_id)?;
    let mut record = part.value.clone();
    record.machines.remove(id);
    let mut groups = Groups::new(&view);
    groups.put(id, machine);
    let (mut guards, mut writes) = groups.into_commit();
    guards.push(guard(part_key(&part_id), part.version));
    writes.push(view.put_part(&part_id, &record));
    for job_id in jobs {
        let mut job = view.jobs[job_id].value.clone();
        for run in job.runs.iter_mut().filter(|r| r.machine == *id) {
            run.stop = true;
        }
        job.cleared = true;
        guards.push(guard(job_key(job_id), view.job_version(job_id)));
        writes.push(view.put_job(job_id, &job));
    }
    Some((id.clone(), guards, writes))
}

/// Calls the cloud for every recorded rental until it has answered: repeating
/// a request by its name rents nothing twice.
fn resolve_hires(node: &Rc<Node>) {
    let view = node.view.borrow();
    let mut fleet = node.fleet.borrow_mut();
    for (id, e) in &view.hires {
        if e.value.machines.is_empty() && fleet.calling.insert(id.clone()) {
            let (node, id, version, hire) = (node.clone(), id.clone(), e.version, e.value.clone());
            tokio::task::spawn_local(async move {
                resolve_hire(&node, &id, version, hire).await;
                node.fleet.borrow_mut().calling.remove(&id);
            });
        }
    }
}

async fn resolve_hire(node: &Node, id: &str, version: u64, mut hire: Hire) {
    let request = RentRequest {
        request: id,
        kind: &hire.kind,
        zone: &hire.zone,
        spot: hire.spot,
        count: hire.count,
    };
    let Ok(body) = serde_json::to_vec(&request) else {
        return;
    };
    let there = || {
        let view = node.view.borrow();
        view.hires.get(id).is_some_and(|e| e.version == version)
    };
    let Some(r) = node.cloud_if("POST", "/rentals", Some(body), there).await else {
        return;
    };
    let mut short = true;
    if r.status == 200
        && let Ok(names) = r.parse::<MachineNames>()
    {
        short = (names.machines.len() as u32) < hire.count;
        let view = node.view.borrow();
        // The workers of some may have been quicker than the answer.
        hire.machines = names.machines;
        hire.machines.retain(|m| !view.machines.contains_key(m));
    }
    if short {
        tracing::info!(
            kind = hire.kind,
            zone = hire.zone,
            spot = hire.spot,
            status = r.status,
            got = hire.machines.len(),
            "no capacity"
        );
    }
    let offer = (hire.kind.clone(), hire.zone.clone(), hire.spot);
    {
        let mut fleet = node.fleet.borrow_mut();
        if short {
            // As often refused, as much longer left alone.
            let base = Duration::from_secs_f64(node.settings.deployment.cloud.list_lag_s);
            let count = fleet.refused.get(&offer).map_or(0, |r| r.1);
            let pause = base * 2u32.pow(count.min(2));
            fleet
                .refused
                .insert(offer, (Instant::now() + pause, count + 1));
        } else {
            fleet.refused.remove(&offer);
        }
    }
    let key = hire_key(id);
    let guards = vec![guard(key.clone(), version)];
    let write = match hire.machines.is_empty() {
        true => Write::Delete { key },
        false => put(key, &hire),
    };
    if let Err(error) = node.commit(Class::Lease, guards, vec![write]).await {
        // The next pass asks the cloud again and gets the same names.
        tracing::debug!(%error, "rental not settled");
    }
}

/// Drops what has served its turn: rentals whose machines all have a record of
/// their own, arrivals whose jobs all have. Those records never go while this
/// one stands (`drop_gone`) or at all, so what the view shows holds.
async fn settle_records(node: &Node) {
    let (guards, writes): (Vec<Guard>, Vec<Write>) = {
        let view = node.view.borrow();
        let hires = view.hires.iter().filter(|(_, e)| {
            let machines = &e.value.machines;
            !machines.is_empty() && machines.iter().all(|m| view.machines.contains_key(m))
        });
        let arrivals = view.arrivals.iter().filter(|(_, e)| {
            let mut jobs = e.value.jobs.keys();
            jobs.all(|id| view.job_version(id) > 0)
        });
        let hires = hires.map(|(id, e)| (hire_key(id), e.version));
        let arrivals = arrivals.map(|(id, e)| (arrivals_key(id), e.version));
        hires
            .chain(arrivals)
            .take(node.settings.txn_ops())
            .map(|(key, version)| (guard(key.clone(), version), Write::Delete { key }))
            .unzip()
    };
    if !writes.is_empty()
        && let Err(error) = node.commit(Class::Room, guards, writes).await
    {
        tracing::debug!(%error, "settled records stay");
    }
}

/// Writes onto jobs' own records that they are cancelled with what they await:
/// some at a time, in any order. All controllers know it without, and what it
/// follows from stays: final records are never dropped.
async fn settle_doomed(node: &Node) {
    let (guards, writes): (Vec<Guard>, Vec<Write>) = {
        let view = node.view.borrow();
        view.doomed()
            .filter_map(|id| {
                let mut job = view.jobs.get(id)?.value.clone();
                job.cancel();
                let version = view.job_version(id);
                Some((guard(job_key(id), version), put(job_key(id), &job)))
            })
            .take(node.settings.txn_ops())
            .unzip()
    };
    if !writes.is_empty()
        && let Err(error) = node.commit(Class::Room, guards, writes).await
    {
        tracing::debug!(%error, "cancelled jobs not settled yet");
    }
}

/// The rental that still has this machine among those that boot.
fn hire_of<'a>(view: &'a View, machine: &str) -> Option<(&'a String, &'a Entry<Hire>)> {
    let mut hires = view.hires.iter();
    hires.find(|(_, e)| e.value.machines.iter().any(|m| m == machine))
}

/// Machines that boot: those of rentals that have no record of their own yet,
/// and those that were found in the cloud's list.
fn booting(view: &View) -> impl Iterator<Item = (&str, &str, &str, bool)> {
    let rented = view.hires.values().flat_map(|e| {
        let hire = &e.value;
        hire.machines
            .iter()
            .filter(|m| !view.machines.contains_key(*m))
            .map(|m| {
                (
                    m.as_str(),
                    hire.kind.as_str(),
                    hire.zone.as_str(),
                    hire.spot,
                )
            })
    });
    let found = view.machines.iter().filter_map(|(id, e)| {
        let m = &e.value;
        (m.life == Life::Booting).then_some((id.as_str(), m.kind.as_str(), m.zone.as_str(), m.spot))
    });
    rented.chain(found)
}

/// Takes up machines that have no record: rented ones that have not come up,
/// which go back, and listed ones that nobody knows.
async fn take_up(node: &Node, machines: &[(String, Machine)]) {
    let ops = node.settings.txn_ops();
    let mut taken = Vec::new();
    let (guards, writes) = {
        let view = node.view.borrow();
        let mut groups = Groups::new(&view);
        for (id, machine) in machines {
            if view.machines.contains_key(id) || groups.is_full(ops) {
                continue;
            }
            let mut machine = machine.clone();
            machine.part = groups.new_part(&node.settings, id, &machine.kind, &machine.zone);
            taken.push((id, machine.life));
            groups.put(id, machine);
        }
        groups.into_commit()
    };
    if writes.is_empty() {
        return;
    }
    match node.commit(Class::Life, guards, writes).await {
        Ok(_) => {
            for (machine, life) in taken {
                tracing::info!(machine, ?life, "taken up");
            }
        }
        Err(error) => tracing::debug!(%error, "machines not taken up"),
    }
}

/// A rented machine without a record, to be sent back.
fn never_came_up(view: &View, id: &str) -> Option<(String, Machine)> {
    let (_, hire) = hire_of(view, id)?;
    let machine = Machine {
        life: Life::Returning,
        spot: hire.value.spot,
        ..Machine::new(&hire.value.kind, &hire.value.zone)
    };
    Some((id.to_string(), machine))
}

/// Returns what is to go, and drops the records of what is gone.
async fn finish_returns(node: &Node) {
    let (returning, gone): (Vec<String>, Vec<String>) = {
        let view = node.view.borrow();
        let returning = view
            .machines
            .iter()
            .filter(|(_, m)| m.value.life == Life::Returning)
            .map(|(id, _)| id.clone())
            .take(100)
            .collect();
        let gone = view
            .machines
            .iter()
            .filter(|(id, m)| m.value.life == Life::Gone && !view.bookings.contains_key(*id))
            .map(|(id, _)| id.clone())
            .take(node.settings.txn_ops())
            .collect();
        (returning, gone)
    };
    if !returning.is_empty() {
        let names = MachineNames {
            machines: returning.clone(),
        };
        if let Ok(body) = serde_json::to_vec(&names)
            && let Some(r) = node.cloud("POST", "/rentals/return", Some(body)).await
            && r.status == 200
        {
            let now = Instant::now();
            // Nothing is booked on most: their records go at once.
            let (booked, empty): (Vec<_>, Vec<_>) = {
                let view = node.view.borrow();
                let booked = |id: &String| view.bookings.contains_key(id);
                returning.iter().cloned().partition(booked)
            };
            let lives: Vec<_> = booked.into_iter().map(|id| (id, Life::Gone)).collect();
            set_lives(node, &lives).await;
            drop_records(node, empty).await;
            let mut fleet = node.fleet.borrow_mut();
            for id in returning {
                fleet.reports.remove(&id);
                fleet.empty_since.remove(&id);
                fleet.first_seen.remove(&id);
                fleet.gone.insert(id, now);
            }
        }
    }
    drop_records(node, gone).await;
}

/// Drops the records of machines that the cloud has taken back.
async fn drop_records(node: &Node, ids: Vec<String>) {
    let (guards, writes) = drop_gone(node, &ids);
    if !writes.is_empty()
        && let Err(error) = node.commit(Class::Room, guards, writes).await
    {
        tracing::debug!(%error, "records of gone machines stay");
    }
}

/// Drops the records of gone machines, and their names from the rental that
/// may still list them: they would count as booting again.
fn drop_gone(node: &Node, gone: &[String]) -> (Vec<Guard>, Vec<Write>) {
    let view = node.view.borrow();
    let ops = node.settings.txn_ops();
    let mut groups = Groups::new(&view);
    let mut hires: BTreeMap<&String, Hire> = BTreeMap::new();
    for id in gone {
        // Nothing was booked meanwhile: its part has lost it, and its group
        // is guarded.
        let Some(machine) = view.machines.get(id).map(|e| &e.value) else {
            continue;
        };
        if view.bookings.contains_key(id) {
            continue;
        }
        let hire = hire_of(&view, id);
        let group = part_id(&machine.zone, &machine.part);
        let new = usize::from(!groups.has(&group))
            + usize::from(hire.is_some_and(|(h, _)| !hires.contains_key(h)));
        if groups.len() + hires.len() + new > ops || (!groups.has(&group) && groups.is_full(ops)) {
            continue;
        }
        groups.edit(&group).remove(id);
        if let Some((hire_id, entry)) = hire {
            let hire = hires.entry(hire_id).or_insert_with(|| entry.value.clone());
            hire.machines.retain(|m| m != id);
        }
    }
    let (mut guards, mut writes) = groups.into_commit();
    for (id, hire) in hires {
        let key = hire_key(id);
        guards.push(guard(key.clone(), view.hires[id].version));
        writes.push(match hire.machines.is_empty() {
            true => Write::Delete { key },
            false => put(key, &hire),
        });
    }
    (guards, writes)
}

/// Reads the cloud's list: adopts what nobody knows, gives up what failed.
async fn read_list(node: &Node) {
    let lag = Duration::from_secs_f64(node.settings.deployment.cloud.list_lag_s);
    let orphaned = node.settings.lease() * 2;
    let due = node
        .fleet
        .borrow()
        .listed_at
        .is_none_or(|t| t.elapsed() > lag);
    if !due {
        return;
    }
    let mut all = Vec::new();
    let mut after = String::new();
    loop {
        let path = format!("/rentals?after={after}&limit=500");
        let Some(r) = node.cloud("GET", &path, None).await else {
            return;
        };
        let Ok(list) = r.parse::<MachineList>() else {
            return;
        };
        let Some(last) = list.machines.last() else {
            break;
        };
        after = last.id.clone();
        let more = list.more;
        all.extend(list.machines);
        if !more {
            break;
        }
    }
    node.fleet.borrow_mut().listed_at = Some(Instant::now());
    let mut failed = Vec::new();
    let mut new = Vec::new();
    {
        let view = node.view.borrow();
        let unnamed = view.hires.values().any(|e| e.value.machines.is_empty());
        let mut fleet = node.fleet.borrow_mut();
        fleet.gone.retain(|_, t| t.elapsed() < lag * 6);
        fleet.listed.retain(|id, _| !view.machines.contains_key(id));
        for m in &all {
            match view.machines.get(&m.id) {
                Some(known) => {
                    if m.stage == ListedStage::Failed && known.value.life != Life::Gone {
                        failed.push(m.id.clone());
                    }
                }
                None if fleet.gone.contains_key(&m.id) => {}
                None if hire_of(&view, &m.id).is_some() => {
                    if m.stage == ListedStage::Failed {
                        new.extend(never_came_up(&view, &m.id));
                    }
                }
                // The answer to a rental that is under way will name it.
                None if unnamed => {}
                // One that runs reports soon, and is claimed with a record of
                // its own: only one that nobody hears of is taken up here.
                None if !fleet.unheard(&m.id, orphaned) => {}
                None => {
                    let machine = Machine {
                        spot: m.spot,
                        ..Machine::new(&m.kind, &m.zone)
                    };
                    new.push((m.id.clone(), machine));
                }
            }
        }
    }
    take_up(node, &new).await;
    let failed: Vec<_> = failed.into_iter().map(|id| (id, Life::Returning)).collect();
    set_lives(node, &failed).await;
}

/// Zones of which most machines that this controller holds are silent at once:
/// they are cut off rather than lost, and come back together.
fn cut_off<'a>(view: &View, silent: impl Iterator<Item = (&'a String, bool)>) -> HashSet<String> {
    let mut zones: HashMap<&str, (usize, usize)> = HashMap::new();
    for (id, is_silent) in silent {
        if let Some(m) = view.machines.get(id) {
            let zone = zones.entry(&m.value.zone).or_default();
            zone.0 += 1;
            zone.1 += usize::from(is_silent);
        }
    }
    let most = |(all, silent): &(usize, usize)| *silent >= 4 && silent * 2 > *all;
    let cut = zones.iter().filter(|(_, counts)| most(counts));
    cut.map(|(zone, _)| zone.to_string()).collect()
}

/// Machines held by this controller that should leave, and why. Only the
/// holder knows when a machine was last heard: what another controller has
/// not told is no sign of silence.
fn judge_own(node: &Node) -> Leaving {
    let now = node.pulse();
    let view = node.view.borrow();
    let hands = node.hands.borrow();
    let limit = node.settings.lease();
    let deaf = node.fleet.borrow().deaf(limit, now);
    let silent = |hand: &Hand| now.saturating_duration_since(hand.heard) > limit;
    let cut = cut_off(&view, hands.iter().map(|(id, hand)| (id, silent(hand))));
    let mut leaving: Vec<_> = deaf
        .into_iter()
        .map(|id| (id, Life::Returning, "reports, but hears nothing"))
        .collect();
    for (id, hand) in hands.iter() {
        let life = match view.machines.get(id) {
            Some(m) if m.value.token == hand.token && m.value.incarnation == node.incarnation => {
                m.value.life
            }
            _ => continue,
        };
        if !matches!(life, Life::Active | Life::Draining) {
            continue;
        }
        // When its lease is surely over its work is free to go elsewhere
        // (`release_silent`), and it may be heard again. With a launch that
        // may land late only the cloud can end the doubt.
        let recalled = hand.report.as_ref().is_some_and(|r| r.notice_s.is_some());
        let limit = match (recalled, hand.unresolved) {
            // It was to be taken back and is silent: it has been, and the
            // cloud's answer proves it sooner than the lease does.
            (true, _) => limit.min(node.settings.report() * 3),
            (false, true) => limit,
            (false, false) if cut.contains(&view.machines[id].value.zone) => limit * 3,
            (false, false) => limit * 2,
        };
        let deaf = hand.deaf_since.is_some_and(|t| {
            let limit = node.settings.lease() * 2;
            now.saturating_duration_since(t) > limit
        });
        if now.saturating_duration_since(hand.heard) > limit {
            leaving.push((id.clone(), Life::Returning, "silent"));
        } else if deaf {
            leaving.push((id.clone(), Life::Returning, "reports, but hears nothing"));
        } else if life == Life::Active && judgement(node, &view, id, hand) == Judgement::Sick {
            leaving.push((id.clone(), Life::Draining, "fails what succeeds elsewhere"));
        }
    }
    leaving
}

/// What a machine's failures say of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Judgement {
    /// Nothing, or the jobs fail on others as well.
    Fine,
    /// Several jobs failed there, and nobody knows yet whose fault it is.
    Suspect,
    /// A job that failed there has succeeded elsewhere since.
    Sick,
}

/// What the failure of one job on a machine says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Blame {
    Job,
    Machine,
    Unknown,
}

/// Whom to blame for a job's failure on a machine, by the job's record, which
/// holds that failure: the machine, if the job has succeeded since; the job, if
/// it fails on others, too, or is cancelled.
pub fn blame(job: &Job, machine: &str) -> Blame {
    match job.fin {
        Final::Done => Blame::Machine,
        Final::Cancelled => Blame::Job,
        Final::Open if job.is_doubtful() => Blame::Job,
        Final::Open if job.failed_on.iter().any(|m| m == machine) => Blame::Unknown,
        Final::Open => Blame::Machine,
    }
}

/// Judges a machine by jobs that succeed elsewhere; a job with a mistake fails
/// on all machines alike, and would send one after another away.
fn judgement(node: &Node, view: &View, machine: &str, hand: &Hand) -> Judgement {
    let ends = node.ends.borrow();
    let mut unknown = 0;
    for id in &hand.failed_jobs {
        let first = EndKey {
            job: id.clone(),
            machine: machine.to_string(),
            attempt: 0,
            task: 0,
        };
        let mut waiting = ends.range(first..);
        let waits = waiting
            .next()
            .is_some_and(|(k, _)| k.job == *id && k.machine == machine);
        let Some(job) = view.jobs.get(id) else {
            continue;
        };
        match blame(&job.value, machine) {
            _ if waits => unknown += 1,
            Blame::Machine => return Judgement::Sick,
            Blame::Unknown => unknown += 1,
            Blame::Job => {}
        }
    }
    match unknown {
        0 | 1 => Judgement::Fine,
        _ => Judgement::Suspect,
    }
}

/// Machines that take no new work until it is known whose fault the failures
/// there are: a quarter of those held at most, or many jobs with a mistake
/// would leave no room to tell.
pub fn suspects(node: &Node, view: &View, hands: &HashMap<String, Hand>) -> HashSet<String> {
    let mut found: Vec<(usize, &String)> = hands
        .iter()
        .filter(|(_, hand)| hand.failed_jobs.len() > 1)
        .filter(|(id, hand)| judgement(node, view, id, hand) == Judgement::Suspect)
        .map(|(id, hand)| (hand.failed_jobs.len(), id))
        .collect();
    found.sort_by(|a, b| b.cmp(a));
    let most = (hands.len() / 4).max(1);
    let found = found.into_iter().take(most);
    found.map(|(_, id)| id.clone()).collect()
}

/// How many tasks of the accelerators' usual shape there should be places
/// for beyond those that run: none when no such job is open.
fn headroom(node: &Node, view: &View, plan: &Plan) -> usize {
    let Some(gpu) = &view.gpu_spec else {
        return 0;
    };
    let open = view.open.iter().any(|(_, id)| {
        let job = view.jobs.get(id).map(|e| &e.value);
        let job = job.filter(|j| !j.is_doubtful());
        let spec = job.and_then(|j| j.spec.as_ref());
        spec.is_some_and(|s| s.need.gpus.0 > 0)
    });
    if !open {
        return 0;
    }
    let next = Job::new(gpu.clone(), 0);
    let standing = Standing::of(gpu);
    let facts = admission::facts(&next, gpu, plan, &node.settings, view, 0.0, &standing);
    let jobs = node.settings.policy.headroom(&facts);
    (jobs * f64::from(gpu.tasks)).round() as usize
}

/// Free places of the accelerators' usual shape.
fn spare_places(view: &View, plan: &Plan, zone: Option<&str>) -> usize {
    let Some(gpu) = &view.gpu_spec else {
        return 0;
    };
    let allowed: Vec<bool> = view
        .classes
        .iter()
        .map(|c| gpu.allows(&c.kind, &c.zone, c.spot) && zone.is_none_or(|z| z == &*c.zone))
        .collect();
    plan.spots
        .iter()
        .filter(|s| allowed[s.class as usize])
        .map(|s| s.free.slots(&gpu.need))
        .sum()
}

fn machine_facts(kind: &MachineType, spot: bool) -> MachineFacts {
    MachineFacts {
        boot_s: kind.boot_s,
        price: cost(kind, spot),
        cpus: kind.cpus,
        gpus: kind.gpus,
        spot,
    }
}

/// Whether all that a machine runs fills idle time, at a price that such work
/// is not worth.
fn only_fillers(
    view: &View,
    settings: &Settings,
    machine: &str,
    kind: &MachineType,
    spot: bool,
) -> bool {
    view.jobs_on(machine).all(|(id, e)| {
        let spec = e.value.spec.as_ref().filter(|_| e.value.is_open());
        !view.is_needed(id)
            && spec.is_some_and(|s| {
                let slots = Room::of_type(kind).slots(&s.need).max(1) as f64;
                let worth = cheapest_of(view, s) * FILLER_PRICE;
                admission::is_filler(s, settings) && cost(kind, spot) / slots > worth
            })
    })
}

/// How many times the cheapest price a machine may cost that is kept for work
/// that only fills idle time.
const FILLER_PRICE: f64 = 4.0;

/// Machines that the renter sends away, and why.
fn judge(node: &Node) -> Leaving {
    let now = node.pulse();
    let view = node.view.borrow();
    let mut fleet = node.fleet.borrow_mut();
    // A zone that is cut off has all its machines held by controllers that are
    // cut off with it: they come back together, and to return them would be to
    // rent a third of the fleet anew.
    let orphaned = node.settings.lease() * 3;
    let settings = &node.settings;
    let plan = Plan::of(&view);
    let kept = headroom(node, &view, &plan);
    let mut spare = spare_places(&view, &plan, None);
    let mut leaving = Vec::new();
    for (id, entry) in &view.machines {
        let m = &entry.value;
        let Some(kind) = view.type_of(&m.kind) else {
            continue;
        };
        let facts = machine_facts(kind, m.spot);
        let policy = &node.settings.policy;
        match m.life {
            Life::Booting => {}
            Life::Active | Life::Draining => {
                // A worker whose controller is gone reports to another one
                // soon, and is claimed by it; if not, it is gone, too.
                let held = view
                    .nodes
                    .get(&m.holder)
                    .is_some_and(|n| n.value.incarnation == m.incarnation);
                if held {
                    fleet.first_seen.remove(id);
                } else {
                    let first = *fleet.first_seen.entry(id.clone()).or_insert(now);
                    if now.saturating_duration_since(first) > orphaned {
                        leaving.push((id.clone(), Life::Returning, "reports to nobody"));
                        continue;
                    }
                }
                // Work that fills what stands idle does not keep a machine that
                // costs more than such work may: it saves, and goes elsewhere.
                let booked = view.bookings.contains_key(id);
                let pinned = booked && !only_fillers(&view, settings, id, kind, m.spot);
                if pinned || (booked && m.life == Life::Draining) {
                    if !pinned {
                        fleet.recalled.insert(id.clone());
                    }
                    fleet.empty_since.remove(id);
                    continue;
                }
                let since = *fleet.empty_since.entry(id.clone()).or_insert(now);
                let idle = now.saturating_duration_since(since);
                if m.life == Life::Draining {
                    leaving.push((id.clone(), Life::Returning, "drained"));
                } else if idle > Duration::from_secs_f64(policy.idle_s(&facts)) {
                    // What stands ready for the next gang stays.
                    if kind.gpus > 0.0
                        && let Some(gpu) = &view.gpu_spec
                        && gpu.allows(&m.kind, &m.zone, m.spot)
                    {
                        let here = Room::of_type(kind).slots(&gpu.need);
                        if here > 0 && spare < kept + here {
                            continue;
                        }
                        spare -= here.min(spare);
                    }
                    leaving.push(match booked {
                        true => (id.clone(), Life::Draining, "holds up fillers alone"),
                        false => (id.clone(), Life::Returning, "idle"),
                    });
                }
            }
            Life::Returning | Life::Gone => {}
        }
    }
    let up = |id: &str| {
        let machine = view.machines.get(id).map(|m| &m.value);
        machine.is_some_and(|m| m.life == Life::Active)
    };
    let boots = &mut fleet.boots;
    boots.see(booting(&view), up, now);
    for (id, kind, zone, spot) in booting(&view) {
        let Some(kind) = view.type_of(kind) else {
            continue;
        };
        let first = *fleet.first_seen.entry(id.to_string()).or_insert(now);
        let limit = node
            .settings
            .policy
            .boot_limit_s(&machine_facts(kind, spot));
        let age = now.saturating_duration_since(first).as_secs_f64();
        let late_s = fleet.boots.late_s(kind, zone, limit);
        let pause = Duration::from_secs_f64(late_s);
        if age > late_s && fleet.boots.late.insert(id.to_string()) {
            tracing::info!(machine = id, kind = kind.name, zone, late_s, "is late");
            fleet.boots.fails(id, pause, now);
        }
        if age > limit {
            leaving.push((id.to_string(), Life::Returning, "never came up"));
            fleet.boots.fails(id, pause * 2, now);
        }
    }
    let mut known: HashSet<&str> = view.machines.keys().map(String::as_str).collect();
    known.extend(booting(&view).map(|(id, _, _, _)| id));
    fleet.first_seen.retain(|id, _| known.contains(id.as_str()));
    fleet.sent_home.retain(|id, _| known.contains(id.as_str()));
    fleet.kept.retain(|id, _| known.contains(id.as_str()));
    fleet
        .empty_since
        .retain(|id, _| known.contains(id.as_str()));
    leaving
}

/// Room that is on its way: booting machines and recorded rentals. Not those
/// that are late: another is rented in their stead, and they are used if they
/// come all the same.
fn add_coming(plan: &mut Plan, view: &View, late: &HashSet<String>) {
    let mut add = |kind: &str, zone: &str, spot: bool| {
        if let Some(t) = view.type_of(kind)
            && let Some(class) = view.find_class(kind, zone, spot)
        {
            plan.add(class, Room::of_type(t));
        }
    };
    for (_, kind, zone, spot) in booting(view).filter(|b| !late.contains(b.0)) {
        add(kind, zone, spot);
    }
    for e in view.hires.values().filter(|e| e.value.machines.is_empty()) {
        for _ in 0..e.value.count {
            add(&e.value.kind, &e.value.zone, e.value.spot);
        }
    }
}

/// What to rent: room for the jobs, in queue order, whose tasks fit neither
/// the free room nor what is coming. Offers that are asked for more than once
/// become one rental.
fn demand(node: &Node) -> Vec<Hire> {
    let settings = &node.settings;
    name_offers(node);
    let view = node.view.borrow();
    let mut hires: BTreeMap<Offer, (usize, Hire)> = BTreeMap::new();
    if view.types.value.types.is_empty() {
        return Vec::new();
    }
    let now = Instant::now();
    let mut plan = Plan::of(&view);
    add_coming(&mut plan, &view, &node.fleet.borrow().boots.late);
    let home = "";
    let hints = Hints::new(&view, home);
    // The work that running independent tasks leave room for soon.
    let mut turnover = running_cpus(&view);
    let most = settings.txn_ops().saturating_sub(2).max(1);
    let ages = node.ages.borrow();
    let queue = admission::queue(&view, &plan, settings, &ages, now);
    let soon = about_to_start(&view);
    let first_soon = soon.first().map(|s| s.0);
    let ahead = soon.iter().map(|(id, _)| *id);
    for id in queue.into_iter().chain(ahead) {
        if Some(id) == first_soon {
            // What they await ends before they begin: its room is theirs.
            let before: BTreeSet<&String> = soon.iter().flat_map(|(_, left)| *left).collect();
            for awaited in before {
                let Some(job) = view.jobs.get(awaited).map(|e| &e.value) else {
                    continue;
                };
                let Some(spec) = &job.spec else { continue };
                for run in &job.runs {
                    let room = spec.need.times(run.tasks.len());
                    plan.give(&view, &run.machine, &spec.team, room);
                }
            }
        }
        let Some(job) = view.jobs.get(id).map(|e| &e.value) else {
            continue;
        };
        let Some(spec) = &job.spec else { continue };
        if job.is_doubtful() && !may_rent_once_more(&view, job, spec) {
            continue;
        }
        let age = ages
            .get(id)
            .map_or(0.0, |t| now.saturating_duration_since(*t).as_secs_f64());
        let standing = view.standing(id, spec, now);
        let facts = admission::facts(job, spec, &plan, settings, &view, age, &standing);
        let policy = &settings.policy;
        let dearest = policy.rent_price_ratio(&facts);
        // The job as it would be with the places planned so far, so that its
        // zones' shares are kept.
        let mut planned = job.clone();
        let mut barred: HashSet<String> = HashSet::new();
        let mut rented: Option<String> = None;
        // Rent and fill by turns: what is rented for one task serves others.
        let mut tries = 0u32;
        let mut care = Care::Strict;
        loop {
            match admission::fit(&planned, spec, &plan, &hints, settings, care) {
                Ok(places) => {
                    for p in &places {
                        plan.take(p, &spec.team, spec.need);
                    }
                    let places: Vec<_> = places.iter().collect();
                    crate::draft::book(&mut planned, spec, &places);
                }
                // More room there does not help: it has its share already.
                Err(_) if spec.spread => barred.extend(rented.take()),
                Err(_) => {}
            }
            let mut left = planned.waiting();
            if let Some(terms) = settings.team(&spec.team) {
                let slots = admission::team_slots(terms, &plan.used(&spec.team), &spec.need);
                left = left.min(slots);
            }
            tries += 1;
            if left == 0 || tries > RENT_MOST {
                break;
            }
            let mut wanted = left as f64;
            if spec.kind == Kind::Array {
                // Tasks that run one after another in the window need less
                // room at once; what others free in that time serves too.
                let window = policy.rent_window_s(&facts);
                let cpus = spec.need.cpus.units().max(0.001);
                wanted = wanted * spec.estimate_s.max(1.0) / window;
                let covered = wanted.min(turnover * policy.rent_turnover(&facts) / cpus);
                turnover -= covered * cpus / policy.rent_turnover(&facts).max(0.01);
                wanted -= covered;
                // So little follows in the room of what runs; but what has no
                // place at all, and none to follow, would wait for ever.
                if wanted < 0.5 && (planned.booked() > 0 || covered > 0.0) {
                    break;
                }
            }
            let wanted = wanted.ceil().max(1.0) as usize;
            let bounds = Bounds {
                care,
                dearest,
                barred: &barred,
            };
            let Some((t, offer)) = best_offer(node, &view, &hires, spec, wanted, &bounds) else {
                if care == Care::Lax {
                    // What does not wait for room yet is not told so.
                    if !view.awaited(id).is_empty() {
                        break;
                    }
                    crate::placement::note(node, id, admission::Wait::Refused, now);
                    break;
                }
                care = Care::Lax;
                continue;
            };
            rented = Some(offer.1.clone());
            rent_one(&view, &mut hires, &mut plan, t, offer);
            if spec.kind == Kind::Array {
                // The rest of its tasks follow one another in that room.
                let room = Room::of_type(t).slots(&spec.need);
                if room >= wanted {
                    break;
                }
            }
        }
    }
    // Places that stand ready for the next gang.
    if let Some(gpu) = &view.gpu_spec {
        let wanted = headroom(node, &view, &plan);
        let mut tries = 0;
        while spare_places(&view, &plan, None) < wanted && tries < most {
            tries += 1;
            let bounds = Bounds {
                care: Care::Lax,
                dearest: f64::INFINITY,
                barred: &HashSet::new(),
            };
            let found = best_offer(node, &view, &hires, gpu, 1, &bounds);
            let Some((t, offer)) = found else { break };
            rent_one(&view, &mut hires, &mut plan, t, offer);
        }
    }
    // The first in the queue were asked for first.
    let mut hires: Vec<(usize, Hire)> = hires.into_values().collect();
    hires.sort_by_key(|h| h.0);
    hires.into_iter().map(|h| h.1).take(most).collect()
}

/// Jobs that wait for others which are about to end, and what those are: all
/// of their tasks run, and by their owners' estimates are over before a machine
/// that is rented now is up. For others that wait nothing is rented yet.
fn about_to_start(view: &View) -> Vec<(&str, &[String])> {
    let boot_s = view.least_boot_s();
    let ends_soon = |id: &String| {
        let job = view.jobs.get(id).map(|e| &e.value);
        let job = job.filter(|j| j.booked() > 0 && j.waiting() == 0);
        let spec = job.and_then(|j| j.spec.as_ref());
        spec.is_some_and(|s| s.kind != Kind::Service && s.estimate_s <= boot_s)
    };
    let held = view.held();
    held.filter(|(_, left)| left.iter().all(ends_soon))
        .collect()
}

/// A job that fails wherever it runs rents nothing: it is tried on what others
/// have. Where nothing is there that could hold it, it may a few times more, or
/// three sick machines in a row would be the end of a job in order.
fn may_rent_once_more(view: &View, job: &Job, spec: &Spec) -> bool {
    let holds = |class: &crate::view::Class| {
        let room = view.class_type(class).map(Room::of_type);
        spec.allows(&class.kind, &class.zone, class.spot)
            && room.is_some_and(|r| r.fits(&spec.need))
    };
    let tries = DOUBT as u32 * 2;
    let mut spots = view.spots();
    job.booked() == 0
        && job.errors <= tries
        && !spots.any(|s| holds(&view.classes[s.class as usize]))
}

/// Every offer is known as a class of machines before the plan counts on it.
fn name_offers(node: &Node) {
    let mut view = node.view.borrow_mut();
    for t in view.types.value.types.clone() {
        for zone in &t.zones {
            for spot in [true, false] {
                view.class(&t.name, zone, spot);
            }
        }
    }
}

/// One more machine of an offer, with its room in the plan.
fn rent_one(
    view: &View,
    hires: &mut BTreeMap<Offer, (usize, Hire)>,
    plan: &mut Plan,
    t: &MachineType,
    offer: Offer,
) {
    let (kind, zone, spot) = offer.clone();
    if let Some(class) = view.find_class(&kind, &zone, spot) {
        plan.add(class, Room::of_type(t));
    }
    let place = hires.len();
    let hire = hires.entry(offer).or_insert((
        place,
        Hire {
            kind,
            zone,
            spot,
            count: 0,
            machines: Vec::new(),
        },
    ));
    hire.1.count += 1;
}

fn running_cpus(view: &View) -> f64 {
    let mut cpus = 0.0;
    for (_, id) in &view.open {
        if let Some(job) = view.jobs.get(id).map(|e| &e.value)
            && let Some(spec) = &job.spec
            && spec.kind == Kind::Array
        {
            cpus += spec.need.cpus.units() * job.booked() as f64;
        }
    }
    cpus
}

/// What an offer may not be.
struct Bounds<'a> {
    care: Care,
    /// The most it may cost, over the cheapest type.
    dearest: f64,
    /// Zones where more room would not help.
    barred: &'a HashSet<String>,
}

/// The most machines that one rental may ask for, by the protocol.
const RENT_MOST: u32 = 50;

/// The offer that is cheapest for each task it would hold of those wanted.
fn best_offer<'a>(
    node: &Node,
    view: &'a View,
    hires: &BTreeMap<Offer, (usize, Hire)>,
    spec: &Spec,
    wanted: usize,
    bounds: &Bounds,
) -> Option<(&'a MachineType, Offer)> {
    let now = Instant::now();
    let fleet = node.fleet.borrow();
    let mut best: Option<(f64, &MachineType, Offer)> = None;
    // Work that can wait is not worth any price.
    let cheapest = cheapest_of(view, spec);
    for t in &view.types.value.types {
        let slots = Room::of_type(t).slots(&spec.need);
        if slots == 0 || !spec.allows_type(&t.name) {
            continue;
        }
        for zone in &t.zones {
            for spot in [true, false] {
                if !spec.allows(&t.name, zone, spot) || bounds.barred.contains(zone) {
                    continue;
                }
                if (spec.kind == Kind::Array || bounds.care == Care::Strict)
                    && spec.need.gpus.0 == 0
                    && t.gpus > 0.0
                    && view
                        .gpu_spec
                        .as_ref()
                        .is_none_or(|g| g.allows(&t.name, zone, spot))
                {
                    // They would stand in the way there, see `admission`.
                    continue;
                }
                let offer = (t.name.clone(), zone.clone(), spot);
                let refused = fleet.refused.get(&offer);
                if refused.is_some_and(|(until, _)| *until > now)
                    || fleet.boots.is_left_alone(&offer, now)
                    || hires.get(&offer).is_some_and(|h| h.1.count >= RENT_MOST)
                {
                    continue;
                }
                let price = cost(t, spot) / slots.min(wanted) as f64;
                let full = cost(t, spot) / slots as f64;
                if full > cheapest * bounds.dearest {
                    continue;
                }
                if best.as_ref().is_none_or(|(p, _, _)| price < *p) {
                    best = Some((price, t, offer));
                }
            }
        }
    }
    best.map(|(_, t, offer)| (t, offer))
}

/// The least that a task of this shape costs anywhere by nominal price.
fn cheapest_of(view: &View, spec: &Spec) -> f64 {
    let mut least = f64::INFINITY;
    for t in &view.types.value.types {
        let slots = Room::of_type(t).slots(&spec.need);
        if slots > 0 && spec.allows_type(&t.name) {
            least = least.min(cost(t, spec.spot) / slots as f64);
        }
    }
    least
}

fn cost(t: &MachineType, spot: bool) -> f64 {
    if spot { t.spot_price } else { t.price }
}

/// Machines by life, for the report.
pub fn census(view: &View) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::new();
    for e in view.machines.values() {
        let name = match e.value.life {
            Life::Booting => "booting",
            Life::Active => "active",
            Life::Draining => "draining",
            Life::Returning => "returning",
            Life::Gone => "gone",
        };
        *counts.entry(name).or_insert(0) += 1;
    }
    counts
}
