//! `POST /agent/beat`: the answer to a worker's heartbeat.
//!
//! The answer renews the worker's lease and carries its orders, so it is given only
//! by the owner of the machine, only while the replica is recent (Safety 4), and only
//! with the stops that the report calls for.

use tokio::time::Instant;

use super::{Plan, must_stop, stops_of_cancelled};
use crate::controller::Controller;
use crate::http::Response;
use crate::state::records::{Machine, MachineLifecycle};
use crate::wire::{HeartbeatResponse, Redirect, WorkerCommand, WorkerStatus};

/// A worker drops answers with a lower token than it has shown, so this one keeps
/// it at this controller without renewing its lease.
const NO_TOKEN: u64 = 0;

/// How long a worker is to wait before it reports about a returned machine again.
const RETURNED_RETRY_S: u32 = 30;

/// How a heartbeat is answered.
#[derive(Debug)]
enum Answer {
    /// The worker executes the orders, and its lease is renewed if the token is
    /// not below the one that it has shown.
    WorkerCommands {
        fencing_token: u64,
        orders: Vec<WorkerCommand>,
    },
    /// The worker is to report to this controller, or else to any other.
    Redirect(Option<String>),
    /// The worker is to try the next controller.
    Unavailable {
        reason: &'static str,
        retry_after_s: u32,
    },
}

impl Answer {
    fn without_orders(fencing_token: u64) -> Self {
        let orders = Vec::new();
        Answer::WorkerCommands {
            fencing_token,
            orders,
        }
    }

    fn unavailable(reason: &'static str) -> Self {
        let retry_after_s = 1;
        Answer::Unavailable {
            reason,
            retry_after_s,
        }
    }

    fn into_response(self) -> Response {
        match self {
            Answer::WorkerCommands {
                fencing_token,
                orders,
            } => Response::json(
                200,
                &HeartbeatResponse {
                    fencing_token,
                    orders,
                },
            ),
            Answer::Redirect(report_to) => Response::json(421, &Redirect { report_to }),
            Answer::Unavailable {
                reason,
                retry_after_s,
            } => Response::unavailable(reason, retry_after_s),
        }
    }
}

/// One step of the handler: an error is the answer, and ends it.
type Step<T = ()> = Result<T, Answer>;

/// A heartbeat, with what is known of its machine when it comes.
struct Heartbeat {
    report: WorkerStatus,
    machine: Option<Machine>,
    received: Instant,
}

impl Heartbeat {
    fn id(&self) -> &str {
        &self.report.machine
    }

    /// The token that the machine was last claimed under; zero before the first.
    fn recorded_token(&self) -> u64 {
        self.machine.as_ref().map_or(0, |m| m.fencing_token)
    }
}

impl Controller {
    /// `POST /agent/beat`.
    pub async fn heartbeat(&self, report: WorkerStatus) -> Response {
        let answer = self.answer_heartbeat(report).await;
        answer.unwrap_or_else(|answer| answer).into_response()
    }

    async fn answer_heartbeat(&self, report: WorkerStatus) -> Step<Answer> {
        let received = self.liveness_tick();
        self.check_staleness()?;
        self.redirect_home(&report, received)?;
        let machine = self.replica.borrow().machines.get(&report.machine).cloned();
        let heartbeat = Heartbeat {
            report,
            machine: machine.map(|entry| entry.value),
            received,
        };
        self.check_record(&heartbeat)?;
        self.drop_if_claimed_elsewhere(&heartbeat)?;
        self.renew_after_restart(&heartbeat)?;
        self.hold(&heartbeat).await?;
        self.take_report(&heartbeat)?;
        let plan = self.plan_answer(&heartbeat);
        self.answer_with(plan, &heartbeat)
    }

    /// Safety 4: a controller whose view may be too old renews no lease.
    fn check_staleness(&self) -> Step {
        match self.may_renew_leases() {
            true => Ok(()),
            false => Err(Answer::unavailable("cut off from the state service")),
        }
    }

    fn redirect_home(&self, report: &WorkerStatus, now: Instant) -> Step {
        match self.redirect_to_preferred_owner(report, now) {
            Some(home) => Err(Answer::Redirect(Some(home))),
            None => Ok(()),
        }
    }

    /// Refuses what the machine's record speaks against: it was returned, the
    /// report is a late copy, no answer reaches the worker, or the replica is older
    /// than the newest claim.
    fn check_record(&self, heartbeat: &Heartbeat) -> Step {
        let Some(machine) = &heartbeat.machine else {
            return Ok(());
        };
        let report = &heartbeat.report;
        let held = self.owns(heartbeat.id());
        if matches!(
            machine.lifecycle,
            MachineLifecycle::Returning | MachineLifecycle::Gone
        ) && !held
        {
            return Err(Answer::Unavailable {
                reason: "machine was returned",
                retry_after_s: RETURNED_RETRY_S,
            });
        }
        if !held && (report.epoch, report.sequence) <= machine.seen {
            return Err(Answer::unavailable("a newer report has come"));
        }
        let lease = self.settings.worker_lease();
        let mut fleet = self.fleet.borrow_mut();
        if fleet.is_unreachable(report, machine.fencing_token, lease, heartbeat.received) {
            return Err(Answer::unavailable("it does not hear"));
        }
        if report.fencing_token > machine.fencing_token {
            // Another controller has claimed it since; the replica will tell which.
            self.workers
                .owned_workers
                .borrow_mut()
                .remove(heartbeat.id());
            return Err(Answer::Redirect(None));
        }
        Ok(())
    }

    /// Whether this controller, in this run or an earlier one, is recorded as the
    /// owner of the machine.
    fn is_recorded_holder(&self, machine: &Machine) -> bool {
        machine.owner == self.name()
            && machine.fencing_token > 0
            && machine.lifecycle != MachineLifecycle::Booting
    }

