//! The command line: running a controller, checking what it is to be run
//! with, and asking a running one.

use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use rand::{Rng, SeedableRng};
use serde::de::DeserializeOwned;
use tracing::level_filters::LevelFilter;

use crate::http::Client;
use crate::net::Net;
use crate::node::Node;
use crate::ops::{JobStory, Report, TeamStory};
use crate::policy::{JOB_VARIABLES, MACHINE_VARIABLES, Policy, Subject, Variable};
use crate::settings::Settings;

/// It could not be carried out.
pub const EXIT_FAILED: u8 = 1;
/// Arguments, settings or a policy are wrong.
pub const EXIT_WRONG: u8 = 2;
/// `report` found work left undone.
pub const EXIT_UNDONE: u8 = 3;

/// A small cluster scheduler that admits gangs whole, by zone.
#[derive(Debug, Parser)]
#[command(
    name = "shelfhoist",
    version,
    args_conflicts_with_subcommands = true,
    arg_required_else_help = true,
    after_help = "Exit codes: 0 done, 1 failed, 2 wrong arguments, settings or policy, \
                  3 work was left undone (report)."
)]
pub struct Cli {
    /// Run a controller with this settings file (JSON).
    #[arg(long, value_name = "FILE", required = true)]
    config: Option<PathBuf>,
    /// Run it with the operators' policy in this file.
    #[arg(long, value_name = "FILE", env = "SHELFHOIST_POLICY")]
    policy: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check a settings file.
    CheckSettings {
        /// The settings file (JSON).
        file: PathBuf,
    },
    /// Check a policy file, and explain what its rules decide.
    Policy {
        /// The policy file; the built-in policy if none is named.
        file: Option<PathBuf>,
        /// Say nothing when the policy is right.
        #[arg(long)]
        quiet: bool,
    },
    /// Tell a job's story.
    Job {
        /// The job's id, such as job-000412.
        id: String,
        #[command(flatten)]
        ask: Ask,
    },
    /// List the teams: guarantee, limit, use, what is borrowed, what waits.
    Teams {
        #[command(flatten)]
        ask: Ask,
    },
    /// Report what is unfinished or late, and why.
    Report {
        #[command(flatten)]
        ask: Ask,
    },
}

#[derive(Debug, Args)]
struct Ask {
    /// A running controller, as address:port.
    #[arg(long, value_name = "ADDR", env = "SHELFHOIST_NODE")]
    node: SocketAddrV4,
    /// Answer in JSON, for programs.
    #[arg(long)]
    json: bool,
}

pub fn log_level(value: Option<&str>) -> Result<LevelFilter, String> {
    match value {
        None | Some("" | "info") => Ok(LevelFilter::INFO),
        Some("error") => Ok(LevelFilter::ERROR),
        Some("debug") => Ok(LevelFilter::DEBUG),
        Some(other) => Err(format!(
            "LOG_LEVEL: {other:?} is none of error, info, debug"
        )),
    }
}

struct Failure {
    code: u8,
    problem: String,
}

fn failure(code: u8, problem: impl ToString) -> Failure {
    Failure {
        code,
        problem: problem.to_string(),
    }
}

pub fn main() -> ExitCode {
    let cli = Cli::parse();
    let outcome = match (cli.command, cli.config) {
        (Some(command), _) => carry_out(command),
        (None, Some(config)) => run(&config, cli.policy.as_deref()),
        (None, None) => Err(failure(EXIT_WRONG, "--config FILE is needed to run")),
    };
    match outcome {
        Ok(code) => ExitCode::from(code),
        Err(f) => {
            eprintln!("shelfhoist: {}", f.problem);
            ExitCode::from(f.code)
        }
    }
}

fn read_policy(file: Option<&Path>) -> Result<Policy, Failure> {
    let Some(file) = file else {
        return Ok(Policy::default());
    };
    let text = std::fs::read_to_string(file).map_err(|e| {
        failure(
            EXIT_WRONG,
            format!("policy: cannot read {}: {e}", file.display()),
        )
    })?;
    Policy::parse(&text).map_err(|e| failure(EXIT_WRONG, e))
}

fn runtime() -> Result<tokio::runtime::Runtime, Failure> {
    // One thread: a controller has a small part of one core.
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| failure(EXIT_FAILED, e))
}

