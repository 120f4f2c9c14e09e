//! Machines that have left service, but that zone shards or bookings still name.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use shelfhoist::state::keys::job_key;
use shelfhoist::state::records::{Job, JobSpec, Machine, MachineLifecycle};
use shelfhoist::wire::Submission;
use tokio::time::{Instant, sleep};

use crate::stand_ins::{CONTROLLERS, Scenario, Simulation, job};

/// Time after which a late commit is applied.
const COMMIT_DELAY: Duration = Duration::from_secs(8);

/// Name of a machine that does not exist.
const DEPARTED: &str = "host-009999";

/// Returns the zone shards that list a machine.
fn zone_shards_with(simulation: &Simulation, machine: &str) -> Vec<String> {
    let records = simulation.state.records("sh/zone/").into_iter();
    let listing = records.filter(|(_, value)| value.to_string().contains(machine));
    listing.map(|(key, _)| key).collect()
}

/// Returns whether a commit lists a machine in a zone shard.
fn lists(commit: &Value, machine: &str) -> bool {
    let mut writes = commit["writes"].as_array().into_iter().flatten();
    writes.any(|write| {
        let is_zone_shard = |key: &str| key.starts_with("sh/zone/");
        write["set"].as_str().is_some_and(is_zone_shard)
            && write["value"].to_string().contains(machine)
    })
}

/// Applies the first commit that lists the machine late and without a response, and sets the
/// flag when it arrives.
fn delay_first_listing(simulation: &Simulation, machine: &str) -> Rc<Cell<bool>> {
    let is_delayed = Rc::new(Cell::new(false));
    let (seen, machine) = (is_delayed.clone(), machine.to_string());
    let delay = move |_, commit: &Value| {
        (!seen.get() && lists(commit, &machine)).then(|| {
            seen.set(true);
            COMMIT_DELAY
        })
    };
    *simulation.state.commit_delay.borrow_mut() = Some(Box::new(delay));
    is_delayed
}

/// Guards against jobs that never run (review/4): a machine was listed as taking work by a
/// commit that was applied after the machine had been returned.
#[test]
fn late_commit_does_not_list_a_machine_that_is_gone() {
    Scenario::with_large_teams(70).run(|simulation| async move {
        let service = simulation.submit(job(1, "daemon", 2, 0.0)).await;
        simulation.wait_for_stage(&service, "running", 100).await;
        let name = simulation.boot_machine(&json!({"grade": "big", "yard": "a"}));
        let is_delayed = delay_first_listing(&simulation, &name);
        let worker = simulation.workers.borrow()[&name].0.clone();
        while !is_delayed.get() {
            sleep(Duration::from_millis(20)).await;
        }
        let delayed_at = Instant::now();
        worker.preemption_notice_s.set(Some(20.0));
        while simulation.workers.borrow().contains_key(&name) {
            sleep(Duration::from_millis(20)).await;
        }
        assert!(delayed_at.elapsed() < COMMIT_DELAY, "returned too late");
        sleep(COMMIT_DELAY + Duration::from_secs(1)).await;
        assert_eq!(zone_shards_with(&simulation, &name), Vec::<String>::new());
        let array = simulation.submit(job(2, "batch", 8, 3.0)).await;
        simulation.wait_for_stage(&array, "done", 60).await;
        simulation.assert_no_violations();
    });
}

/// Writes the state that such a commit has left behind: a zone shard lists a machine without a
/// record, and a job is booked on the machine.
fn write_departed_machine(simulation: &Simulation, submission: &Value) {
    let machine = Machine {
        lifecycle: MachineLifecycle::Active,
        ..Machine::new("big", "a")
    };
    let machine = serde_json::to_value(&machine).expect("a machine");
    let state = &simulation.state;
    state.write("sh/machine/a/n0.7", &json!({"m": {DEPARTED: machine}}));
    let slot = json!({"t": "big", "f": {"c": 8000, "g": 0, "m": 16_000_000}});
    state.write("sh/zone/a/n0.7", &json!({"m": {DEPARTED: slot}}));
    state.write("sh/machine/a/n0.7", &json!({"m": {}}));
    let parsed: Submission = serde_json::from_value(submission.clone()).expect("a submission");
    let mut record = Job::new(JobSpec::from(&parsed), 1);
    for _ in 0..record.tasks {
        let task = record.take_unstarted_task().expect("a task");
        record.attempt = 1;
        record.book(DEPARTED, "a", 1, task);
    }
    let id = submission["name_id"].as_str().expect("an ID");
    let record = serde_json::to_value(&record).expect("a job");
    state.write(&job_key(id), &record);
}

/// Guards against jobs that never run (review/4): state of an earlier version in which a job is
/// booked on a machine without a record.
#[test]
fn jobs_booked_on_a_machine_without_a_record_run_elsewhere() {
    for (seed, kind) in [(71, "batch"), (72, "gang"), (73, "daemon")] {
        Scenario::with_large_teams(seed).run(|simulation| async move {
            let service = simulation.submit(job(1, "daemon", 2, 0.0)).await;
            simulation.wait_for_stage(&service, "running", 100).await;
            for i in 0..CONTROLLERS {
                simulation.kill_controller(i);
            }
            let submission = job(2, kind, 2, 3.0);
            write_departed_machine(&simulation, &submission);
            for i in 0..CONTROLLERS {
                simulation.start(i);
            }
            // The user repeats the submission, which was accepted earlier.
            let id = simulation.submit(submission).await;
            match kind {
                "daemon" => {
                    sleep(Duration::from_secs(30)).await;
                    assert_eq!(simulation.running_task_count(&id), 2);
                }
                _ => simulation.wait_for_stage(&id, "done", 60).await,
            }
            sleep(Duration::from_secs(5)).await;
            let listing = zone_shards_with(&simulation, DEPARTED);
            assert_eq!(listing, Vec::<String>::new(), "{kind}");
            simulation.assert_no_violations();
        });
    }
}
