//! Tests of the stand-ins' rule checker. The checker must report the rule that a history
//! violates, and must report nothing for the same history without the violation. A scripted
//! controller takes the place of the real program, because the program must never violate the
//! rules.

// Each test target uses only some of the stand-ins.
#[allow(dead_code)]
#[path = "../stand_ins/mod.rs"]
mod stand_ins;

mod derived_rules;
mod history;
mod responses;
mod tasks;

use derived_rules::derived_rules;
use history::{
    Cancel, Elapse, FIRST, StartTask, check_cases, followed_by, long_task_started,
    reported_violations,
};
use responses::{forgotten, invented, not_done, went_back};
use stand_ins::{Rule, run_in_simulated_time};
use tasks::{quota, ran_cancelled, ran_twice, wrong_place};

#[test]
fn task_on_two_machines_is_reported() {
    check_cases(ran_twice());
}

#[test]
fn team_above_its_limit_is_reported() {
    check_cases(quota());
}

#[test]
fn start_on_disallowed_machine_is_reported() {
    check_cases(wrong_place());
}

#[test]
fn task_running_after_cancellation_is_reported() {
    check_cases(ran_cancelled());
}

#[test]
fn forgotten_job_is_reported() {
    check_cases(forgotten());
}

#[test]
fn response_about_unsubmitted_job_is_reported() {
    check_cases(invented());
}

#[test]
fn job_reported_done_too_early_is_reported() {
    check_cases(not_done());
}

#[test]
fn response_that_reverts_final_stage_is_reported() {
    check_cases(went_back());
}

#[test]
fn violations_of_derived_rules_are_reported() {
    check_cases(derived_rules());
}

#[test]
fn every_rule_has_a_case() {
    let cases = [
        ran_twice(),
        quota(),
        wrong_place(),
        ran_cancelled(),
        forgotten(),
        invented(),
        not_done(),
        went_back(),
        derived_rules(),
    ];
    let covered: Vec<Rule> = cases.iter().flatten().map(|case| case.rule).collect();
    for rule in Rule::ALL {
        assert!(covered.contains(&rule), "no case for {}", rule.name());
    }
}

/// Checks that a second violation is reported, too. This fails if the checker stops after its
/// first report.
#[test]
fn second_violation_is_reported() {
    run_in_simulated_time(|| async {
        let unknown_job = vec![StartTask(0, "job-000002/0"), Elapse(1.0)];
        let late_task = followed_by(
            long_task_started(),
            vec![Cancel(FIRST, 200, "aborted"), Elapse(32.0)],
        );
        let reported = reported_violations([unknown_job, late_task]).await;
        let rules: Vec<&str> = reported
            .iter()
            .filter_map(|t| t.split(':').next())
            .collect();
        assert_eq!(rules, ["unknown_job", "ran_cancelled"], "{reported:?}");
    });
}
