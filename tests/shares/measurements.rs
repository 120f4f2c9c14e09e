//! What shares cost and save: conflicts and writes for each booking, and how long a move
//! takes. The figures are printed; asserted is what the design promises of them.

use std::cell::Cell;
use std::rc::Rc;

use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::checker::Checker;
use crate::setup::*;
use crate::stand_ins::{World, in_world, job};

/// Jobs that are submitted, one after another at short intervals, half of each team.
const JOBS: u32 = 120;

#[derive(Debug, Clone, Copy, Default)]
struct Figures {
    bookings: usize,
    writes: usize,
    conflicts: usize,
    seconds: f64,
}

/// Counts bookings, and the records written by the commits that hold them.
fn count_bookings(w: &World) -> Rc<Cell<(usize, usize)>> {
    let counted = Rc::new(Cell::new((0, 0)));
    let count = counted.clone();
    let observe = move |_: &_, keys: &[&str], _| {
        let has = |table: &str| keys.iter().any(|key| key.starts_with(table));
        // A commit that books writes what the booking counts against.
        if has("sh/job/") && (has("sh/team/") || has("sh/use/")) {
            let (bookings, writes) = count.get();
            let jobs = keys.iter().filter(|key| key.starts_with("sh/job/")).count();
            count.set((bookings + jobs, writes + keys.len()));
        }
    };
    w.state.observers.borrow_mut().push(Box::new(observe));
    counted
}

/// The same jobs on the same seed, with shares or without.
fn figures(seed: u64, controllers: usize, shares: bool) -> Figures {
    let figures = Rc::new(Cell::new(Figures::default()));
    let result = figures.clone();
    in_world(|| async move {
        let mut deployment = shape(controllers);
        deployment.shares = shares;
        let w = World::of(seed, deployment).await;
        let checker = Checker::watch(&w);
        match shares {
            true => until_split(&checker).await,
            false => sleep(secs(10.0)).await,
        }
        let counted = count_bookings(&w);
        let conflicts = w.state.conflicts.get();
        let began = Instant::now();
        let mut ids = Vec::new();
        for n in 1..=JOBS {
            let mut one = job(n, ["batch", "gang"][n as usize / 2 % 2], 2, 3.0);
            one["crew"] = json!(TEAMS[n as usize % 2]);
            ids.push(w.submit(one).await);
            sleep(secs(0.1)).await;
        }
        for id in &ids {
            w.until(id, "done", 200).await;
        }
        let (bookings, writes) = counted.get();
        result.set(Figures {
            bookings,
            writes,
            conflicts: w.state.conflicts.get() - conflicts,
            seconds: began.elapsed().as_secs_f64(),
        });
        checker.assert_kept("");
        w.assert_kept();
    });
    figures.get()
}

/// Bookings of one team at several controllers write one record each, and do not conflict
/// on it: with shares there are no more conflicts in all.
#[test]
fn bookings_with_and_without_shares() {
    for controllers in [3, 5] {
        let mut sums = [Figures::default(); 2];
        for seed in 71..76 {
            for shares in [false, true] {
                let one = figures(seed, controllers, shares);
                let sum = &mut sums[usize::from(shares)];
                sum.bookings += one.bookings;
                sum.writes += one.writes;
                sum.conflicts += one.conflicts;
                sum.seconds += one.seconds;
            }
        }
        println!(
            "{controllers} controllers, without {:?}, with {:?}",
            sums[0], sums[1]
        );
        let rate = |sum: Figures| sum.conflicts as f64 / sum.bookings as f64;
        let per_booking = |sum: Figures| sum.writes as f64 / sum.bookings as f64;
        assert!(rate(sums[1]) <= rate(sums[0]), "{sums:?}");
        // The pool and the split are written now and then besides.
        assert!(
            per_booking(sums[1]) <= per_booking(sums[0]) * 1.5,
            "{sums:?}"
        );
    }
}

/// How long moves of free room and of room in use take in a quiet deployment.
#[test]
fn a_move_takes_a_report_interval_or_two() {
    in_world(|| async {
        let w = World::of(77, shape(5)).await;
        let checker = Checker::watch(&w);
        until_split(&checker).await;
        services(&w, 1, 10, "t").await;
        let mut spans = Vec::new();
        for n in 0..40 {
            let giver = (0..5).max_by_key(|i| granted(&checker, "t", *i) as i64);
            let giver = giver.expect("a share");
            let cpus = [4.0, 8.0][n % 2];
            let body = move_body(&format!("m-{n}"), "t", giver, (giver + 1) % 5, cpus);
            let asked = Instant::now();
            assert_eq!(ask_move(&w, n % 5, &body).await.0, 200);
            until("the move", 30.0, || !checker.is_moving()).await;
            spans.push(asked.elapsed().as_secs_f64());
        }
        spans.sort_by(f64::total_cmp);
        println!(
            "a move takes {:.2} s, 9 of 10 up to {:.2} s, at most {:.2} s",
            spans[20], spans[36], spans[39]
        );
        assert!(spans[36] <= w.shape.report_s * 2.0, "{spans:?}");
        checker.assert_kept("");
    });
}
