//! Tests that the simulated state service and cloud enforce the limits of the protocol. For each
//! limit, the tests send one request that keeps to it and one that exceeds it.

// Each test target uses only some of the stand-ins.
#[allow(dead_code)]
mod stand_ins;

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use shelfhoist::http::Client;
use shelfhoist::net::Net;
use stand_ins::{
    DeploymentOptions, Simulation, StateLimits, addr, run_in_simulated_time, state_addr,
};
use tokio::time::sleep;

/// Address of the cloud.
const CLOUD: &str = "127.2.0.2:8443";
/// Address from which the tests send requests.
const CLIENT: &str = "10.3.0.9:1";

/// A client of the stand-ins. Unlike a controller, it does not limit the rate and size of its
/// requests itself.
struct UnthrottledClient(Client);

impl UnthrottledClient {
    fn new(simulation: &Simulation) -> Self {
        let net = Net::Simulated(simulation.simulated_network.clone(), addr(CLIENT));
        let client = Client::new(net, Duration::from_secs(30));
        UnthrottledClient(client.with_limits(usize::MAX, 4 << 20))
    }

    /// Sends a request, and returns the status and body of the response.
    async fn ask(
        &self,
        to: SocketAddrV4,
        method: &str,
        path: &str,
        body: Option<Value>,
    ) -> (u16, Value) {
        let bytes = body.map(|body| body.to_string().into_bytes());
        let timeout = Duration::from_secs(4);
        let response = self.0.call(to, method, path, bytes, timeout).await;
        let response = response.expect("a response");
        (response.status, response.parse().unwrap_or_default())
    }

    /// Sends a commit to the state service, and returns the response's status.
    async fn commit(&self, commit: Value) -> u16 {
        let response = self.ask(state_addr(0), "POST", "/commit", Some(commit));
        response.await.0
    }

    /// Sends a read to the state service, and returns the response's status and body.
    async fn get(&self, path: &str) -> (u16, Value) {
        self.ask(state_addr(0), "GET", path, None).await
    }
}

/// Starts a deployment without controllers whose state service has these limits. Returns it with
/// a client.
async fn world_with_limits(limits: StateLimits) -> (Rc<Simulation>, UnthrottledClient) {
    let simulation = Simulation::without_controllers(7, DeploymentOptions::default()).await;
    simulation.state.limits.set(limits);
    let client = UnthrottledClient::new(&simulation);
    (simulation, client)
}

/// Limits on sizes, without limits on rates.
const SIZE_LIMITS_ONLY: StateLimits = StateLimits {
    txn_ops: 12,
    value_limit_bytes: 8192,
    write_rps: f64::INFINITY,
    rps: f64::INFINITY,
};

/// Returns a value whose JSON text has this number of bytes.
fn value_with_length(bytes: usize) -> Value {
    Value::String("x".repeat(bytes - 2))
}

/// Returns a commit that sets `count` keys to a value.
fn commit_of_writes(count: usize, value: &Value) -> Value {
    let write = |n: usize| json!({"set": format!("c/{n}"), "value": value});
    json!({"guards": [], "writes": (0..count).map(write).collect::<Vec<_>>()})
}

/// Returns a commit with `count` preconditions.
fn commit_with_guards(count: usize) -> Value {
    let precondition = |n: usize| json!({"key": format!("absent/{n}"), "stamp": 0});
    let writes = [json!({"set": "c/1", "value": 1})];
    json!({"guards": (0..count).map(precondition).collect::<Vec<_>>(), "writes": writes})
}

/// Returns a commit that sets one key.
fn commit_of_key(key: &str) -> Value {
    json!({"guards": [], "writes": [{"set": key, "value": 1}]})
}

#[test]
fn commits_over_size_limits_are_refused() {
    let longest_key = "k".repeat(200);
    let cases: [(&str, Value, Value); 5] = [
        (
            "value",
            commit_of_writes(1, &value_with_length(8192)),
            commit_of_writes(1, &value_with_length(8193)),
        ),
        (
            "writes",
            commit_of_writes(12, &json!(1)),
            commit_of_writes(13, &json!(1)),
        ),
        ("guards", commit_with_guards(48), commit_with_guards(49)),
        (
            "key",
            commit_of_key(&longest_key),
            commit_of_key(&format!("{longest_key}k")),
        ),
        ("space", commit_of_key("c/1"), commit_of_key("c 1")),
    ];
    run_in_simulated_time(|| async move {
        let (simulation, client) = world_with_limits(SIZE_LIMITS_ONLY).await;
        for (limit, within, over) in cases {
            assert_eq!(client.commit(within).await, 200, "{limit}");
            assert_eq!(client.commit(over).await, 400, "{limit}");
        }
        assert_eq!(simulation.state.rejected_commits.borrow().len(), 5);
        // Seven values of the maximum size fit into one request, eight do not.
        assert_eq!(
            client
                .commit(commit_of_writes(7, &value_with_length(8192)))
                .await,
            200
        );
        let oversized = commit_of_writes(8, &value_with_length(8192))
            .to_string()
            .into_bytes();
        let timeout = Duration::from_secs(4);
        let response = client
            .0
            .call(state_addr(0), "POST", "/commit", Some(oversized), timeout);
        let status = response.await.map(|response| response.status);
        assert!(!matches!(status, Ok(200)), "{status:?}");
        let last = simulation.state.value("c/7");
        assert_eq!(
            last,
            Some(json!(1)),
            "the refused commit was written in part"
        );
    });
}

