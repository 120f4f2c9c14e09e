//! Launches (commands that start tasks) are sent only while the controller's view of the state is
//! recent. In an older view, a job that was cancelled at another controller meanwhile still looks
//! as if it must run. A barrier is a read that brings the view up to date.

#[allow(dead_code)]
mod stand_ins;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use shelfhoist::http::{
    BODY_LIMIT, CallError, Client, Deadlines, Handler, Response, ServerLimits, serve,
};
use shelfhoist::net::{Net, SimulatedNetwork};
use shelfhoist::settings::Settings;
use shelfhoist::wire::{CommandAction, WorkerCommand};
use shelfhoist::workers::WorkerPlan;
use stand_ins::{DeploymentOptions, Simulation, addr, job, run_in_simulated_time};
use tokio::time::{Instant, sleep};

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

fn command(action: CommandAction) -> WorkerCommand {
    WorkerCommand {
        action,
        task: "job-1/0".to_string(),
        attempt: 1,
        grace_s: None,
    }
}

/// Checks that, if no read barrier has completed or the last one is too old, all `Start` commands
/// are deferred, and all other commands are still sent.
#[test]
fn launches_are_deferred_without_a_recent_view() {
    use CommandAction::{Forget, Start, Stop};
    let limit = secs(1.0);
    let cases = [
        ("recent", Some(secs(0.9)), vec![Start], vec![Start], false),
        ("just too old", Some(limit), vec![Start], vec![], true),
        ("old", Some(secs(1.1)), vec![Start, Start], vec![], true),
        ("no barrier yet", None, vec![Start], vec![], true),
        (
            "no launch",
            None,
            vec![Stop, Forget],
            vec![Stop, Forget],
            false,
        ),
        ("empty plan", Some(secs(9.0)), vec![], vec![], false),
        (
            "only launches are deferred",
            Some(secs(9.0)),
            vec![Stop, Start, Forget],
            vec![Stop, Forget],
            true,
        ),
        (
            "all commands of a recent plan",
            Some(secs(0.0)),
            vec![Stop, Start, Forget],
            vec![Stop, Start, Forget],
            false,
        ),
    ];
    for (name, age, planned, expected, deferred) in cases {
        let mut plan = WorkerPlan {
            commands: planned.into_iter().map(command).collect(),
            terminations: Vec::new(),
        };
        assert_eq!(plan.defer_launches(age, limit), deferred, "{name}");
        let remaining: Vec<CommandAction> =
            plan.commands.iter().map(|command| command.action).collect();
        assert_eq!(remaining, expected, "{name}");
    }
}

/// Checks the launch limit: the maximum age of a view from which tasks are launched. The limit is
/// two normal intervals between barriers, but at least a sixteenth and at most a quarter of the
/// lease.
#[test]
fn launch_limit_is_a_small_multiple_of_the_barrier_interval() {
    // Each case has the lease and the cancellation limit in seconds, and the requests per second.
    for (lease_s, cancel_s, rps) in [
        (10.0, 30.0, 150.0),
        (10.0, 40.0, 200.0),
        (24.0, 44.0, 80.0),
        (26.5, 60.0, 150.0),
        (10.0, 11.5, 150.0),
        (10.0, 30.0, 10.0),
    ] {
        let mut shape = DeploymentOptions {
            lease_s,
            cancel_s,
            ..DeploymentOptions::default()
        };
        shape.state["rps"] = json!(rps);
        let settings: Settings = shape.settings(0);
        let (limit, lease) = (settings.max_launch_staleness(), settings.worker_lease());
        let gap = secs(4.0 * shape.controllers as f64 / rps);
        let interval = settings.idle_barrier_interval() + gap;
        let case = format!("{lease_s} {cancel_s} {rps}: {limit:?}");
        assert!(limit <= lease / 4, "{case}");
        assert!(limit >= lease / 16, "{case}");
        assert!(limit >= (interval * 2).min(lease / 4), "{case}");
        assert!(limit <= (interval * 2).max(lease / 16), "{case}");
        assert!(settings.idle_barrier_interval() <= settings.staleness_limit() / 20);
    }
}

/// Checks that a call is not sent after its send deadline, even if the deadline for its answer is
/// far away. An answer that arrives after the send deadline must still be accepted.
#[test]
fn call_is_not_sent_after_its_send_deadline() {
    // Each case has a name, the send and answer deadlines in seconds from now, and whether the
    // call arrives.
    let cases = [
        ("before both deadlines", 1.0, 4.0, true),
        ("send deadline passed", 0.0, 4.0, false),
        ("both deadlines passed", 0.0, 0.0, false),
    ];
    run_in_simulated_time(|| async move {
        let simulated_network = Rc::new(SimulatedNetwork::default());
        let worker = addr("10.1.0.1:1");
        let arrived = Rc::new(Cell::new(0));
        let count = arrived.clone();
        let handler: Handler = Rc::new(move |_| {
            count.set(count.get() + 1);
            Box::pin(async {
                sleep(secs(2.0)).await;
                Response::empty(200)
            })
        });
        let limits = ServerLimits {
            max_connections: 4,
            max_body_bytes: BODY_LIMIT,
            idle_timeout: secs(60.0),
            request_timeout: secs(5.0),
            is_preferred: |_| true,
        };
        let net = Net::Simulated(simulated_network.clone(), worker);
        let listener = net.listen(worker).await.expect("listen");
        tokio::task::spawn_local(serve(listener, limits, handler));
        let client = Client::new(
            Net::Simulated(simulated_network, addr("10.1.0.2:1")),
            secs(30.0),
        );
        for (name, send_s, answer_s, expected) in cases {
            arrived.set(0);
            let now = Instant::now();
            let deadlines = Deadlines {
                send: now + secs(send_s),
                response: now + secs(answer_s),
            };
            let call = client.call_with_deadlines(worker, "POST", "/orders", None, deadlines);
            match call.await {
                Ok(answer) => assert!(expected && answer.status == 200, "{name}"),
                Err(CallError::NotSent(_)) => assert!(!expected, "{name}"),
                Err(error) => panic!("{name}: {error}"),
            }
            assert_eq!(arrived.get(), usize::from(expected), "{name}");
        }
    });
}

