//! The command line.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use rand::{Rng, SeedableRng};
use tracing::level_filters::LevelFilter;

use crate::net::Net;
use crate::node::Node;
use crate::settings::Settings;

/// A small cluster scheduler that admits gangs whole, by zone.
#[derive(Debug, Parser)]
#[command(name = "shelfhoist", version)]
pub struct Args {
    /// Run a controller with this settings file (JSON).
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
}

/// Exit codes: settings or arguments that are wrong.
const EXIT_SETTINGS: u8 = 2;
/// The controller could not run.
const EXIT_FAILED: u8 = 1;

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

fn complain(problem: &dyn std::fmt::Display, code: u8) -> ExitCode {
    eprintln!("shelfhoist: {problem}");
    ExitCode::from(code)
}

pub fn main() -> ExitCode {
    let args = Args::parse();
    let level = std::env::var("LOG_LEVEL").ok();
    let level = match log_level(level.as_deref()) {
        Ok(level) => level,
        Err(problem) => return complain(&problem, EXIT_SETTINGS),
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .without_time()
        .init();
    let settings = match Settings::load(&args.config) {
        Ok(s) => s,
        Err(problem) => return complain(&problem, EXIT_SETTINGS),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(r) => r,
        Err(problem) => return complain(&problem, EXIT_FAILED),
    };
    let local = tokio::task::LocalSet::new();
    let ended = local.block_on(&runtime, async {
        let node = Node::new(
            settings,
            Net::System,
            rand::rngs::SmallRng::from_os_rng().random(),
        );
        node.run().await
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => complain(&problem, EXIT_FAILED),
    }
}