#[test]
fn requests_and_writes_over_rate_limits_are_refused() {
    run_in_simulated_time(|| async move {
        let (simulation, client) = world_with_limits(StateLimits {
            write_rps: 24.0,
            rps: 40.0,
            ..SIZE_LIMITS_ONLY
        })
        .await;
        let mut statuses = Vec::new();
        for _ in 0..3 {
            statuses.push(client.commit(commit_of_writes(12, &json!(1))).await);
        }
        assert_eq!(statuses, [200, 200, 429]);
        assert_eq!(simulation.state.rate_limited_commits.get(), 1);
        let mut refused = 0;
        for _ in 0..40 {
            refused += usize::from(client.get("/store/c/1").await.0 == 429);
        }
        assert_eq!(refused, 3, "of a burst of 40, three of which were commits");
        assert_eq!(simulation.state.rate_limited_requests.get(), 3);
        sleep(Duration::from_secs(1)).await;
        assert_eq!(client.commit(commit_of_writes(12, &json!(1))).await, 200);
    });
}

#[test]
fn lists_are_paged_and_old_watch_revisions_fail() {
    run_in_simulated_time(|| async move {
        let (simulation, client) = world_with_limits(StateLimits {
            txn_ops: 2000,
            ..SIZE_LIMITS_ONLY
        })
        .await;
        assert_eq!(client.commit(commit_of_writes(1200, &json!(1))).await, 200);
        let cases = [
            ("/store?prefix=c/", 1000, true),
            ("/store?prefix=c/&limit=10", 10, true),
            ("/store?prefix=c/&limit=5000", 1000, true),
            ("/store?prefix=c/&after=c/998", 1, false),
            ("/store?prefix=none/", 0, false),
        ];
        for (path, records, truncated) in cases {
            let (_, page) = client.get(path).await;
            assert_eq!(
                page["pairs"].as_array().map(Vec::len),
                Some(records),
                "{path}"
            );
            assert_eq!(page["truncated"], json!(truncated), "{path}");
        }
        for n in 0..100 {
            simulation
                .state
                .write(&format!("long/{n:03}"), &value_with_length(8000));
        }
        let (_, page) = client.get("/store?prefix=long/").await;
        let bytes = page["pairs"].to_string().len();
        assert!((500 << 10..=512 << 10).contains(&bytes), "{bytes}");
        assert_eq!(page["truncated"], json!(true));
        let before = client.get("/store/none").await.1["ledger_rev"].clone();
        let watch = format!("/watch?prefix=c/&after={before}");
        for _ in 0..10 {
            assert_eq!(client.commit(commit_of_writes(1000, &json!(1))).await, 200);
        }
        assert_eq!(client.get(&watch).await.0, 200);
        assert_eq!(client.commit(commit_of_writes(1, &json!(1))).await, 200);
        assert_eq!(client.get(&watch).await.0, 410);
    });
}

#[test]
fn requests_over_cloud_limits_are_refused() {
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
    run_in_simulated_time(|| async move {
        let (simulation, client) = world_with_limits(SIZE_LIMITS_ONLY).await;
        for (method, path, within, over, over_path) in cases {
            let (status, _) = client.ask(addr(CLOUD), method, path, within).await;
            assert_eq!(status, 200, "{path}");
            let path = if over_path.is_empty() {
                path
            } else {
                over_path
            };
            let (status, _) = client.ask(addr(CLOUD), method, path, over).await;
            assert_eq!(status, 400, "{path}");
        }
        assert_eq!(simulation.refused_cloud_requests.borrow().len(), 3);
        let (_, list) = client
            .ask(addr(CLOUD), "GET", "/rentals?limit=20", None)
            .await;
        assert_eq!(list["bays"].as_array().map(Vec::len), Some(20));
        assert_eq!(list["truncated"], json!(true));
        // The cloud serves 5 requests per second with bursts of 10, of which 7 were sent above.
        let mut refused = 0;
        for _ in 0..5 {
            let (status, _) = client.ask(addr(CLOUD), "GET", "/flavors", None).await;
            refused += usize::from(status == 429);
        }
        assert_eq!(refused, 2);
    });
}
