//! Measurements of the costs and savings of shares: the conflicts and writes for each booking
//! and the duration of a move. The tests print the figures and assert the bounds that the design
//! promises.

use std::cell::Cell;
use std::rc::Rc;

use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::checker::Checker;
use crate::setup::*;
use crate::stand_ins::{Simulation, job, run_in_simulated_time};

/// Number of jobs that are submitted at short intervals, half of them by each team.
const JOBS: u32 = 120;

/// Sums over one run, or over several.
#[derive(Debug, Clone, Copy, Default)]
struct Figures {
    bookings: usize,
    writes: usize,
    conflicts: usize,
    seconds: f64,
}

/// Counts bookings, and the records written by the commits that contain bookings.
fn count_bookings(simulation: &Simulation) -> Rc<Cell<(usize, usize)>> {
    let counts = Rc::new(Cell::new((0, 0)));
    let counter = counts.clone();
    let observe = move |_: &_, keys: &[&str], _| {
        let writes_to = |table: &str| keys.iter().any(|key| key.starts_with(table));
        // A commit with a booking also writes a usage record: that of the team or, with shares
        // enabled, that of the charged share.
        if writes_to("sh/job/") && (writes_to("sh/team/") || writes_to("sh/use/")) {
            let (bookings, writes) = counter.get();
            let jobs = keys.iter().filter(|key| key.starts_with("sh/job/")).count();
            counter.set((bookings + jobs, writes + keys.len()));
        }
    };
    simulation
        .state
        .observers
        .borrow_mut()
        .push(Box::new(observe));
    counts
}

/// Runs the same jobs with the same seed, with or without shares, and returns the figures.
fn figures(seed: u64, controllers: usize, shares: bool) -> Figures {
    let figures = Rc::new(Cell::new(Figures::default()));
    let result = figures.clone();
    run_in_simulated_time(|| async move {
        let mut deployment = shape(controllers);
        deployment.shares = shares;
        let simulation = Simulation::with_options(seed, deployment).await;
        let checker = Checker::watch(&simulation);
        match shares {
            true => wait_until_shares_enabled(&checker).await,
            false => sleep(secs(10.0)).await,
        }
        let counts = count_bookings(&simulation);
        let conflicts = simulation.state.conflict_count.get();
        let start = Instant::now();
        let mut ids = Vec::new();
        for n in 1..=JOBS {
            let mut job_request = job(n, ["batch", "gang"][n as usize / 2 % 2], 2, 3.0);
            job_request["crew"] = json!(TEAMS[n as usize % 2]);
            ids.push(simulation.submit(job_request).await);
            sleep(secs(0.1)).await;
        }
        for id in &ids {
            simulation.wait_for_stage(id, "done", 200).await;
        }
        let (bookings, writes) = counts.get();
        result.set(Figures {
            bookings,
            writes,
            conflicts: simulation.state.conflict_count.get() - conflicts,
            seconds: start.elapsed().as_secs_f64(),
        });
        checker.assert_no_violations("");
        simulation.assert_no_violations();
    });
    figures.get()
}

/// With shares, bookings of one team at several controllers write separate usage records and do
/// not conflict on them. In all, there must not be more conflicts than without shares.
#[test]
fn shares_cause_no_additional_conflicts() {
    for controllers in [3, 5] {
        let mut sums = [Figures::default(); 2];
        for seed in 71..76 {
            for shares in [false, true] {
                let run = figures(seed, controllers, shares);
                let sum = &mut sums[usize::from(shares)];
                sum.bookings += run.bookings;
                sum.writes += run.writes;
                sum.conflicts += run.conflicts;
                sum.seconds += run.seconds;
            }
        }
        println!(
            "{controllers} controllers, without {:?}, with {:?}",
            sums[0], sums[1]
        );
        let rate = |sum: Figures| sum.conflicts as f64 / sum.bookings as f64;
        let per_booking = |sum: Figures| sum.writes as f64 / sum.bookings as f64;
        assert!(rate(sums[1]) <= rate(sums[0]), "{sums:?}");
        // With shares, some bookings also write the pool and the share record.
        assert!(
            per_booking(sums[1]) <= per_booking(sums[0]) * 1.5,
            "{sums:?}"
        );
    }
}

/// Measures the duration of moves of free and of booked capacity in a deployment without
/// faults.
#[test]
fn moves_complete_within_two_report_intervals() {
    run_in_simulated_time(|| async {
        let simulation = Simulation::with_options(77, shape(5)).await;
        let checker = Checker::watch(&simulation);
        wait_until_shares_enabled(&checker).await;
        start_services(&simulation, 1, 10, "t").await;
        let mut durations = Vec::new();
        for n in 0..40 {
            let source = (0..5).max_by_key(|i| granted_cpus(&checker, "t", *i) as i64);
            let source = source.expect("a source");
            let cpus = [4.0, 8.0][n % 2];
            let body = move_request(&format!("m-{n}"), "t", source, (source + 1) % 5, cpus);
            let request_time = Instant::now();
            assert_eq!(request_move(&simulation, n % 5, &body).await.0, 200);
            wait_until("the move is done", 30.0, || !checker.is_moving()).await;
            durations.push(request_time.elapsed().as_secs_f64());
        }
        durations.sort_by(f64::total_cmp);
        println!(
            "a move takes {:.2} s, 9 of 10 up to {:.2} s, at most {:.2} s",
            durations[20], durations[36], durations[39]
        );
        assert!(
            durations[36] <= simulation.shape.report_s * 2.0,
            "{durations:?}"
        );
        checker.assert_no_violations("");
    });
}
