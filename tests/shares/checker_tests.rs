//! Tests that the checker reports each kind of violation, and reports nothing if no invariant is
//! violated.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use crate::checker::{Checker, Violation};
use crate::setup::shape;

/// Returns a machine shard with machines of 8 CPUs. The limit of team t is 48 CPUs.
fn machines(count: usize) -> Value {
    let machine = json!({"h": "", "f": "a", "t": "big"});
    let machines: BTreeMap<String, Value> = (0..count)
        .map(|n| (format!("host-{n}"), machine.clone()))
        .collect();
    json!({ "m": machines })
}

/// Returns stored resources with this number of CPUs.
fn cpus(n: i64) -> Value {
    json!({"c": n * 1000, "g": 0, "m": 0})
}

fn share(generation: u64, settled: u64, granted: &[(&str, i64)], pending: &[(&str, i64)]) -> Value {
    let split = |parts: &[(&str, i64)]| -> BTreeMap<String, Value> {
        let parts = parts.iter();
        parts
            .map(|(name, n)| (name.to_string(), cpus(*n)))
            .collect()
    };
    json!({"n": generation, "d": settled, "f": "n0", "g": split(granted), "p": split(pending)})
}

/// Returns a job of team t with one task, which takes `need` CPUs on a machine.
fn job(share: &str, need: i64, machine: &str) -> Value {
    json!({"f": "o", "n": 1, "a": 1, "x": 1, "sh": share,
        "s": {"l": "x", "w": "t", "k": "daemon", "p": "normal", "n": 1, "r": cpus(need),
              "i": "i", "ig": 1.0, "e": 1.0, "cs": 0.0, "ss": 0.0},
        "r": [{"m": machine, "z": "a", "a": 1, "t": "0"}]})
}

/// Returns the record of a move of team t from n0 to n1.
fn move_record(cpus_moved: i64, generation: u64) -> Value {
    json!({"t": "t", "f": "n0", "o": "n1", "a": cpus(cpus_moved), "n": generation})
}

/// The keys that a commit writes, with their records.
type Commit = Vec<(&'static str, Option<Value>)>;

/// Returns the violations that a new checker finds in these commits.
fn violations_of(commits: &[Commit]) -> Vec<Violation> {
    let checker = Checker::new(&shape(3));
    for (index, commit) in commits.iter().enumerate() {
        checker.observe(commit, index as u64 + 1);
    }
    checker.violations().into_keys().collect()
}

fn put(key: &'static str, value: Value) -> (&'static str, Option<Value>) {
    (key, Some(value))
}

#[test]
fn each_violation_is_reported() {
    let start = || {
        vec![
            put("sh/machine/a/n0.0", machines(8)),
            put("sh/share/t", share(0, 0, &[("n0", 8)], &[])),
            put("sh/job/job-1", job("n0", 4, "host-1")),
        ]
    };
    let pool = |capacity| put("sh/pool", json!({"c": cpus(capacity), "g": cpus(8)}));
    let requested = || {
        vec![
            put(
                "sh/share/t",
                share(1, 0, &[("n0", 8)], &[("n0", -2), ("n1", 2)]),
            ),
            put("sh/move/x", move_record(2, 1)),
        ]
    };
    let settled_move = || put("sh/share/t", share(1, 1, &[("n0", 6), ("n1", 2)], &[]));
    let reassigned = || {
        vec![
            put("sh/share/t", share(1, 1, &[("n0", 4), ("n1", 4)], &[])),
            put("sh/job/job-1", job("n1", 4, "host-1")),
        ]
    };
    let moved_to_other_machine = || put("sh/job/job-1", job("n1", 4, "host-2"));
    let cases: Vec<(&str, Vec<Commit>, Vec<Violation>)> = vec![
        (
            "no violation",
            vec![start(), vec![pool(64)], requested(), vec![settled_move()]],
            vec![],
        ),
        (
            "a reassigned job without a move",
            vec![start(), reassigned()],
            vec![Violation::WrongMove],
        ),
        (
            "a reassigned job with a requested move",
            vec![start(), requested(), reassigned()],
            vec![],
        ),
        (
            "a job whose machine changes with a move",
            vec![
                start(),
                requested(),
                vec![settled_move(), moved_to_other_machine()],
            ],
            vec![Violation::Overbooked, Violation::MovedJobChanged],
        ),
        (
            "a booking that reassigns an earlier booking to another share",
            vec![
                start(),
                vec![
                    put("sh/zone/a/n0.0", json!({"m": {}})),
                    put("sh/share/t", share(0, 0, &[("n0", 8), ("n1", 8)], &[])),
                    put("sh/job/job-1", job("n1", 4, "host-1")),
                ],
            ],
            vec![Violation::MovedJobChanged],
        ),
        (
            "more than the limit",
            vec![
                start(),
                vec![put("sh/share/t", share(0, 0, &[("n0", 49)], &[]))],
            ],
            vec![Violation::AboveLimit],
        ),
        (
            "more than the machines",
            vec![start(), vec![put("sh/machine/a/n0.0", machines(0))]],
            vec![Violation::AboveMachines],
        ),
        (
            "a pool of more than the machines",
            vec![start(), vec![pool(65)]],
            vec![Violation::AboveMachines],
        ),
        (
            "more booked than the share has",
            vec![start(), vec![put("sh/job/job-2", job("n0", 5, "host-2"))]],
            vec![Violation::Overbooked],
        ),
        (
            "more booked than the team's limit",
            vec![
                vec![put("sh/machine/a/n0.0", machines(8))],
                vec![put("sh/job/job-2", job("n0", 49, "host-2"))],
            ],
            vec![Violation::TeamAboveLimit],
        ),
        (
            "a share record that a move changes by another amount",
            vec![
                start(),
                vec![
                    put(
                        "sh/share/t",
                        share(1, 0, &[("n0", 8)], &[("n0", -3), ("n1", 3)]),
                    ),
                    put("sh/move/x", move_record(2, 1)),
                ],
            ],
            vec![Violation::WrongMove],
        ),
        (
            "a move that takes effect twice",
            vec![start(), requested(), vec![settled_move()], requested()],
            vec![Violation::MoveRewritten],
        ),
    ];
    for (case, commits, expected) in cases {
        // The amounts have no memory, so that no case reaches the memory of the machines.
        assert_eq!(violations_of(&commits), expected, "{case}");
    }
}