    /// Forgets a machine that was held here until another controller claimed it.
    fn drop_if_claimed_elsewhere(&self, heartbeat: &Heartbeat) -> Step {
        let Some(machine) = &heartbeat.machine else {
            return Ok(());
        };
        if self.is_recorded_holder(machine) {
            return Ok(());
        }
        match self
            .workers
            .owned_workers
            .borrow_mut()
            .remove(heartbeat.id())
        {
            Some(_) => Err(Answer::Redirect(self.recorded_holder(machine))),
            None => Ok(()),
        }
    }

    /// Renews the lease of a machine that an earlier run of this process held: its
    /// token still does so while the new claim is being committed. Without orders,
    /// and only where nothing on the machine has to end.
    fn renew_after_restart(&self, heartbeat: &Heartbeat) -> Step {
        let machine = heartbeat.machine.as_ref();
        let Some(machine) = machine.filter(|m| self.is_recorded_holder(m)) else {
            return Ok(());
        };
        let report = &heartbeat.report;
        if self.owns(heartbeat.id()) || must_stop(report, &self.replica.borrow()) {
            return Ok(());
        }
        self.ask_claim(heartbeat.id(), report, false);
        Err(Answer::without_orders(machine.fencing_token))
    }

    /// Claims the machine unless it is held already, or sends the worker back to
    /// its owner.
    async fn hold(&self, heartbeat: &Heartbeat) -> Step {
        let id = heartbeat.id();
        if self.owns(id) {
            return Ok(());
        }
        let owner = self.redirect_to_owner(id, heartbeat.machine.as_ref(), heartbeat.received);
        if let Some(owner) = owner {
            return Err(Answer::Redirect(Some(owner)));
        }
        let report = &heartbeat.report;
        if report.fencing_token == NO_TOKEN && heartbeat.recorded_token() == NO_TOKEN {
            // Nobody has ever held it, so nobody can wait for its lease to run
            // out: the worker stays here until the machine is claimed.
            self.ask_claim(id, report, false);
            return Err(Answer::without_orders(NO_TOKEN));
        }
        if self.claim(id, report).await {
            return Ok(());
        }
        if report.fencing_token > NO_TOKEN && self.keeps(id, Instant::now()) {
            // Its lease is not renewed, but it stays, and its claim is on its
            // way. A worker that goes on tries all controllers that are cut off,
            // and is back when its lease is over.
            return Err(Answer::without_orders(NO_TOKEN));
        }
        Err(Answer::unavailable("not claimed yet"))
    }

    /// Whether a worker whose claim takes long should stay here: for half a
    /// lease, and only where claims can be committed at all.
    fn keeps(&self, id: &str, now: Instant) -> bool {
        let lease = self.settings.worker_lease();
        let mut fleet = self.fleet.borrow_mut();
        let first = fleet.kept.entry(id.to_string()).or_insert(now);
        if now.saturating_duration_since(*first) > lease {
            *first = now;
        }
        now.saturating_duration_since(*first) < lease / 2 && self.is_state_service_reachable()
    }

    /// Takes the report over as the machine's newest, unless it is a late copy.
    fn take_report(&self, heartbeat: &Heartbeat) -> Step {
        let (id, report) = (heartbeat.id(), &heartbeat.report);
        let mut unconfirmed = false;
        if let Some(owned_worker) = self.workers.owned_workers.borrow_mut().get_mut(id) {
            if !owned_worker.record_heartbeat(
                report,
                self.settings.worker_lease(),
                heartbeat.received,
            ) {
                return Err(Answer::unavailable("a newer report has come"));
            }
            let first = owned_worker.report.is_none();
            unconfirmed = owned_worker.unconfirmed;
            if owned_worker.take(report.clone(), true) && first {
                self.workers.publication_notify.notify_one();
            }
        }
        if unconfirmed {
            self.ask_claim(id, report, false);
        }
        if report.notice_s.is_some() {
            let mut fleet = self.fleet.borrow_mut();
            fleet.recalled.insert(id.to_string());
        }
        Ok(())
    }

    /// What the machine is to be told now; ends are queued at once.
    fn plan_answer(&self, heartbeat: &Heartbeat) -> Plan {
        let mut plan = self.plan(heartbeat.id());
        self.queue_terminations(std::mem::take(&mut plan.ends));
        plan
    }

    /// The answer that renews the lease.
    fn answer_with(&self, mut plan: Plan, heartbeat: &Heartbeat) -> Step<Answer> {
        let (id, report) = (heartbeat.id(), &heartbeat.report);
        let mut owned_workers = self.workers.owned_workers.borrow_mut();
        let Some(owned_worker) = owned_workers.get_mut(id) else {
            return Err(Answer::unavailable("lost while answering"));
        };
        if owned_worker.in_flight {
            // What a direct call carries just now is not repeated here: the order
            // in which the two arrive would not be known.
            plan.orders.clear();
        }
        self.defer_old_launches(id, &mut plan);
        // The bound may have passed while the claim was awaited.
        self.check_staleness()?;
        // Safety 4: the answer renews the lease, so it ends what is cancelled.
        for stop in stops_of_cancelled(report, &self.replica.borrow()) {
            if !plan.orders.contains(&stop) {
                plan.orders.push(stop);
            }
        }
        if plan.launches() {
            owned_worker.offered = Some((report.epoch, report.sequence));
        }
        owned_worker.note_orders(&plan.orders, heartbeat.received);
        owned_worker.answered = heartbeat.received;
        Ok(Answer::WorkerCommands {
            fencing_token: owned_worker.fencing_token,
            orders: plan.orders,
        })
    }
}
