//! Claims: how this controller becomes the owner of machines.
//!
//! A claim writes this controller as the owner into the machine's record, under a
//! token one above the highest known. Heartbeats ask for claims; several are
//! committed at a time.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use super::OwnedWorker;
use crate::controller::Controller;
use crate::scheduler::MachineShardEdits;
use crate::state::budget::RequestClass;
use crate::state::client::StoreError;
use crate::state::keys::{machine_shard_key, shard_id};
use crate::state::records::{HeartbeatId, Machine, MachineLifecycle};
use crate::wire::{Precondition, WorkerStatus, Write};

/// How long a heartbeat waits for its claim: a worker drops an answer that takes
/// 4 s, so one that cannot be claimed soon is refused while that still helps it.
const CLAIM_WAIT: Duration = Duration::from_millis(3200);

/// With more workers than connections, one connection in so many may be held by a
/// heartbeat that waits for its claim.
const CONNECTIONS_PER_AWAITED_CLAIM: usize = 16;

/// What has become of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ClaimProgress {
    /// Its commit is yet to be answered.
    Pending,
    /// It is decided; whether the machine is held is seen in the replica.
    Decided,
    /// The state service serves this controller nothing at present. The claim is
    /// tried again, but no heartbeat is kept waiting for it.
    Refused,
}

/// A claim that a heartbeat has asked for.
#[derive(Debug)]
pub struct Claim {
    progress: watch::Sender<ClaimProgress>,
    /// When it was last asked for: a worker that has gone on to another
    /// controller meanwhile is not to be drawn back.
    asked: Instant,
    /// The machine's token in the replica when it was asked for.
    fencing_token: u64,
    /// The worker has to be told to stop something.
    urgent: bool,
}

/// Counts a heartbeat that waits for its claim, for as long as it does.
struct WaitingHeartbeat<'a>(&'a Cell<usize>);

impl<'a> WaitingHeartbeat<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        WaitingHeartbeat(count)
    }
}

impl Drop for WaitingHeartbeat<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A claim as its commit records it.
struct TakenClaim {
    machine: String,
    fencing_token: u64,
    /// The newest heartbeat of the worker by the machine's record.
    newest_heartbeat: HeartbeatId,
}

/// What one commit claims.
#[derive(Default)]
struct ClaimBatch {
    /// Machines whose claims are answered after the commit.
    decided: Vec<String>,
    taken: Vec<TakenClaim>,
    guards: Vec<Precondition>,
    writes: Vec<Write>,
}

impl Controller {
    /// Whether this run of the controller holds the machine, as far as its view
    /// tells.
    pub fn owns(&self, id: &str) -> bool {
        let replica = self.replica.borrow();
        let owned_workers = self.workers.owned_workers.borrow();
        match (owned_workers.get(id), replica.machines.get(id)) {
            (Some(owned_worker), Some(machine)) => {
                owned_worker.fencing_token == machine.value.fencing_token
                    && machine.value.incarnation == self.incarnation
            }
            _ => false,
        }
    }

    /// Asks for a claim of the machine; the receiver tells what becomes of it.
    pub(super) fn request_claim(
        &self,
        id: &str,
        report: &WorkerStatus,
        urgent: bool,
    ) -> watch::Receiver<ClaimProgress> {
        self.fleet.borrow_mut().record_claim_report(report);
        let asked = Instant::now();
        let replica = self.replica.borrow();
        let fencing_token = replica
            .machines
            .get(id)
            .map_or(0, |e| e.value.fencing_token);
        let mut claims = self.workers.claims.borrow_mut();
        let claim = claims.entry(id.to_string()).or_insert_with(|| Claim {
            progress: watch::Sender::new(ClaimProgress::Pending),
            asked,
            fencing_token,
            urgent,
        });
        claim.fencing_token = fencing_token;
        claim.asked = asked;
        claim.urgent |= urgent;
        claim.progress.send_replace(ClaimProgress::Pending);
        let receiver = claim.progress.subscribe();
        self.workers.claims_notify.notify_one();
        receiver
    }

    /// Claims the machine and waits for the commit; true if it is held then. What
    /// the state service refuses is not waited for.
    pub(super) async fn claim(&self, id: &str, status: &WorkerStatus) -> bool {
        let mut progress = self.request_claim(id, status, true);
        if self.workers.claims_awaited.get() < self.max_claims_awaited() {
            let _waiting = WaitingHeartbeat::new(&self.workers.claims_awaited);
            let answered = progress.wait_for(|progress| *progress != ClaimProgress::Pending);
            let _ = timeout(CLAIM_WAIT, answered).await;
        }
        self.owns(id)
    }

