//! The simulated cloud: it lists machine types, rents and takes back machines, and lists
//! the rented ones.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use shelfhoist::http::{Request, Response, query_value};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;

use super::scenario::{CLOUD_RPS, Simulation, addr};
use super::worker::Worker;

/// Maximum number of machines in one rental request.
const MAX_RENTED_MACHINES: u64 = 50;
/// Maximum number of machines in one return request.
const MAX_RETURNED_MACHINES: usize = 100;
/// Maximum number of machines in one page of the list.
const MAX_LISTED_MACHINES: usize = 500;

/// Size of the largest burst, in seconds of the request rate: a burst has at most
/// `CLOUD_RPS * MAX_BURST_S` requests.
const MAX_BURST_S: f64 = 2.0;

/// A token bucket that limits requests to the cloud. It holds the number of requests left and
/// the time of its last update, or `None` before the first request.
#[derive(Default)]
pub struct CloudRateLimit(Cell<Option<(f64, Instant)>>);

impl CloudRateLimit {
    /// Returns whether a request exceeds the rate. Takes a token from the bucket if it does
    /// not.
    fn refuses_request(&self) -> bool {
        let now = Instant::now();
        let burst = CLOUD_RPS * MAX_BURST_S;
        let (level, at) = self.0.get().unwrap_or((burst, now));
        let elapsed_s = now.saturating_duration_since(at).as_secs_f64();
        let level = (level + elapsed_s * CLOUD_RPS).min(burst);
        let exceeded = level < 1.0;
        self.0
            .set(Some((if exceeded { level } else { level - 1.0 }, now)));
        exceeded
    }
}

/// Returns a description of the request if it exceeds a limit of the protocol.
fn cloud_limit_violation(request: &Request, body: &Value) -> Option<String> {
    let rented = body["number"].as_u64().unwrap_or(0);
    let returned = body["bays"].as_array().map_or(0, Vec::len);
    let listed = query_value(&request.query, "limit").and_then(|v| v.parse().ok());
    let is_exceeded = match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/rentals") => !(1..=MAX_RENTED_MACHINES).contains(&rented),
        ("POST", "/rentals/return") => returned > MAX_RETURNED_MACHINES,
        ("GET", "/rentals") => listed.unwrap_or(0) > MAX_LISTED_MACHINES,
        _ => false,
    };
    is_exceeded.then(|| {
        format!(
            "{} {}?{}: {body}",
            request.method, request.path, request.query
        )
    })
}

