//! Command line that runs a controller, checks its settings and policy, and sends requests
//! to a running controller.
//!
//! - `client`: requests to a running controller.
//! - `error`: errors and exit codes.
//! - `render`: text output.
//! - `share`: commands about shares.

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
pub use render::{duration_text, job_text, policy_text, report_text, teams_text};
pub use share::{moves_text, shares_text};

/// Exit code of a command that succeeded.
const EXIT_SUCCESS: u8 = 0;

/// A small cluster scheduler that starts all tasks of a gang together, by zone.
#[derive(Debug, Parser)]
#[command(
    name = "shelfhoist",
    version,
    args_conflicts_with_subcommands = true,
    arg_required_else_help = true,
    after_help = "Exit codes: 0 success, 1 failure, 2 invalid arguments, settings or policy, \
                  3 unfinished jobs (report)."
)]
pub struct Cli {
    /// Run a controller with this settings file (JSON).
    #[arg(long, value_name = "FILE", required = true)]
    config: Option<PathBuf>,
    /// Use the policy in this file instead of the built-in policy.
    #[arg(long, value_name = "FILE", env = "SHELFHOIST_POLICY")]
    policy: Option<PathBuf>,
    /// Read from this file which optional subsystems to enable (TOML).
    #[arg(long, value_name = "FILE")]
    features_file: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check a settings file.
    CheckSettings {
        /// Settings file (JSON).
        file: PathBuf,
    },
    /// Check a policy file and explain its rules.
    Policy {
        /// Policy file; the built-in policy if none is given.
        file: Option<PathBuf>,
        /// Print nothing if the policy is valid.
        #[arg(long)]
        quiet: bool,
    },
    /// Show the state of a job, and why it is unfinished.
    Job {
        /// Id of the job, such as job-000412.
        id: String,
        #[command(flatten)]
        controller: ControllerArgs,
    },
    /// List the teams: usage, guarantee, limit, borrowed resources and waiting jobs.
    Teams {
        #[command(flatten)]
        controller: ControllerArgs,
    },
    /// Show the controllers' shares of the teams' limits, and move capacity between them.
    Share {
        #[command(subcommand)]
        command: ShareCommand,
    },
    /// List unfinished and late jobs, and why they are unfinished.
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

/// Returns the log level for a value of the environment variable `LOG_LEVEL`, by default
/// `info`.
pub fn log_level(value: Option<&str>) -> Result<LevelFilter, LogLevelError> {
    match value {
        None | Some("" | "info") => Ok(LevelFilter::INFO),
        Some("error") => Ok(LevelFilter::ERROR),
        Some("debug") => Ok(LevelFilter::DEBUG),
        Some(other) => Err(LogLevelError(other.to_string())),
    }
}

/// Runs a subcommand and returns its exit code.
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

/// Runs a controller in this process.
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

/// Starts to write log events of at least this severity to standard error.
fn start_logging(level: LevelFilter) {
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .without_time()
        .init();
}

/// Checks a settings file and prints a summary.
fn check_settings(file: &Path) -> Result<u8, CliError> {
    let settings = Settings::load(file)?;
    println!(
        "settings are valid: {} of {} controllers, {} zones, {} teams",
        settings.controller_name,
        settings.deployment.count,
        settings.deployment.zones.len(),
        settings.deployment.teams.len()
    );
    Ok(EXIT_SUCCESS)
}

/// Checks a policy file and prints its rules.
fn check_policy(file: Option<&Path>, quiet: bool) -> Result<u8, CliError> {
    let policy = read_policy(file)?;
    if !quiet {
        print!("{}", policy_text(&policy));
    }
    Ok(EXIT_SUCCESS)
}

/// Reads a policy file, or returns the built-in policy if no file is given.
fn read_policy(file: Option<&Path>) -> Result<Policy, CliError> {
    let Some(file) = file else {
        return Ok(Policy::default());
    };
    let text = read_file(file, |path, cause| CliError::PolicyFile { path, cause })?;
    Ok(Policy::parse(&text)?)
}

/// Reads a features file, or returns the default features if no file is given.
fn read_features(file: Option<&Path>) -> Result<Features, CliError> {
    let Some(file) = file else {
        return Ok(Features::default());
    };
    let text = read_file(file, |path, cause| CliError::FeaturesFile { path, cause })?;
    Ok(Features::parse(&text)?)
}

/// Reads a file as text. If this fails, calls `error` with the path and the cause to get the
/// error to return.
fn read_file(
    file: &Path,
    error: impl FnOnce(String, std::io::Error) -> CliError,
) -> Result<String, CliError> {
    std::fs::read_to_string(file).map_err(|cause| error(file.display().to_string(), cause))
}

/// Builds the async runtime.
fn runtime() -> Result<tokio::runtime::Runtime, CliError> {
    // One thread is enough, because a controller may use only a fraction of one core.
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CliError::Runtime)
}
