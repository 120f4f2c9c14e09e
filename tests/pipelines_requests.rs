//! Users' requests while they cannot be served, and records that nobody can
//! read, against stand-ins, in simulated time.

#[allow(dead_code)]
mod stand_ins;

use std::cell::RefCell;
use std::io::Write;
use std::rc::Rc;
use std::sync::Once;
use std::time::Duration;

use serde_json::{Value, json};
use shelfhoist::http::{Client, Response};
use shelfhoist::net::Net;
use stand_ins::{CONTROLLERS, Shape, Trouble, World, addr, after, controller, in_world, job};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// The longest that a request may wait where something is under way for it.
const LONGEST_WAIT: Duration = Duration::from_millis(3600);

/// What counts as an answer given at once: some tries at the state service.
const AT_ONCE: Duration = Duration::from_millis(400);

#[derive(Debug, Clone, Copy, PartialEq)]
enum Request {
    Submission,
    Query,
    Withdrawal,
}

const REQUESTS: [Request; 3] = [Request::Submission, Request::Query, Request::Withdrawal];

impl Request {
    /// Sends it to a controller; returns the answer and how long it took. What is
    /// submitted is new; queries and withdrawals concern `open`.
    async fn send(self, w: &World, i: usize, open: &str) -> (Response, Duration) {
        let user = Net::Fabric(w.fabric.clone(), addr("10.3.0.9:1"));
        let client = Client::new(user, Duration::from_secs(1));
        let new = job(70, "batch", 1, 1.0);
        let (method, path, body) = match self {
            Request::Submission => ("POST", "/submissions".to_string(), Some(new.to_string())),
            Request::Query => ("GET", format!("/submissions/{open}"), None),
            Request::Withdrawal => ("POST", format!("/submissions/{open}/withdraw"), None),
        };
        let body = body.map(String::into_bytes);
        let began = Instant::now();
        let limit = Duration::from_secs(10);
        let answer = client.call(controller(i), method, &path, body, limit).await;
        (answer.expect("an answer"), began.elapsed())
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Refusal {
    /// The state service is down for all.
    Outage,
    /// It refuses this controller alone.
    OneAlone,
    /// It serves reads and refuses commits.
    Commits,
}

impl Refusal {
    fn begin(self, w: &World) {
        match self {
            Refusal::Outage => w.state.trouble.set(Trouble::Down),
            Refusal::Commits => w.state.trouble.set(Trouble::NoCommits),
            Refusal::OneAlone => {
                w.state.troubles.borrow_mut().refused.insert(0);
            }
        }
    }
}

/// In the very moment in which the state service begins to refuse, and later:
/// nobody is kept waiting, and everybody is told when to come back.
#[test]
fn what_is_refused_is_told_at_once() {
    let refusals = [Refusal::Outage, Refusal::OneAlone, Refusal::Commits];
    for (n, refusal) in refusals.into_iter().enumerate() {
        for request in REQUESTS {
            for later_s in [0.0, 1.0, 20.0] {
                in_world(|| async move {
                    let w = World::new(300 + n as u64).await;
                    let open = w.submit(job(1, "batch", 1, 300.0)).await;
                    w.until(&open, "running", 60).await;
                    refusal.begin(&w);
                    sleep(Duration::from_secs_f64(later_s)).await;
                    let (answer, took) = request.send(&w, 0, &open).await;
                    let case = format!("{refusal:?}, {request:?}, after {later_s} s");
                    if refusal == Refusal::Commits && request == Request::Query {
                        assert_eq!(answer.status, 200, "{case}");
                    } else {
                        assert_eq!(answer.status, 503, "{case}");
                        assert!(answer.retry_after.is_some(), "{case}");
                    }
                    assert!(took < AT_ONCE, "{case}: {took:?}");
                });
            }
        }
    }
}

/// A commit whose answer is lost is under way: its user may wait for it, but no
/// longer than users wait.
#[test]
fn what_is_under_way_is_waited_for_within_bounds() {
    let cases = [
        (Trouble::LoseAnswers, Request::Submission, &[200, 201][..]),
        (Trouble::LoseAnswers, Request::Withdrawal, &[200]),
        (Trouble::Late, Request::Submission, &[200, 201, 503]),
        (Trouble::Late, Request::Withdrawal, &[200, 503]),
    ];
    for (n, (trouble, request, expected)) in cases.into_iter().enumerate() {
        in_world(|| async move {
            let w = World::new(320 + n as u64).await;
            let open = w.submit(job(1, "batch", 1, 300.0)).await;
            w.until(&open, "running", 60).await;
            w.state.trouble.set(trouble);
            w.state.troubled.set(1);
            let (answer, took) = request.send(&w, 0, &open).await;
            let case = format!("{trouble:?}, {request:?}: {}, {took:?}", answer.status);
            assert!(expected.contains(&answer.status), "{case}");
            assert!(took < LONGEST_WAIT, "{case}");
        });
    }
}

/// Answers that take longer than anybody waits: whatever is tried in between, the
/// whole wait is bounded.
#[test]
fn no_request_waits_longer_than_its_user() {
    for request in REQUESTS {
        for slow_s in [0.9, 1.2, 5.0] {
            in_world(|| async move {
                let w = World::new(340).await;
                let open = w.submit(job(1, "batch", 1, 300.0)).await;
                w.until(&open, "running", 60).await;
                w.state.troubles.borrow_mut().slow = Duration::from_secs_f64(slow_s);
                w.state.troubles.borrow_mut().slow_to.insert(0);
                let (answer, took) = request.send(&w, 0, &open).await;
                let case = format!("{request:?}, {slow_s}: {}, {took:?}", answer.status);
                assert!([200, 201, 503].contains(&answer.status), "{case}");
                assert!(took < LONGEST_WAIT, "{case}");
                assert!(
                    request != Request::Query || took < Duration::from_millis(1900),
                    "{case}"
                );
            });
        }
    }
}

thread_local! {
    /// What the controllers of the test on this thread have logged.
    static LOGGED: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// Writes to the log of its thread's test.
struct ThreadLog;

impl Write for ThreadLog {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        LOGGED.with_borrow_mut(|log| log.extend_from_slice(bytes));
        Ok(bytes.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Begins a log; one subscriber serves all tests of this program.
fn begin_log() {
    static SUBSCRIBED: Once = Once::new();
    SUBSCRIBED.call_once(|| {
        tracing_subscriber::fmt()
            .with_max_level(tracing::Level::INFO)
            .with_ansi(false)
            .with_writer(|| ThreadLog)
            .init();
    });
    LOGGED.with_borrow_mut(Vec::clear);
}

/// Whether it was logged that the record of this key cannot be decoded.
fn is_logged(key: &str) -> bool {
    let bytes = LOGGED.with_borrow(Clone::clone);
    let text = String::from_utf8_lossy(&bytes);
    let told = |line: &str| line.contains("record cannot be decoded") && line.contains(key);
    text.lines().any(told)
}

/// New work comes to its end, whichever controller takes it.
async fn all_goes_on(w: &Rc<World>, from: u32, case: &str) {
    let mut ids = Vec::new();
    for n in from..from + CONTROLLERS as u32 {
        let mut one = job(n, ["batch", "gang"][n as usize % 2], 2, 2.0);
        one["crew"] = json!(["t", "u"][n as usize % 2]);
        ids.push(w.submit(one).await);
    }
    let last = after(job(from + 20, "batch", 1, 1.0), &[&ids[0], &ids[1]]);
    ids.push(w.submit(last).await);
    for id in &ids {
        w.until(id, "done", 120).await;
        for i in 0..CONTROLLERS {
            let stage = w.stage(i, id).await;
            assert_eq!(stage.as_deref(), Some("done"), "{case}: {id} at n{i}");
        }
    }
}

/// Whatever stands in a record, whichever: it is logged with its key, and all
/// that does not need it goes on, with the controllers that are there and with
/// those that begin with it.
#[test]
fn unreadable_records_stall_nobody() {
    let keys = [
        "sh/job/job-000002",
        "sh/job/job-000055",
        "sh/team/t",
        "sh/zone/",
        "sh/zone/a/n0.7",
        "sh/machine/",
        "sh/machine/b/n2.7",
        "sh/hire/r-1",
        "sh/new/n0-1",
        "sh/node/n0",
        "sh/node/n1",
        "sh/fleet",
        "sh/types",
        "sh/formats",
        "sh/formats/x",
        "sh/other/x",
    ];
    for (n, key) in keys.into_iter().enumerate() {
        let bad = [
            json!("what"),
            json!({"m": 7, "f": [], "j": 3, "types": {}, "n": 1, "h": 2, "u": "x"}),
        ][n % 2]
            .clone();
        begin_log();
        in_world(|| async move {
            let w = World::new(360 + n as u64).await;
            all_goes_on(&w, 100, key).await;
            let long = w.submit(job(1, "batch", 1, 600.0)).await;
            w.until(&long, "running", 60).await;
            let second = w.submit(job(2, "batch", 1, 3.0)).await;
            w.until(&second, "done", 60).await;
            // What ends with a slash stands for all keys under it.
            let keys = match key.ends_with('/') {
                true => w.state.sizes(key).into_iter().map(|(k, _)| k).collect(),
                false => vec![key.to_string()],
            };
            assert!(!keys.is_empty(), "{key}");
            for key in &keys {
                w.state.write(key, &bad);
            }
            let case = format!("{key} is {bad}");
            all_goes_on(&w, 200, &case).await;
            let is_known = !["sh/formats/x", "sh/other/x"].contains(&key);
            let unlogged = keys.iter().find(|key| is_known && !is_logged(key));
            assert_eq!(unlogged, None, "not logged: {case}");
            for i in 0..CONTROLLERS {
                w.kill(i);
            }
            for i in 0..CONTROLLERS {
                w.start(i);
            }
            all_goes_on(&w, 300, &case).await;
            w.assert_kept();
        });
    }
}

/// A job whose record cannot be read was accepted, and may be over: nobody is told
/// anything else. Once it can be read, it is as before.
#[test]
fn an_unreadable_job_is_neither_forgotten_nor_called_anything() {
    in_world(|| async {
        let w = World::new(400).await;
        all_goes_on(&w, 100, "before").await;
        let first = w.submit(job(1, "batch", 1, 300.0)).await;
        let next = w.submit(after(job(2, "batch", 1, 1.0), &[&first])).await;
        let over = w.submit(job(3, "batch", 1, 1.0)).await;
        w.until(&over, "done", 60).await;
        w.until(&first, "running", 60).await;
        let keys = [&first, &over].map(|id| format!("sh/job/{id}"));
        let records = keys.each_ref().map(|k| w.state.value(k).expect("a record"));
        for key in &keys {
            w.state.write(key, &json!({"s": 7}));
        }
        sleep(Duration::from_secs(1)).await;
        for i in 0..CONTROLLERS {
            // What is final stays so where it is known.
            assert_eq!(w.stage(i, &over).await.as_deref(), Some("done"));
        }
        for restarted in [false, true] {
            for i in 0..CONTROLLERS {
                let ask = |method, path: String| {
                    let w = w.clone();
                    async move { w.ask(i, method, &path, None).await.0 }
                };
                let query = format!("/submissions/{first}");
                assert_eq!(ask("GET", query.clone()).await, 503, "{restarted}, n{i}");
                assert_eq!(ask("POST", format!("{query}/withdraw")).await, 503);
                let again = job(1, "batch", 1, 300.0);
                let (status, _) = w.ask(i, "POST", "/submissions", Some(&again)).await;
                assert_eq!(status, 503);
                let names = after(job(60, "batch", 1, 1.0), &[&first]);
                let (status, _) = w.ask(i, "POST", "/submissions", Some(&names)).await;
                assert_eq!(status, 503, "whether it may be named is not known");
                assert_eq!(w.stage(i, &next).await.as_deref(), Some("queued"));
            }
            for i in 0..CONTROLLERS {
                w.kill(i);
                w.start(i);
            }
            sleep(Duration::from_secs(5)).await;
        }
        for (key, record) in keys.iter().zip(&records) {
            w.state.write(key, record);
        }
        sleep(Duration::from_secs(5)).await;
        for i in 0..CONTROLLERS {
            assert_eq!(w.stage(i, &over).await.as_deref(), Some("done"));
            let stage: Option<String> = w.stage(i, &first).await;
            assert!(["queued", "running"].map(Some).contains(&stage.as_deref()));
        }
        assert_eq!(w.withdraw(0, &first).await.as_deref(), Some("aborted"));
        assert_eq!(w.stage(1, &next).await.as_deref(), Some("aborted"));
        w.assert_kept();
    });
}

/// Jobs that were accepted in one record: one that cannot be read keeps none of the
/// others away, and is not accepted a second time under another form.
#[test]
fn one_unreadable_arrival_leaves_the_others() {
    in_world(|| async {
        let w = World::new(410).await;
        all_goes_on(&w, 100, "before").await;
        let (good, bad) = (job(1, "batch", 1, 1.0), job(2, "batch", 1, 1.0));
        let spec = shelfhoist::api::read_submission(good.to_string().as_bytes());
        let spec = shelfhoist::state::records::JobSpec::from(&spec.expect("a submission"));
        let spec: Value = serde_json::to_value(&spec).expect("text");
        w.remember(&good);
        w.remember(&bad);
        let arrivals = json!({"b": 1, "j": {"job-000001": spec, "job-000002": 5}});
        w.state.write("sh/new/n0-1", &arrivals);
        sleep(Duration::from_secs(1)).await;
        w.submit(good).await;
        w.until("job-000001", "done", 60).await;
        for i in 0..CONTROLLERS {
            let (status, _) = w.ask(i, "POST", "/submissions", Some(&bad)).await;
            assert_eq!(status, 503);
            let (status, _) = w.ask(i, "GET", "/submissions/job-000002", None).await;
            assert_eq!(status, 503);
        }
        sleep(Duration::from_secs(20)).await;
        assert!(w.state.value("sh/new/n0-1").is_some(), "it went with a job");
        w.assert_kept();
    });
}

/// Whatever `awaits` says, at whichever controller, whatever it names.
#[test]
fn lists_are_read_as_the_protocol_says() {
    in_world(|| async {
        let w = World::new(420).await;
        all_goes_on(&w, 100, "before").await;
        let mut other = job(1, "gang", 1, 300.0);
        other["crew"] = json!("u");
        let running = w.submit(other).await;
        let service = w.submit(job(2, "daemon", 1, 0.0)).await;
        w.until(&running, "running", 60).await;
        let cases = [
            (Value::Null, 201),
            (json!([]), 201),
            (json!([running]), 201),
            (json!([running, running]), 201),
            (json!([running, service]), 201),
            (json!([running, null]), 400),
            (json!([[running]]), 400),
            (json!([""]), 400),
            (json!(["job-1x"]), 400),
            (json!(["JOB-000001"]), 400),
            (json!(["job-0000000000000000001"]), 400),
            (json!([1.5]), 400),
            (json!(true), 400),
            (json!(""), 400),
            (json!({}), 400),
            (json!([running, "job-000777"]), 422),
        ];
        for (n, (dependencies, expected)) in (10..).zip(cases) {
            for i in 0..CONTROLLERS {
                let mut one = job(n, "batch", 1, 1.0);
                one["awaits"] = dependencies.clone();
                w.remember(&one);
                let (status, answer) = w.ask(i, "POST", "/submissions", Some(&one)).await;
                // The first is the one that is accepted.
                let known = expected == 201 && i > 0;
                let expected = if known { 200 } else { expected };
                assert_eq!(status, expected, "{dependencies} at n{i}: {answer}");
            }
        }
        // Of one that is accepted a repeat gets its state, whatever it says.
        for dependencies in [
            json!(["job-000777"]),
            json!([running]),
            json!(["job-000010"]),
        ] {
            let mut again = job(10, "batch", 1, 1.0);
            again["awaits"] = dependencies.clone();
            for i in 0..CONTROLLERS {
                let (status, _) = w.ask(i, "POST", "/submissions", Some(&again)).await;
                assert_eq!(status, 200, "{dependencies}");
            }
        }
        w.until("job-000010", "done", 60).await;
        w.assert_kept();
    });
}

/// A job that was accepted a moment ago at another controller, while this one's
/// news are slow or its state service refuses it: named, or told to come back;
/// never refused for good.
#[test]
fn what_was_accepted_elsewhere_is_never_called_unknown() {
    for (n, trouble) in ["slow", "slow to one", "refused", "unanswered"]
        .into_iter()
        .enumerate()
    {
        in_world(|| async move {
            let w = World::new(430 + n as u64).await;
            all_goes_on(&w, 100, "before").await;
            {
                let mut troubles = w.state.troubles.borrow_mut();
                match trouble {
                    "slow" => troubles.slow = Duration::from_millis(600),
                    "slow to one" => {
                        troubles.slow = Duration::from_millis(600);
                        troubles.slow_to.insert(1);
                    }
                    "unanswered" => troubles.unanswered = 0.3,
                    _ => {
                        troubles.refused.insert(1);
                    }
                }
            }
            for k in 0..8 {
                let first = w.submit(job(1000 + k, "batch", 1, 1.0)).await;
                let next = after(job(1100 + k, "batch", 1, 1.0), &[&first]);
                w.remember(&next);
                let (status, answer) = w.ask(1, "POST", "/submissions", Some(&next)).await;
                assert!(
                    [200, 201, 503].contains(&status),
                    "{trouble}: {status} {answer}"
                );
                let unknown = after(job(1200 + k, "batch", 1, 1.0), &["job-000777"]);
                let (status, answer) = w.ask(1, "POST", "/submissions", Some(&unknown)).await;
                let expected = match trouble {
                    "refused" => &[503][..],
                    _ => &[422, 503],
                };
                assert!(expected.contains(&status), "{trouble}: {status} {answer}");
                w.submit(next).await;
            }
            w.state.troubles.replace(Default::default());
            for k in 0..8 {
                w.until(&format!("job-{:06}", 1100 + k), "done", 100).await;
            }
            w.assert_kept();
        });
    }
}

/// A list that fits a record now and not once the limits fall: refused for good
/// where they are to fall, while what is short of that is accepted and runs; and a
/// job that is accepted is known whatever its repeat says.
#[test]
fn lists_fit_the_records_of_later() {
    in_world(|| async {
        let w = World::new(440).await;
        *w.next.borrow_mut() = json!({"value_kb": 2.0, "txn_ops": 4});
        for i in 0..CONTROLLERS {
            w.kill(i);
            w.start(i);
        }
        all_goes_on(&w, 100, "before").await;
        let open = w.submit(job(1, "batch", 1, 60.0)).await;
        let mut names = vec![open];
        for n in 0..160 {
            let mut one = after(job(2000 + n, "batch", 1, 0.2), &[&names[0]]);
            one["vcpus"] = json!(0.1);
            names.push(w.submit(one).await);
        }
        let list = |count: usize| {
            names[..count]
                .iter()
                .map(String::as_str)
                .collect::<Vec<_>>()
        };
        for (n, count, expected) in [(2, 161, 400), (3, 90, 201)] {
            let one = after(job(n, "batch", 2, 1.0), &list(count));
            w.remember(&one);
            let (status, answer) = w.ask(1, "POST", "/submissions", Some(&one)).await;
            assert_eq!(status, expected, "{count} names: {answer}");
        }
        let again = after(job(3, "batch", 2, 1.0), &list(161));
        for i in 0..CONTROLLERS {
            let (status, _) = w.ask(i, "POST", "/submissions", Some(&again)).await;
            assert_eq!(status, 200);
        }
        let mut limits = w.state.limits.get();
        limits.value_limit_bytes = 2048;
        limits.txn_ops = 4;
        w.state.limits.set(limits);
        w.until("job-000003", "done", 300).await;
        assert_eq!(w.state.beyond.borrow().clone(), Vec::<String>::new());
        w.assert_kept();
    });
}

/// Where little may be written, a withdrawal's wait for its turn is bounded too.
#[test]
fn a_wait_for_the_write_budget_is_bounded() {
    in_world(|| async {
        let shape = Shape {
            state: json!({"rps": 150.0, "write_rps": 9.0, "value_kb": 8.0, "txn_ops": 12}),
            ..Shape::default()
        };
        let w = World::of(450, shape).await;
        let mut open = Vec::new();
        for n in 0..40 {
            open.push(w.submit(job(1 + n, "batch", 1, 900.0)).await);
        }
        let asks: Vec<_> = open
            .into_iter()
            .map(|id| {
                let w = w.clone();
                spawn_local(async move {
                    let began = Instant::now();
                    let told = w.withdraw(0, &id).await;
                    (told, began.elapsed())
                })
            })
            .collect();
        let (mut told, mut longest) = (0, Duration::ZERO);
        for ask in asks {
            let (answer, took) = ask.await.expect("an answer");
            told += usize::from(answer.is_some());
            longest = longest.max(took);
        }
        assert!(longest < LONGEST_WAIT, "{longest:?}");
        assert!((1..40).contains(&told), "{told} were told: no shortage");
    });
}
