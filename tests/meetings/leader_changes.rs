//! The work changes hands while jobs are cancelled or end.

use std::rc::Rc;

use tokio::time::sleep;

use crate::scenario::{cancel, ending_at, long_jobs, roomy, secs, settle};
use crate::stand_ins::{StateTroubles, Trouble, World, in_world, job};

#[derive(Clone, Copy, Default)]
struct Changes {
    name: &'static str,
    copies: bool,
    hang_s: f64,
    held_s: f64,
    late: f64,
    unanswered: f64,
    slow_s: f64,
    deaf: bool,
    mute: bool,
    /// Some of the changes fall into an outage.
    outages: bool,
    looks: bool,
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
            copies: true,
            ..base
        },
        Changes {
            name: "hanging, launches held up",
            hang_s: 6.0,
            held_s: 3.0,
            ..base
        },
        Changes {
            name: "hanging past the lease",
            hang_s: 13.0,
            copies: true,
            ..base
        },
        Changes {
            name: "late writes",
            late: 0.15,
            ..base
        },
        Changes {
            name: "answers lost",
            unanswered: 0.2,
            looks: true,
            ..base
        },
        Changes {
            name: "slow",
            slow_s: 0.8,
            held_s: 2.0,
            ..base
        },
        Changes {
            name: "deaf",
            deaf: true,
            copies: true,
            ..base
        },
        Changes {
            name: "mute",
            mute: true,
            held_s: 5.0,
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
            late: 0.1,
            copies: true,
            ..base
        },
    ];
    for (n, case) in cases.into_iter().enumerate() {
        for k in 0..2 {
            in_world(|| async move {
                let w = World::of(400 + 10 * n as u64 + k, roomy()).await;
                let name = format!("{}, {k}", case.name);
                change_hands(&w, case, &name).await;
            });
        }
    }
}

async fn change_hands(w: &Rc<World>, case: Changes, name: &str) {
    let mut ids = long_jobs(w, 1, 6).await;
    let mut open: Vec<String> = ids.clone();
    w.copied.set(if case.copies { 0.2 } else { 0.0 });
    w.state.troubles.replace(StateTroubles {
        late: case.late,
        unanswered: case.unanswered,
        slow: secs(case.slow_s),
        ..StateTroubles::default()
    });
    for change in 0..10u32 {
        let i = w.busiest();
        let busy = w.busy();
        for m in &busy {
            m.orders_held.set(secs(case.held_s));
        }
        if let Some(m) = busy.get(change as usize % busy.len().max(1)) {
            if case.hang_s > 0.0 {
                m.hang(secs(case.hang_s));
            }
            m.deaf.set(case.deaf && change % 3 == 0);
            m.mute.set(case.mute && change % 2 == 0);
        }
        // New work is on its way when its controller goes.
        let kind = ["batch", "gang", "daemon"][change as usize % 3];
        let new = job(20 + change, kind, 2, 12.0);
        w.remember(&new);
        ids.push(new["name_id"].as_str().expect("id").to_string());
        open.push(ids[ids.len() - 1].clone());
        let submitted = w.submit(new).await;
        if case.looks {
            w.look_closely(&submitted).await;
        }
        sleep(secs(f64::from(change % 4) * 0.3)).await;
        let outage = case.outages && change % 3 == 1;
        if outage {
            w.state.trouble.set(Trouble::Down);
        }
        let not_at = Some(i);
        let victims: Vec<String> = open.drain(..open.len().min(2)).collect();
        match change % 4 {
            // Away at once and back at once, or later.
            0 => {
                w.kill(i);
                w.start(i);
            }
            1 => w.kill(i),
            2 => w.freeze(i, true),
            _ => {
                w.state.troubles.borrow_mut().refused.insert(i);
            }
        }
        if outage {
            sleep(secs(3.0)).await;
            w.state.trouble.set(Trouble::None);
        }
        for id in &victims {
            cancel(w, not_at, id).await;
            if case.looks && w.is_cancelled(id) {
                w.look_closely(id).await;
            }
        }
        if case.copies {
            w.deliver_copies();
        }
        sleep(secs([2.0, 5.0, 3.0][change as usize % 3])).await;
        w.state.troubles.borrow_mut().refused.clear();
        match change % 4 {
            1 => w.start(i),
            2 => w.freeze(i, false),
            _ => {}
        }
        if case.copies {
            w.deliver_copies();
        }
        sleep(secs(4.0)).await;
    }
    sleep(secs(w.shape.cancel_s)).await;
    settle(w, name, &ids).await;
}

/// Jobs of two or three tasks end far apart across changes of leader, one of them
/// while reports are kept for the next; nothing is done before all of it is.
#[test]
fn tasks_that_end_far_apart_across_changes_of_leader() {
    for k in 0..4u64 {
        in_world(|| async move {
            let w = World::of(1000 + k, roomy()).await;
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
