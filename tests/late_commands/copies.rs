//! Copies of start commands for tasks that were moved, cancelled, completed or refused in
//! between, alone and together with short interruptions.

use std::time::Duration;

use serde_json::json;
use shelfhoist::wire::ExitReason;
use tokio::time::sleep;

use crate::setup::{cancel, check_with_copies, job_with_priority, run_whole, wait_until};
use crate::stand_ins::job;

/// Guards against the incident: a preempted task ran on its new machine, and a copy of its first
/// start command started it on the old one as well.
#[test]
fn preempted_tasks_are_not_started_again_by_copies() {
    check_with_copies(2, |simulation, interruption| async move {
        let low = job_with_priority(1, "batch", 4, 300.0, "low");
        let array = run_whole(&simulation, low).await;
        let service = job_with_priority(2, "daemon", 8, 0.0, "prod");
        run_whole(&simulation, service).await;
        interruption.happen(&simulation).await;
        // The preempted tasks run on new machines.
        wait_until(|| simulation.running_task_count(&array) == 4).await;
    });
}

#[test]
fn older_attempt_is_not_started_by_copies_on_the_machine_of_a_newer_one() {
    check_with_copies(1, |simulation, interruption| async move {
        // No further machine comes up, so the array returns to the one that it had to leave.
        simulation.failed_boot_zone.set(Some("a"));
        let mut low = job_with_priority(1, "batch", 4, 20.0, "low");
        low["yard"] = json!("a");
        let array = run_whole(&simulation, low).await;
        let mut service = job_with_priority(2, "daemon", 4, 0.0, "prod");
        service["yard"] = json!("a");
        let service = run_whole(&simulation, service).await;
        interruption.happen(&simulation).await;
        cancel(&simulation, &service).await;
        wait_until(|| simulation.running_task_count(&array) == 4).await;
        simulation.wait_for_stage(&array, "done", 90).await;
    });
}

#[test]
fn cancelled_tasks_are_not_started_again_by_copies() {
    check_with_copies(2, |simulation, interruption| async move {
        let array = run_whole(&simulation, job(1, "batch", 8, 300.0)).await;
        cancel(&simulation, &array).await;
        wait_until(|| simulation.running_task_count(&array) == 0).await;
        sleep(Duration::from_millis(500)).await;
        interruption.happen(&simulation).await;
    });
}

#[test]
fn completed_tasks_are_not_started_again_by_copies() {
    check_with_copies(2, |simulation, interruption| async move {
        let first = run_whole(&simulation, job(1, "batch", 8, 3.0)).await;
        simulation.wait_for_stage(&first, "done", 90).await;
        interruption.happen(&simulation).await;
        let second = simulation.submit(job(2, "batch", 20, 3.0)).await;
        simulation.wait_for_stage(&second, "done", 90).await;
    });
}

#[test]
fn older_attempt_of_a_gang_is_not_started_by_copies() {
    check_with_copies(4, |simulation, interruption| async move {
        let gang = run_whole(&simulation, job(1, "gang", 6, 300.0)).await;
        // The gang is not placed again on the machines that it failed on.
        for worker in simulation.busy_workers() {
            worker.end_running_tasks(ExitReason::Error);
        }
        wait_until(|| simulation.running_task_count(&gang) == 6).await;
        interruption.happen(&simulation).await;
    });
}

#[test]
fn failed_tasks_are_not_started_by_copies_on_the_machine_that_they_left() {
    check_with_copies(2, |simulation, interruption| async move {
        let array = run_whole(&simulation, job(1, "batch", 2, 300.0)).await;
        let worker = simulation.busy_workers().remove(0);
        worker.end_running_tasks(ExitReason::Error);
        wait_until(|| simulation.running_task_count(&array) == 2).await;
        interruption.happen(&simulation).await;
    });
}

#[test]
fn tasks_of_a_recalled_machine_are_not_started_again_by_copies() {
    check_with_copies(3, |simulation, interruption| async move {
        let service = run_whole(&simulation, job(1, "daemon", 4, 0.0)).await;
        let recalled = simulation.busy_workers().remove(0);
        recalled.preemption_notice_s.set(Some(60.0));
        wait_until(|| {
            simulation
                .busy_workers()
                .iter()
                .all(|w| w.name() != recalled.name())
        })
        .await;
        interruption.happen(&simulation).await;
        wait_until(|| simulation.running_task_count(&service) == 4).await;
    });
}

#[test]
fn refused_tasks_are_not_started_by_copies() {
    for reason in [ExitReason::InsufficientResources, ExitReason::Unknown] {
        check_with_copies(2, |simulation, interruption| async move {
            let names: Vec<String> = simulation.workers.borrow().keys().cloned().collect();
            let worker = simulation.workers.borrow()[&names[0]].0.clone();
            worker.refusal.set(Some(reason));
            let array = simulation.submit(job(1, "batch", 6, 300.0)).await;
            sleep(Duration::from_secs(2)).await;
            worker.refusal.set(None);
            wait_until(|| simulation.running_task_count(&array) == 6).await;
            interruption.happen(&simulation).await;
        });
    }
}

/// Guards against a copy that arrives between a new owner's claim and its first message.
#[test]
fn copies_start_nothing_between_a_claim_and_the_first_message_under_it() {
    check_with_copies(2, |simulation, interruption| async move {
        let array = run_whole(&simulation, job(1, "batch", 8, 300.0)).await;
        cancel(&simulation, &array).await;
        wait_until(|| simulation.running_task_count(&array) == 0).await;
        sleep(Duration::from_secs(1)).await;
        for _ in 0..5 {
            simulation.deliver_kept_calls().await;
            interruption.happen(&simulation).await;
            simulation.deliver_kept_calls().await;
            sleep(Duration::from_millis(300)).await;
        }
    });
}
