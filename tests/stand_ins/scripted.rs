//! A scripted controller. It responds to users and sends commands to workers as a test
//! specifies. Tests of the rule checker use it to violate the rules on purpose, because the real
//! program must never do so.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use shelfhoist::http::{CallError, Response};

use super::scenario::{Simulation, controller_addr};

/// Fencing token in every command and in every response to a heartbeat.
const FENCING_TOKEN: u64 = 1;

/// A prepared response to a user's request.
struct UserResponse {
    status: u16,
    body: Value,
}

/// A scripted stand-in for controller 0, in a deployment without controllers.
pub struct ScriptedController {
    simulation: Rc<Simulation>,
    responses: RefCell<VecDeque<UserResponse>>,
}

impl ScriptedController {
    /// Starts to serve at the address of controller 0.
    pub async fn serve(simulation: &Rc<Simulation>) -> Rc<Self> {
        let scripted = Rc::new(ScriptedController {
            simulation: simulation.clone(),
            responses: RefCell::default(),
        });
        let responder = scripted.clone();
        let handler =
            move |request: shelfhoist::http::Request| -> shelfhoist::http::ResponseFuture {
                let response = responder.next_response(&request.path);
                Box::pin(async move { response })
            };
        simulation.serve_at(controller_addr(0), handler).await;
        scripted
    }

    /// Queues a response to a user with this status and job stage. Responses are sent in the
    /// order in which they were queued.
    pub fn queue_response(&self, status: u16, stage: &str) {
        let body = json!({"stage": stage});
        let response = UserResponse { status, body };
        self.responses.borrow_mut().push_back(response);
    }

    /// Returns the response to a request. A heartbeat gets a response that renews the lease and
    /// has no commands, because [`send_command`](Self::send_command) sends commands to workers
    /// directly. Any other request gets the next queued response.
    fn next_response(&self, path: &str) -> Response {
        if path == "/agent/beat" {
            return Response::json(200, &json!({"baton": FENCING_TOKEN, "orders": []}));
        }
        let next = self.responses.borrow_mut().pop_front();
        let UserResponse { status, body } = next.expect("a queued response");
        Response::json(status, &body)
    }

    /// Sends one command to a worker and waits until the worker has executed it.
    pub async fn send_command(&self, machine: usize, action: &str, task: &str) {
        self.send_commands(machine, action, &[task.to_string()])
            .await;
    }

    /// Sends commands with the same action to a worker, in one message, and waits until the
    /// worker has executed them.
    pub async fn send_commands(&self, machine: usize, action: &str, tasks: &[String]) {
        let name = format!("host-{machine:06}");
        let worker = self.simulation.workers.borrow()[&name].0.clone();
        let command = |task: &String| json!({"verb": action, "board": task, "try": 1});
        let orders = json!({"baton": FENCING_TOKEN, "shift": worker.epoch.get(),
            "orders": tasks.iter().map(command).collect::<Vec<_>>()});
        let body = Some(orders.to_string().into_bytes());
        let call = self.simulation.client.call(
            worker.address,
            "POST",
            "/orders",
            body,
            Duration::from_secs(5),
        );
        match call.await {
            // The worker's status is too long for a message, which the rule checker reports.
            Err(CallError::TooLarge) => {}
            response => {
                let response = response.expect("a response of the worker");
                assert_eq!(response.status, 200, "{action} on {name}");
            }
        }
    }
}
