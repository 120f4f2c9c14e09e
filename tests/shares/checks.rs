//! The checker tells each violation when it is given one, and none without.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use crate::checker::{Checker, Violation};
use crate::setup::shape;

/// Machines of 16 CPUs and 32 GB, the limit of team t being 48 CPUs.
fn machines(count: usize) -> Value {
    let machine = json!({"h": "", "f": "a", "t": "big"});
    let machines: BTreeMap<String, Value> = (0..count)
        .map(|n| (format!("host-{n}"), machine.clone()))
        .collect();
    json!({ "m": machines })
}

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

/// A job of team t with one task of so many CPUs on a machine.
fn job(share: &str, need: i64, machine: &str) -> Value {
    json!({"f": "o", "n": 1, "a": 1, "x": 1, "sh": share,
        "s": {"l": "x", "w": "t", "k": "daemon", "p": "normal", "n": 1, "r": cpus(need),
              "i": "i", "ig": 1.0, "e": 1.0, "cs": 0.0, "ss": 0.0},
        "r": [{"m": machine, "z": "a", "a": 1, "t": "0"}]})
}

fn record(cpus_moved: i64, generation: u64) -> Value {
    json!({"t": "t", "f": "n0", "o": "n1", "a": cpus(cpus_moved), "n": generation})
}

type Commit = Vec<(&'static str, Option<Value>)>;

fn found(commits: &[Commit]) -> Vec<Violation> {
    let checker = Checker::new(&shape(3));
    for (at, commit) in commits.iter().enumerate() {
        checker.observe(commit, at as u64 + 1);
    }
    checker.found().into_keys().collect()
}

fn set(key: &'static str, value: Value) -> (&'static str, Option<Value>) {
    (key, Some(value))
}

#[test]
fn each_violation_is_told() {
    let start = || {
        vec![
            set("sh/machine/a/n0.0", machines(8)),
            set("sh/share/t", share(0, 0, &[("n0", 8)], &[])),
            set("sh/job/job-1", job("n0", 4, "host-1")),
        ]
    };
    let pool = |capacity| set("sh/pool", json!({"c": cpus(capacity), "g": cpus(8)}));
    let asked = || {
        vec![
            set(
                "sh/share/t",
                share(1, 0, &[("n0", 8)], &[("n0", -2), ("n1", 2)]),
            ),
            set("sh/move/x", record(2, 1)),
        ]
    };
    let moved = || set("sh/share/t", share(1, 1, &[("n0", 6), ("n1", 2)], &[]));
    let along = || {
        vec![
            set("sh/share/t", share(1, 1, &[("n0", 4), ("n1", 4)], &[])),
            set("sh/job/job-1", job("n1", 4, "host-1")),
        ]
    };
    let relocated = || set("sh/job/job-1", job("n1", 4, "host-2"));
    let cases: Vec<(&str, Vec<Commit>, Vec<Violation>)> = vec![
        (
            "nothing wrong",
            vec![start(), vec![pool(64)], asked(), vec![moved()]],
            vec![],
        ),
        (
            "a job taken along",
            vec![start(), along()],
            vec![Violation::WrongMove],
        ),
        (
            "the same, asked for",
            vec![start(), asked(), along()],
            vec![],
        ),
        (
            "a job that was relocated by it",
            vec![start(), asked(), vec![moved(), relocated()]],
            vec![Violation::Overbooked, Violation::MovedJobChanged],
        ),
        (
            "a booking that takes an earlier one to another share",
            vec![
                start(),
                vec![
                    set("sh/zone/a/n0.0", json!({"m": {}})),
                    set("sh/share/t", share(0, 0, &[("n0", 8), ("n1", 8)], &[])),
                    set("sh/job/job-1", job("n1", 4, "host-1")),
                ],
            ],
            vec![Violation::MovedJobChanged],
        ),
        (
            "more than the limit",
            vec![
                start(),
                vec![set("sh/share/t", share(0, 0, &[("n0", 49)], &[]))],
            ],
            vec![Violation::AboveLimit],
        ),
        (
            "more than the machines",
            vec![start(), vec![set("sh/machine/a/n0.0", machines(0))]],
            vec![Violation::AboveMachines],
        ),
        (
            "a pool of more than the machines",
            vec![start(), vec![pool(65)]],
            vec![Violation::AboveMachines],
        ),
        (
            "more booked than the share has",
            vec![start(), vec![set("sh/job/job-2", job("n0", 5, "host-2"))]],
            vec![Violation::Overbooked],
        ),
        (
            "more booked than the team's limit",
            vec![
                vec![set("sh/machine/a/n0.0", machines(8))],
                vec![set("sh/job/job-2", job("n0", 49, "host-2"))],
            ],
            vec![Violation::TeamAboveLimit],
        ),
        (
            "a split that a move changes by another amount",
            vec![
                start(),
                vec![
                    set(
                        "sh/share/t",
                        share(1, 0, &[("n0", 8)], &[("n0", -3), ("n1", 3)]),
                    ),
                    set("sh/move/x", record(2, 1)),
                ],
            ],
            vec![Violation::WrongMove],
        ),
        (
            "a move that takes effect twice",
            vec![start(), asked(), vec![moved()], asked()],
            vec![Violation::MoveRewritten],
        ),
    ];
    for (case, commits, expected) in cases {
        // Memory is no part of these: a machine's is not reached.
        assert_eq!(found(&commits), expected, "{case}");
    }
}
