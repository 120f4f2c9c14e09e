//! Handles `POST /agent/beat`, the heartbeat of a worker.
//!
//! An answer with status 200 renews the worker's lease and carries commands. Only the owner
//! of the machine may give such an answer, only while the owner's replica is recent
//! (Safety 4), and only together with stops for all cancelled tasks in the worker's status.

use tokio::time::Instant;

use super::claim_queue::ClaimPriority;
use super::command_log::Channel;
use super::heartbeat_answer::HeartbeatAnswer;
use super::token_range::TokenRange;
use super::worker_plan::WorkerPlan;
use super::{must_stop, stops_of_cancelled_tasks};
use crate::controller::Controller;
use crate::http::Response;
use crate::state::records::{Machine, MachineLifecycle};
use crate::wire::WorkerStatus;

/// The fencing token of a machine that was never claimed, lower than all others. A worker
/// does not renew its lease on an answer with a lower token than its own. An answer with this
/// token therefore keeps a worker that has a token at this controller without renewing the
/// lease.
const NO_TOKEN: u64 = 0;

/// Delay before the next heartbeat of a worker whose machine was returned, in seconds.
const RETURNED_RETRY_AFTER_S: u32 = 30;

/// The result of one step of the handler. An error contains the answer to the heartbeat and
/// ends the handling.
type StepResult<T = ()> = Result<T, HeartbeatAnswer>;

/// A received heartbeat, with the machine's record in the replica at that time.
struct Heartbeat {
    status: WorkerStatus,
    machine: Option<Machine>,
    received_at: Instant,
}

impl Heartbeat {
    fn machine_id(&self) -> &str {
        &self.status.machine
    }

    /// Returns the fencing token of the machine's last claim; zero before the first claim.
    fn recorded_token(&self) -> u64 {
        self.machine.as_ref().map_or(NO_TOKEN, |m| m.fencing_token)
    }
}

impl Controller {
    /// Handles `POST /agent/beat`.
    pub async fn heartbeat(&self, status: WorkerStatus) -> Response {
        let answer = self.answer_heartbeat(status).await;
        answer.unwrap_or_else(|answer| answer).into()
    }

