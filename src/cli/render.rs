//! Formats reports, job states and policies as text for the command line.

use crate::introspection::{FleetReport, JobDetails, RunDetails, TeamDetails, UnfinishedJob};
use crate::policy::{JOB_VARIABLES, MACHINE_VARIABLES, Policy, Rule, Subject, Variable};
use crate::wire::JobStage;
use crate::workers::CommandCounts;

/// Age of the state above which the report mentions it, in seconds.
const STALE_STATE_S: f64 = 10.0;

/// Time for which a reason must have been the same to be printed with its duration, in
/// seconds.
const LASTING_REASON_S: f64 = 1.0;

const SECONDS_PER_MINUTE: u64 = 60;
const SECONDS_PER_HOUR: u64 = 3600;

/// Formats a duration in its two largest units, such as `2 h 1 min`.
pub fn duration_text(seconds: f64) -> String {
    let seconds = seconds.max(0.0).round() as u64;
    let minutes = seconds % SECONDS_PER_HOUR / SECONDS_PER_MINUTE;
    match seconds {
        0..SECONDS_PER_MINUTE => format!("{seconds} s"),
        SECONDS_PER_MINUTE..SECONDS_PER_HOUR => {
            format!("{minutes} min {} s", seconds % SECONDS_PER_MINUTE)
        }
        _ => format!("{} h {minutes} min", seconds / SECONDS_PER_HOUR),
    }
}

/// Returns the name of a job's stage.
fn stage_text(stage: JobStage) -> &'static str {
    match stage {
        JobStage::Queued => "queued",
        JobStage::Running => "running",
        JobStage::Done => "done",
        JobStage::Cancelled => "cancelled",
    }
}

/// Formats the state of a job on several lines.
pub fn job_text(details: &JobDetails) -> String {
    let mut text = format!("{}: {}", details.job, stage_text(details.stage));
    if let (Some(class), Some(team)) = (&details.class, &details.team) {
        text += &format!(", {class} of {team}");
    }
    text += &format!(
        "\n  {} of {} tasks done, {} on machines, {} waiting\n",
        details.done, details.tasks, details.running, details.waiting
    );
    if let Some(known_s) = details.known_s {
        let late = if details.late { ", late" } else { "" };
        text += &format!("  known for {}{late}\n", duration_text(known_s));
    }
    if let (Some(reason), Some(reason_s)) = (&details.reason, details.reason_s) {
        text += &format!("  {reason}, for {}\n", duration_text(reason_s));
    }
    if details.failures > 0 {
        text += &format!("  failed {} times in a row\n", details.failures);
    }
    text.extend(details.runs.iter().map(run_text));
    text
}

/// Formats the tasks of a job on one machine.
fn run_text(run: &RunDetails) -> String {
    let stopping = if run.stopping { ", being stopped" } else { "" };
    format!(
        "  on {} in {}: {} tasks, attempt {}{stopping}\n",
        run.machine, run.zone, run.tasks, run.attempt
    )
}

/// Formats the usage of each team, followed by its waiting jobs if there are any.
pub fn teams_text(teams: &[TeamDetails]) -> String {
    teams.iter().map(team_text).collect()
}

/// Formats the usage and the waiting jobs of one team.
fn team_text(team: &TeamDetails) -> String {
    let mut text = format!(
        "{}: {} CPUs used, {} guaranteed, limit {}, {} borrowed",
        team.team,
        team.cpus_used,
        team.cpus_guaranteed,
        limit_text(team.cpus_limit),
        team.cpus_borrowed
    );
    if team.gpus_used > 0.0 || team.gpus_guaranteed > 0.0 || team.gpus_limit > 0.0 {
        text += &format!(
            "; {} GPUs used, {} guaranteed, limit {}, {} borrowed",
            team.gpus_used,
            team.gpus_guaranteed,
            limit_text(team.gpus_limit),
            team.gpus_borrowed
        );
    }
    text.push('\n');
    if team.waiting_jobs > 0 {
        let reason = team.why.as_deref().unwrap_or("unknown");
        text += &format!(
            "  {} jobs with {} tasks wait; the first: {reason}\n",
            team.waiting_jobs, team.waiting_tasks
        );
    }
    text
}

/// Formats a limit, where 0 means no limit.
fn limit_text(limit: f64) -> String {
    if limit > 0.0 {
        limit.to_string()
    } else {
        "none".to_string()
    }
}