fn run(config: &Path, policy: Option<&Path>) -> Result<u8, Failure> {
    let level = std::env::var("LOG_LEVEL").ok();
    let level = log_level(level.as_deref()).map_err(|p| failure(EXIT_WRONG, p))?;
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .without_time()
        .init();
    let mut settings = Settings::load(config).map_err(|e| failure(EXIT_WRONG, e))?;
    settings.policy = read_policy(policy)?;
    let local = tokio::task::LocalSet::new();
    local
        .block_on(&runtime()?, async {
            let seed = rand::rngs::SmallRng::from_os_rng().random();
            Node::new(settings, Net::System, seed).run().await
        })
        .map_err(|e| failure(EXIT_FAILED, e))?;
    Ok(0)
}

fn carry_out(command: Command) -> Result<u8, Failure> {
    match command {
        Command::CheckSettings { file } => {
            let s = Settings::load(&file).map_err(|e| failure(EXIT_WRONG, e))?;
            println!(
                "settings are right: {} of {} controllers, {} zones, {} teams",
                s.node,
                s.deployment.count,
                s.deployment.zones.len(),
                s.deployment.teams.len()
            );
            Ok(0)
        }
        Command::Policy { file, quiet } => {
            let policy = read_policy(file.as_deref())?;
            if !quiet {
                print!("{}", explain(&policy));
            }
            Ok(0)
        }
        Command::Job { id, ask } => {
            let story: JobStory = ask.get(&format!("/ops/job/{id}"))?;
            ask.show(&story, job_text)
        }
        Command::Teams { ask } => {
            let teams: Vec<TeamStory> = ask.get("/ops/teams")?;
            ask.show(&teams, |t| teams_text(t))
        }
        Command::Report { ask } => {
            let mut report: Report = ask.get("/ops/report")?;
            while let Some(after) = report.next.take() {
                let page: Report = ask.get(&format!("/ops/report?after={after}"))?;
                report.jobs.extend(page.jobs);
                report.next = page.next;
            }
            ask.show(&report, report_text)?;
            Ok(if report.unfinished > 0 {
                EXIT_UNDONE
            } else {
                0
            })
        }
    }
}

impl Ask {
    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let client = Client::new(Net::System, Duration::from_secs(10));
        let call = client.call(self.node, "GET", path, None, Duration::from_secs(10));
        let answer = runtime()?
            .block_on(call)
            .map_err(|e| failure(EXIT_FAILED, format!("{}: {e}", self.node)))?;
        if answer.status != 200 {
            let said: serde_json::Value = answer.parse().unwrap_or_default();
            let said = said["error"].as_str().unwrap_or("no reason given");
            return Err(failure(EXIT_FAILED, format!("{}: {said}", self.node)));
        }
        answer
            .parse()
            .map_err(|e| failure(EXIT_FAILED, format!("{}: {e}", self.node)))
    }

    fn show<T: serde::Serialize>(
        &self,
        value: &T,
        text: impl Fn(&T) -> String,
    ) -> Result<u8, Failure> {
        if self.json {
            let json = serde_json::to_string_pretty(value).map_err(|e| failure(EXIT_FAILED, e))?;
            println!("{json}");
        } else {
            print!("{}", text(value));
        }
        Ok(0)
    }
}

/// A span as people read it.
pub fn span_text(seconds: f64) -> String {
    let s = seconds.max(0.0).round() as u64;
    match s {
        0..60 => format!("{s} s"),
        60..3600 => format!("{} min {} s", s / 60, s % 60),
        _ => format!("{} h {} min", s / 3600, s % 3600 / 60),
    }
}

fn stage_text(stage: crate::wire::JobStage) -> &'static str {
    use crate::wire::JobStage::*;
    match stage {
        Queued => "queued",
        Running => "running",
        Done => "done",
        Cancelled => "cancelled",
    }
}

pub fn job_text(j: &JobStory) -> String {
    let mut out = format!("{}: {}", j.job, stage_text(j.stage));
    if let (Some(class), Some(team)) = (&j.class, &j.team) {
        out += &format!(", {class} of {team}");
    }
    out += &format!(
        "\n  {} of {} tasks done, {} on machines, {} waiting\n",
        j.done, j.tasks, j.running, j.waiting
    );
    if let Some(known) = j.known_s {
        let late = if j.late { ", late" } else { "" };
        out += &format!("  known for {}{late}\n", span_text(known));
    }
    if let (Some(why), Some(since)) = (&j.reason, j.reason_s) {
        out += &format!("  {why}, for {}\n", span_text(since));
    }
    if j.failures > 0 {
        out += &format!("  failed {} times in a row\n", j.failures);
    }
    for r in &j.runs {
        let stop = if r.stopping { ", being stopped" } else { "" };
        out += &format!(
            "  on {} in {}: {} tasks, attempt {}{stop}\n",
            r.machine, r.zone, r.tasks, r.attempt
        );
    }
    out
}