    async fn answer_heartbeat(&self, status: WorkerStatus) -> StepResult<HeartbeatAnswer> {
        let received_at = self.now_excluding_pauses();
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

    /// Refuses the heartbeat if the replica may be too old: a controller with an old replica
    /// must not renew leases (Safety 4).
    fn check_staleness(&self) -> StepResult {
        match self.may_renew_leases() {
            true => Ok(()),
            false => Err(HeartbeatAnswer::unavailable(
                "cut off from the state service",
            )),
        }
    }

    fn check_preferred_owner(&self, status: &WorkerStatus, now: Instant) -> StepResult {
        match self.redirect_to_preferred_owner(status, now) {
            Some(preferred_owner) => Err(HeartbeatAnswer::Redirect(Some(preferred_owner))),
            None => Ok(()),
        }
    }

    /// Refuses the heartbeat if the machine was returned, if the heartbeat is a late copy, or
    /// if answers do not reach the worker. Redirects the worker if its fencing token shows
    /// that the replica is older than the machine's newest claim.
    fn check_record(&self, heartbeat: &Heartbeat) -> StepResult {
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
                retry_after_s: RETURNED_RETRY_AFTER_S,
            });
        }
        if !is_owned && status.heartbeat_id() <= machine.claim_heartbeat {
            return Err(HeartbeatAnswer::unavailable("a newer report has come"));
        }
        let lease = self.settings.worker_lease();
        let mut fleet = self.fleet.borrow_mut();
        let first_token = TokenRange::recorded(machine.fencing_token).first();
        if fleet.check_unreachable(status, first_token, lease, heartbeat.received_at) {
            return Err(HeartbeatAnswer::unavailable("it does not hear"));
        }
        if status.fencing_token > machine.fencing_token {
            // Another controller has claimed the machine; the replica does not show yet which
            // one.
            self.workers.owned_mut().remove(heartbeat.machine_id());
            return Err(HeartbeatAnswer::Redirect(None));
        }
        Ok(())
    }

    /// Returns whether this controller is the owner in the machine's record, in its present
    /// run or an earlier one.
    fn is_recorded_owner(&self, machine: &Machine) -> bool {
        machine.owner == self.name()
            && machine.fencing_token > NO_TOKEN
            && machine.lifecycle != MachineLifecycle::Booting
    }

    /// Removes a machine from the owned ones if another controller has claimed it, and
    /// redirects its worker to that controller.
    fn release_if_claimed_elsewhere(&self, heartbeat: &Heartbeat) -> StepResult {
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

    /// Renews the lease of a worker whose machine an earlier run of this controller owned.
    /// The fencing token of that run remains valid while this run's claim is being
    /// committed. The answer carries no commands, so the lease is renewed in this way only if
    /// no task on the machine has to be stopped.
    fn renew_after_restart(&self, heartbeat: &Heartbeat) -> StepResult {
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

    /// Claims the machine unless this controller owns it already, or redirects the worker
    /// to the present owner.
    async fn ensure_owned(&self, heartbeat: &Heartbeat) -> StepResult {
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
            // The worker stays here until the claim is committed. The answer may renew its
            // lease, which is safe: no controller has ever owned the machine, so none waits
            // for that lease to expire.
            self.request_claim(status, ClaimPriority::Normal);
            return Err(HeartbeatAnswer::without_commands(NO_TOKEN));
        }
        if self.claim(status).await {
            return Ok(());
        }
        if status.fencing_token > NO_TOKEN && self.may_wait_for_claim(id, Instant::now()) {
            // The answer does not renew the lease, but keeps the worker here while the claim
            // is being committed. A worker that moved on would also try all controllers that
            // are cut off from the state service, and return only after its lease has expired.
            return Err(HeartbeatAnswer::without_commands(NO_TOKEN));
        }
        Err(HeartbeatAnswer::unavailable("not claimed yet"))
    }

    /// Returns whether a worker whose claim is not committed yet should stay here. It should
    /// for up to half a lease, and only while claims can reach the state service.
    fn may_wait_for_claim(&self, id: &str, now: Instant) -> bool {
        let lease = self.settings.worker_lease();
        let mut redirects = self.workers.redirects_mut();
        redirects.may_wait_for_claim(id, lease, now) && self.is_state_service_reachable()
    }

    /// Records the heartbeat and its status, or refuses the heartbeat if it is a late copy.
    fn accept_heartbeat(&self, heartbeat: &Heartbeat) -> StepResult {
        let (id, status) = (heartbeat.machine_id(), &heartbeat.status);
        let mut is_reachability_unconfirmed = false;
        if let Some(owned_worker) = self.workers.owned_mut().get_mut(id) {
            let lease = self.settings.worker_lease();
            if !owned_worker.record_heartbeat(status, lease, heartbeat.received_at) {
                return Err(HeartbeatAnswer::unavailable("a newer report has come"));
            }
            let is_first_status = owned_worker.status.is_none();
            is_reachability_unconfirmed = owned_worker.reachability_unconfirmed;
            if owned_worker.accept_status(status.clone(), true) && is_first_status {
                self.workers.wake_publication();
            }
        }
        if is_reachability_unconfirmed {
            self.request_claim(status, ClaimPriority::Normal);
        }
        if status.preemption_notice_s.is_some() {
            let mut fleet = self.fleet.borrow_mut();
            fleet.queue_drain(id);
        }
        Ok(())
    }

    /// Returns the answer that renews the lease and carries the commands of the plan.
    fn renew_lease(
        &self,
        mut plan: WorkerPlan,
        heartbeat: &Heartbeat,
    ) -> StepResult<HeartbeatAnswer> {
        let (id, status) = (heartbeat.machine_id(), &heartbeat.status);
        let mut owned_workers = self.workers.owned_mut();
        let Some(owned_worker) = owned_workers.get_mut(id) else {
            return Err(HeartbeatAnswer::unavailable("lost while answering"));
        };
        if owned_worker.in_flight {
            // While a direct call is in flight, the answer carries no commands of the plan,
            // as the call and the answer may arrive in either order.
            plan.commands.clear();
        }
        self.defer_stale_launches(id, &mut plan);
        // The replica may have become too old during the wait for the claim.
        self.check_staleness()?;
        // Safety 4: an answer that renews the lease must also stop all cancelled tasks.
        let stops = stops_of_cancelled_tasks(status, &self.replica.borrow());
        if stops.len() > status.max_stops() {
            // Not all of the tasks can be stopped at once, so the answer does not renew the
            // lease. Direct calls stop them.
            drop(owned_workers);
            self.call_worker(id);
            return Err(HeartbeatAnswer::without_commands(NO_TOKEN));
        }
        plan.require_stops(stops);
        plan.fit_message();
        self.fence_commands(id, owned_worker, &mut plan.commands);
        if plan.launches() {
            owned_worker.launches_offered_on = Some(status.heartbeat_id());
        }
        self.log_commands(id, owned_worker, &plan.commands, Channel::HeartbeatAnswer);
        owned_worker.record_commands(&plan.commands, heartbeat.received_at);
        owned_worker.last_answered_at = heartbeat.received_at;
        Ok(HeartbeatAnswer::Commands {
            fencing_token: owned_worker.fencing.token(),
            commands: plan.commands,
        })
    }
}