/// Formats the unfinished jobs, with totals and the machine counts.
pub fn report_text(report: &FleetReport) -> String {
    let mut text = state_age_text(report.state_age_s);
    text += &totals_text(report);
    text.extend(report.jobs.iter().map(unfinished_job_text));
    if !report.refused_by_cloud.is_empty() {
        let offers = report.refused_by_cloud.join(", ");
        text += &format!("The cloud refuses: {offers}.\n");
    }
    let machines: Vec<String> = report
        .machines
        .iter()
        .map(|(state, count)| format!("{count} {state}"))
        .collect();
    if !machines.is_empty() {
        text += &format!("Machines: {}.\n", machines.join(", "));
    }
    text += &commands_text(&report.commands);
    text
}

/// Formats the numbers of commands that the controller has sent to workers; empty if it has
/// sent none.
fn commands_text(counts: &CommandCounts) -> String {
    if *counts == CommandCounts::default() {
        return String::new();
    }
    format!(
        "Commands since the start: {} starts by call, {} by heartbeat, {} stops, {} forgets; \
         tokens raised {}, exhausted {}; calls refused {}, unanswered {}.\n",
        counts.started_by_call,
        counts.started_by_heartbeat,
        counts.stopped,
        counts.forgotten,
        counts.tokens_raised,
        counts.tokens_exhausted,
        counts.calls_refused,
        counts.calls_unanswered,
    )
}

/// Returns a warning if the report is based on missing or old state.
fn state_age_text(age_s: Option<f64>) -> String {
    match age_s {
        None => "This controller has not read its state from the state service yet.\n".to_string(),
        Some(age_s) if age_s > STALE_STATE_S => format!(
            "The state service has not answered for {}: this report may be out of date.\n",
            duration_text(age_s)
        ),
        Some(_) => String::new(),
    }
}

/// Formats the number of unfinished jobs.
fn totals_text(report: &FleetReport) -> String {
    if report.unfinished == 0 {
        return "No jobs are unfinished.\n".to_string();
    }
    let services = match report.services_short {
        0 => String::new(),
        short => format!("; {short} services lack replicas"),
    };
    format!(
        "{} jobs are unfinished, {} of them late{services}.\n",
        report.unfinished, report.late
    )
}

/// Formats one unfinished job.
fn unfinished_job_text(job: &UnfinishedJob) -> String {
    let late = if job.late { "LATE " } else { "" };
    let lasting = if job.reason_s >= LASTING_REASON_S {
        format!(" (for {})", duration_text(job.reason_s))
    } else {
        String::new()
    };
    format!(
        "  {late}{} ({} of {}): {}, {} tasks left, known for {}; {}{lasting}\n",
        job.job,
        job.class,
        job.team,
        stage_text(job.stage),
        job.left,
        duration_text(job.known_s),
        job.reason
    )
}

/// Formats the rules of a policy, followed by the variables that rules may use.
pub fn policy_text(policy: &Policy) -> String {
    let mut text = String::new();
    for expression in policy.rules() {
        let rule = expression.rule;
        let origin = if expression.is_built_in() {
            "built in"
        } else {
            "set"
        };
        text += &format!("{} = {}\n", rule.name, expression.text);
        text += &format!("  {} ({origin})\n", rule.meaning);
        text += &rule_values_text(rule);
    }
    text += &variables_text("job", JOB_VARIABLES);
    text += &variables_text("machine", MACHINE_VARIABLES);
    text
}

/// Formats the range of the values that a rule may have.
fn rule_values_text(rule: &Rule) -> String {
    let subject = match rule.subject {
        Subject::Job => "job",
        Subject::Machine => "machine",
    };
    match rule.range {
        Some(range) => format!(
            "  a number from {} to {}, for each {subject}\n",
            range.min, range.max
        ),
        None => format!("  one to eight values, for each {subject}\n"),
    }
}

/// Formats the variables of a subject.
fn variables_text(subject: &str, variables: &[Variable]) -> String {
    let mut text = format!("variables of a {subject}:\n");
    for variable in variables {
        let range = match variable.range {
            Some(range) => format!("{} to {}", range.min, range.max),
            None => "true or false".to_string(),
        };
        text += &format!("  {}: {} ({range})\n", variable.name, variable.meaning);
    }
    text
}
