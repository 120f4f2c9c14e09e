//! Many concurrent jobs: teams at their limits, and machines that boot fast.

use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::scenario::{cancel, heal_and_check, secs};
use crate::stand_ins::{Scenario, Simulation, StateFaultOptions, Worker, job};

/// Checks that no team exceeds its limit. Every team is at its limit and has more jobs in the
/// queue. Jobs are cancelled while their machines hang or are unreachable and while the leader
/// changes.
#[test]
fn teams_never_exceed_their_limits() {
    let faults = [
        "hang",
        "hang past the lease",
        "messages to worker blocked",
        "messages from worker blocked",
        "leader partitioned",
        "delayed commands",
        "hang, delayed commands",
    ];
    for (n, fault) in faults.into_iter().enumerate() {
        for variant in 0..3u64 {
            Scenario::new(600 + 10 * n as u64 + variant).run(|simulation| async move {
                run_at_limits(&simulation, fault, variant).await;
            });
        }
    }
}

async fn run_at_limits(simulation: &Rc<Simulation>, fault: &str, variant: u64) {
    let mut ids = Vec::new();
    for n in 0..16u32 {
        let kind = ["batch", "gang", "daemon", "batch"][n as usize % 4];
        // All services belong to team u. A service that is not cancelled runs permanently, so
        // services of both teams would occupy the limits of both.
        let mut submission = job(n + 1, kind, 2, 18.0);
        submission["crew"] = json!(["t", "u"][n as usize / 2 % 2]);
        ids.push(simulation.submit(submission).await);
    }
    sleep(secs(18.0)).await;
    for round in 0..3 {
        let leader = simulation.controller_with_most_machines();
        let busy_workers = simulation.busy_workers();
        for worker in busy_workers.iter().take(3) {
            inject_fault(worker, fault);
        }
        if fault == "leader partitioned" {
            simulation.set_worker_partition(leader, true);
        }
        sleep(secs(0.4 * variant as f64)).await;
        let running: Vec<&String> = ids
            .iter()
            .filter(|id| simulation.running_task_count(id) > 0)
            .collect();
        for id in running.iter().take(4) {
            cancel(simulation, None, id).await;
        }
        if round % 2 == 0 {
            simulation.kill_controller(leader);
            sleep(secs(variant as f64)).await;
            simulation.start(leader);
        } else {
            simulation
                .state
                .fault_options
                .borrow_mut()
                .refused_controllers
                .insert(leader);
        }
        sleep(secs(8.0)).await;
        simulation
            .state
            .fault_options
            .borrow_mut()
            .refused_controllers
            .clear();
        busy_workers.iter().for_each(|worker| clear_faults(worker));
        simulation.set_worker_partition(leader, false);
        sleep(secs(12.0)).await;
    }
    for id in ids.iter().filter(|id| simulation.is_service(id)) {
        cancel(simulation, None, id).await;
    }
    heal_and_check(simulation, &format!("{fault}, {variant}"), &ids).await;
}

fn inject_fault(worker: &Worker, fault: &str) {
    match fault {
        "hang" => worker.hang(secs(7.0)),
        "hang past the lease" => worker.hang(secs(13.0)),
        "messages to worker blocked" => worker.inbound_blocked.set(true),
        "messages from worker blocked" => worker.heartbeats_blocked.set(true),
        "delayed commands" => worker.command_delay.set(secs(6.0)),
        "hang, delayed commands" => {
            worker.command_delay.set(secs(3.0));
            worker.hang(secs(8.0));
        }
        _ => {}
    }
}

/// Ends the faults of a worker, except a hang: it ends after the time set for it.
fn clear_faults(worker: &Worker) {
    worker.inbound_blocked.set(false);
    worker.heartbeats_blocked.set(false);
    worker.command_delay.set(Duration::ZERO);
}

/// Checks that no rule is broken when new machines boot within a second and receive work
/// immediately, while commits are late, unanswered or slow and the leader is restarted.
#[test]
fn rules_hold_when_machines_boot_fast_and_commits_are_slow() {
    for (n, (late, unanswered, slow_s)) in [
        (0.3, 0.0, 0.0),
        (0.0, 0.3, 0.0),
        (0.0, 0.0, 1.0),
        (0.2, 0.2, 0.5),
    ]
    .into_iter()
    .enumerate()
    {
        for variant in 0..2u64 {
            let scenario = Scenario::with_large_teams(700 + 10 * n as u64 + variant);
            scenario.boot_s(0.8).run(|simulation| async move {
                let mut ids = vec![simulation.submit(job(1, "batch", 1, 1.0)).await];
                simulation.state.fault_options.replace(StateFaultOptions {
                    late_commit_fraction: late,
                    unanswered_commit_fraction: unanswered,
                    response_delay: secs(slow_s),
                    ..StateFaultOptions::default()
                });
                for round in 0..4u32 {
                    for n in 0..3 {
                        let kind = ["batch", "gang", "daemon"][n as usize];
                        let submission = job(10 + round * 3 + n, kind, 3, 25.0);
                        ids.push(simulation.submit(submission).await);
                    }
                    sleep(secs(1.0 + 0.5 * f64::from(round))).await;
                    let leader = simulation.controller_with_most_machines();
                    simulation.kill_controller(leader);
                    cancel(&simulation, Some(leader), &ids[ids.len() - 1]).await;
                    sleep(secs(2.0)).await;
                    simulation.start(leader);
                    sleep(secs(6.0)).await;
                }
                heal_and_check(
                    &simulation,
                    &format!("late {late}, unanswered {unanswered}, slow {slow_s}, {variant}"),
                    &ids,
                )
                .await;
            });
        }
    }
}

/// Checks that no rule is broken when users submit four one-task jobs per second for a
/// minute and cancel a quarter of them, while the leader is restarted several times.
#[test]
fn rules_hold_when_a_quarter_of_many_small_jobs_is_cancelled() {
    for (n, (late, copied)) in [(0.0, 0.0), (0.05, 0.0), (0.0, 0.1)]
        .into_iter()
        .enumerate()
    {
        Scenario::with_large_teams(900 + n as u64).run(|simulation| async move {
            simulation
                .state
                .fault_options
                .borrow_mut()
                .late_commit_fraction = late;
            simulation.copied_heartbeat_fraction.set(copied);
            let mut users = Vec::new();
            for number in 0..240u32 {
                let (simulation, user_world) = (simulation.clone(), simulation.clone());
                users.push(tokio::task::spawn_local(async move {
                    let mut submission = job(1 + number, "batch", 1, 2.0);
                    submission["vcpus"] = json!(1.0);
                    submission["crew"] = json!(["t", "u"][number as usize % 2]);
                    let id = user_world.submit(submission).await;
                    if number % 4 == 0 {
                        sleep(secs(f64::from(number % 7) * 0.6)).await;
                        cancel(&user_world, None, &id).await;
                    }
                    id
                }));
                sleep(secs(0.25)).await;
                if number % 80 == 40 {
                    let leader = simulation.controller_with_most_machines();
                    simulation.kill_controller(leader);
                    simulation.start(leader);
                    simulation.send_recorded_copies();
                }
            }
            let mut ids = Vec::new();
            for user in users {
                ids.push(user.await.expect("the task of a user"));
            }
            simulation.send_recorded_copies();
            sleep(secs(10.0)).await;
            heal_and_check(
                &simulation,
                &format!("late {late}, report copies {copied}"),
                &ids,
            )
            .await;
        });
    }
}