    /// How many heartbeats may wait for their claims, each with its connection.
    /// Where there may be more workers than connections, those that wait must not
    /// shut the others out: most are told to stay, and report again.
    fn max_claims_awaited(&self) -> usize {
        let connections = self.settings.served_connections();
        let machines = self.replica.borrow().machines.len();
        match machines > connections / 4 * 3 {
            true => connections / CONNECTIONS_PER_AWAITED_CLAIM,
            false => connections,
        }
    }
}

/// Commits the claims that heartbeats have asked for, several at a time.
pub async fn run_claims(controller: Rc<Controller>) {
    loop {
        controller.workers.claims_notify.notified().await;
        // Workers turn up together after a restart: let them gather.
        sleep(controller.request_gap() * 2).await;
        while !controller.workers.claims.borrow().is_empty() {
            // They stand in few records, however many they are.
            controller
                .store
                .wait_for_budget(RequestClass::Claim, 1)
                .await;
            if let Err(error) = commit_some(&controller).await {
                tracing::debug!(%error, "claims not committed");
                drop_claims_beyond_limits(&controller, &error);
                if error.is_refusal() {
                    tell_refused(&controller);
                }
                sleep(controller.store.jitter(controller.request_gap() * 2)).await;
                if !controller.may_renew_leases() {
                    controller.workers.claims.borrow_mut().clear();
                }
            }
        }
    }
}

/// Ends the wait of all heartbeats whose claims cannot be committed for now.
fn tell_refused(controller: &Controller) {
    for claim in controller.workers.claims.borrow().values() {
        claim.progress.send_replace(ClaimProgress::Refused);
    }
}

/// Drops the claims in a machine shard that is too long to be written. The same commit
/// would be refused again: they are asked for anew with the next reports of their
/// workers, and the rest go on.
fn drop_claims_beyond_limits(controller: &Controller, error: &StoreError) {
    let StoreError::Limits(key) = error else {
        return;
    };
    let replica = controller.replica.borrow();
    let in_machine_shard = |id: &str| {
        let machine = replica.machines.get(id).map(|e| &e.value);
        machine.is_none_or(|m| machine_shard_key(&shard_id(&m.zone, &m.shard)) == *key)
    };
    controller
        .workers
        .claims
        .borrow_mut()
        .retain(|id, _| !in_machine_shard(id));
}

/// Commits as many of the claims as one commit takes, and answers them.
async fn commit_some(controller: &Controller) -> Result<(), StoreError> {
    drop_stale_claims(controller);
    let batch = plan_claims(controller);
    if !batch.writes.is_empty() {
        let revision = commit_claims(controller, batch.guards, batch.writes).await?;
        keep_proofs(controller, &batch.taken);
        let now = Instant::now();
        for claim in batch.taken {
            take_over(controller, claim, revision, now);
        }
    }
    for id in &batch.decided {
        if let Some(claim) = controller.workers.claims.borrow_mut().remove(id) {
            claim.progress.send_replace(ClaimProgress::Decided);
        }
        // The worker learns the token now, and its report under it is what
        // launches wait for.
        controller.call_worker(id);
    }
    Ok(())
}

/// Drops claims of machines that another controller holds and whose workers have
/// gone on meanwhile.
fn drop_stale_claims(controller: &Controller) {
    let replica = controller.replica.borrow();
    let now = Instant::now();
    // A worker reports again, or has gone on, within this time.
    let fresh = controller.settings.heartbeat_interval() * 2;
    controller.workers.claims.borrow_mut().retain(|id, claim| {
        let known = replica.machines.get(id).map(|e| &e.value);
        let ours = known.is_none_or(|m| m.owner.is_empty() || m.owner == controller.name());
        // If another was quicker and the worker is here all the same, its next
        // report asks again.
        let quicker = known.is_some_and(|m| m.fencing_token > claim.fencing_token);
        ours || (!quicker && now.saturating_duration_since(claim.asked) < fresh)
    });
}

