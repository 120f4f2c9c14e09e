//! A controller that answers users as a test dictates and gives workers the
//! orders of the test: it can break the rules, which the program must not.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use shelfhoist::http::Response;

use super::scenario::{World, controller};

/// The token of every order and of every answer to a heartbeat.
const TOKEN: u64 = 1;

/// A user's answer: HTTP status and body.
type UserAnswer = (u16, Value);

/// Plays controller 0 of a world without controllers of its own.
pub struct ScriptedController {
    world: Rc<World>,
    answers: RefCell<VecDeque<UserAnswer>>,
}

impl ScriptedController {
    /// Begins to serve at the address of controller 0.
    pub async fn serve(world: &Rc<World>) -> Rc<Self> {
        let own = Rc::new(ScriptedController {
            world: world.clone(),
            answers: RefCell::default(),
        });
        let handling = own.clone();
        let handler =
            move |request: shelfhoist::http::Request| -> shelfhoist::http::ResponseFuture {
                let answer = handling.answer(&request.path);
                Box::pin(async move { answer })
            };
        world.serve_at(controller(0), handler).await;
        own
    }

    /// The status and stage of the next answer to a user.
    pub fn answer_next(&self, status: u16, stage: &str) {
        let body = json!({"stage": stage});
        self.answers.borrow_mut().push_back((status, body));
    }

    /// Orders go to workers directly: heartbeats only renew the leases.
    fn answer(&self, path: &str) -> Response {
        if path == "/agent/beat" {
            return Response::json(200, &json!({"baton": TOKEN, "orders": []}));
        }
        let next = self.answers.borrow_mut().pop_front();
        let (status, body) = next.expect("an answer that the test dictates");
        Response::json(status, &body)
    }

    /// Has a worker execute one order, at once.
    pub async fn order(&self, machine: usize, verb: &str, task: &str) {
        let name = format!("host-{machine:06}");
        let worker = self.world.workers.borrow()[&name].0.clone();
        let orders = json!({"baton": TOKEN, "shift": worker.epoch.get(),
            "orders": [{"verb": verb, "board": task, "try": 1}]});
        let body = Some(orders.to_string().into_bytes());
        let call =
            self.world
                .client
                .call(worker.port, "POST", "/orders", body, Duration::from_secs(5));
        let answer = call.await.expect("a worker's answer");
        assert_eq!(answer.status, 200, "{verb} {task} on {name}");
    }
}
