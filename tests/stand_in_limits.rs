//! The stand-ins refuse what the state service and the cloud refuse by the protocol:
//! each limit is met by one request that keeps to it and one that is beyond it.

// Each file of tests uses a part of them.
#[allow(dead_code)]
mod stand_ins;

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use shelfhoist::http::Client;
use shelfhoist::net::Net;
use stand_ins::{Shape, StateLimits, World, addr, in_world, state_addr};
use tokio::time::sleep;

const CLOUD: &str = "127.2.0.2:8443";
const CALLER: &str = "10.3.0.9:1";

/// Whoever asks the stand-ins, without the daemon's own care for limits.
struct Caller(Client);

impl Caller {
    fn new(world: &World) -> Self {
        let net = Net::Simulated(world.fabric.clone(), addr(CALLER));
        let client = Client::new(net, Duration::from_secs(30));
        Caller(client.with_limits(usize::MAX, 4 << 20))
    }

    /// The status and body of the answer.
    async fn ask(
        &self,
        to: SocketAddrV4,
        method: &str,
        path: &str,
        body: Option<Value>,
    ) -> (u16, Value) {
        let bytes = body.map(|body| body.to_string().into_bytes());
        let patience = Duration::from_secs(4);
        let answer = self.0.call(to, method, path, bytes, patience).await;
        let answer = answer.expect("an answer");
        (answer.status, answer.parse().unwrap_or_default())
    }

    async fn commit(&self, commit: Value) -> u16 {
        let answer = self.ask(state_addr(0), "POST", "/commit", Some(commit));
        answer.await.0
    }

    async fn get(&self, path: &str) -> (u16, Value) {
        self.ask(state_addr(0), "GET", path, None).await
    }
}

async fn world_with(limits: StateLimits) -> (Rc<World>, Caller) {
    let world = World::without_controllers(7, Shape::default()).await;
    world.state.limits.set(limits);
    let caller = Caller::new(&world);
    (world, caller)
}

const SIZES_ONLY: StateLimits = StateLimits {
    txn_ops: 12,
    value_limit_bytes: 8192,
    write_rps: f64::INFINITY,
    rps: f64::INFINITY,
};

/// A value whose text has so many bytes.
fn value_of(bytes: usize) -> Value {
    Value::String("x".repeat(bytes - 2))
}

fn sets(count: usize, value: &Value) -> Value {
    let write = |n: usize| json!({"set": format!("c/{n}"), "value": value});
    json!({"guards": [], "writes": (0..count).map(write).collect::<Vec<_>>()})
}

fn preconditions(count: usize) -> Value {
    let precondition = |n: usize| json!({"key": format!("absent/{n}"), "stamp": 0});
    let writes = [json!({"set": "c/1", "value": 1})];
    json!({"guards": (0..count).map(precondition).collect::<Vec<_>>(), "writes": writes})
}

fn set_key(key: &str) -> Value {
    json!({"guards": [], "writes": [{"set": key, "value": 1}]})
}

#[test]
fn commits_beyond_a_limit_are_refused() {
    let longest_key = "k".repeat(200);
    let cases: [(&str, Value, Value); 5] = [
        ("value", sets(1, &value_of(8192)), sets(1, &value_of(8193))),
        ("writes", sets(12, &json!(1)), sets(13, &json!(1))),
        ("guards", preconditions(48), preconditions(49)),
        (
            "key",
            set_key(&longest_key),
            set_key(&format!("{longest_key}k")),
        ),
        ("space", set_key("c/1"), set_key("c 1")),
    ];
    in_world(|| async move {
        let (world, caller) = world_with(SIZES_ONLY).await;
        for (limit, within, beyond) in cases {
            assert_eq!(caller.commit(within).await, 200, "{limit}");
            assert_eq!(caller.commit(beyond).await, 400, "{limit}");
        }
        assert_eq!(world.state.beyond.borrow().len(), 5);
        // Seven values fit into one request, eight do not.
        assert_eq!(caller.commit(sets(7, &value_of(8192))).await, 200);
        let long = sets(8, &value_of(8192)).to_string().into_bytes();
        let patience = Duration::from_secs(4);
        let answer = caller
            .0
            .call(state_addr(0), "POST", "/commit", Some(long), patience);
        let status = answer.await.map(|answer| answer.status);
        assert!(!matches!(status, Ok(200)), "{status:?}");
        let last = world.state.value("c/7");
        assert_eq!(last, Some(json!(1)), "written in part");
    });
}

