//! `POST /agent/beat`: a worker's heartbeat.
//!
//! The answer renews the worker's lease and carries its commands, so it is given only
//! by the owner of the machine, only while the replica is recent (Safety 4), and only
//! with the stops that the status calls for.

use tokio::time::Instant;

use super::claim_queue::ClaimPriority;
use super::heartbeat_answer::HeartbeatAnswer;
use super::worker_plan::WorkerPlan;
use super::{must_stop, stops_of_cancelled_tasks};
use crate::controller::Controller;
use crate::http::Response;
use crate::state::records::{Machine, MachineLifecycle};
use crate::wire::WorkerStatus;

/// A worker drops answers with a lower fencing token than it has shown, so this one
/// keeps it at this controller without renewing its lease.
const NO_TOKEN: u64 = 0;

/// How long a worker is to wait before its next heartbeat for a returned machine, in
/// seconds.
const RETURNED_RETRY_S: u32 = 30;

/// One step of the handler: an error is the answer, and ends it.
type Step<T = ()> = Result<T, HeartbeatAnswer>;

/// A heartbeat, with what is known of its machine when it comes.
struct Heartbeat {
    status: WorkerStatus,
    machine: Option<Machine>,
    received_at: Instant,
}

impl Heartbeat {
    fn machine_id(&self) -> &str {
        &self.status.machine
    }

    /// The fencing token that the machine was last claimed under; zero before the first.
    fn recorded_token(&self) -> u64 {
        self.machine.as_ref().map_or(NO_TOKEN, |m| m.fencing_token)
    }
}

impl Controller {
    /// `POST /agent/beat`.
    pub async fn heartbeat(&self, status: WorkerStatus) -> Response {
        let answer = self.answer_heartbeat(status).await;
        answer.unwrap_or_else(|answer| answer).into()
    }

    async fn answer_heartbeat(&self, status: WorkerStatus) -> Step<HeartbeatAnswer> {
        let received_at = self.liveness_tick();
        self.check_staleness()?;
        self.check_preferred_owner(&status, received_at)?;
        let machine = self.replica.borrow().machines.get(&status.machine).cloned();
        let heartbeat = Heartbeat {
            status,
            machine: machine.map(|entry| entry.value),
            received_at,
        };
        self.check_record(&heartbeat)?;
        self.release_if_claimed_elsewhere(&heartbeat)?;
        self.renew_after_restart(&heartbeat)?;
        self.ensure_owned(&heartbeat).await?;
        self.accept_heartbeat(&heartbeat)?;
        let plan = self.reconcile_worker(heartbeat.machine_id());
        self.renew_lease(plan, &heartbeat)
    }

    /// Safety 4: a controller whose replica may be too old renews no lease.
    fn check_staleness(&self) -> Step {
        match self.may_renew_leases() {
            true => Ok(()),
            false => Err(HeartbeatAnswer::unavailable(
                "cut off from the state service",
            )),
        }
    }

    fn check_preferred_owner(&self, status: &WorkerStatus, now: Instant) -> Step {
        match self.redirect_to_preferred_owner(status, now) {
            Some(preferred_owner) => Err(HeartbeatAnswer::Redirect(Some(preferred_owner))),
            None => Ok(()),
        }
    }

    /// Refuses what the machine's record speaks against: it was returned, the
    /// heartbeat is a late copy, no answer reaches the worker, or the replica is older
    /// than the newest claim.
    fn check_record(&self, heartbeat: &Heartbeat) -> Step {
        let Some(machine) = &heartbeat.machine else {
            return Ok(());
        };
        let status = &heartbeat.status;
        let is_owned = self.owns(heartbeat.machine_id());
        let was_returned = matches!(
            machine.lifecycle,
            MachineLifecycle::Returning | MachineLifecycle::Gone
        );
        if was_returned && !is_owned {
            return Err(HeartbeatAnswer::Unavailable {
                reason: "machine was returned",
                retry_after_s: RETURNED_RETRY_S,
            });
        }
        if !is_owned && status.heartbeat_id() <= machine.claim_heartbeat {
            return Err(HeartbeatAnswer::unavailable("a newer report has come"));
        }
        let lease = self.settings.worker_lease();
        let mut fleet = self.fleet.borrow_mut();
        if fleet.check_unreachable(status, machine.fencing_token, lease, heartbeat.received_at) {
            return Err(HeartbeatAnswer::unavailable("it does not hear"));
        }
        if status.fencing_token > machine.fencing_token {
            // Another controller has claimed it since; the replica will tell which.
            self.workers.owned_mut().remove(heartbeat.machine_id());
            return Err(HeartbeatAnswer::Redirect(None));
        }
        Ok(())
    }

    /// Whether this controller, in this run or an earlier one, is recorded as the
    /// owner of the machine.
    fn is_recorded_owner(&self, machine: &Machine) -> bool {
        machine.owner == self.name()
            && machine.fencing_token > NO_TOKEN
            && machine.lifecycle != MachineLifecycle::Booting
    }

