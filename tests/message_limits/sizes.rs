//! Sizes of the longest messages between a controller and a worker.

use serde_json::{Value, json};
use shelfhoist::http::BODY_LIMIT;
use shelfhoist::wire::{
    CommandAction, HeartbeatResponse, MAX_TASKS_PER_MESSAGE, WorkerCommand, WorkerCommands,
};

/// Returns the longest id of a task.
fn longest_task() -> String {
    format!("job-{}/99999", "9".repeat(18))
}

/// Returns the longest forms of a task's entry in a status.
fn longest_entries() -> Vec<Value> {
    let (task, attempt) = (longest_task(), u64::MAX);
    vec![
        json!({"board": task, "try": attempt, "stage": "flushing", "cause": null, "kept": null}),
        json!({"board": task, "try": attempt, "stage": "ended", "cause": "incomplete", "kept": false}),
        json!({"board": task, "try": attempt, "stage": "ended", "cause": "stopped", "kept": false}),
    ]
}

/// Returns the longest status with `count` of this entry.
fn longest_status(entry: &Value, count: usize) -> Value {
    let name = "n".repeat(200);
    json!({"bay": "host-999999", "endpoint": "255.255.255.255:65535", "grade": name, "yard": name,
        "loaners": false, "shift": u64::MAX, "tally": u64::MAX, "baton": u64::MAX,
        "recall_s": 12345.678, "boards": vec![entry; count]})
}

/// Returns a JSON text with a space after each colon and comma, as some encoders write it. No
/// string in `value` contains these characters.
fn spaced(value: &Value) -> String {
    value.to_string().replace(':', ": ").replace(',', ", ")
}

/// Guards against heartbeats over the limit: a worker with as many tasks as a machine can get
/// lists them all, whatever their ids and stages, however it writes JSON.
#[test]
fn longest_status_fits_a_message() {
    for entry in longest_entries() {
        let status = longest_status(&entry, MAX_TASKS_PER_MESSAGE);
        let bytes = spaced(&status).len();
        assert!(bytes <= BODY_LIMIT, "{bytes} bytes: {entry}");
    }
}

/// Guards against answers and direct calls over the limit.
#[test]
fn longest_commands_fit_a_message() {
    for action in [
        CommandAction::Start,
        CommandAction::Stop,
        CommandAction::Forget,
    ] {
        let command = WorkerCommand {
            action,
            task: longest_task(),
            attempt: u64::MAX,
            grace_s: Some(1_500_000_001.000_000_1),
        };
        let commands = vec![command; MAX_TASKS_PER_MESSAGE];
        let answer = HeartbeatResponse {
            fencing_token: u64::MAX,
            commands: commands.clone(),
        };
        let call = WorkerCommands {
            fencing_token: u64::MAX,
            epoch: u64::MAX,
            commands,
        };
        let answer = serde_json::to_vec(&answer).expect("an answer").len();
        let call = serde_json::to_vec(&call).expect("a call").len();
        assert!(answer.max(call) <= BODY_LIMIT, "{answer} and {call} bytes");
    }
}