#[test]
fn requests_and_writes_beyond_the_rate_are_refused() {
    in_world(|| async move {
        let (world, caller) = world_with(StateLimits {
            write_rps: 24.0,
            rps: 40.0,
            ..SIZES_ONLY
        })
        .await;
        let mut statuses = Vec::new();
        for _ in 0..3 {
            statuses.push(caller.commit(sets(12, &json!(1))).await);
        }
        assert_eq!(statuses, [200, 200, 429]);
        assert_eq!(world.state.too_many.get(), 1);
        let mut refused = 0;
        for _ in 0..40 {
            refused += usize::from(caller.get("/store/c/1").await.0 == 429);
        }
        assert_eq!(refused, 3, "of a burst of 40, three of which were commits");
        assert_eq!(world.state.too_many_requests.get(), 3);
        sleep(Duration::from_secs(1)).await;
        assert_eq!(caller.commit(sets(12, &json!(1))).await, 200);
    });
}

#[test]
fn lists_come_in_pages_and_watches_forget() {
    in_world(|| async move {
        let (world, caller) = world_with(StateLimits {
            txn_ops: 2000,
            ..SIZES_ONLY
        })
        .await;
        assert_eq!(caller.commit(sets(1200, &json!(1))).await, 200);
        let cases = [
            ("/store?prefix=c/", 1000, true),
            ("/store?prefix=c/&limit=10", 10, true),
            ("/store?prefix=c/&limit=5000", 1000, true),
            ("/store?prefix=c/&after=c/998", 1, false),
            ("/store?prefix=none/", 0, false),
        ];
        for (path, records, truncated) in cases {
            let (_, page) = caller.get(path).await;
            assert_eq!(
                page["pairs"].as_array().map(Vec::len),
                Some(records),
                "{path}"
            );
            assert_eq!(page["truncated"], json!(truncated), "{path}");
        }
        for n in 0..100 {
            world.state.write(&format!("long/{n:03}"), &value_of(8000));
        }
        let (_, page) = caller.get("/store?prefix=long/").await;
        let bytes = page["pairs"].to_string().len();
        assert!((500 << 10..=512 << 10).contains(&bytes), "{bytes}");
        assert_eq!(page["truncated"], json!(true));
        let before = caller.get("/store/none").await.1["ledger_rev"].clone();
        let watch = format!("/watch?prefix=c/&after={before}");
        for _ in 0..10 {
            assert_eq!(caller.commit(sets(1000, &json!(1))).await, 200);
        }
        assert_eq!(caller.get(&watch).await.0, 200);
        assert_eq!(caller.commit(sets(1, &json!(1))).await, 200);
        assert_eq!(caller.get(&watch).await.0, 410);
    });
}

#[test]
fn requests_beyond_the_cloud_s_limits_are_refused() {
    let rental = |number: u32| {
        json!({"hire": format!("r-{number}"), "grade": "big", "yard": "a",
        "loaners": false, "number": number})
    };
    let names = |count: usize| json!({"bays": vec!["host-999999"; count]});
    let cases = [
        ("POST", "/rentals", Some(rental(50)), Some(rental(51)), ""),
        (
            "POST",
            "/rentals/return",
            Some(names(100)),
            Some(names(101)),
            "",
        ),
        (
            "GET",
            "/rentals?limit=500",
            None,
            None,
            "/rentals?limit=501",
        ),
    ];
    in_world(|| async move {
        let (world, caller) = world_with(SIZES_ONLY).await;
        for (method, path, within, beyond, beyond_path) in cases {
            let (status, _) = caller.ask(addr(CLOUD), method, path, within).await;
            assert_eq!(status, 200, "{path}");
            let path = if beyond_path.is_empty() {
                path
            } else {
                beyond_path
            };
            let (status, _) = caller.ask(addr(CLOUD), method, path, beyond).await;
            assert_eq!(status, 400, "{path}");
        }
        assert_eq!(world.cloud_refused.borrow().len(), 3);
        let (_, list) = caller
            .ask(addr(CLOUD), "GET", "/rentals?limit=20", None)
            .await;
        assert_eq!(list["bays"].as_array().map(Vec::len), Some(20));
        assert_eq!(list["truncated"], json!(true));
        // Five a second, in bursts of ten: seven were sent.
        let mut refused = 0;
        for _ in 0..5 {
            let (status, _) = caller.ask(addr(CLOUD), "GET", "/flavors", None).await;
            refused += usize::from(status == 429);
        }
        assert_eq!(refused, 2);
    });
}
