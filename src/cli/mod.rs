//! The command line: runs a controller, checks its settings and policy, and makes
//! requests to a running one.
//!
//! `error` holds the errors and the exit codes, `client` the requests to a running
//! controller, `share` the commands about shares, `render` the texts for people.

mod client;
mod error;
mod render;
mod share;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use client::ControllerArgs;
use error::CliError;
use rand::{Rng, SeedableRng};
use share::ShareCommand;
use tracing::level_filters::LevelFilter;

use crate::controller::Controller;
use crate::daemon;
use crate::net::Net;
use crate::policy::Policy;
use crate::settings::{Features, Settings};

pub use error::{EXIT_FAILED, EXIT_INVALID, EXIT_UNFINISHED, LogLevelError};
pub use render::{job_text, policy_text, report_text, span_text, teams_text};
pub use share::{moves_text, shares_text};

/// The exit code of a command that was carried out.
const EXIT_SUCCESS: u8 = 0;

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
    /// Run it with the subsystems on that this file turns on (TOML).
    #[arg(long, value_name = "FILE")]
    features_file: Option<PathBuf>,
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
        controller: ControllerArgs,
    },
    /// List the teams: guarantee, limit, use, what is borrowed, what waits.
    Teams {
        #[command(flatten)]
        controller: ControllerArgs,
    },
    /// Show how the room of teams is split over the controllers, and move parts of it.
    Share {
        #[command(subcommand)]
        command: ShareCommand,
    },
    /// Report what is unfinished or late, and why.
    Report {
        #[command(flatten)]
        controller: ControllerArgs,
    },
}

/// Runs the program with the arguments of this process.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    let outcome = match (cli.command, cli.config) {
        (Some(command), _) => run_command(command),
        (None, Some(config)) => {
            run_controller(&config, cli.policy.as_deref(), cli.features_file.as_deref())
        }
        (None, None) => Err(CliError::MissingConfig),
    };
    match outcome {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("shelfhoist: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// The level that the environment variable `LOG_LEVEL` sets, `info` without it.
pub fn log_level(value: Option<&str>) -> Result<LevelFilter, LogLevelError> {
    match value {
        None | Some("" | "info") => Ok(LevelFilter::INFO),
        Some("error") => Ok(LevelFilter::ERROR),
        Some("debug") => Ok(LevelFilter::DEBUG),
        Some(other) => Err(LogLevelError(other.to_string())),
    }
}

fn run_command(command: Command) -> Result<u8, CliError> {
    match command {
        Command::CheckSettings { file } => check_settings(&file),
        Command::Policy { file, quiet } => check_policy(file.as_deref(), quiet),
        Command::Job { id, controller } => controller.show_job(&id),
        Command::Teams { controller } => controller.show_teams(),
        Command::Share { command } => command.run(),
        Command::Report { controller } => controller.show_report(),
    }
}

fn run_controller(
    config: &Path,
    policy: Option<&Path>,
    features: Option<&Path>,
) -> Result<u8, CliError> {
    let level = std::env::var("LOG_LEVEL").ok();
    start_logging(log_level(level.as_deref())?);
    let mut settings = Settings::load(config)?;
    settings.policy = read_policy(policy)?;
    settings.features = read_features(features)?;
    settings.check_features()?;
    let local = tokio::task::LocalSet::new();
    local
        .block_on(&runtime()?, async {
            let seed = rand::rngs::SmallRng::from_os_rng().random();
            daemon::run(Controller::new(settings, Net::System, seed)).await
        })
        .map_err(CliError::Controller)?;
    Ok(EXIT_SUCCESS)
}

fn start_logging(level: LevelFilter) {
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .without_time()
        .init();
}

fn check_settings(file: &Path) -> Result<u8, CliError> {
    let settings = Settings::load(file)?;
    println!(
        "settings are right: {} of {} controllers, {} zones, {} teams",
        settings.controller_name,
        settings.deployment.count,
        settings.deployment.zones.len(),
        settings.deployment.teams.len()
    );
    Ok(EXIT_SUCCESS)
}

fn check_policy(file: Option<&Path>, quiet: bool) -> Result<u8, CliError> {
    let policy = read_policy(file)?;
    if !quiet {
        print!("{}", policy_text(&policy));
    }
    Ok(EXIT_SUCCESS)
}

fn read_policy(file: Option<&Path>) -> Result<Policy, CliError> {
    let Some(file) = file else {
        return Ok(Policy::default());
    };
    let text = read_file(file, |path, cause| CliError::PolicyFile { path, cause })?;
    Ok(Policy::parse(&text)?)
}

fn read_features(file: Option<&Path>) -> Result<Features, CliError> {
    let Some(file) = file else {
        return Ok(Features::default());
    };
    let text = read_file(file, |path, cause| CliError::FeaturesFile { path, cause })?;
    Ok(Features::parse(&text)?)
}

fn read_file(
    file: &Path,
    error: impl FnOnce(String, std::io::Error) -> CliError,
) -> Result<String, CliError> {
    std::fs::read_to_string(file).map_err(|cause| error(file.display().to_string(), cause))
}

fn runtime() -> Result<tokio::runtime::Runtime, CliError> {
    // One thread: a controller has a small part of one core.
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CliError::Runtime)
}