/// Chooses claims for one commit, the urgent ones first.
fn plan_claims(controller: &Controller) -> ClaimBatch {
    let ops = controller.settings.txn_ops();
    let replica = controller.replica.borrow();
    let fleet = controller.fleet.borrow();
    let claims = controller.workers.claims.borrow();
    let mut order: Vec<(&String, &Claim)> = claims.iter().collect();
    // Those whose workers wait for the answer come first.
    order.sort_by_key(|(_, c)| (!c.urgent, c.progress.is_closed()));
    let mut batch = ClaimBatch::default();
    let mut machine_shards = MachineShardEdits::new(&replica);
    let mut is_full = false;
    for (id, _) in order {
        let Some(report) = fleet.claim_report(id) else {
            batch.decided.push(id.clone());
            continue;
        };
        let known = replica.machines.get(id).map(|e| &e.value);
        // A machine of a machine shard that is in the commit already adds nothing to it.
        let machine_shard = known.map(|m| shard_id(&m.zone, &m.shard));
        let is_edited = machine_shard.is_some_and(|id| machine_shards.contains(&id));
        // Once full it stays full, and there may be thousands of claims.
        is_full = is_full || machine_shards.is_full(ops);
        if is_full && !is_edited {
            continue;
        }
        let machine = match known {
            Some(machine) => Some(machine.clone()),
            None => new_machine(controller, &mut machine_shards, id, report),
        };
        let Some(machine) = machine else {
            // It waits for the next commit, or, where it alone has too many
            // conditions, for the worker's next report.
            if batch.taken.is_empty() {
                batch.decided.push(id.clone());
            }
            continue;
        };
        batch.decided.push(id.clone());
        if machine.lifecycle == MachineLifecycle::Gone {
            continue;
        }
        let machine = claimed(controller, machine, report);
        batch.taken.push(TakenClaim {
            machine: id.clone(),
            fencing_token: machine.fencing_token,
            newest_heartbeat: machine.claim_heartbeat,
        });
        machine_shards.put(id, machine);
    }
    (batch.guards, batch.writes) = machine_shards.into_commit();
    batch
}

/// The record of a machine that has none yet; `None` if this commit has no room for
/// the conditions of a new machine.
fn new_machine(
    controller: &Controller,
    machine_shards: &mut MachineShardEdits,
    id: &str,
    report: &WorkerStatus,
) -> Option<Machine> {
    let (kind, zone) = (&report.machine_type, &report.zone);
    let shard = machine_shards.allocate_shard(&controller.settings, id, kind, zone)?;
    Some(Machine {
        shard,
        spot: report.spot,
        ..Machine::new(kind, zone)
    })
}

/// The record of a machine once this controller has claimed it.
fn claimed(controller: &Controller, mut machine: Machine, report: &WorkerStatus) -> Machine {
    if machine.lifecycle == MachineLifecycle::Booting {
        machine.lifecycle = MachineLifecycle::Active;
    }
    machine.fencing_token = machine.fencing_token.max(report.fencing_token) + 1;
    machine.owner = controller.name().to_string();
    machine.incarnation = controller.incarnation;
    machine.claim_heartbeat = machine.claim_heartbeat.max(report.heartbeat_id());
    machine
}

async fn commit_claims(
    controller: &Controller,
    guards: Vec<Precondition>,
    writes: Vec<Write>,
) -> Result<u64, StoreError> {
    let result = controller.commit(RequestClass::Claim, guards, writes).await;
    if let Err(StoreError::Conflict(_) | StoreError::NoAnswer(_)) = &result {
        // An unanswered claim may have been carried out: then the replica shows a
        // token that is ours by name but not held, and the next try raises it
        // once more.
        controller
            .barrier(controller.settings.worker_lease() / 8)
            .await;
    }
    result
}

/// Ends that wait to be recorded stay proven when this controller, owner
/// throughout, has only taken a newer token: the commit of the claim shows that
/// nobody else held the machine in between, and nothing was launched since.
fn keep_proofs(controller: &Controller, taken: &[TakenClaim]) {
    let owned_workers = controller.workers.owned_workers.borrow();
    let renewed: HashMap<&str, (u64, u64)> = taken
        .iter()
        .filter_map(|c| {
            let before = owned_workers.get(&c.machine)?.fencing_token;
            Some((c.machine.as_str(), (before, c.fencing_token)))
        })
        .filter(|(_, (before, after))| before + 1 == *after)
        .collect();
    for (key, proof) in controller
        .workers
        .pending_terminations
        .borrow_mut()
        .iter_mut()
    {
        if let Some((before, after)) = renewed.get(key.machine.as_str())
            && proof.fencing_token == *before
        {
            proof.fencing_token = *after;
        }
    }
}

/// Holds the machine from the commit of its claim on.
fn take_over(controller: &Controller, claim: TakenClaim, revision: u64, now: Instant) {
    let TakenClaim {
        machine,
        fencing_token,
        newest_heartbeat,
    } = claim;
    tracing::info!(machine, fencing_token, "claimed");
    let mut owned_workers = controller.workers.owned_workers.borrow_mut();
    let mut owned_worker = OwnedWorker::new(fencing_token, revision, now);
    if let Some(earlier) = owned_workers.get(&machine) {
        owned_worker.inherit_from(earlier);
    }
    // The report that asked for the claim is yet to be taken.
    let before = HeartbeatId {
        sequence: newest_heartbeat.sequence.saturating_sub(1),
        ..newest_heartbeat
    };
    owned_worker.newest_heartbeat = owned_worker.newest_heartbeat.max(before);
    owned_workers.insert(machine, owned_worker);
}
