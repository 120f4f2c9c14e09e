//! Restarts of all controllers, and troubles of the state service.

use std::rc::Rc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use shelfhoist::http::Client;
use shelfhoist::net::{Fabric, Net};
use shelfhoist::state::budget::{Budget, RequestClass};
use shelfhoist::state::client::StateClient;
use shelfhoist::wire::{Commit, Write};
use tokio::time::{Instant, sleep};

use crate::stand_ins::{CONTROLLERS, Scenario, Trouble, controller, in_world, job};

#[test]
fn nothing_is_forgotten_when_all_controllers_restart() {
    Scenario::new(3).run(|w| async move {
        let array = w.submit(job(1, "batch", 30, 6.0)).await;
        let service = w.submit(job(2, "daemon", 1, 0.0)).await;
        let over = w.submit(job(3, "batch", 1, 1.0)).await;
        w.until(&over, "done", 100).await;
        w.until(&service, "running", 100).await;
        sleep(Duration::from_secs(3)).await;
        for i in 0..CONTROLLERS {
            w.kill(i);
        }
        sleep(Duration::from_secs(4)).await;
        for i in 0..CONTROLLERS {
            w.start(i);
        }
        sleep(Duration::from_secs(4)).await;
        // Back inside the workers' lease: what ran still runs.
        assert_eq!(w.running(&service), 1);
        assert_eq!(w.stage(0, &over).await.as_deref(), Some("done"));
        w.until(&array, "done", 300).await;
        w.assert_kept();
    });
}

/// A commit without an answer may have happened, or may happen yet.
#[test]
fn lost_and_late_commit_answers_do_no_harm() {
    for (seed, trouble) in [(4, Trouble::LoseAnswers), (5, Trouble::Late)] {
        Scenario::new(seed).run(|w| async move {
            let first = w.submit(job(1, "batch", 12, 4.0)).await;
            w.state.trouble.set(trouble);
            for n in 2..6 {
                w.state.troubled.set(3);
                w.submit(job(n, if n % 2 == 0 { "gang" } else { "batch" }, 3, 4.0))
                    .await;
                sleep(Duration::from_secs(6)).await;
            }
            w.state.troubled.set(0);
            w.until(&first, "done", 300).await;
            for n in 2..6 {
                w.until(&format!("job-{n:06}"), "done", 300).await;
            }
            w.assert_kept();
        });
    }
}

#[test]
fn an_outage_that_all_share_ends_nothing() {
    Scenario::new(8).run(|w| async move {
        let service = w.submit(job(1, "daemon", 3, 0.0)).await;
        w.until(&service, "running", 100).await;
        sleep(Duration::from_secs(5)).await;
        let before = w.starts.get();
        w.state.trouble.set(Trouble::Down);
        sleep(Duration::from_secs(12)).await;
        assert_eq!(
            w.ask(0, "POST", "/submissions", Some(&job(2, "batch", 1, 1.0)))
                .await
                .0,
            503
        );
        // A known job that is not over must not be told from an old view.
        assert_eq!(
            w.ask(0, "GET", &format!("/submissions/{service}"), None)
                .await
                .0,
            503
        );
        w.state.trouble.set(Trouble::None);
        sleep(Duration::from_secs(10)).await;
        assert_eq!((w.running(&service), w.starts.get()), (3, before));
        w.assert_kept();
    });
}

/// A watch that holds more than is read of one answer gives way to pages at
/// once: the same request would bring the same answer for ever.
#[test]
fn a_watch_that_is_too_large_leads_to_pages() {
    Scenario::new(17).run(|w| async move {
        let service = w.submit(job(1, "daemon", 2, 0.0)).await;
        w.until(&service, "running", 60).await;
        w.state.trouble.set(Trouble::FatWatch);
        let began = tokio::time::Instant::now();
        for n in 2..6 {
            let array = w.submit(job(n, "batch", 2, 1.0)).await;
            w.until(&array, "done", 30).await;
        }
        let took = began.elapsed();
        assert!(took < Duration::from_secs(20), "{took:?}");
        assert_eq!(w.running(&service), 2);
        w.assert_kept();
    });
}

/// A wait for the budget ends when the budget is there, not when it was once
/// reckoned to be: a controller's share grows while it waits.
#[test]
fn a_wait_for_the_budget_follows_the_share() {
    in_world(|| async {
        let net = Net::Fabric(Rc::new(Fabric::default()), controller(0));
        let client = Rc::new(Client::new(net, Duration::from_secs(1)));
        let budget = Budget::new(100.0, 1.0, Instant::now());
        let nowhere = controller(9);
        let patience = Duration::from_secs(1);
        let rng = SmallRng::seed_from_u64(1);
        let store = StateClient::new(client, nowhere, budget, patience, rng);
        let write = |n: u32| Write::Delete {
            key: format!("k/{n}"),
        };
        let commit = Commit {
            preconditions: Vec::new(),
            writes: (0..30).map(write).collect(),
        };
        // Into debt, for half a minute at this share.
        assert!(store.commit(RequestClass::Round, &commit).await.is_err());
        let began = Instant::now();
        let grow = async {
            sleep(Duration::from_secs(2)).await;
            // It counts as one that would write, though it has not of late.
            assert!(store.demand() > 0.5, "{}", store.demand());
            store.set_write_rate(100.0);
        };
        tokio::join!(store.wait_for_budget(RequestClass::Round, 8), grow);
        let took = began.elapsed();
        assert!(took < Duration::from_secs(4), "{took:?}");
        assert!(took > Duration::from_secs(2), "{took:?}");
    });
}
