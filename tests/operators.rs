//! Tests of the operators' interfaces: policies, the command line and reports.

use std::process::Command;

use shelfhoist::cli::{duration_text, job_text, log_level, report_text, teams_text};
use shelfhoist::introspection::{FleetReport, JobDetails, TeamDetails};
use shelfhoist::policy::{JobFacts, MachineFacts, Policy, RULES};
use shelfhoist::scheduler::{preferred_controller, retry_delay};

fn job_facts() -> JobFacts {
    JobFacts {
        priority: 1.0,
        share: 0.6,
        work: 300.0,
        tasks: 10.0,
        waiting: 5.0,
        estimate_s: 30.0,
        boot_s: 20.0,
        ..JobFacts::default()
    }
}

#[test]
fn built_in_policy_passes_the_checker() {
    let mut text = String::new();
    for rule in RULES {
        text += &format!("{} = {}\n", rule.name, rule.default);
    }
    let parsed = Policy::parse(&text).expect("the defaults pass the checker");
    let built_in = Policy::default();
    let job = job_facts();
    assert_eq!(parsed.queue_order(&job), built_in.queue_order(&job));
    assert_eq!(built_in.queue_order(&job), [0.0, 2.0, 2.0, 0.0, 300.0]);
    assert_eq!(built_in.rent_window_s(&job), 60.0);
    assert_eq!(built_in.rent_turnover(&job), 0.5);
    assert_eq!(built_in.rent_price_ratio(&job), 7.0);
    let machine = MachineFacts {
        boot_s: 45.0,
        ..MachineFacts::default()
    };
    assert_eq!(built_in.idle_s(&machine), 45.0);
    assert_eq!(built_in.boot_limit_s(&machine), 180.0);
    assert!(built_in.rules().all(|rule| rule.is_built_in()));
}

#[test]
fn invalid_policy_is_rejected_with_line_and_column() {
    let deeply_nested = format!("idle_s = {}1{}", "(".repeat(30), ")".repeat(30));
    let long = format!("idle_s = 1{}", " + 1".repeat(600));
    let cases: &[(&str, (usize, usize), &str)] = &[
        ("idle_s", (1, 1), "expected `rule = expression`"),
        ("\n  idel_s = 3", (2, 3), "unknown rule"),
        ("idle_s = 1\nidle_s = 2", (2, 1), "set twice"),
        ("idle_s = bot_s", (1, 10), "unknown name"),
        ("idle_s = work", (1, 10), "unknown name"),
        ("idle_s = sqrt(4)", (1, 10), "unknown function"),
        ("idle_s = min(4)", (1, 10), "takes 2 to 8"),
        (
            "idle_s = spot",
            (1, 10),
            "expected a number, found a boolean",
        ),
        (
            "idle_s = if(price, 1, 2)",
            (1, 13),
            "expected a boolean, found a number",
        ),
        ("idle_s = if(spot, 1, spot)", (1, 10), "different types"),
        ("idle_s = 1 / (gpus - 2)", (1, 15), "may be zero"),
        ("idle_s = -1", (1, 10), "must stay"),
        ("idle_s = boot_s * 100", (1, 10), "must stay"),
        ("idle_s = 1, 2", (1, 13), "a single value"),
        ("idle_s = (1 + 2", (1, 16), "unexpected end"),
        ("idle_s = 1 + * 2", (1, 14), "unexpected text"),
        ("idle_s = 1 2", (1, 12), "unexpected text"),
        ("idle_s = clamp(boot_s, 9, price)", (1, 10), "may exceed"),
        ("queue_order = 1,2,3,4,5,6,7,8,9", (1, 31), "more than 8"),
        (&deeply_nested, (1, 34), "nested more than 24 deep"),
        (&long, (1, 9), "longer"),
    ];
    for (text, (line, column), problem) in cases {
        let error = Policy::parse(text).expect_err(text);
        assert!(error.problem.contains(problem), "{text}: {error}");
        assert_eq!((error.line, error.column), (*line, *column), "{error}");
        assert!(error.to_string().contains('^'), "{error}");
    }
}

