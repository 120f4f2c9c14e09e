//! Test of three controllers that run as processes and use real sockets, with simulated jobs.
//! It asserts nothing about durations: every wait has a limit far beyond the time that the wait
//! needs.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::task::spawn_blocking;
use tokio::time::{Instant, sleep};

use crate::checker::Checker;
use crate::program::{Controller, TemporaryFile, run};
use crate::setup::{granted_cpus, secs, shape};
use crate::stand_ins::{DeploymentOptions, Simulation, controller_addr, job, run_in_real_time};

/// Time limit of each wait, long enough on a machine that is busy with other work.
const WAIT_LIMIT: Duration = Duration::from_secs(240);

const SERVICES: u32 = 10;

fn loopback_shape() -> DeploymentOptions {
    DeploymentOptions {
        uses_loopback_sockets: true,
        boot_s: 0.2,
        lease_s: 60.0,
        cancel_s: 150.0,
        // With four writes for each commit, one transfer of a move reassigns three jobs.
        state: json!({"rps": 600.0, "write_rps": 300.0, "value_kb": 8.0, "txn_ops": 4}),
        ..shape(3)
    }
}

/// The controller processes and the files that they start from.
struct Deployment {
    settings: Vec<TemporaryFile>,
    features: TemporaryFile,
    processes: RefCell<Vec<Option<Controller>>>,
}

impl Deployment {
    fn start(shape: &DeploymentOptions) -> Self {
        let settings = (0..shape.controllers)
            .map(|i| TemporaryFile::new(&format!("loopback-{i}.json"), &shape.settings_text(i)));
        let deployment = Deployment {
            settings: settings.collect(),
            features: TemporaryFile::new("loopback.toml", "[shares]\nenabled = true\n"),
            processes: RefCell::new((0..shape.controllers).map(|_| None).collect()),
        };
        for i in 0..shape.controllers {
            deployment.start_one(i);
        }
        deployment
    }

    fn start_one(&self, i: usize) {
        let controller_process = Controller::start(self.settings[i].path(), self.features.path());
        self.processes.borrow_mut()[i] = Some(controller_process);
    }

    fn kill(&self, i: usize) {
        self.processes.borrow_mut()[i] = None;
    }
}

/// Runs a command against a controller and returns its JSON output, if there is any.
async fn command(arguments: &str, i: usize) -> Option<Value> {
    let arguments = format!("{arguments} --json --node {}", controller_addr(i));
    let output = spawn_blocking(move || run(&arguments.split(' ').collect::<Vec<_>>()));
    let output = output.await.expect("a command");
    serde_json::from_slice(&output.stdout).ok()
}

/// Waits until a condition holds.
async fn wait_until(condition_name: &str, condition: impl AsyncFn() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < WAIT_LIMIT, "{condition_name}");
        sleep(secs(0.1)).await;
    }
}

/// Requests a move at the controllers in turn until one of them accepts it.
async fn move_share(arguments: &str) {
    wait_until(arguments, async || {
        for i in 0..3 {
            if command(arguments, i).await.is_some() {
                return true;
            }
        }
        false
    })
    .await;
}

/// Makes the state service refuse every transfer that reassigns jobs, except the first. Returns
/// the flag that enables the refusals, and a cell that will hold the controller that sent the
/// first transfer.
fn refuse_transfers_after_the_first(
    simulation: &Simulation,
) -> (Rc<Cell<bool>>, Rc<Cell<Option<usize>>>) {
    let refusing = Rc::new(Cell::new(true));
    let first_sender = Rc::new(Cell::new(None));
    let (is_refusing, sent_by) = (refusing.clone(), first_sender.clone());
    let gate = move |i: usize, body: &Value| {
        let writes = body["writes"].as_array().cloned().unwrap_or_default();
        let writes_to = |table: &str| {
            let mut keys = writes.iter().filter_map(|write| write["set"].as_str());
            keys.any(|key| key.starts_with(table))
        };
        let is_transfer = writes_to("sh/share/") && writes_to("sh/job/") && !writes_to("sh/zone/");
        if !is_transfer {
            return false;
        }
        if sent_by.get().is_none() {
            sent_by.set(Some(i));
            return false;
        }
        is_refusing.get()
    };
    *simulation.state.commit_refusal.borrow_mut() = Some(Box::new(gate));
    (refusing, first_sender)
}

/// A controller is killed in the middle of a move that reassigns jobs, and another move is
/// requested before the first is done. Both moves complete, and no job changes its attempt or
/// machine.
#[test]
fn overlapping_moves_complete_after_a_controller_is_killed() {
    run_in_real_time(|| async {
        let simulation = Simulation::without_controllers(51, loopback_shape()).await;
        let checker = Checker::watch(&simulation);
        let deployment = Deployment::start(&simulation.shape);
        wait_until("shares are enabled", async || {
            ["t", "u"].iter().all(|team| checker.share(team).is_some())
        })
        .await;
        let mut ids = Vec::new();
        for n in 1..=SERVICES {
            ids.push(simulation.submit(job(n, "daemon", 2, 10.0)).await);
        }
        wait_until("the services run", async || {
            ids.iter().all(|id| simulation.running_task_count(id) == 2)
        })
        .await;
        // All of the team's capacity is moved to n0 first.
        for from in 1..3 {
            let cpus = granted_cpus(&checker, "t", from);
            if cpus > 0.0 {
                move_share(&format!(
                    "share move t --from n{from} --to n0 --cpus {cpus}"
                ))
                .await;
            }
        }
        wait_until("n0 has all", async || !checker.is_moving()).await;
        let all = granted_cpus(&checker, "t", 0);
        assert!(all >= 40.0, "{all}");
        let before = checker.placements();

        let (refusing, first_sender) = refuse_transfers_after_the_first(&simulation);
        move_share(&format!(
            "share move t --from n0 --to n1 --cpus {all} --id there"
        ))
        .await;
        wait_until("the first transfer is sent", async || {
            first_sender.get().is_some()
        })
        .await;
        let killed = first_sender.get().expect("a controller");
        wait_until("the first transfer is committed", async || {
            granted_cpus(&checker, "t", 1) > 0.0
        })
        .await;
        assert!(checker.is_moving(), "the first move is already done");
        deployment.kill(killed);
        move_share("share move t --from n1 --to n2 --cpus 8 --id on").await;
        assert!(
            checker.is_moving(),
            "the first move was done before the second was requested"
        );
        refusing.set(false);
        wait_until("both moves are done", async || !checker.is_moving()).await;
        deployment.start_one(killed);

        let cpus_after = [0, 1, 2].map(|i| granted_cpus(&checker, "t", i));
        assert_eq!(cpus_after[0], 0.0);
        // A share may also have grown by more than the move, to take over a job that is larger
        // than the moved amount.
        assert!(
            cpus_after[1] >= all - 8.0 && cpus_after[2] >= 8.0,
            "{cpus_after:?}"
        );
        for i in 0..3 {
            for id in ["there", "on"] {
                let status = format!("share status {id}");
                wait_until(&status, async || {
                    let answer = command(&status, i).await.unwrap_or_default();
                    answer["moves"][0]["state"] == "done"
                })
                .await;
            }
        }
        // All bookings are on the same machines and in the same attempts as before.
        assert_eq!(checker.placements(), before);
        assert!(ids.iter().all(|id| simulation.running_task_count(id) == 2));
        assert!(checker.counts().jobs_reassigned >= SERVICES as usize);
        checker.assert_no_violations("");
        simulation.assert_no_violations();
    });
}
