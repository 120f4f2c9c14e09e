//! The state service refuses the leading controller alone, before an outage of all.

use std::rc::Rc;

use tokio::time::{Instant, sleep};

use crate::scenario::{cancel, long_jobs, secs, settle};
use crate::stand_ins::{Scenario, StateTroubles, Trouble, World};

/// What comes with the refusal and the outage.
#[derive(Clone, Copy, Default)]
struct Case {
    name: &'static str,
    /// How long the leader alone is refused before cancellations are confirmed.
    leader_refused_s: f64,
    /// From the confirmations to the outage of all.
    outage_after_s: f64,
    /// Workers that no answer and no order reaches.
    deaf_workers: usize,
    hang_s: f64,
    orders_delayed_s: f64,
    slow_s: f64,
    /// The leader alone is answered slowly, from some seconds before.
    slow_leader_s: f64,
    /// The share of commits that are carried out late.
    late_commits: f64,
    /// The old leader restarts so long into the outage.
    leader_restarts_s: Option<f64>,
    /// The others restart just before the outage.
    others_restart: bool,
    /// The old leader stands still so long.
    leader_frozen_s: f64,
    peers_cut: bool,
    /// The service is back for a moment within the outage.
    interrupted: bool,
}

fn cases() -> [Case; 19] {
    let base = Case {
        name: "plain",
        leader_refused_s: 1.5,
        ..Case::default()
    };
    [
        base,
        Case {
            name: "at once",
            leader_refused_s: 0.0,
            ..base
        },
        Case {
            name: "later",
            leader_refused_s: 4.0,
            outage_after_s: 0.5,
            ..base
        },
        Case {
            name: "deaf machines",
            deaf_workers: 2,
            ..base
        },
        Case {
            name: "hanging within the lease",
            hang_s: 7.0,
            ..base
        },
        Case {
            name: "hanging past the lease",
            hang_s: 14.0,
            orders_delayed_s: 3.0,
            ..base
        },
        Case {
            name: "orders held up",
            orders_delayed_s: 6.0,
            outage_after_s: 1.0,
            ..base
        },
        Case {
            name: "slow answers",
            slow_s: 1.0,
            outage_after_s: 0.3,
            ..base
        },
        Case {
            name: "slow answers to the leader",
            leader_refused_s: 0.0,
            slow_leader_s: 1.15,
            ..base
        },
        Case {
            name: "slow answers to the leader, and refused a little before",
            leader_refused_s: 0.1,
            slow_leader_s: 1.15,
            ..base
        },
        Case {
            name: "slow answers to the leader, then refused",
            leader_refused_s: 0.3,
            slow_leader_s: 1.15,
            ..base
        },
        Case {
            name: "late commits",
            late_commits: 0.4,
            ..base
        },
        Case {
            name: "leader anew in the outage",
            leader_restarts_s: Some(3.0),
            ..base
        },
        Case {
            name: "leader anew as it begins",
            leader_restarts_s: Some(0.0),
            hang_s: 5.0,
            ..base
        },
        Case {
            name: "others anew",
            others_restart: true,
            ..base
        },
        Case {
            name: "leader stands still",
            leader_frozen_s: 8.0,
            ..base
        },
        Case {
            name: "leader stands still past a lease",
            leader_frozen_s: 15.0,
            deaf_workers: 1,
            ..base
        },
        Case {
            name: "leader cut from the others",
            peers_cut: true,
            ..base
        },
        Case {
            name: "back for a moment",
            interrupted: true,
            orders_delayed_s: 2.0,
            ..base
        },
    ]
}

/// The state service refuses the leading controller alone; another confirms
/// cancellations; then it is out for all for longer than `cancel_s`.
#[test]
fn what_others_cancelled_ends_in_time_through_an_outage() {
    for (n, case) in cases().into_iter().enumerate() {
        // What is left of `cancel_s` after a lease: much, and little.
        for (k, cancel_s) in [30.0, 14.0].into_iter().enumerate() {
            let seed = 300 + 20 * n as u64 + k as u64;
            let scenario = Scenario::with_large_teams(seed).cancel_s(cancel_s);
            scenario.run(|w| async move {
                let name = format!("{}, cancel_s {cancel_s}", case.name);
                let ids = long_jobs(&w, 1, 6).await;
                sleep(secs(6.0)).await;
                refuse_leader_before_outage(&w, case, &ids).await;
                for id in ids.iter().filter(|id| w.is_cancelled(id)) {
                    assert_eq!(w.running(id), 0, "{name}: {id}");
                }
                settle(&w, &name, &ids).await;
            });
        }
    }
}