/// A deployment in which machines hang for slightly longer than their lease. When they resume,
/// the tasks that are assigned to them have ended, so their owner launches these tasks again.
/// Shortly before they resume, the state service refuses only the owner, and some jobs are
/// cancelled at another controller, so the owner does not learn of the cancellations.
struct RefusedOwner {
    simulation: Rc<Simulation>,
    owner: usize,
    /// Jobs that were cancelled at another controller.
    cancelled: Vec<String>,
    /// Jobs that were not cancelled.
    uncancelled: Vec<String>,
}

/// Runs a deployment until shortly before its hanging machines resume. The state service begins
/// to refuse the machines' owner `refused_s` seconds before they resume, and the jobs are
/// cancelled `cancelled_s` seconds before they resume.
async fn refuse_owner_before_machines_return(
    seed: u64,
    refused_s: f64,
    cancelled_s: f64,
) -> RefusedOwner {
    // The machines hang for longer than their lease, but not so long that the owner may treat
    // the lease as expired.
    const HANG_S: f64 = 10.3;
    let simulation = Simulation::new(seed).await;
    let mut ids = Vec::new();
    for number in 0..4 {
        ids.push(simulation.submit(job(number + 1, "batch", 1, 300.0)).await);
    }
    for id in &ids {
        simulation.wait_for_stage(id, "running", 60).await;
    }
    sleep(secs(5.0)).await;
    let owner = simulation.controller_with_most_machines();
    simulation
        .busy_workers()
        .iter()
        .for_each(|worker| worker.hang(secs(HANG_S)));
    sleep(secs(HANG_S - refused_s)).await;
    simulation
        .state
        .fault_options
        .borrow_mut()
        .refused_controllers
        .insert(owner);
    sleep(secs(refused_s - cancelled_s)).await;
    let uncancelled = ids.split_off(2);
    for id in &ids {
        let stage = simulation.cancel((owner + 1) % 3, id).await;
        assert_eq!(stage.as_deref(), Some("aborted"));
    }
    RefusedOwner {
        simulation,
        owner,
        cancelled: ids,
        uncancelled,
    }
}

/// Checks that no task is launched once the launch limit has passed since another controller
/// confirmed the task's cancellation. The jobs are cancelled at different times before the
/// machines resume.
#[test]
fn no_task_is_launched_long_after_its_cancellation_elsewhere() {
    for variant in 0..12u32 {
        let cancelled_s = 0.3 + 0.15 * f64::from(variant);
        run_in_simulated_time(|| async move {
            let case = refuse_owner_before_machines_return(
                u64::from(variant),
                cancelled_s + 0.1,
                cancelled_s,
            )
            .await;
            let simulation = case.simulation;
            sleep(secs(12.0)).await;
            let limit = simulation.shape.settings(0).max_launch_staleness();
            let late_starts: Vec<_> = simulation.starts_after_cancel.borrow().clone();
            let too_late: Vec<_> = late_starts
                .iter()
                .filter(|(_, after)| *after > limit)
                .collect();
            assert!(too_late.is_empty(), "{cancelled_s}: {too_late:?}");
            simulation.clear_faults();
            sleep(secs(20.0)).await;
            for id in &case.cancelled {
                assert_eq!(simulation.running_task_count(id), 0, "{id}");
            }
            for id in &case.uncancelled {
                assert_eq!(simulation.running_task_count(id), 1, "{id}");
            }
            simulation.assert_no_violations();
        });
    }
}

/// Checks that deferred launches are sent as soon as the state service answers again.
#[test]
fn deferred_launches_are_sent_after_the_next_barrier() {
    run_in_simulated_time(|| async {
        let case = refuse_owner_before_machines_return(50, 2.4, 2.0).await;
        let (simulation, owner) = (case.simulation, case.owner);
        let starts = simulation.task_start_count.get();
        sleep(secs(2.0 + 1.0)).await;
        assert_eq!(
            simulation.task_start_count.get(),
            starts,
            "launched from an old view"
        );
        simulation
            .state
            .fault_options
            .borrow_mut()
            .refused_controllers
            .remove(&owner);
        sleep(secs(1.0)).await;
        for id in &case.uncancelled {
            assert_eq!(simulation.running_task_count(id), 1, "{id}");
        }
        assert_eq!(simulation.starts_after_cancel.borrow().len(), 0);
        simulation.assert_no_violations();
    });
}
