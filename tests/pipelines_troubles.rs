//! Jobs that await others while answers are lost or late, controllers end and the
//! state service refuses some or all of them, against stand-ins, in simulated
//! time. The stand-ins hold every start and every answer against the rules.

#[allow(dead_code)]
mod stand_ins;

use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use shelfhoist::api::read_submission;
use shelfhoist::state::keys::job_key;
use shelfhoist::state::records::{Job, JobSpec, JobStatus};
use shelfhoist::state::replica::Replica;
use shelfhoist::wire::Event;
use stand_ins::{CONTROLLERS, Shape, Trouble, World, after, in_world, job};
use tokio::time::{Instant, sleep};

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

fn roomy() -> Shape {
    let teams = [("t", 64.0), ("u", 64.0)];
    Shape {
        teams: teams.map(|(n, m)| (n.into(), m, m)).to_vec(),
        ..Shape::default()
    }
}

/// Waits until every controller is known to read the newer formats.
async fn upgraded(w: &World) {
    let first = w.submit(job(900_000, "batch", 1, 0.5)).await;
    let probe = after(job(900_001, "batch", 1, 0.5), &[&first]);
    w.submit(probe).await;
}

/// A chain of four jobs of both kinds and teams, and one beside its end; the
/// first takes `first_s`.
async fn pipeline(w: &World, first_s: f64) -> Vec<String> {
    let mut ids = vec![w.submit(job(1, "batch", 3, first_s)).await];
    for (n, cut) in [(2, "gang"), (3, "batch"), (4, "gang")] {
        let mut one = after(job(n, cut, 2, 2.0), &[&ids[ids.len() - 1]]);
        one["crew"] = json!(["t", "u"][n as usize % 2]);
        ids.push(w.submit(one).await);
    }
    let beside = after(job(5, "batch", 2, 1.0), &[&ids[1], &ids[2]]);
    ids.push(w.submit(beside).await);
    ids
}

/// What happens to the service while a pipeline runs or is cancelled.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    /// The next commits are carried out, their answers lost.
    LostAnswers,
    /// The next commits are carried out some seconds late.
    LateCommits,
    /// Commits are late or unanswered by chance.
    MixedAnswers,
    /// Copies of old reports reach every controller.
    LateReports,
    /// One controller after another ends and comes back.
    Restarts,
    /// The state service is down for longer than a cancellation may take.
    LongOutage,
    /// It refuses one controller alone, for as long.
    OneRefused,
}

const EVENTS: [Fault; 7] = [
    Fault::LostAnswers,
    Fault::LateCommits,
    Fault::MixedAnswers,
    Fault::LateReports,
    Fault::Restarts,
    Fault::LongOutage,
    Fault::OneRefused,
];

impl Fault {
    /// From its beginning to its end.
    async fn happen(self, w: &Rc<World>, controller: usize) {
        let long = secs(w.shape.cancel_s * 1.3);
        match self {
            Fault::LostAnswers | Fault::LateCommits => {
                w.state.trouble.set(match self {
                    Fault::LostAnswers => Trouble::LoseAnswers,
                    _ => Trouble::Late,
                });
                for _ in 0..5 {
                    w.state.troubled.set(2);
                    sleep(secs(2.0)).await;
                }
                w.state.troubled.set(0);
                w.state.trouble.set(Trouble::None);
            }
            Fault::MixedAnswers => {
                w.state.troubles.borrow_mut().late = 0.2;
                w.state.troubles.borrow_mut().unanswered = 0.2;
                sleep(secs(12.0)).await;
                w.heal();
            }
            Fault::LateReports => {
                for _ in 0..6 {
                    sleep(secs(2.0)).await;
                    w.deliver_copies();
                }
            }
            Fault::Restarts => {
                for i in 0..CONTROLLERS {
                    w.kill(i);
                    sleep(secs(2.5)).await;
                    w.start(i);
                    sleep(secs(1.5)).await;
                }
            }
            Fault::LongOutage => {
                w.state.trouble.set(Trouble::Down);
                sleep(long).await;
                w.state.trouble.set(Trouble::None);
            }
            Fault::OneRefused => {
                w.state.troubles.borrow_mut().refused.insert(controller);
                sleep(long).await;
                w.state.troubles.borrow_mut().refused.clear();
            }
        }
    }
}

/// Polls every job at every controller, as users do, until told to end. What a
/// user is told is judged by the stand-ins.
async fn keep_polling(w: Rc<World>, ids: Vec<String>) {
    loop {
        for id in &ids {
            for i in 0..CONTROLLERS {
                w.stage(i, id).await;
            }
        }
        sleep(secs(1.0)).await;
    }
}

#[test]
fn no_task_starts_too_early_through_trouble() {
    for (n, fault) in EVENTS.into_iter().enumerate() {
        for begins_s in [0.5, 4.0] {
            in_world(|| async move {
                let w = World::of(500 + n as u64, roomy()).await;
                upgraded(&w).await;
                w.copied.set(0.3);
                let ids = pipeline(&w, 5.0).await;
                let polls = tokio::task::spawn_local(keep_polling(w.clone(), ids.clone()));
                sleep(secs(begins_s)).await;
                fault.happen(&w, n % CONTROLLERS).await;
                for id in &ids {
                    w.until(id, "done", 200).await;
                }
                polls.abort();
                let broken = w.broken.borrow().clone();
                assert!(broken.is_empty(), "{fault:?} at {begins_s}: {broken:#?}");
                w.assert_kept();
            });
        }
    }
}

