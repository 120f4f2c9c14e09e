//! Answers to direct calls that cannot be read: the worker may have executed the commands.

use crate::setup::check_with_copies;
use crate::stand_ins::job;

/// Time in seconds within which a job must not wait while it could run, from the stated target.
const MAX_WAIT_S: u64 = 90;

/// Guards against a machine on which nothing is started any more after an unreadable answer to
/// a launch.
#[test]
fn tasks_start_although_answers_to_direct_calls_are_unreadable() {
    for status in [200, 500] {
        check_with_copies(1, |simulation, interruption| async move {
            for (worker, _) in simulation.workers.borrow().values() {
                worker.unreadable_answer.set(Some(status));
            }
            let first = simulation.submit(job(1, "batch", 4, 5.0)).await;
            simulation.wait_for_stage(&first, "done", MAX_WAIT_S).await;
            interruption.happen(&simulation).await;
            let second = simulation.submit(job(2, "batch", 4, 5.0)).await;
            simulation.wait_for_stage(&second, "done", MAX_WAIT_S).await;
        });
    }
}
