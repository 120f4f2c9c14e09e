//! The fencing tokens of a claim: they are used up by work on a machine, with and without an
//! outage of the state service.

use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use shelfhoist::state::records::MachineShard;
use shelfhoist::workers::TOKENS_PER_CLAIM;
use tokio::time::sleep;

use crate::setup::run_with_copies;
use crate::stand_ins::{Simulation, StateFault, job, job_with_run_times};

/// Time in seconds within which a job must not wait while it could run, from the stated target.
const MAX_WAIT_S: u64 = 90;

/// Returns the highest fencing token in the machines' records.
fn highest_recorded_token(simulation: &Rc<Simulation>) -> u64 {
    let mut highest = 0;
    for (key, value) in simulation.state.records("sh/machine/") {
        let shard: MachineShard = serde_json::from_str(&value.to_string()).expect(&key);
        let tokens = shard.machines.values().map(|m| m.fencing_token);
        highest = highest.max(tokens.max().unwrap_or(0));
    }
    highest
}

/// Returns an array of tasks with run times between a tenth of a second and a second.
fn short_tasks(number: u32, tasks: u32) -> Value {
    let run_time_s = |task: u32| 0.1 + f64::from(task * 7 % 90) / 100.0;
    let run_times_s: Vec<f64> = (0..tasks).map(run_time_s).collect();
    let mut array = job_with_run_times(number, "batch", &run_times_s);
    array["yard"] = json!("a");
    array
}

/// Guards against a machine that takes no more work once the tokens of its claim are used up.
#[test]
fn machine_takes_work_after_the_tokens_of_its_claim_are_used_up() {
    run_with_copies(1, 1, |simulation| async move {
        // No further machine comes up, so that one machine does all the work.
        simulation.failed_boot_zone.set(Some("a"));
        let first_claim = highest_recorded_token(&simulation);
        for number in 1..=8 {
            let array = simulation.submit(short_tasks(number, 1000)).await;
            simulation
                .wait_for_stage(&array, "done", 3 * MAX_WAIT_S)
                .await;
        }
        let last_claim = highest_recorded_token(&simulation);
        assert!(last_claim >= first_claim + TOKENS_PER_CLAIM, "{last_claim}");
        assert_eq!(simulation.expired_lease_count(), 0);
    });
}

/// Guards against ended tasks that fill a machine's list during an outage of the state service,
/// so that the machine refuses work afterwards.
#[test]
fn machine_full_of_ended_tasks_takes_work_after_an_outage_of_a_minute() {
    run_with_copies(1, 1, |simulation| async move {
        let mut tiny = job(1, "batch", 1500, 2.0);
        tiny["vcpus"] = json!(0.005);
        tiny["ram_gb"] = json!(0.005);
        let array = simulation.submit(tiny).await;
        simulation
            .wait_for_stage(&array, "running", MAX_WAIT_S)
            .await;
        simulation.state.fault.set(StateFault::Outage);
        sleep(Duration::from_secs(60)).await;
        simulation.state.fault.set(StateFault::None);
        simulation.wait_for_stage(&array, "done", MAX_WAIT_S).await;
    });
}
