//! The cloud: machine types, rentals, returns and the list of machines.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use shelfhoist::http::{Request, Response, query_value};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;

use super::scenario::{CLOUD_RPS, World, addr};
use super::worker::Worker;

/// The most machines of one rental, of one return and of one page of the list.
const RENTED_MACHINES: u64 = 50;
const RETURNED_MACHINES: usize = 100;
const LISTED_MACHINES: usize = 500;

/// Bursts of so many seconds' worth of requests are allowed.
const BURST_S: f64 = 2.0;

/// What may be asked of the cloud at once, and when that was.
#[derive(Default)]
pub struct CloudLimit(Cell<Option<(f64, Instant)>>);

impl CloudLimit {
    /// Takes a request; whether it is one too many.
    fn is_exceeded(&self) -> bool {
        let now = Instant::now();
        let most = CLOUD_RPS * BURST_S;
        let (level, at) = self.0.get().unwrap_or((most, now));
        let passed = now.saturating_duration_since(at).as_secs_f64();
        let level = (level + passed * CLOUD_RPS).min(most);
        let exceeded = level < 1.0;
        self.0
            .set(Some((if exceeded { level } else { level - 1.0 }, now)));
        exceeded
    }
}

/// Why a request is beyond what the protocol allows, if it is.
fn beyond_cloud_limits(request: &Request, body: &Value) -> Option<String> {
    let rented = body["number"].as_u64().unwrap_or(0);
    let returned = body["bays"].as_array().map_or(0, Vec::len);
    let listed = query_value(&request.query, "limit").and_then(|v| v.parse().ok());
    let beyond = match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/rentals") => !(1..=RENTED_MACHINES).contains(&rented),
        ("POST", "/rentals/return") => returned > RETURNED_MACHINES,
        ("GET", "/rentals") => listed.unwrap_or(0) > LISTED_MACHINES,
        _ => false,
    };
    beyond.then(|| {
        format!(
            "{} {}?{}: {body}",
            request.method, request.path, request.query
        )
    })
}

impl World {
    pub(super) fn cloud(self: Rc<Self>, r: Request) -> shelfhoist::http::ResponseFuture {
        Box::pin(async move {
            let body: Value = serde_json::from_slice(&r.body).unwrap_or_default();
            if self.cloud_limit.is_exceeded() {
                return Response::json(429, &json!({"error": "too many"}));
            }
            if let Some(problem) = beyond_cloud_limits(&r, &body) {
                self.cloud_refused.borrow_mut().push(problem.clone());
                return Response::json(400, &json!({"error": problem}));
            }
            match (r.method.as_str(), r.path.as_str()) {
                ("GET", "/flavors") => {
                    let t = |name: &str, vcpus: f64| {
                        json!({"label": name, "vcpus": vcpus, "cards": 0.0, "ram_gb": 16.0,
                            "local_gb": 50.0, "pull_gb_per_s": 1.0, "hourly": vcpus / 10.0,
                            "spot_price": vcpus / 30.0, "ready_s": self.shape.ready_s, "yards": self.shape.zones})
                    };
                    Response::json(200, &json!({"grades": [t("small", 4.0), t("big", 8.0)]}))
                }
                ("POST", "/rentals") => {
                    let hire = body["hire"].as_str().unwrap_or("").to_string();
                    if let Some(known) = self.provisioning_requests.borrow().get(&hire) {
                        return Response::json(200, known);
                    }
                    let names: Vec<String> = (0..body["number"].as_u64().unwrap_or(0))
                        .map(|_| self.boot(&body))
                        .collect();
                    let answer = json!({"bays": names});
                    self.provisioning_requests
                        .borrow_mut()
                        .insert(hire, answer.clone());
                    Response::json(200, &answer)
                }
                ("POST", "/rentals/return") => {
                    for name in body["bays"].as_array().into_iter().flatten() {
                        self.lose(name.as_str().unwrap_or(""));
                    }
                    Response::empty(200)
                }
                _ => {
                    let after = query_value(&r.query, "after").unwrap_or("");
                    let limit = query_value(&r.query, "limit").and_then(|v| v.parse().ok());
                    let limit = limit.unwrap_or(LISTED_MACHINES);
                    let workers = self.workers.borrow();
                    let listed = workers.iter().filter(|(n, _)| n.as_str() > after);
                    let truncated = listed.clone().count() > limit;
                    let bays: Vec<Value> = listed
                        .take(limit)
                        .map(|(n, (w, _))| {
                            json!({"name_id": n, "endpoint": w.port.to_string(), "grade": w.machine_type,
                                "yard": w.zone, "loaners": false, "stage": "running", "age_s": 1.0})
                        })
                        .collect();
                    Response::json(200, &json!({"bays": bays, "truncated": truncated}))
                }
            }
        })
    }

    pub(super) fn boot(self: &Rc<Self>, body: &Value) -> String {
        let n = self.rented.get();
        self.rented.set(n + 1);
        let name = format!("host-{n:06}");
        let worker = Rc::new(Worker {
            name: name.clone(),
            machine_type: body["grade"].as_str().unwrap_or("").to_string(),
            zone: body["yard"].as_str().unwrap_or("").to_string(),
            port: addr(&format!("127.1.{}.{}:9000", n / 250, n % 250 + 1)),
            fencing_token: Cell::new(0),
            epoch: Cell::new(1),
            sequence: Cell::new(0),
            renewed: Cell::new(Instant::now()),
            tasks: RefCell::default(),
            sick: Cell::new(false),
            deaf: Cell::new(false),
            mute: Cell::new(false),
            hangs_until: Cell::new(None),
            orders_held: Cell::new(Duration::ZERO),
            clock: [1.0, 0.9995, 1.0005][n % 3],
            sent: RefCell::default(),
        });
        let tasks = match self.barren.get() == Some(worker.zone.as_str()) {
            true => vec![],
            false => vec![
                spawn_local(self.clone().listen(worker.clone())),
                spawn_local(self.clone().heartbeat(worker.clone())),
            ],
        };
        self.workers
            .borrow_mut()
            .insert(name.clone(), (worker, tasks));
        name
    }

    /// The machine and all on it are gone at once.
    pub fn lose(&self, name: &str) {
        self.advance_tasks();
        if let Some((worker, tasks)) = self.workers.borrow_mut().remove(name) {
            self.fabric.remove_listener(worker.port);
            tasks.iter().for_each(JoinHandle::abort);
        }
    }
}
