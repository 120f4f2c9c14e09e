//! A check that a refactoring keeps the behaviour. It computes digests of all requests and
//! responses (frames) that a deployment with faults exchanges. A change that keeps the behaviour
//! keeps the digests:
//!
//! ```text
//! cargo test --locked --test frame_digest -- --ignored --nocapture
//! ```
//!
//! Run it before and after the change, and compare the printed lines. The frames are the
//! requests and responses at the stand-ins for the state service, the cloud, the workers
//! and the users, each with its point of simulated time. The digests do not cover the
//! messages between controllers, nor the order of frames that different stand-ins exchange
//! at the same point of time.
//!
//! The digests of the seeds in `SEEDS` are the same in every process; those of other seeds may
//! differ between processes. The cause is tokio's random numbers, which a test cannot seed in a
//! usual build: tokio uses them in `select!` without `biased`, and for the order in which a
//! `watch` channel wakes its receivers. Before adding a seed, compare its digests over many
//! processes. If a digest changes after a refactoring, check whether it is the same in several
//! processes: such a random number can change it, too, without a change of behaviour.

#[allow(dead_code)]
mod stand_ins;

use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use stand_ins::{
    CONTROLLERS, DeploymentOptions, Frames, Simulation, StateFault, job, run_in_simulated_time,
    with_dependencies,
};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Seeds whose digests are the same in every process.
const SEEDS: [u64; 3] = [1, 2, 3];

/// Number of jobs, which are submitted at intervals of 4 s.
const JOB_COUNT: u32 = 24;

/// Returns a duration in seconds.
fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Submits batch and gang jobs of both teams, some of which depend on earlier ones, and
/// cancels every seventh.
async fn submit_jobs(simulation: Rc<Simulation>) {
    let mut ids: Vec<String> = Vec::new();
    for number in 1..=JOB_COUNT {
        let kind = ["batch", "gang"][number as usize % 2];
        let mut submission = job(number, kind, 1 + number % 3, f64::from(2 + number % 9));
        submission["crew"] = json!(["t", "u"][number as usize % 3 / 2]);
        if number % 4 == 0 {
            submission = with_dependencies(submission, &[&ids[ids.len() - 2]]);
        }
        let id = simulation.submit(submission).await;
        spawn_local(poll_job(simulation.clone(), id.clone()));
        if number % 7 == 0 {
            simulation.cancel(number as usize % CONTROLLERS, &id).await;
        }
        ids.push(id);
        sleep(seconds(4.0)).await;
    }
}

/// Polls a job at one controller after another, every 5 s as users do.
async fn poll_job(simulation: Rc<Simulation>, id: String) {
    for i in (0..CONTROLLERS).cycle() {
        simulation.query_stage(i, &id).await;
        sleep(seconds(5.0)).await;
    }
}

/// Injects faults of the state service, the controllers, the network and the workers, one after
/// another.
async fn inject_faults(simulation: &Rc<Simulation>) {
    sleep(seconds(15.0)).await;
    inject_state_faults(simulation).await;
    restart_controllers(simulation).await;
    inject_network_faults(simulation).await;
    inject_worker_faults(simulation).await;
}

/// Makes the state service lose responses, then apply commits late, then refuse all requests,
/// then respond slowly and lose or delay random commits.
async fn inject_state_faults(simulation: &Rc<Simulation>) {
    for trouble in [StateFault::LostResponses, StateFault::LateCommits] {
        simulation.state.fault.set(trouble);
        simulation.state.faulty_commits_left.set(4);
        sleep(seconds(6.0)).await;
        simulation.state.faulty_commits_left.set(0);
    }
    simulation.state.fault.set(StateFault::Outage);
    sleep(seconds(15.0)).await;
    simulation.state.fault.set(StateFault::None);
    simulation
        .state
        .fault_options
        .borrow_mut()
        .late_commit_fraction = 0.2;
    simulation
        .state
        .fault_options
        .borrow_mut()
        .unanswered_commit_fraction = 0.2;
    simulation.state.fault_options.borrow_mut().response_delay = seconds(0.2);
    sleep(seconds(10.0)).await;
    simulation.clear_faults();
    sleep(seconds(5.0)).await;
}

/// Kills and restarts each controller in turn. The first is down for longer than the worker
/// leases last.
async fn restart_controllers(simulation: &Rc<Simulation>) {
    for i in 0..CONTROLLERS {
        simulation.kill_controller(i);
        let downtime_s = if i == 0 { 1.5 } else { 0.5 } * simulation.shape.lease_s;
        sleep(seconds(downtime_s)).await;
        simulation.start(i);
        sleep(seconds(3.0)).await;
    }
}

/// Disconnects one controller from its peers, then another from everything, and delivers
/// duplicate heartbeats late.
async fn inject_network_faults(simulation: &Rc<Simulation>) {
    simulation.copied_heartbeat_fraction.set(0.3);
    simulation.set_peer_partition(1, true);
    sleep(seconds(8.0)).await;
    simulation.set_peer_partition(1, false);
    simulation.send_recorded_copies();
    simulation.set_controller_partition(2, true);
    sleep(seconds(12.0)).await;
    simulation.set_controller_partition(2, false);
    simulation.send_recorded_copies();
    sleep(seconds(5.0)).await;
}

/// Loses one busy machine, and makes another hang for longer than its lease lasts.
async fn inject_worker_faults(simulation: &Rc<Simulation>) {
    let busy = simulation.busy_workers();
    if let Some(worker) = busy.first() {
        simulation.lose_machine(worker.name());
    }
    if let Some(worker) = busy.last() {
        worker.hang(seconds(1.5 * simulation.shape.lease_s));
    }
    sleep(seconds(40.0)).await;
}

/// Runs the deployment with faults, and returns its frames.
fn record_frames(seed: u64) -> Frames {
    let mut frames = None;
    run_in_simulated_time(|| async {
        let simulation = Simulation::with_options(seed, DeploymentOptions::default()).await;
        simulation.frames.begin();
        spawn_local(submit_jobs(simulation.clone()));
        inject_faults(&simulation).await;
        frames = Some(simulation.frames.finish());
    });
    frames.expect("the run has ended")
}

#[test]
#[ignore = "a tool: prints digests, asserts nothing about them"]
fn print_frame_digests() {
    for seed in SEEDS {
        let (frames, repeated) = (record_frames(seed), record_frames(seed));
        let (count, digest) = (frames.count(), frames.digest());
        println!("frame digest: seed {seed}, {count} frames, digest {digest:016x}");
        let difference = frames.first_difference(&repeated);
        assert!(
            difference.is_none(),
            "seed {seed}: two runs differ at {}",
            difference.unwrap_or_default()
        );
        assert_eq!(digest, repeated.digest(), "seed {seed}");
    }
}