#[test]
fn policy_expressions_are_evaluated() {
    let job = job_facts();
    let cases = [
        ("1 + 2 * 3 - 4 / 2", 5.0),
        ("-(1 - 3) * 2", 4.0),
        ("if(priority == normal && !late, 7, 8)", 7.0),
        ("if(share > 0.5 || late, 7, 8)", 7.0),
        ("clamp(work, 0, 100)", 100.0),
        ("min(work, 250, 260) + max(1, 2) + floor(2.9)", 254.0),
        ("work / (waiting + 1)", 50.0),
        ("--3", 3.0),
        ("borrows", 0.0),
    ];
    for (text, value) in cases {
        let policy = Policy::parse(&format!("queue_order = {text} # a comment")).expect(text);
        assert_eq!(policy.queue_order(&job), [value], "{text}");
    }
    // A value outside its documented range is clamped, so that the checked bounds still apply.
    let policy = Policy::parse("idle_s = 10 / (price + 1)").expect("policy");
    let out_of_range = MachineFacts {
        price: -1.0,
        ..MachineFacts::default()
    };
    assert_eq!(policy.idle_s(&out_of_range), 10.0);
}

/// The policies in the operators' page are parsed as they are printed there, and the README
/// names every command of the continuous integration.
#[test]
fn documented_policies_and_commands_are_valid() {
    let operations = include_str!("../docs/operations.md");
    let mut found = 0;
    for block in operations.split("```policy\n").skip(1) {
        let text = block.split("```").next().unwrap_or("");
        Policy::parse(text).unwrap_or_else(|error| panic!("{error}"));
        found += 1;
    }
    assert!(found >= 3, "{found} examples");
    for rule in RULES {
        let row = format!("| `{}` | `{}` |", rule.name, rule.default);
        assert!(operations.contains(&row), "{row}");
    }
    let readme = include_str!("../README.md");
    let ci = include_str!("../.ci/run");
    for line in ci.lines().filter(|l| l.starts_with("cargo ")) {
        assert!(readme.contains(line), "README lacks: {line}");
    }
}

#[test]
fn invalid_log_levels_are_rejected() {
    for valid in [None, Some("error"), Some("info"), Some("debug")] {
        assert!(log_level(valid).is_ok(), "{valid:?}");
    }
    for invalid in ["trace", "INFO", "1"] {
        assert!(log_level(Some(invalid)).is_err(), "{invalid}");
    }
}

#[test]
fn command_line_reports_failures_by_exit_code() {
    let dir = std::env::temp_dir().join(format!("shelfhoist-cli-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a directory");
    let file = |name: &str, text: &str| {
        let path = dir.join(name);
        std::fs::write(&path, text).expect("a file");
        path.display().to_string()
    };
    let invalid_settings = file("bad.json", "{}");
    let policy = file("good.policy", "idle_s = boot_s / 2\n");
    let invalid_policy = file("wrong.policy", "idle_s = nothing\n");
    let cases: &[(&[&str], i32, &str)] = &[
        (&["--help"], 0, "Exit codes"),
        (&["policy"], 0, "queue_order = borrows"),
        (&["policy", &policy], 0, "idle_s = boot_s / 2"),
        (
            &["policy", &invalid_policy],
            2,
            "line 1, column 10: unknown name",
        ),
        (&["check-settings", &invalid_settings], 2, "settings: "),
        (&["check-settings", "nowhere.json"], 2, "cannot read"),
        (&["--config", &invalid_settings], 2, "settings: "),
        (&["frobnicate"], 2, "Usage"),
        (&["report", "--node", "127.0.0.1:1"], 1, "not connected"),
    ];
    for (args, code, expected_text) in cases {
        let output = Command::new(env!("CARGO_BIN_EXE_shelfhoist"))
            .args(*args)
            .env_remove("LOG_LEVEL")
            .output()
            .expect("runs");
        let text =
            String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(*code), "{args:?}: {text}");
        assert!(text.contains(expected_text), "{args:?}: {text}");
    }
    let output = Command::new(env!("CARGO_BIN_EXE_shelfhoist"))
        .args(["--config", &invalid_settings])
        .env("LOG_LEVEL", "loud")
        .output()
        .expect("runs");
    assert_eq!(output.status.code(), Some(2));
    std::fs::remove_dir_all(&dir).expect("cleaned");
}

