//! Tests that enable and disable the accounting by shares in a running deployment, while
//! controllers fail or some controllers run an older version.

use std::cell::Cell;
use std::rc::Rc;

use serde_json::{Value, json};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

use crate::checker::Checker;
use crate::setup::*;
use crate::stand_ins::{Simulation, job, run_in_simulated_time};

/// The prefixes of the records that only the accounting by shares writes.
const SHARE_PREFIXES: [&str; 3] = ["sh/share/", "sh/use/", "sh/pool"];

/// Restarts a controller with shares enabled or disabled.
async fn restart(simulation: &Simulation, controller: usize, enabled: bool) {
    simulation.kill_controller(controller);
    simulation.shares.borrow_mut().insert(controller, enabled);
    sleep(secs(2.0)).await;
    simulation.start(controller);
    sleep(secs(3.0)).await;
}

/// Starts a task that submits arrays and gangs at intervals until the returned flag is set. The
/// result of the task is the ids of the jobs.
fn start_load(
    simulation: &Rc<Simulation>,
    first_number: u32,
) -> (Rc<Cell<bool>>, JoinHandle<Vec<String>>) {
    let stopped = Rc::new(Cell::new(false));
    let (simulation, is_stopped) = (simulation.clone(), stopped.clone());
    let task = spawn_local(async move {
        let mut ids = Vec::new();
        while !is_stopped.get() {
            let n = first_number + ids.len() as u32;
            let mut job_request = job(n, ["batch", "gang"][ids.len() % 2], 2, 6.0);
            job_request["crew"] = json!(TEAMS[ids.len() % 2]);
            ids.push(simulation.submit(job_request).await);
            sleep(secs(1.5)).await;
        }
        ids
    });
    (stopped, task)
}

/// Makes the state service refuse every commit that changes a team's accounting, except the
/// first.
fn refuse_changes_after_the_first(simulation: &Simulation) {
    let has_changed = Cell::new(false);
    let gate = move |_: usize, body: &Value| {
        let writes = body["writes"].as_array().cloned().unwrap_or_default();
        let mut keys = writes.iter().filter_map(|write| write["set"].as_str());
        // Only a change of the accounting writes the pool and a team's record together.
        let is_change = keys.any(|key| key == "sh/pool")
            && writes.iter().any(|write| {
                let key = write["set"].as_str().unwrap_or_default();
                key.starts_with("sh/team/")
            });
        is_change && has_changed.replace(true)
    };
    *simulation.state.commit_refusal.borrow_mut() = Some(Box::new(gate));
}

/// Requests a move at the controllers in turn until one of them accepts it.
async fn request_until_accepted(simulation: &Simulation, body: &Value) {
    for attempt in 0..30 {
        if request_move(simulation, attempt % simulation.shape.controllers, body)
            .await
            .0
            == 200
        {
            return;
        }
        sleep(secs(0.5)).await;
    }
    panic!("not accepted: {body}");
}

/// Returns whether share records or the pool are stored.
fn has_shares(simulation: &Simulation) -> bool {
    // Usage records (`sh/use/`) are not checked: they stay stored after shares are disabled, but
    // have no effect then.
    ["sh/share/", "sh/pool"]
        .iter()
        .any(|table| !simulation.state.records(table).is_empty())
}

/// Returns the runs of these jobs, with their machines and attempts.
fn runs_of(checker: &Checker, ids: &[String]) -> Vec<(String, Value)> {
    let placements = checker.placements();
    let runs = |id: &String| serde_json::to_value(&placements[id].runs).expect("runs");
    ids.iter().map(|id| (id.clone(), runs(id))).collect()
}