/// All controllers are asked at once to cancel one of a chain, at each depth, while
/// each trouble goes on: once one of them has told it, none says anything older of
/// it or of what comes after, and what comes before goes on.
#[test]
fn a_cancel_at_each_depth_holds_through_trouble() {
    for (n, fault) in EVENTS.into_iter().enumerate() {
        for depth in 0..4 {
            in_world(|| async move {
                let case = format!("{fault:?}, depth {depth}");
                let w = World::of(540 + (n * 4 + depth) as u64, roomy()).await;
                upgraded(&w).await;
                w.copied.set(0.3);
                let ids = pipeline(&w, 40.0).await;
                w.until(&ids[0], "running", 60).await;
                let polls = tokio::task::spawn_local(keep_polling(w.clone(), ids.clone()));
                let trouble = {
                    let w = w.clone();
                    tokio::task::spawn_local(async move { fault.happen(&w, n % CONTROLLERS).await })
                };
                let mut told = None;
                let began = Instant::now();
                while told.is_none() && began.elapsed() < secs(90.0) {
                    let id = &ids[depth];
                    let (a, b, c) =
                        tokio::join!(w.withdraw(0, id), w.withdraw(1, id), w.withdraw(2, id));
                    told = a.or(b).or(c);
                    if told.is_some() {
                        w.look_closely(id).await;
                        w.look_closely(&ids[4]).await;
                    }
                    sleep(secs(1.0)).await;
                }
                assert_eq!(told.as_deref(), Some("aborted"), "{case}");
                trouble.await.expect("the trouble");
                // One that names a cancelled job is accepted, and is cancelled.
                let late = w
                    .submit(after(job(50, "batch", 1, 1.0), &[&ids[depth]]))
                    .await;
                sleep(secs(w.shape.cancel_s)).await;
                // The last stands after the second and the third.
                let after_it: Vec<&String> = match depth {
                    3 => vec![&ids[3], &late],
                    _ => ids[depth..].iter().chain([&late]).collect(),
                };
                for id in &after_it {
                    assert_eq!(w.running(id), 0, "{case}: {id}");
                    for i in 0..CONTROLLERS {
                        let stage = w.stage(i, id).await;
                        assert_eq!(stage.as_deref(), Some("aborted"), "{case}: {id} at n{i}");
                    }
                }
                for id in ids.iter().filter(|id| !after_it.contains(id)) {
                    w.until(id, "done", 200).await;
                }
                polls.abort();
                let broken = w.broken.borrow().clone();
                assert!(broken.is_empty(), "{case}: {broken:#?}");
                w.assert_kept();
            });
        }
    }
}

/// A withdrawal that comes too late is answered with `done`, and what comes after
/// goes on, whichever controller was asked and whatever happens meanwhile.
#[test]
fn a_cancel_answered_with_done_ends_nothing() {
    for (n, fault) in [Fault::LostAnswers, Fault::Restarts, Fault::OneRefused]
        .into_iter()
        .enumerate()
    {
        in_world(|| async move {
            let w = World::of(600 + n as u64, roomy()).await;
            upgraded(&w).await;
            let first = w.submit(job(1, "batch", 1, 2.0)).await;
            let next = w.submit(after(job(2, "gang", 2, 8.0), &[&first])).await;
            let last = w.submit(after(job(3, "batch", 1, 1.0), &[&next])).await;
            w.until(&first, "done", 60).await;
            let trouble = {
                let w = w.clone();
                tokio::task::spawn_local(async move { fault.happen(&w, n).await })
            };
            for i in 0..CONTROLLERS {
                let told = w.withdraw(i, &first).await;
                assert!(told.as_deref().is_none_or(|t| t == "done"), "{told:?}");
            }
            trouble.await.expect("the trouble");
            assert_eq!(w.withdraw(0, &first).await.as_deref(), Some("done"));
            w.until(&last, "done", 120).await;
            w.assert_kept();
        });
    }
}

/// Users never name a service. One that does waits for as long as the service
/// runs, takes nothing meanwhile, and is cancelled with it.
#[test]
fn a_job_that_names_a_service_waits_and_harms_nothing() {
    in_world(|| async {
        let w = World::of(620, roomy()).await;
        upgraded(&w).await;
        let service = w.submit(job(1, "daemon", 2, 0.0)).await;
        w.until(&service, "running", 60).await;
        sleep(secs(30.0)).await;
        let machines = w.workers.borrow().len();
        let wide = w.submit(after(job(2, "gang", 12, 5.0), &[&service])).await;
        let other = w.submit(job(3, "batch", 2, 2.0)).await;
        w.until(&other, "done", 60).await;
        sleep(secs(60.0)).await;
        assert_eq!(w.stage(1, &wide).await.as_deref(), Some("queued"));
        assert!(w.workers.borrow().len() <= machines, "machines stand by");
        assert_eq!(w.withdraw(0, &service).await.as_deref(), Some("aborted"));
        for i in 0..CONTROLLERS {
            assert_eq!(w.stage(i, &wide).await.as_deref(), Some("aborted"));
        }
        w.assert_kept();
    });
}

