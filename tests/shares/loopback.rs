//! Three controllers as processes on real sockets, with stand-in jobs. Nothing here is
//! judged by how long it takes: what is waited for has limits far beyond what it needs.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::task::spawn_blocking;
use tokio::time::{Instant, sleep};

use crate::checker::Checker;
use crate::program::{Controller, TemporaryFile, run};
use crate::setup::{granted, secs, shape};
use crate::stand_ins::{Shape, World, controller, job, run_in_real_time};

/// Long enough for whatever is waited for, on a machine that is busy with other things.
const PATIENCE: Duration = Duration::from_secs(240);

const SERVICES: u32 = 10;

fn loopback_shape() -> Shape {
    Shape {
        loopback: true,
        boot_s: 0.2,
        lease_s: 60.0,
        cancel_s: 150.0,
        // A step of a move takes three jobs along.
        state: json!({"rps": 600.0, "write_rps": 300.0, "value_kb": 8.0, "txn_ops": 4}),
        ..shape(3)
    }
}

/// The controllers, with the files that they start from.
struct Deployment {
    settings: Vec<TemporaryFile>,
    features: TemporaryFile,
    running: RefCell<Vec<Option<Controller>>>,
}

impl Deployment {
    fn start(shape: &Shape) -> Self {
        let settings = (0..shape.controllers)
            .map(|i| TemporaryFile::new(&format!("loopback-{i}.json"), &shape.settings_text(i)));
        let deployment = Deployment {
            settings: settings.collect(),
            features: TemporaryFile::new("loopback.toml", "[shares]\nenabled = true\n"),
            running: RefCell::new((0..shape.controllers).map(|_| None).collect()),
        };
        for i in 0..shape.controllers {
            deployment.start_one(i);
        }
        deployment
    }

    fn start_one(&self, i: usize) {
        let started = Controller::start(self.settings[i].path(), self.features.path());
        self.running.borrow_mut()[i] = Some(started);
    }

    fn kill(&self, i: usize) {
        self.running.borrow_mut()[i] = None;
    }
}

/// The command's answer, from a controller's address.
async fn command(arguments: &str, i: usize) -> Option<Value> {
    let arguments = format!("{arguments} --json --node {}", controller(i));
    let output = spawn_blocking(move || run(&arguments.split(' ').collect::<Vec<_>>()));
    let output = output.await.expect("a command");
    serde_json::from_slice(&output.stdout).ok()
}

async fn patiently(what: &str, condition: impl AsyncFn() -> bool) {
    let began = Instant::now();
    while !condition().await {
        assert!(began.elapsed() < PATIENCE, "{what}");
        sleep(secs(0.1)).await;
    }
}

/// Asks until the move is taken on, at any controller that is up.
async fn move_share(arguments: &str) {
    patiently(arguments, async || {
        for i in 0..3 {
            if command(arguments, i).await.is_some() {
                return true;
            }
        }
        false
    })
    .await;
}

/// Lets the first step that takes jobs along through, and refuses those after it until it
/// is opened; who took the first step is noted.
fn gate_after_first_step(w: &World) -> (Rc<Cell<bool>>, Rc<Cell<Option<usize>>>) {
    let closed = Rc::new(Cell::new(true));
    let first = Rc::new(Cell::new(None));
    let (is_closed, taken_by) = (closed.clone(), first.clone());
    let gate = move |i: usize, body: &Value| {
        let writes = body["writes"].as_array().cloned().unwrap_or_default();
        let writes_to = |table: &str| {
            let mut keys = writes.iter().filter_map(|write| write["set"].as_str());
            keys.any(|key| key.starts_with(table))
        };
        let is_step = writes_to("sh/share/") && writes_to("sh/job/") && !writes_to("sh/zone/");
        if !is_step {
            return false;
        }
        if taken_by.get().is_none() {
            taken_by.set(Some(i));
            return false;
        }
        is_closed.get()
    };
    *w.state.gate.borrow_mut() = Some(Box::new(gate));
    (closed, first)
}

/// A controller is killed in the middle of a move that takes jobs along, and another move
/// arrives before the first is done: all ends as wanted, and no job's attempt or machine
/// has changed.
#[test]
fn a_controller_dies_in_a_move_and_another_move_comes() {
    run_in_real_time(|| async {
        let w = World::without_controllers(51, loopback_shape()).await;
        let checker = Checker::watch(&w);
        let deployment = Deployment::start(&w.shape);
        patiently("a split", async || {
            ["t", "u"].iter().all(|team| checker.share(team).is_some())
        })
        .await;
        let mut ids = Vec::new();
        for n in 1..=SERVICES {
            ids.push(w.submit(job(n, "daemon", 2, 10.0)).await);
        }
        patiently("the services", async || {
            ids.iter().all(|id| w.running(id) == 2)
        })
        .await;
        // All of the team's room comes to n0 first.
        for from in 1..3 {
            let cpus = granted(&checker, "t", from);
            if cpus > 0.0 {
                move_share(&format!(
                    "share move t --from n{from} --to n0 --cpus {cpus}"
                ))
                .await;
            }
        }
        patiently("n0 has all", async || !checker.is_moving()).await;
        let all = granted(&checker, "t", 0);
        assert!(all >= 40.0, "{all}");
        let before = checker.placements();

        let (closed, first) = gate_after_first_step(&w);
        move_share(&format!(
            "share move t --from n0 --to n1 --cpus {all} --id there"
        ))
        .await;
        patiently("the first step", async || first.get().is_some()).await;
        let killed = first.get().expect("who took it");
        patiently("the first step's commit", async || {
            granted(&checker, "t", 1) > 0.0
        })
        .await;
        assert!(checker.is_moving(), "the move is in its middle");
        deployment.kill(killed);
        move_share("share move t --from n1 --to n2 --cpus 8 --id on").await;
        assert!(
            checker.is_moving(),
            "the second came before the first was done"
        );
        closed.set(false);
        patiently("the end of both", async || !checker.is_moving()).await;
        deployment.start_one(killed);

        let ends = [0, 1, 2].map(|i| granted(&checker, "t", i));
        assert_eq!(ends[0], 0.0);
        // A share may have grown besides, to take along a job larger than the move.
        assert!(ends[1] >= all - 8.0 && ends[2] >= 8.0, "{ends:?}");
        for i in 0..3 {
            for id in ["there", "on"] {
                let status = format!("share status {id}");
                patiently(&status, async || {
                    let answer = command(&status, i).await.unwrap_or_default();
                    answer["moves"][0]["state"] == "done"
                })
                .await;
            }
        }
        // Everything that is booked is where it was, in the attempt that it was.
        assert_eq!(checker.placements(), before);
        assert!(ids.iter().all(|id| w.running(id) == 2));
        assert!(checker.counts().jobs_taken_along >= SERVICES as usize);
        checker.assert_kept("");
        w.assert_kept();
    });
}