/// Shares are enabled, disabled and enabled again under load. Each time, a controller is killed
/// when the accounting of only one of the two teams has changed. No service is changed, every
/// array completes, and the team's limit is never exceeded.
#[test]
fn shares_are_enabled_and_disabled_under_load_while_controllers_fail() {
    run_in_simulated_time(|| async {
        let mut disabled = shape(3);
        disabled.shares = false;
        let simulation = Simulation::with_options(61, disabled).await;
        let checker = Checker::watch(&simulation);
        let ids = start_services(&simulation, 1, 6, "t").await;
        sleep(secs(5.0)).await;
        let before = runs_of(&checker, &ids);
        let (stopped, arrays) = start_load(&simulation, 100);
        for round in 0..3 {
            let enabled = round % 2 == 0;
            refuse_changes_after_the_first(&simulation);
            for controller in 0..3 {
                assert_eq!(
                    has_shares(&simulation),
                    !enabled,
                    "round {round}: changed before n{controller} restarted"
                );
                restart(&simulation, controller, enabled).await;
                if !enabled {
                    break;
                }
            }
            // The accounting of one team has changed and that of the other has not.
            let changed_teams = || {
                TEAMS
                    .iter()
                    .filter(|team| checker.share(team).is_some())
                    .count()
            };
            wait_until("one team has changed", 60.0, || changed_teams() == 1).await;
            sleep(secs(1.0)).await;
            assert_eq!(changed_teams(), 1);
            simulation.kill_controller(round);
            sleep(secs(1.0)).await;
            simulation.start(round);
            *simulation.state.commit_refusal.borrow_mut() = None;
            wait_until("all teams have changed", 90.0, || match enabled {
                true => changed_teams() == 2,
                false => !has_shares(&simulation),
            })
            .await;
            if enabled {
                let source =
                    (0..3).find(|controller| granted_cpus(&checker, "t", *controller) >= 1.0);
                let source = source.expect("a source");
                let body = move_request(&format!("in-{round}"), "t", source, (source + 1) % 3, 1.0);
                request_until_accepted(&simulation, &body).await;
                wait_until("the move is done", 60.0, || !checker.is_moving()).await;
            } else {
                // The other controllers restart one after another.
                for controller in 1..3 {
                    restart(&simulation, controller, false).await;
                }
            }
            assert_eq!(runs_of(&checker, &ids), before, "round {round}");
            checker.assert_no_violations(&format!("round {round}"));
        }
        stopped.set(true);
        for id in arrays.await.expect("the load") {
            simulation.wait_for_stage(&id, "done", 120).await;
        }
        // If the accounting had lost a booking, a job could run although the limit is filled.
        start_services(&simulation, 20, 6, "t").await;
        let job_beyond_limit = simulation.submit(job(40, "daemon", 1, 10.0)).await;
        sleep(secs(20.0)).await;
        assert_eq!(simulation.running_task_count(&job_beyond_limit), 0);
        checker.assert_no_violations("");
        simulation.assert_no_violations();
    });
}

/// Controllers of an older version are replaced one after another. No records of shares are
/// written before all controllers run the newer version. A commit that an older controller
/// prepared before that fails if it arrives later.
#[test]
fn shares_are_not_written_while_older_versions_run() {
    run_in_simulated_time(|| async {
        let simulation = Simulation::with_options(62, shape(3)).await;
        simulation
            .state
            .previous_version_controllers
            .borrow_mut()
            .extend(0..3);
        let checker = Checker::watch(&simulation);
        let ids = start_services(&simulation, 1, 4, "t").await;
        sleep(secs(5.0)).await;
        let before = runs_of(&checker, &ids);
        for controller in 0..3 {
            sleep(secs(10.0)).await;
            for table in SHARE_PREFIXES {
                assert!(
                    simulation.state.records(table).is_empty(),
                    "{table} before n{controller}"
                );
            }
            assert_eq!(
                simulation.state.keys_unreadable_by_production(),
                Vec::<String>::new()
            );
            simulation.kill_controller(controller);
            simulation
                .state
                .previous_version_controllers
                .borrow_mut()
                .remove(&controller);
            simulation.start(controller);
        }
        wait_until_shares_enabled(&checker).await;
        let team = simulation.state.value("sh/team/t").expect("a record");
        assert_eq!(team["u"]["c"], json!(16_000));
        assert_eq!(runs_of(&checker, &ids), before);
        start_services(&simulation, 10, 4, "t").await;
        checker.assert_no_violations("");
        simulation.assert_no_violations();
    });
}
