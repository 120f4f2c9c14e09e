//! The rule checker of the stand-ins, fed with each violation: it reports the
//! rule, and the same history without the violation passes. A scripted controller
//! gives the orders and the answers, since the program must not.

// Each file of tests uses a part of them.
#[allow(dead_code)]
#[path = "../stand_ins/mod.rs"]
mod stand_ins;

mod answers;
mod derived_rules;
mod history;
mod tasks;

use answers::{forgotten, invented, not_done, went_back};
use derived_rules::derived_rules;
use history::{
    Cancel, Elapse, FIRST, StartTask, check_cases, followed_by, long_task_started,
    reported_violations,
};
use stand_ins::{Rule, in_world};
use tasks::{quota, ran_cancelled, ran_twice, wrong_place};

#[test]
fn a_task_on_two_machines_is_reported() {
    check_cases(ran_twice());
}

#[test]
fn a_team_beyond_its_limit_is_reported() {
    check_cases(quota());
}

#[test]
fn a_start_on_a_machine_that_is_not_allowed_is_reported() {
    check_cases(wrong_place());
}

#[test]
fn a_task_that_outlives_its_cancellation_is_reported() {
    check_cases(ran_cancelled());
}

#[test]
fn a_forgotten_job_is_reported() {
    check_cases(forgotten());
}

#[test]
fn an_invented_job_is_reported() {
    check_cases(invented());
}

#[test]
fn a_job_called_done_too_early_is_reported() {
    check_cases(not_done());
}

#[test]
fn an_answer_that_goes_back_is_reported() {
    check_cases(went_back());
}

#[test]
fn violations_of_the_further_rules_are_reported() {
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
    let with_case: Vec<Rule> = cases.iter().flatten().map(|case| case.rule).collect();
    for rule in Rule::ALL {
        assert!(with_case.contains(&rule), "no case for {}", rule.name());
    }
}

/// The checker goes on after a report: a second violation is found, too.
#[test]
fn what_follows_a_violation_is_still_judged() {
    in_world(|| async {
        let unknown = vec![StartTask(0, "job-000002/0"), Elapse(1.0)];
        let second = followed_by(
            long_task_started(),
            vec![Cancel(FIRST, 200, "aborted"), Elapse(32.0)],
        );
        let reported = reported_violations([unknown, second]).await;
        let rules: Vec<&str> = reported
            .iter()
            .filter_map(|t| t.split(':').next())
            .collect();
        assert_eq!(rules, ["unknown_job", "ran_cancelled"], "{reported:?}");
    });
}