impl Simulation {
    /// Serves one request to the cloud.
    pub(super) fn handle_cloud_request(
        self: Rc<Self>,
        request: Request,
    ) -> shelfhoist::http::ResponseFuture {
        Box::pin(async move {
            let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
            if self.cloud_limit.refuses_request() {
                return Response::json(429, &json!({"error": "too many"}));
            }
            if let Some(problem) = cloud_limit_violation(&request, &body) {
                self.refused_cloud_requests
                    .borrow_mut()
                    .push(problem.clone());
                return Response::json(400, &json!({"error": problem}));
            }
            match (request.method.as_str(), request.path.as_str()) {
                ("GET", "/flavors") => {
                    let machine_type = |name: &str, vcpus: f64, cards: f64| {
                        json!({"label": name, "vcpus": vcpus, "cards": cards, "ram_gb": 16.0,
                            "local_gb": 50.0, "pull_gb_per_s": 1.0, "hourly": vcpus / 10.0 + cards,
                            "spot_price": vcpus / 30.0 + cards / 3.0, "ready_s": self.shape.ready_s,
                            "yards": self.shape.zones})
                    };
                    let mut types = vec![
                        machine_type("small", 4.0, 0.0),
                        machine_type("big", 8.0, 0.0),
                    ];
                    if self.shape.has_accelerators {
                        types.push(machine_type("gpu", 8.0, 2.0));
                    }
                    Response::json(200, &json!({"grades": types}))
                }
                ("POST", "/rentals") if self.is_out_of_capacity.get() => {
                    Response::json(503, &json!({"error": "no capacity"}))
                }
                ("POST", "/rentals") => {
                    let hire = body["hire"].as_str().unwrap_or("").to_string();
                    if let Some(first_response) = self.provisioning_requests.borrow().get(&hire) {
                        return Response::json(200, first_response);
                    }
                    let names: Vec<String> = (0..body["number"].as_u64().unwrap_or(0))
                        .map(|_| self.boot_machine(&body))
                        .collect();
                    let response = json!({"bays": names});
                    self.provisioning_requests
                        .borrow_mut()
                        .insert(hire, response.clone());
                    Response::json(200, &response)
                }
                ("POST", "/rentals/return") => {
                    for name in body["bays"].as_array().into_iter().flatten() {
                        self.lose_machine(name.as_str().unwrap_or(""));
                    }
                    Response::empty(200)
                }
                _ => {
                    let after = query_value(&request.query, "after").unwrap_or("");
                    let limit = query_value(&request.query, "limit").and_then(|v| v.parse().ok());
                    let limit = limit.unwrap_or(MAX_LISTED_MACHINES);
                    let workers = self.workers.borrow();
                    let listed = workers.iter().filter(|(name, _)| name.as_str() > after);
                    let truncated = listed.clone().count() > limit;
                    let bays: Vec<Value> = listed
                        .take(limit)
                        .map(|(name, (worker, _))| {
                            json!({"name_id": name, "endpoint": worker.address.to_string(), "grade": worker.machine_type,
                                "yard": worker.zone, "loaners": false, "stage": "running", "age_s": 1.0})
                        })
                        .collect();
                    Response::json(200, &json!({"bays": bays, "truncated": truncated}))
                }
            }
        })
    }

    /// Boots a machine with the type and zone of a rental request, and returns its name. The
    /// worker of the machine starts, unless the test makes boots fail in this zone.
    pub fn boot_machine(self: &Rc<Self>, body: &Value) -> String {
        let number = self.rented_machine_count.get();
        self.rented_machine_count.set(number + 1);
        let name = format!("host-{number:06}");
        let worker = Rc::new(Worker {
            name: name.clone(),
            machine_type: body["grade"].as_str().unwrap_or("").to_string(),
            zone: body["yard"].as_str().unwrap_or("").to_string(),
            address: addr(&format!("127.1.{}.{}:9000", number / 250, number % 250 + 1)),
            fencing_token: Cell::new(0),
            epoch: Cell::new(1),
            sequence: Cell::new(0),
            lease_renewed_at: Cell::new(Instant::now()),
            tasks: RefCell::default(),
            fails_all_tasks: Cell::new(false),
            inbound_blocked: Cell::new(false),
            heartbeats_blocked: Cell::new(false),
            hung_until: Cell::new(None),
            command_delay: Cell::new(Duration::ZERO),
            preemption_notice_s: Cell::new(None),
            refusal: Cell::new(None),
            unreadable_answer: Cell::new(None),
            busy_refusals: RefCell::default(),
            start_count: Cell::new(0),
            clock_rate: [1.0, 0.9995, 1.0005][number % 3],
            sent_heartbeats: RefCell::default(),
        });
        let tasks = match self.failed_boot_zone.get() == Some(worker.zone.as_str()) {
            true => vec![],
            false => vec![
                spawn_local(self.clone().serve_commands(worker.clone())),
                spawn_local(self.clone().send_heartbeats(worker.clone())),
            ],
        };
        self.workers
            .borrow_mut()
            .insert(name.clone(), (worker, tasks));
        name
    }

    /// Removes a machine and all of its tasks from the deployment, without notice.
    pub fn lose_machine(&self, name: &str) {
        self.advance_tasks();
        if let Some((worker, tasks)) = self.workers.borrow_mut().remove(name) {
            self.simulated_network.remove_listener(worker.address);
            tasks.iter().for_each(JoinHandle::abort);
        }
    }
}
