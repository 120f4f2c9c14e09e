//! The work changes hands while jobs are cancelled or end.

use std::rc::Rc;

use tokio::time::sleep;

use crate::scenario::{cancel, ending_at, long_jobs, secs, settle};
use crate::stand_ins::{Scenario, StateTroubles, Trouble, World, job};

/// What comes with the changes of leader.
#[derive(Clone, Copy, Default)]
struct Changes {
    name: &'static str,
    late_reports: bool,
    hang_s: f64,
    orders_delayed_s: f64,
    late_commits: f64,
    unanswered: f64,
    slow_s: f64,
    deaf: bool,
    mute: bool,
    /// Some of the changes fall into an outage.
    outages: bool,
    looks_closely: bool,
}

/// One controller's work changes hands ten times in two minutes, in each way that
/// there is, and jobs are cancelled in those very seconds.
#[test]
fn cancelled_while_work_changes_hands() {
    let base = Changes {
        name: "plain",
        ..Changes::default()
    };
    let cases = [
        base,
        Changes {
            name: "copies for the next",
            late_reports: true,
            ..base
        },
        Changes {
            name: "hanging, launches held up",
            hang_s: 6.0,
            orders_delayed_s: 3.0,
            ..base
        },
        Changes {
            name: "hanging past the lease",
            hang_s: 13.0,
            late_reports: true,
            ..base
        },
        Changes {
            name: "late writes",
            late_commits: 0.15,
            ..base
        },
        Changes {
            name: "answers lost",
            unanswered: 0.2,
            looks_closely: true,
            ..base
        },
        Changes {
            name: "slow",
            slow_s: 0.8,
            orders_delayed_s: 2.0,
            ..base
        },
        Changes {
            name: "deaf",
            deaf: true,
            late_reports: true,
            ..base
        },
        Changes {
            name: "mute",
            mute: true,
            orders_delayed_s: 5.0,
            ..base
        },
        Changes {
            name: "outages",
            outages: true,
            hang_s: 4.0,
            ..base
        },
        Changes {
            name: "outages, late writes, copies",
            outages: true,
            late_commits: 0.1,
            late_reports: true,
            ..base
        },
    ];
    for (n, case) in cases.into_iter().enumerate() {
        for k in 0..2 {
            Scenario::with_large_teams(400 + 10 * n as u64 + k).run(|w| async move {
                let name = format!("{}, {k}", case.name);
                change_hands(&w, case, &name).await;
            });
        }
    }
}

async fn change_hands(w: &Rc<World>, case: Changes, name: &str) {
    let mut ids = long_jobs(w, 1, 6).await;
    let mut open: Vec<String> = ids.clone();
    w.copied.set(if case.late_reports { 0.2 } else { 0.0 });
    w.state.troubles.replace(StateTroubles {
        late: case.late_commits,
        unanswered: case.unanswered,
        slow: secs(case.slow_s),
        ..StateTroubles::default()
    });
    for change in 0..10u32 {
        let leader = w.busiest();
        disturb_workers(w, case, change);
        // New work is on its way when its controller goes.
        let new = submit_new(w, case, change).await;
        ids.push(new.clone());
        open.push(new);
        sleep(secs(f64::from(change % 4) * 0.3)).await;
        let victims: Vec<String> = open.drain(..open.len().min(2)).collect();
        take_leader_away(w, case, change, leader).await;
        cancel_all(w, case, leader, &victims).await;
        if case.late_reports {
            w.deliver_copies();
        }
        sleep(secs([2.0, 5.0, 3.0][change as usize % 3])).await;
        bring_leader_back(w, change, leader);
        if case.late_reports {
            w.deliver_copies();
        }
        sleep(secs(4.0)).await;
    }
    sleep(secs(w.shape.cancel_s)).await;
    settle(w, name, &ids).await;
}

/// Orders are delayed, and one worker hangs or loses a direction.
fn disturb_workers(w: &Rc<World>, case: Changes, change: u32) {
    let busy = w.busy();
    for worker in &busy {
        worker.orders_held.set(secs(case.orders_delayed_s));
    }
    if let Some(worker) = busy.get(change as usize % busy.len().max(1)) {
        if case.hang_s > 0.0 {
            worker.hang(secs(case.hang_s));
        }
        worker.deaf.set(case.deaf && change % 3 == 0);
        worker.mute.set(case.mute && change % 2 == 0);
    }
}

async fn submit_new(w: &Rc<World>, case: Changes, change: u32) -> String {
    let kind = ["batch", "gang", "daemon"][change as usize % 3];
    let id = w.submit(job(20 + change, kind, 2, 12.0)).await;
    if case.looks_closely {
        w.look_closely(&id).await;
    }
    id
}

/// The leader restarts at once, ends, stands still or is refused by the state
/// service, in turn; some of it within an outage.
async fn take_leader_away(w: &Rc<World>, case: Changes, change: u32, leader: usize) {
    let outage = case.outages && change % 3 == 1;
    if outage {
        w.state.trouble.set(Trouble::Down);
    }
    match change % 4 {
        0 => {
            w.kill(leader);
            w.start(leader);
        }
        1 => w.kill(leader),
        2 => w.freeze(leader, true),
        _ => {
            w.state.troubles.borrow_mut().refused.insert(leader);
        }
    }
    if outage {
        sleep(secs(3.0)).await;
        w.state.trouble.set(Trouble::None);
    }
}

fn bring_leader_back(w: &Rc<World>, change: u32, leader: usize) {
    w.state.troubles.borrow_mut().refused.clear();
    match change % 4 {
        1 => w.start(leader),
        2 => w.freeze(leader, false),
        _ => {}
    }
}

async fn cancel_all(w: &Rc<World>, case: Changes, leader: usize, ids: &[String]) {
    for id in ids {
        cancel(w, Some(leader), id).await;
        if case.looks_closely && w.is_cancelled(id) {
            w.look_closely(id).await;
        }
    }
}

/// Jobs of two or three tasks end far apart across changes of leader, one of them
/// while reports are kept for the next; nothing is done before all of it is.
#[test]
fn tasks_that_end_far_apart_across_changes_of_leader() {
    for k in 0..4u64 {
        Scenario::with_large_teams(1000 + k).run(|w| async move {
            w.copied.set(0.3);
            let mut ids = Vec::new();
            for n in 0..10u32 {
                let spread = [1.0, 4.0 + f64::from(n) * 2.5, 12.0 + f64::from(n) * 2.0];
                let count = 2 + n as usize % 2;
                ids.push(w.submit(ending_at(n + 1, "batch", &spread[..count])).await);
            }
            sleep(secs(6.0)).await;
            for change in 0..6u64 {
                let i = w.busiest();
                let busy = w.busy();
                if let Some(m) = busy.first()
                    && (change + k) % 2 == 0
                {
                    m.hang(secs(12.0));
                }
                w.kill(i);
                sleep(secs((change + k) as f64 % 3.0)).await;
                w.start(i);
                w.deliver_copies();
                for id in &ids {
                    w.look_closely(id).await;
                }
                sleep(secs(3.0)).await;
            }
            settle(&w, &format!("{k}"), &ids).await;
            for id in &ids {
                w.until(id, "done", 90).await;
            }
            w.assert_kept();
        });
    }
}
