//! A scripted controller: it responds to users and commands workers as a test says,
//! so that it can break the rules, which the program must not.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use shelfhoist::http::Response;

use super::scenario::{World, controller};

/// The fencing token of every command and of every response to a heartbeat.
const FENCING_TOKEN: u64 = 1;

/// A response to a user.
struct UserResponse {
    status: u16,
    body: Value,
}

/// Plays controller 0 of a world without controllers of its own.
pub struct ScriptedController {
    world: Rc<World>,
    responses: RefCell<VecDeque<UserResponse>>,
}

impl ScriptedController {
    /// Begins to serve at the address of controller 0.
    pub async fn serve(world: &Rc<World>) -> Rc<Self> {
        let own = Rc::new(ScriptedController {
            world: world.clone(),
            responses: RefCell::default(),
        });
        let handling = own.clone();
        let handler =
            move |request: shelfhoist::http::Request| -> shelfhoist::http::ResponseFuture {
                let answer = handling.next_response(&request.path);
                Box::pin(async move { answer })
            };
        world.serve_at(controller(0), handler).await;
        own
    }

    /// Queues the status and stage of the next response to a user.
    pub fn queue_response(&self, status: u16, stage: &str) {
        let body = json!({"stage": stage});
        let response = UserResponse { status, body };
        self.responses.borrow_mut().push_back(response);
    }

    /// Commands go to workers directly: heartbeats only renew the leases.
    fn next_response(&self, path: &str) -> Response {
        if path == "/agent/beat" {
            return Response::json(200, &json!({"baton": FENCING_TOKEN, "orders": []}));
        }
        let next = self.responses.borrow_mut().pop_front();
        let UserResponse { status, body } = next.expect("a scripted response");
        Response::json(status, &body)
    }

    /// Has a worker execute one command, at once.
    pub async fn send_command(&self, machine: usize, action: &str, task: &str) {
        let name = format!("host-{machine:06}");
        let worker = self.world.workers.borrow()[&name].0.clone();
        let orders = json!({"baton": FENCING_TOKEN, "shift": worker.epoch.get(),
            "orders": [{"verb": action, "board": task, "try": 1}]});
        let body = Some(orders.to_string().into_bytes());
        let call = self.world.client.call(
            worker.address,
            "POST",
            "/orders",
            body,
            Duration::from_secs(5),
        );
        let answer = call.await.expect("a worker's answer");
        assert_eq!(answer.status, 200, "{action} {task} on {name}");
    }
}
