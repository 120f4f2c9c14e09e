//! Controllers, or a zone of them, are away or cut off for long.

use serde_json::json;
use tokio::time::sleep;

use crate::scenario::{cancel, long_jobs, secs, settle};
use crate::stand_ins::{Scenario, Trouble, job};

/// All controllers are away for longer than a lease, and come back one after
/// another, with old reports for each of them, and cancels at once.
#[test]
fn all_controllers_away_for_longer_than_a_lease() {
    for k in 0..4u64 {
        Scenario::with_large_teams(1100 + k).run(|w| async move {
            w.copied.set(0.2);
            let ids = long_jobs(&w, 1, 6).await;
            sleep(secs(4.0)).await;
            cancel(&w, None, &ids[0]).await;
            for i in 0..w.shape.controllers {
                w.kill(i);
            }
            for m in w.busy().iter().take(2) {
                m.hang(secs(9.0 + k as f64 * 3.0));
            }
            sleep(secs([8.0, 11.0, 14.0, 40.0][k as usize])).await;
            for i in 0..w.shape.controllers {
                w.start(i);
                w.deliver_copies();
                sleep(secs(0.5)).await;
            }
            cancel(&w, None, &ids[1]).await;
            settle(&w, &format!("{k}"), &ids).await;
        });
    }
}

/// A zone with its controllers and machines is cut off for longer than a lease,
/// and jobs bound to it are cancelled from the other.
#[test]
fn a_zone_cut_off_for_longer_than_a_lease() {
    for (n, (zone, cut_s)) in [("b", 13.0), ("b", 45.0), ("a", 13.0), ("a", 45.0)]
        .into_iter()
        .enumerate()
    {
        Scenario::with_large_teams(1200 + n as u64).run(|w| async move {
            let mut ids = Vec::new();
            for k in 0..8u32 {
                let cut = ["batch", "gang", "daemon", "batch"][k as usize % 4];
                let mut one = job(k + 1, cut, 2, 60.0);
                one["yard"] = json!(["a", "b"][k as usize / 4]);
                ids.push(w.submit(one).await);
            }
            for id in &ids {
                w.until(id, "running", 100).await;
            }
            sleep(secs(4.0)).await;
            w.cut_zone(zone, true);
            let there = (0..3).find(|i| w.shape.locations[*i] == zone);
            for id in [&ids[0], &ids[1], &ids[4], &ids[5]] {
                cancel(&w, there, id).await;
            }
            sleep(secs(cut_s)).await;
            w.cut_zone(zone, false);
            sleep(secs(15.0)).await;
            settle(&w, &format!("{zone}, {cut_s}"), &ids).await;
        });
    }
}

/// A leader is cut off from the state service and the other controllers, while
/// workers and users still reach it; jobs are cancelled through another.
#[test]
fn a_leader_without_state_and_peers_tells_and_keeps_nothing_old() {
    for (n, (cut_s, hang_s, outage)) in [
        (20.0, 0.0, false),
        (40.0, 6.0, false),
        (12.0, 0.0, true),
        (6.0, 8.0, true),
    ]
    .into_iter()
    .enumerate()
    {
        Scenario::with_large_teams(1300 + n as u64).run(|w| async move {
            let ids = long_jobs(&w, 1, 6).await;
            sleep(secs(4.0)).await;
            let leader = w.busiest();
            w.state.troubles.borrow_mut().refused.insert(leader);
            w.cut_peers(leader, true);
            for (k, id) in ids[..4].iter().enumerate() {
                cancel(&w, Some(leader), id).await;
                w.look_closely(id).await;
                if let Some(m) = w.busy().get(k)
                    && hang_s > 0.0
                {
                    m.hang(secs(hang_s));
                }
                sleep(secs(1.0)).await;
            }
            if outage {
                w.state.trouble.set(Trouble::Down);
                sleep(secs(w.shape.cancel_s + 5.0)).await;
                w.state.trouble.set(Trouble::None);
            }
            sleep(secs(cut_s)).await;
            for id in &ids {
                w.look_closely(id).await;
            }
            w.cut_peers(leader, false);
            settle(&w, &format!("{cut_s}, {hang_s}, {outage}"), &ids).await;
        });
    }
}
