//! The cloud: machine types, rentals, returns and the list of machines.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use shelfhoist::http::{Request, Response, query_value};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;

use super::scenario::{World, addr};
use super::worker::Worker;

impl World {
    pub(super) fn cloud(self: Rc<Self>, r: Request) -> shelfhoist::http::Answer {
        Box::pin(async move {
            let body: Value = serde_json::from_slice(&r.body).unwrap_or_default();
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
                    if let Some(known) = self.rentals.borrow().get(&hire) {
                        return Response::json(200, known);
                    }
                    let names: Vec<String> = (0..body["number"].as_u64().unwrap_or(0))
                        .map(|_| self.boot(&body))
                        .collect();
                    let answer = json!({"bays": names});
                    self.rentals.borrow_mut().insert(hire, answer.clone());
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
                    let workers = self.workers.borrow();
                    let bays: Vec<Value> = workers
                        .iter()
                        .filter(|(n, _)| n.as_str() > after)
                        .map(|(n, (w, _))| {
                            json!({"name_id": n, "endpoint": w.port.to_string(), "grade": w.kind,
                                "yard": w.zone, "loaners": false, "stage": "running", "age_s": 1.0})
                        })
                        .collect();
                    Response::json(200, &json!({"bays": bays, "truncated": false}))
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
            kind: body["grade"].as_str().unwrap_or("").to_string(),
            zone: body["yard"].as_str().unwrap_or("").to_string(),
            port: addr(&format!("10.1.{}.{}:9000", n / 250, n % 250 + 1)),
            token: Cell::new(0),
            session: Cell::new(1),
            seq: Cell::new(0),
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
            self.fabric.close(worker.port);
            tasks.iter().for_each(JoinHandle::abort);
        }
    }
}