#[test]
fn reports_are_formatted_for_people() {
    assert_eq!(duration_text(59.4), "59 s");
    assert_eq!(duration_text(61.0), "1 min 1 s");
    assert_eq!(duration_text(7260.0), "2 h 1 min");
    let report: FleetReport = serde_json::from_value(serde_json::json!({
        "node": "n0", "state_age_s": 0.5, "unfinished": 1, "late": 1, "services_short": 0,
        "machines": {"active": 3}, "refused_by_cloud": ["occhio in porto"], "next": null,
        "commands": {"started_by_call": 5, "tokens_raised": 2},
        "jobs": [{"job": "job-1", "class": "board-sort", "team": "t", "stage": "queued",
                  "left": 1, "late": true, "known_s": 300.0,
                  "reason": "no machine has enough free capacity", "reason_s": 120.0}]
    }))
    .expect("report");
    let text = report_text(&report);
    for expected in [
        "1 jobs are unfinished, 1 of them late.",
        "LATE job-1 (board-sort of t): queued, 1 tasks left, known for 5 min 0 s; no machine has enough free capacity (for 2 min 0 s)",
        "The cloud refuses: occhio in porto.",
        "Machines: 3 active.",
        "Commands since the start: 5 starts by call, 0 by heartbeat, 0 stops, 0 forgets; tokens raised 2, exhausted 0; calls refused 0, unanswered 0.",
    ] {
        assert!(text.contains(expected), "{expected}\n{text}");
    }
    let teams: Vec<TeamDetails> = serde_json::from_value(serde_json::json!([{
        "team": "t", "cpus_used": 12.0, "cpus_guaranteed": 8.0, "cpus_limit": 16.0,
        "cpus_borrowed": 4.0, "gpus_used": 0.0, "gpus_guaranteed": 0.0, "gpus_limit": 0.0,
        "gpus_borrowed": 0.0, "waiting_jobs": 2, "waiting_tasks": 9, "why": "other jobs filled the last placement round"
    }]))
    .expect("teams");
    let text = teams_text(&teams);
    assert!(
        text.contains("12 CPUs used, 8 guaranteed, limit 16, 4 borrowed\n"),
        "{text}"
    );
    assert!(
        text.contains(
            "2 jobs with 9 tasks wait; the first: other jobs filled the last placement round"
        ),
        "{text}"
    );
    let job: JobDetails = serde_json::from_value(serde_json::json!({
        "job": "job-1", "stage": "running", "class": "c", "team": "t", "tasks": 4, "done": 1,
        "waiting": 1, "running": 2, "failures": 0, "known_s": 10.0, "late": false,
        "reason": "its team is at its limit", "reason_s": 5.0,
        "runs": [{"machine": "host-1", "zone": "a", "attempt": 3, "tasks": 2, "stopping": false}]
    }))
    .expect("job");
    let text = job_text(&job);
    assert!(
        text.contains("1 of 4 tasks done, 2 on machines, 1 waiting"),
        "{text}"
    );
    assert!(text.contains("its team is at its limit, for 5 s"), "{text}");
}

#[test]
fn only_jobs_of_a_lost_controller_move() {
    let all = ["a", "b", "c"];
    let mut moved = 0;
    let mut jobs_per_controller = std::collections::BTreeMap::new();
    for n in 0..300 {
        let job = format!("job-{n:06}");
        let preferred = preferred_controller(&job, all.into_iter()).expect("one");
        assert_eq!(
            preferred_controller(&job, ["c", "a", "b"].into_iter()),
            Some(preferred)
        );
        let without_c = preferred_controller(&job, ["a", "b"].into_iter()).expect("one");
        if preferred != "c" {
            assert_eq!(preferred, without_c, "{job}");
        } else {
            moved += 1;
        }
        *jobs_per_controller.entry(preferred).or_insert(0) += 1;
    }
    assert!((60..140).contains(&moved), "{jobs_per_controller:?}");
}

#[test]
fn retry_delay_grows_up_to_a_bound() {
    let base = std::time::Duration::from_secs(2);
    let waits: Vec<u64> = [0, 1, 2, 3, 6, 50]
        .map(|n| retry_delay(n, base).as_secs())
        .to_vec();
    assert_eq!(waits, [0, 2, 4, 8, 64, 64]);
}