    /// Forgets a machine that was owned here until another controller claimed it.
    fn release_if_claimed_elsewhere(&self, heartbeat: &Heartbeat) -> Step {
        let Some(machine) = &heartbeat.machine else {
            return Ok(());
        };
        if self.is_recorded_owner(machine) {
            return Ok(());
        }
        let released = self.workers.owned_mut().remove(heartbeat.machine_id());
        match released {
            Some(_) => Err(HeartbeatAnswer::Redirect(
                self.recorded_other_owner(machine),
            )),
            None => Ok(()),
        }
    }

    /// Renews the lease of a machine that an earlier run of this process owned: its
    /// fencing token still does so while the new claim is being committed. Without
    /// commands, and only where nothing on the machine has to end.
    fn renew_after_restart(&self, heartbeat: &Heartbeat) -> Step {
        let machine = heartbeat.machine.as_ref();
        let Some(machine) = machine.filter(|m| self.is_recorded_owner(m)) else {
            return Ok(());
        };
        let status = &heartbeat.status;
        if self.owns(heartbeat.machine_id()) || must_stop(status, &self.replica.borrow()) {
            return Ok(());
        }
        self.request_claim(status, ClaimPriority::Normal);
        Err(HeartbeatAnswer::without_commands(machine.fencing_token))
    }

    /// Claims the machine unless it is owned already, or sends the worker back to
    /// its owner.
    async fn ensure_owned(&self, heartbeat: &Heartbeat) -> Step {
        let id = heartbeat.machine_id();
        if self.owns(id) {
            return Ok(());
        }
        let owner = self.redirect_to_owner(id, heartbeat.machine.as_ref(), heartbeat.received_at);
        if let Some(owner) = owner {
            return Err(HeartbeatAnswer::Redirect(Some(owner)));
        }
        let status = &heartbeat.status;
        if status.fencing_token == NO_TOKEN && heartbeat.recorded_token() == NO_TOKEN {
            // Nobody has ever owned it, so nobody can wait for its lease to run
            // out: the worker stays here until the machine is claimed.
            self.request_claim(status, ClaimPriority::Normal);
            return Err(HeartbeatAnswer::without_commands(NO_TOKEN));
        }
        if self.claim(status).await {
            return Ok(());
        }
        if status.fencing_token > NO_TOKEN && self.may_wait_for_claim(id, Instant::now()) {
            // Its lease is not renewed, but it stays, and its claim is on its
            // way. A worker that goes on tries all controllers that are cut off,
            // and is back when its lease is over.
            return Err(HeartbeatAnswer::without_commands(NO_TOKEN));
        }
        Err(HeartbeatAnswer::unavailable("not claimed yet"))
    }

    /// Whether a worker whose claim takes long should stay here: for half a
    /// lease, and only where claims can be committed at all.
    fn may_wait_for_claim(&self, id: &str, now: Instant) -> bool {
        let lease = self.settings.worker_lease();
        let mut redirects = self.workers.redirects_mut();
        redirects.may_wait_for_claim(id, lease, now) && self.is_state_service_reachable()
    }

    /// Accepts the status as the machine's newest, unless it is a late copy.
    fn accept_heartbeat(&self, heartbeat: &Heartbeat) -> Step {
        let (id, status) = (heartbeat.machine_id(), &heartbeat.status);
        let mut is_unconfirmed = false;
        if let Some(owned_worker) = self.workers.owned_mut().get_mut(id) {
            let lease = self.settings.worker_lease();
            if !owned_worker.record_heartbeat(status, lease, heartbeat.received_at) {
                return Err(HeartbeatAnswer::unavailable("a newer report has come"));
            }
            let is_first = owned_worker.status.is_none();
            is_unconfirmed = owned_worker.unconfirmed;
            if owned_worker.accept_status(status.clone(), true) && is_first {
                self.workers.wake_publication();
            }
        }
        if is_unconfirmed {
            self.request_claim(status, ClaimPriority::Normal);
        }
        if status.preemption_notice_s.is_some() {
            let mut fleet = self.fleet.borrow_mut();
            fleet.queue_drain(id);
        }
        Ok(())
    }

    /// The answer that renews the lease.
    fn renew_lease(&self, mut plan: WorkerPlan, heartbeat: &Heartbeat) -> Step<HeartbeatAnswer> {
        let (id, status) = (heartbeat.machine_id(), &heartbeat.status);
        let mut owned_workers = self.workers.owned_mut();
        let Some(owned_worker) = owned_workers.get_mut(id) else {
            return Err(HeartbeatAnswer::unavailable("lost while answering"));
        };
        if owned_worker.in_flight {
            // What a direct call carries just now is not repeated here: the order
            // in which the two arrive would not be known.
            plan.commands.clear();
        }
        self.defer_stale_launches(id, &mut plan);
        // The bound may have passed while the claim was awaited.
        self.check_staleness()?;
        // Safety 4: the answer renews the lease, so it ends what is cancelled.
        for stop in stops_of_cancelled_tasks(status, &self.replica.borrow()) {
            if !plan.commands.contains(&stop) {
                plan.commands.push(stop);
            }
        }
        if plan.launches() {
            owned_worker.launches_offered_on = Some(status.heartbeat_id());
        }
        owned_worker.record_commands(&plan.commands, heartbeat.received_at);
        owned_worker.last_answered_at = heartbeat.received_at;
        Ok(HeartbeatAnswer::Commands {
            fencing_token: owned_worker.fencing_token,
            commands: plan.commands,
        })
    }
}
