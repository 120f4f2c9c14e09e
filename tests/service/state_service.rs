//! Restarts of all controllers, and faults of the state service.

use std::rc::Rc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use shelfhoist::http::Client;
use shelfhoist::net::{Net, SimulatedNetwork};
use shelfhoist::state::budget::{Budget, RequestClass};
use shelfhoist::state::client::StateClient;
use shelfhoist::wire::{Commit, Write};
use tokio::time::{Instant, sleep};

use crate::stand_ins::{
    CONTROLLERS, Scenario, StateFault, controller_addr, job, run_in_simulated_time,
};

#[test]
fn jobs_survive_a_restart_of_all_controllers() {
    Scenario::new(3).run(|simulation| async move {
        let array = simulation.submit(job(1, "batch", 30, 6.0)).await;
        let service = simulation.submit(job(2, "daemon", 1, 0.0)).await;
        let finished = simulation.submit(job(3, "batch", 1, 1.0)).await;
        simulation.wait_for_stage(&finished, "done", 100).await;
        simulation.wait_for_stage(&service, "running", 100).await;
        sleep(Duration::from_secs(3)).await;
        for i in 0..CONTROLLERS {
            simulation.kill_controller(i);
        }
        sleep(Duration::from_secs(4)).await;
        for i in 0..CONTROLLERS {
            simulation.start(i);
        }
        sleep(Duration::from_secs(4)).await;
        // The controllers are back before the workers' leases expire, so the service
        // still runs.
        assert_eq!(simulation.running_task_count(&service), 1);
        assert_eq!(
            simulation.query_stage(0, &finished).await.as_deref(),
            Some("done")
        );
        simulation.wait_for_stage(&array, "done", 300).await;
        simulation.assert_no_violations();
    });
}

/// Checks that jobs complete although some commits get no answer: such a commit may have been
/// applied, or may still be applied later.
#[test]
fn jobs_complete_despite_lost_and_late_commit_answers() {
    for (seed, trouble) in [(4, StateFault::LostResponses), (5, StateFault::LateCommits)] {
        Scenario::new(seed).run(|simulation| async move {
            let first = simulation.submit(job(1, "batch", 12, 4.0)).await;
            simulation.state.fault.set(trouble);
            for n in 2..6 {
                simulation.state.faulty_commits_left.set(3);
                simulation
                    .submit(job(n, if n % 2 == 0 { "gang" } else { "batch" }, 3, 4.0))
                    .await;
                sleep(Duration::from_secs(6)).await;
            }
            simulation.state.faulty_commits_left.set(0);
            simulation.wait_for_stage(&first, "done", 300).await;
            for n in 2..6 {
                simulation
                    .wait_for_stage(&format!("job-{n:06}"), "done", 300)
                    .await;
            }
            simulation.assert_no_violations();
        });
    }
}

#[test]
fn tasks_keep_running_during_an_outage_of_the_state_service() {
    Scenario::new(8).run(|simulation| async move {
        let service = simulation.submit(job(1, "daemon", 3, 0.0)).await;
        simulation.wait_for_stage(&service, "running", 100).await;
        sleep(Duration::from_secs(5)).await;
        let before = simulation.task_start_count.get();
        simulation.state.fault.set(StateFault::Outage);
        sleep(Duration::from_secs(12)).await;
        assert_eq!(
            simulation
                .send_request(0, "POST", "/submissions", Some(&job(2, "batch", 1, 1.0)))
                .await
                .0,
            503
        );
        // The stage of an unfinished job must not be answered from an old view.
        assert_eq!(
            simulation
                .send_request(0, "GET", &format!("/submissions/{service}"), None)
                .await
                .0,
            503
        );
        simulation.state.fault.set(StateFault::None);
        sleep(Duration::from_secs(10)).await;
        assert_eq!(
            (
                simulation.running_task_count(&service),
                simulation.task_start_count.get()
            ),
            (3, before)
        );
        simulation.assert_no_violations();
    });
}

/// Checks that a controller reads the records page by page after it gets a watch answer larger
/// than it accepts. If it repeated the watch instead, it would get the same answer forever.
#[test]
fn oversized_watch_answer_is_replaced_by_paged_reads() {
    Scenario::new(17).run(|simulation| async move {
        let service = simulation.submit(job(1, "daemon", 2, 0.0)).await;
        simulation.wait_for_stage(&service, "running", 60).await;
        simulation
            .state
            .fault
            .set(StateFault::OversizedWatchResponses);
        let start = tokio::time::Instant::now();
        for n in 2..6 {
            let array = simulation.submit(job(n, "batch", 2, 1.0)).await;
            simulation.wait_for_stage(&array, "done", 30).await;
        }
        let elapsed = start.elapsed();
        assert!(elapsed < Duration::from_secs(20), "{elapsed:?}");
        assert_eq!(simulation.running_task_count(&service), 2);
        simulation.assert_no_violations();
    });
}

/// Checks that a wait for the write budget ends as soon as the budget is available. This may be
/// earlier than first estimated, because the controller's share of the write rate may grow
/// during the wait.
#[test]
fn wait_for_the_write_budget_follows_the_current_share() {
    run_in_simulated_time(|| async {
        let net = Net::Simulated(Rc::new(SimulatedNetwork::default()), controller_addr(0));
        let client = Rc::new(Client::new(net, Duration::from_secs(1)));
        let budget = Budget::new(100.0, 1.0, Instant::now());
        let unreachable = controller_addr(9);
        let timeout = Duration::from_secs(1);
        let rng = SmallRng::seed_from_u64(1);
        let state_client = StateClient::new(client, unreachable, budget, timeout, rng);
        let write = |number: u32| Write::Delete {
            key: format!("k/{number}"),
        };
        let commit = Commit {
            preconditions: Vec::new(),
            writes: (0..30).map(write).collect(),
        };
        // Overdraws the budget by half a minute at this share.
        assert!(
            state_client
                .commit(RequestClass::Round, &commit)
                .await
                .is_err()
        );
        let start = Instant::now();
        let raise_share = async {
            sleep(Duration::from_secs(2)).await;
            // The waiting write counts as demand, although nothing was sent during the wait.
            assert!(state_client.demand() > 0.5, "{}", state_client.demand());
            state_client.set_write_rate(100.0);
        };
        tokio::join!(
            state_client.wait_for_budget(RequestClass::Round, 8),
            raise_share
        );
        let elapsed = start.elapsed();
        assert!(elapsed < Duration::from_secs(4), "{elapsed:?}");
        assert!(elapsed > Duration::from_secs(2), "{elapsed:?}");
    });
}
