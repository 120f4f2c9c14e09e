//! Changes of the leader while jobs are cancelled or complete.

use std::rc::Rc;

use tokio::time::sleep;

use crate::scenario::{cancel, heal_and_check, secs, start_long_jobs};
use crate::stand_ins::{
    Scenario, Simulation, StateFault, StateFaultOptions, job, job_with_run_times,
};

/// Faults that accompany the changes of the leader.
#[derive(Clone, Copy, Default)]
struct FaultCase {
    name: &'static str,
    late_report_copies: bool,
    hang_s: f64,
    commands_delayed_s: f64,
    late_commits: f64,
    unanswered: f64,
    slow_s: f64,
    blocks_messages_to_workers: bool,
    blocks_messages_from_workers: bool,
    /// Whether the state service is down during some of the changes.
    outages: bool,
    queries_immediately: bool,
}

/// Checks that no rule is broken when the leader changes ten times in two minutes and jobs are
/// cancelled at the same moments. For each change, the leader restarts, is killed, freezes or is
/// refused by the state service.
#[test]
fn rules_hold_when_jobs_are_cancelled_during_leader_changes() {
    let base = FaultCase {
        name: "plain",
        ..FaultCase::default()
    };
    let cases = [
        base,
        FaultCase {
            name: "report copies for the next leader",
            late_report_copies: true,
            ..base
        },
        FaultCase {
            name: "hanging machines, delayed launches",
            hang_s: 6.0,
            commands_delayed_s: 3.0,
            ..base
        },
        FaultCase {
            name: "machines hanging past the lease",
            hang_s: 13.0,
            late_report_copies: true,
            ..base
        },
        FaultCase {
            name: "late commits",
            late_commits: 0.15,
            ..base
        },
        FaultCase {
            name: "lost answers",
            unanswered: 0.2,
            queries_immediately: true,
            ..base
        },
        FaultCase {
            name: "slow state service",
            slow_s: 0.8,
            commands_delayed_s: 2.0,
            ..base
        },
        FaultCase {
            name: "messages to workers blocked",
            blocks_messages_to_workers: true,
            late_report_copies: true,
            ..base
        },
        FaultCase {
            name: "messages from workers blocked",
            blocks_messages_from_workers: true,
            commands_delayed_s: 5.0,
            ..base
        },
        FaultCase {
            name: "outages",
            outages: true,
            hang_s: 4.0,
            ..base
        },
        FaultCase {
            name: "outages, late commits, report copies",
            outages: true,
            late_commits: 0.1,
            late_report_copies: true,
            ..base
        },
    ];
    for (n, case) in cases.into_iter().enumerate() {
        for variant in 0..2 {
            Scenario::with_large_teams(400 + 10 * n as u64 + variant).run(
                |simulation| async move {
                    let name = format!("{}, {variant}", case.name);
                    run_leader_changes(&simulation, case, &name).await;
                },
            );
        }
    }
}

async fn run_leader_changes(simulation: &Rc<Simulation>, case: FaultCase, name: &str) {
    let mut ids = start_long_jobs(simulation, 1, 6).await;
    let mut uncancelled: Vec<String> = ids.clone();
    simulation
        .copied_heartbeat_fraction
        .set(if case.late_report_copies { 0.2 } else { 0.0 });
    simulation.state.fault_options.replace(StateFaultOptions {
        late_commit_fraction: case.late_commits,
        unanswered_commit_fraction: case.unanswered,
        response_delay: secs(case.slow_s),
        ..StateFaultOptions::default()
    });
    for change in 0..10u32 {
        let leader = simulation.controller_with_most_machines();
        disturb_workers(simulation, case, change);
        // This job is still being scheduled when the leader stops.
        let new_id = submit_job(simulation, case, change).await;
        ids.push(new_id.clone());
        uncancelled.push(new_id);
        sleep(secs(f64::from(change % 4) * 0.3)).await;
        let cancelled: Vec<String> = uncancelled.drain(..uncancelled.len().min(2)).collect();
        stop_leader(simulation, case, change, leader).await;
        cancel_all(simulation, case, leader, &cancelled).await;
        if case.late_report_copies {
            simulation.send_recorded_copies();
        }
        sleep(secs([2.0, 5.0, 3.0][change as usize % 3])).await;
        restore_leader(simulation, change, leader);
        if case.late_report_copies {
            simulation.send_recorded_copies();
        }
        sleep(secs(4.0)).await;
    }
    sleep(secs(simulation.shape.cancel_s)).await;
    heal_and_check(simulation, name, &ids).await;
}

