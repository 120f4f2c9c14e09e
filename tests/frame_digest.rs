//! A tool for refactorings: it digests all that a deployment with faults says on the
//! wire. A change that keeps the behaviour keeps the digests:
//!
//! ```text
//! cargo test --locked --test frame_digest -- --ignored --nocapture
//! ```
//!
//! Run it before and after the change, and compare the printed lines. The frames are the
//! requests and answers at the stand-ins for the state service, the cloud, the workers
//! and the users, each with its moment of simulated time. Not among them is what
//! controllers say to each other, nor the order of frames of one moment at different
//! stand-ins.
//!
//! The digests of these seeds are the same in every process. Not every seed's are: the
//! program draws from tokio's random numbers, which no test can seed in a usual build
//! (`select!` without `biased`, and the order in which a `watch` channel wakes its
//! receivers). Before a seed is added here, its digests must be compared over many
//! processes. A digest that changes with a refactoring may show such a draw rather than
//! other behaviour: see whether it is the same in several processes.

#[allow(dead_code)]
mod stand_ins;

use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use stand_ins::{CONTROLLERS, Frames, Shape, Trouble, World, after, in_world, job};
use tokio::task::spawn_local;
use tokio::time::sleep;

const SEEDS: [u64; 3] = [1, 2, 3];

/// How many jobs are submitted, one every few seconds.
const JOB_COUNT: u32 = 24;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Submits jobs of both kinds and teams, some of which await earlier ones, and cancels
/// every seventh.
async fn submit_jobs(world: Rc<World>) {
    let mut ids: Vec<String> = Vec::new();
    for number in 1..=JOB_COUNT {
        let kind = ["batch", "gang"][number as usize % 2];
        let mut next = job(number, kind, 1 + number % 3, f64::from(2 + number % 9));
        next["crew"] = json!(["t", "u"][number as usize % 3 / 2]);
        if number % 4 == 0 {
            next = after(next, &[&ids[ids.len() - 2]]);
        }
        let id = world.submit(next).await;
        spawn_local(poll_job(world.clone(), id.clone()));
        if number % 7 == 0 {
            world.withdraw(number as usize % CONTROLLERS, &id).await;
        }
        ids.push(id);
        sleep(seconds(4.0)).await;
    }
}

/// Polls a job at one controller after another, as users do.
async fn poll_job(world: Rc<World>, id: String) {
    for i in (0..CONTROLLERS).cycle() {
        world.stage(i, &id).await;
        sleep(seconds(5.0)).await;
    }
}

/// Lets one fault after another happen, each with its end.
async fn inject_faults(world: &Rc<World>) {
    sleep(seconds(15.0)).await;
    inject_state_faults(world).await;
    restart_controllers(world).await;
    inject_network_faults(world).await;
    inject_worker_faults(world).await;
}

/// The state service loses answers, carries commits out late, and is down.
async fn inject_state_faults(world: &Rc<World>) {
    for trouble in [Trouble::LoseAnswers, Trouble::Late] {
        world.state.trouble.set(trouble);
        world.state.troubled.set(4);
        sleep(seconds(6.0)).await;
        world.state.troubled.set(0);
    }
    world.state.trouble.set(Trouble::Down);
    sleep(seconds(15.0)).await;
    world.state.trouble.set(Trouble::None);
    world.state.troubles.borrow_mut().late = 0.2;
    world.state.troubles.borrow_mut().unanswered = 0.2;
    world.state.troubles.borrow_mut().slow = seconds(0.2);
    sleep(seconds(10.0)).await;
    world.heal();
    sleep(seconds(5.0)).await;
}

/// Every controller ends and comes back; one for longer than its leases stand.
async fn restart_controllers(world: &Rc<World>) {
    for i in 0..CONTROLLERS {
        world.kill(i);
        let lasts = if i == 0 { 1.5 } else { 0.5 } * world.shape.lease_s;
        sleep(seconds(lasts)).await;
        world.start(i);
        sleep(seconds(3.0)).await;
    }
}

/// A controller loses the others, and then everything; copies of reports come late.
async fn inject_network_faults(world: &Rc<World>) {
    world.copied.set(0.3);
    world.cut_peers(1, true);
    sleep(seconds(8.0)).await;
    world.cut_peers(1, false);
    world.deliver_copies();
    world.cut_controller(2, true);
    sleep(seconds(12.0)).await;
    world.cut_controller(2, false);
    world.deliver_copies();
    sleep(seconds(5.0)).await;
}

/// A busy machine is lost, another stands still for longer than its lease.
async fn inject_worker_faults(world: &Rc<World>) {
    let busy = world.busy();
    if let Some(worker) = busy.first() {
        world.lose(worker.name());
    }
    if let Some(worker) = busy.last() {
        worker.hang(seconds(1.5 * world.shape.lease_s));
    }
    sleep(seconds(40.0)).await;
}

/// All frames of a deployment with faults.
fn record_frames(seed: u64) -> Frames {
    let mut frames = None;
    in_world(|| async {
        let world = World::of(seed, Shape::default()).await;
        world.frames.begin();
        spawn_local(submit_jobs(world.clone()));
        inject_faults(&world).await;
        frames = Some(world.frames.finish());
    });
    frames.expect("the run has ended")
}

#[test]
#[ignore = "a tool: prints digests, asserts nothing about them"]
fn print_frame_digests() {
    for seed in SEEDS {
        let (frames, again) = (record_frames(seed), record_frames(seed));
        let (count, digest) = (frames.count(), frames.digest());
        println!("frame digest: seed {seed}, {count} frames, digest {digest:016x}");
        let difference = frames.first_difference(&again);
        assert!(
            difference.is_none(),
            "seed {seed}: two runs differ at {}",
            difference.unwrap_or_default()
        );
        assert_eq!(digest, again.digest(), "seed {seed}");
    }
}