/// The leader is refused, another controller confirms cancellations, and an
/// outage of all follows.
async fn refuse_leader_before_outage(w: &Rc<World>, case: Case, ids: &[String]) {
    let leader = w.busiest();
    let busy = w.busy();
    for worker in busy.iter().take(case.deaf_workers) {
        worker.deaf.set(true);
    }
    for worker in &busy {
        worker.orders_held.set(secs(case.orders_delayed_s));
    }
    begin_refusal(w, leader, case).await;
    confirm_cancellations(w, leader, case, &ids[..4]).await;
    if case.hang_s > 0.0 {
        for worker in busy.iter().skip(case.deaf_workers).take(2) {
            worker.hang(secs(case.hang_s));
        }
    }
    if case.others_restart {
        for i in (0..w.shape.controllers).filter(|i| *i != leader) {
            w.kill(i);
            w.start(i);
        }
    }
    sleep(secs(case.outage_after_s)).await;
    outage(w, leader, case).await;
    if case.peers_cut {
        w.cut_peers(leader, false);
    }
}

async fn begin_refusal(w: &Rc<World>, leader: usize, case: Case) {
    if case.slow_leader_s > 0.0 {
        w.state.troubles.replace(StateTroubles {
            slow: secs(case.slow_leader_s),
            slow_to: [leader].into(),
            ..StateTroubles::default()
        });
        sleep(secs(4.0)).await;
    }
    w.state.troubles.replace(StateTroubles {
        refused: [leader].into(),
        late: case.late_commits,
        slow: secs(case.slow_s),
        ..StateTroubles::default()
    });
    if case.peers_cut {
        w.cut_peers(leader, true);
    }
    sleep(secs(case.leader_refused_s)).await;
}

async fn confirm_cancellations(w: &Rc<World>, leader: usize, case: Case, ids: &[String]) {
    let mut confirmed = 0;
    for id in ids {
        confirmed += usize::from(cancel(w, Some(leader), id).await.is_some());
    }
    assert!(confirmed > 0, "{}: nothing was confirmed", case.name);
}

/// An outage of more than twice `cancel_s`, and what happens to the leader in it.
async fn outage(w: &Rc<World>, leader: usize, case: Case) {
    w.state.trouble.set(Trouble::Down);
    let began = Instant::now();
    if let Some(after) = case.leader_restarts_s {
        sleep(secs(after)).await;
        w.kill(leader);
        w.start(leader);
    }
    if case.leader_frozen_s > 0.0 {
        w.freeze(leader, true);
        sleep(secs(case.leader_frozen_s)).await;
        w.freeze(leader, false);
    }
    if case.interrupted {
        sleep(secs(5.0)).await;
        w.state.trouble.set(Trouble::None);
        sleep(secs(0.4)).await;
        w.state.trouble.set(Trouble::Down);
    }
    let whole = secs(w.shape.cancel_s * 2.0 + 4.0);
    sleep(whole.saturating_sub(began.elapsed())).await;
}

/// An answer on which a lease is renewed is as old as its question: the leader's
/// are under way for long, and it is refused at any moment of that.
#[test]
fn the_age_of_an_answer_counts_from_its_question() {
    for k in 0..8u32 {
        let scenario = Scenario::with_large_teams(1500 + u64::from(k));
        scenario.cancel_s(13.0).report_s(0.5).run(|w| async move {
            let ids = long_jobs(&w, 1, 6).await;
            let case = Case {
                name: "answers under way",
                leader_refused_s: 0.13 * f64::from(k),
                slow_leader_s: 1.15,
                ..Case::default()
            };
            sleep(secs(6.0)).await;
            refuse_leader_before_outage(&w, case, &ids).await;
            settle(&w, &format!("{}, {k}", case.name), &ids).await;
        });
    }
}