/// Urgent work that waits stops nothing, though its team has a guarantee and runs
/// nothing; once it is ready it does.
#[test]
fn a_waiting_job_stops_nothing() {
    in_world(|| async {
        let shape = Shape {
            teams: vec![("t".into(), 8.0, 64.0), ("u".into(), 8.0, 64.0)],
            ..Shape::default()
        };
        let w = World::of(630, shape).await;
        upgraded(&w).await;
        let mut first = job(1, "batch", 1, 60.0);
        first["crew"] = json!("u");
        let first = w.submit(first).await;
        w.until(&first, "running", 60).await;
        let mut low = job(2, "batch", 8, 500.0);
        low["urgency"] = json!("low");
        let low = w.submit(low).await;
        let mut urgent = after(job(3, "gang", 3, 2.0), &[&first]);
        urgent["urgency"] = json!("urgent");
        urgent["crew"] = json!("u");
        let urgent = w.submit(urgent).await;
        w.until(&low, "running", 60).await;
        sleep(secs(10.0)).await;
        let (running, starts) = (w.running(&low), w.starts.get());
        while w.stage(0, &first).await.as_deref() != Some("done") {
            assert!(w.running(&low) >= running, "stopped for what waits");
            assert!(w.starts.get() <= starts + 8, "started again and again");
            sleep(secs(1.0)).await;
        }
        w.until(&urgent, "done", 60).await;
        w.assert_kept();
    });
}

/// What a job awaited before it was ready is no wait of its own: neither where it
/// was seen throughout, nor where all controllers began anew.
#[test]
fn waiting_times_count_from_readiness() {
    for restarts in [false, true] {
        in_world(|| async move {
            let shape = Shape {
                teams: vec![("t".into(), 8.0, 64.0), ("u".into(), 2.0, 2.0)],
                ..Shape::default()
            };
            let w = World::of(640, shape).await;
            upgraded(&w).await;
            let mut blocker = job(1, "batch", 1, 160.0);
            blocker["crew"] = json!("u");
            let blocker = w.submit(blocker).await;
            w.until(&blocker, "running", 60).await;
            let first = w.submit(job(2, "batch", 1, 90.0)).await;
            // The blocker has all that this one's team may use.
            let mut next = after(job(3, "batch", 1, 1.0), &[&first]);
            next["crew"] = json!("u");
            let next = w.submit(next).await;
            w.until(&first, "done", 150).await;
            let ready = Instant::now();
            if restarts {
                for i in 0..CONTROLLERS {
                    w.kill(i);
                    w.start(i);
                }
            }
            sleep(secs(10.0)).await;
            for i in 0..CONTROLLERS {
                let (_, story) = w.ask(i, "GET", &format!("/ops/job/{next}"), None).await;
                let waited = story["known_s"].as_f64().expect("known_s");
                let most = ready.elapsed().as_secs_f64() + 4.0;
                assert!(waited <= most, "n{i}: {waited} of {most}: {story}");
            }
            w.until(&next, "done", 200).await;
            w.assert_kept();
        });
    }
}

/// A deadline counts from the submission, while the job waits and once it is ready.
#[test]
fn a_deadline_counts_from_the_submission() {
    in_world(|| async {
        let record = |n: u32, dependencies: &[&str]| {
            let mut body = after(job(n, "batch", 1, 5.0), dependencies);
            body["due_s"] = json!(100.0);
            let read = read_submission(body.to_string().as_bytes()).expect("a submission");
            Job::new(JobSpec::from(&read), 1)
        };
        let (first, next) = (record(1, &[]), record(2, &["job-000001"]));
        let spec = next.spec.clone().expect("a spec");
        let mut replica = Replica::default();
        let put = |id: &str, job: &Job, at: u64| Event::put(job_key(id), job, at);
        replica.apply_events(vec![put("job-000001", &first, 2)], 2);
        replica.apply_events(vec![put("job-000002", &next, 3)], 3);
        let left_s = |replica: &Replica| {
            let urgency = replica.effective_urgency("job-000002", &spec, Instant::now());
            urgency.time_left_s.expect("a deadline").round()
        };
        assert_eq!(left_s(&replica), 100.0);
        sleep(secs(30.0)).await;
        assert_eq!(left_s(&replica), 70.0, "blocked");
        let done = Job {
            status: JobStatus::Done,
            spec: None,
            ..first
        };
        replica.apply_events(vec![put("job-000001", &done, 4)], 4);
        assert!(replica.dependencies_done(&spec));
        assert_eq!(left_s(&replica), 70.0, "just ready");
        sleep(secs(10.0)).await;
        assert_eq!(left_s(&replica), 60.0, "ready");
    });
}