/// Delays the commands to all busy workers. Depending on the case and the number of the change,
/// one of them also hangs, and messages from or to it are blocked.
fn disturb_workers(simulation: &Rc<Simulation>, case: FaultCase, change: u32) {
    let busy_workers = simulation.busy_workers();
    for worker in &busy_workers {
        worker.command_delay.set(secs(case.commands_delayed_s));
    }
    if let Some(worker) = busy_workers.get(change as usize % busy_workers.len().max(1)) {
        if case.hang_s > 0.0 {
            worker.hang(secs(case.hang_s));
        }
        worker
            .inbound_blocked
            .set(case.blocks_messages_to_workers && change % 3 == 0);
        worker
            .heartbeats_blocked
            .set(case.blocks_messages_from_workers && change % 2 == 0);
    }
}

async fn submit_job(simulation: &Rc<Simulation>, case: FaultCase, change: u32) -> String {
    let kind = ["batch", "gang", "daemon"][change as usize % 3];
    let id = simulation.submit(job(20 + change, kind, 2, 12.0)).await;
    if case.queries_immediately {
        simulation.query_concurrently(&id).await;
    }
    id
}

/// Restarts the leader, kills it, freezes it, or makes the state service refuse it, depending on
/// the number of the change. Some of the changes happen during an outage of the state service.
async fn stop_leader(simulation: &Rc<Simulation>, case: FaultCase, change: u32, leader: usize) {
    let outage = case.outages && change % 3 == 1;
    if outage {
        simulation.state.fault.set(StateFault::Outage);
    }
    match change % 4 {
        0 => {
            simulation.kill_controller(leader);
            simulation.start(leader);
        }
        1 => simulation.kill_controller(leader),
        2 => simulation.set_paused(leader, true),
        _ => {
            simulation
                .state
                .fault_options
                .borrow_mut()
                .refused_controllers
                .insert(leader);
        }
    }
    if outage {
        sleep(secs(3.0)).await;
        simulation.state.fault.set(StateFault::None);
    }
}

fn restore_leader(simulation: &Rc<Simulation>, change: u32, leader: usize) {
    simulation
        .state
        .fault_options
        .borrow_mut()
        .refused_controllers
        .clear();
    match change % 4 {
        1 => simulation.start(leader),
        2 => simulation.set_paused(leader, false),
        _ => {}
    }
}

async fn cancel_all(simulation: &Rc<Simulation>, case: FaultCase, leader: usize, ids: &[String]) {
    for id in ids {
        cancel(simulation, Some(leader), id).await;
        if case.queries_immediately && simulation.is_cancelled(id) {
            simulation.query_concurrently(id).await;
        }
    }
}

/// Checks that no job is reported as done before all of its tasks have completed. The tasks of
/// each job complete long after one another, under different leaders, and each new leader
/// receives late copies of earlier heartbeats.
#[test]
fn job_is_done_only_after_its_tasks_completed_under_several_leaders() {
    for variant in 0..4u64 {
        Scenario::with_large_teams(1000 + variant).run(|simulation| async move {
            simulation.copied_heartbeat_fraction.set(0.3);
            let mut ids = Vec::new();
            for n in 0..10u32 {
                let run_times_s = [1.0, 4.0 + f64::from(n) * 2.5, 12.0 + f64::from(n) * 2.0];
                let task_count = 2 + n as usize % 2;
                ids.push(
                    simulation
                        .submit(job_with_run_times(
                            n + 1,
                            "batch",
                            &run_times_s[..task_count],
                        ))
                        .await,
                );
            }
            sleep(secs(6.0)).await;
            for change in 0..6u64 {
                let leader = simulation.controller_with_most_machines();
                let busy_workers = simulation.busy_workers();
                if let Some(worker) = busy_workers.first()
                    && (change + variant) % 2 == 0
                {
                    worker.hang(secs(12.0));
                }
                simulation.kill_controller(leader);
                sleep(secs((change + variant) as f64 % 3.0)).await;
                simulation.start(leader);
                simulation.send_recorded_copies();
                for id in &ids {
                    simulation.query_concurrently(id).await;
                }
                sleep(secs(3.0)).await;
            }
            heal_and_check(&simulation, &format!("{variant}"), &ids).await;
            for id in &ids {
                simulation.wait_for_stage(id, "done", 90).await;
            }
            simulation.assert_no_violations();
        });
    }
}
