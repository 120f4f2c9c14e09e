//! The state service refuses the leading controller alone, before an outage of all.

use std::rc::Rc;

use tokio::time::{Instant, sleep};

use crate::scenario::{cancel, long_jobs, roomy, secs, settle};
use crate::stand_ins::{Shape, StateTroubles, Trouble, World, in_world};

#[derive(Clone, Copy, Default)]
struct Gap {
    name: &'static str,
    /// How long the leader alone is refused before cancels are confirmed.
    alone_s: f64,
    /// How long the first outage of all is away from the confirmation.
    after_s: f64,
    deaf: usize,
    hang_s: f64,
    held_s: f64,
    slow_s: f64,
    /// The leader alone is answered slowly, from some seconds before.
    slow_leader_s: f64,
    late: f64,
    /// The old leader starts anew so long into the outage.
    restart_s: Option<f64>,
    /// The others start anew just before the outage.
    others_anew: bool,
    /// The old leader stands still so long.
    stands_s: f64,
    cut_peers: bool,
    /// The service is back for a moment within the outage.
    blink: bool,
}

/// The state service refuses the leading controller alone; another confirms
/// cancellations; then it is out for all for longer than `cancel_s`.
#[test]
fn what_others_cancelled_ends_in_time_through_an_outage() {
    let base = Gap {
        name: "plain",
        alone_s: 1.5,
        ..Gap::default()
    };
    let cases = [
        base,
        Gap {
            name: "at once",
            alone_s: 0.0,
            ..base
        },
        Gap {
            name: "later",
            alone_s: 4.0,
            after_s: 0.5,
            ..base
        },
        Gap {
            name: "deaf machines",
            deaf: 2,
            ..base
        },
        Gap {
            name: "hanging within the lease",
            hang_s: 7.0,
            ..base
        },
        Gap {
            name: "hanging past the lease",
            hang_s: 14.0,
            held_s: 3.0,
            ..base
        },
        Gap {
            name: "orders held up",
            held_s: 6.0,
            after_s: 1.0,
            ..base
        },
        Gap {
            name: "slow answers",
            slow_s: 1.0,
            after_s: 0.3,
            ..base
        },
        Gap {
            name: "slow answers to the leader",
            alone_s: 0.0,
            slow_leader_s: 1.15,
            ..base
        },
        Gap {
            name: "slow answers to the leader, and refused a little before",
            alone_s: 0.1,
            slow_leader_s: 1.15,
            ..base
        },
        Gap {
            name: "slow answers to the leader, then refused",
            alone_s: 0.3,
            slow_leader_s: 1.15,
            ..base
        },
        Gap {
            name: "late commits",
            late: 0.4,
            ..base
        },
        Gap {
            name: "leader anew in the outage",
            restart_s: Some(3.0),
            ..base
        },
        Gap {
            name: "leader anew as it begins",
            restart_s: Some(0.0),
            hang_s: 5.0,
            ..base
        },
        Gap {
            name: "others anew",
            others_anew: true,
            ..base
        },
        Gap {
            name: "leader stands still",
            stands_s: 8.0,
            ..base
        },
        Gap {
            name: "leader stands still past a lease",
            stands_s: 15.0,
            deaf: 1,
            ..base
        },
        Gap {
            name: "leader cut from the others",
            cut_peers: true,
            ..base
        },
        Gap {
            name: "back for a moment",
            blink: true,
            held_s: 2.0,
            ..base
        },
    ];
    for (n, case) in cases.into_iter().enumerate() {
        // What is left of `cancel_s` after a lease: much, and little.
        for (k, cancel_s) in [30.0, 14.0].into_iter().enumerate() {
            in_world(|| async move {
                let shape = Shape {
                    cancel_s,
                    ..roomy()
                };
                let name = format!("{}, cancel_s {cancel_s}", case.name);
                let w = World::of(300 + 20 * n as u64 + k as u64, shape).await;
                let ids = long_jobs(&w, 1, 6).await;
                sleep(secs(6.0)).await;
                gap(&w, case, &ids).await;
                for id in ids.iter().filter(|id| w.is_cancelled(id)) {
                    assert_eq!(w.running(id), 0, "{name}: {id}");
                }
                settle(&w, &name, &ids).await;
            });
        }
    }
}

async fn gap(w: &Rc<World>, case: Gap, ids: &[String]) {
    let leader = w.busiest();
    let busy = w.busy();
    for m in busy.iter().take(case.deaf) {
        m.deaf.set(true);
    }
    for m in &busy {
        m.orders_held.set(secs(case.held_s));
    }
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
        late: case.late,
        slow: secs(case.slow_s),
        ..StateTroubles::default()
    });
    if case.cut_peers {
        w.cut_peers(leader, true);
    }
    sleep(secs(case.alone_s)).await;
    let mut confirmed = 0;
    for id in &ids[..4] {
        confirmed += usize::from(cancel(w, Some(leader), id).await.is_some());
    }
    assert!(confirmed > 0, "{}: nothing was confirmed", case.name);
    if case.hang_s > 0.0 {
        for m in busy.iter().skip(case.deaf).take(2) {
            m.hang(secs(case.hang_s));
        }
    }
    if case.others_anew {
        for i in (0..w.shape.controllers).filter(|i| *i != leader) {
            w.kill(i);
            w.start(i);
        }
    }
    sleep(secs(case.after_s)).await;
    w.state.trouble.set(Trouble::Down);
    let began = Instant::now();
    if let Some(after) = case.restart_s {
        sleep(secs(after)).await;
        w.kill(leader);
        w.start(leader);
    }
    if case.stands_s > 0.0 {
        w.freeze(leader, true);
        sleep(secs(case.stands_s)).await;
        w.freeze(leader, false);
    }
    if case.blink {
        sleep(secs(5.0)).await;
        w.state.trouble.set(Trouble::None);
        sleep(secs(0.4)).await;
        w.state.trouble.set(Trouble::Down);
    }
    let whole = secs(w.shape.cancel_s * 2.0 + 4.0);
    sleep(whole.saturating_sub(began.elapsed())).await;
    if case.cut_peers {
        w.cut_peers(leader, false);
    }
}

/// An answer on which a lease is renewed is as old as its question: the leader's
/// are under way for long, and it is refused at any moment of that.
#[test]
fn the_age_of_an_answer_counts_from_its_question() {
    for k in 0..8u32 {
        in_world(|| async move {
            let shape = Shape {
                cancel_s: 13.0,
                report_s: 0.5,
                ..roomy()
            };
            let w = World::of(1500 + u64::from(k), shape).await;
            let ids = long_jobs(&w, 1, 6).await;
            let case = Gap {
                name: "answers under way",
                alone_s: 0.13 * f64::from(k),
                slow_leader_s: 1.15,
                ..Gap::default()
            };
            sleep(secs(6.0)).await;
            gap(&w, case, &ids).await;
            settle(&w, &format!("{}, {k}", case.name), &ids).await;
        });
    }
}