pub fn teams_text(teams: &[TeamStory]) -> String {
    let mut out = String::new();
    for t in teams {
        let limit = |x: f64| {
            if x > 0.0 {
                format!("{x}")
            } else {
                "none".into()
            }
        };
        out += &format!(
            "{}: {} CPUs used, {} guaranteed, limit {}, {} borrowed",
            t.team,
            t.cpus_used,
            t.cpus_guaranteed,
            limit(t.cpus_limit),
            t.cpus_borrowed
        );
        if t.gpus_used > 0.0 || t.gpus_guaranteed > 0.0 || t.gpus_limit > 0.0 {
            out += &format!(
                "; {} GPUs used, {} guaranteed, limit {}, {} borrowed",
                t.gpus_used,
                t.gpus_guaranteed,
                limit(t.gpus_limit),
                t.gpus_borrowed
            );
        }
        out.push('\n');
        if t.waiting_jobs > 0 {
            let why = t.why.as_deref().unwrap_or("not known here");
            out += &format!(
                "  {} jobs with {} tasks wait; the first: {why}\n",
                t.waiting_jobs, t.waiting_tasks
            );
        }
    }
    out
}

pub fn report_text(r: &Report) -> String {
    let mut out = String::new();
    match r.state_age_s {
        None => out += "This controller has not read the state service yet: nothing is known.\n",
        Some(age) if age > 10.0 => {
            out += &format!(
                "The state service has not answered for {}: what follows is as old.\n",
                span_text(age)
            );
        }
        Some(_) => {}
    }
    if r.unfinished == 0 {
        out += "Nothing is left undone.\n";
    } else {
        out += &format!(
            "{} jobs are unfinished, {} of them late",
            r.unfinished, r.late
        );
        if r.services_short > 0 {
            out += &format!("; {} services lack replicas", r.services_short);
        }
        out += ".\n";
    }
    for j in &r.jobs {
        let late = if j.late { "LATE " } else { "" };
        out += &format!(
            "  {late}{} ({} of {}): {}, {} tasks left, known for {}; {}",
            j.job,
            j.class,
            j.team,
            stage_text(j.stage),
            j.left,
            span_text(j.known_s),
            j.reason
        );
        if j.reason_s >= 1.0 {
            out += &format!(" (for {})", span_text(j.reason_s));
        }
        out.push('\n');
    }
    if !r.refused_by_cloud.is_empty() {
        out += &format!("The cloud refuses: {}.\n", r.refused_by_cloud.join(", "));
    }
    let machines: Vec<String> = r.machines.iter().map(|(k, n)| format!("{n} {k}")).collect();
    if !machines.is_empty() {
        out += &format!("Machines: {}.\n", machines.join(", "));
    }
    out
}

pub fn explain(policy: &Policy) -> String {
    let mut out = String::new();
    for (rule, text, built_in) in policy.rules() {
        let from = if built_in { "built in" } else { "set" };
        out += &format!("{} = {text}\n  {} ({from})\n", rule.name, rule.meaning);
        out += &match rule.range {
            Some(r) => format!(
                "  a number from {} to {}, for each {}\n",
                r.min,
                r.max,
                subject(rule.subject)
            ),
            None => format!(
                "  one to eight values, for each {}\n",
                subject(rule.subject)
            ),
        };
    }
    for (what, list) in [("job", JOB_VARIABLES), ("machine", MACHINE_VARIABLES)] {
        out += &format!("variables of a {what}:\n");
        for v in list {
            out += &format!("  {}: {}{}\n", v.name, v.meaning, range_text(v));
        }
    }
    out
}

fn subject(s: Subject) -> &'static str {
    match s {
        Subject::Job => "job",
        Subject::Machine => "machine",
    }
}

fn range_text(v: &Variable) -> String {
    match v.range {
        Some(r) => format!(" ({} to {})", r.min, r.max),
        None => " (true or false)".into(),
    }
}
