//! Errors and exit codes of the command line.

use std::net::SocketAddrV4;

use features::FeaturesError;

use crate::http::CallError;
use crate::policy::PolicyError;
use crate::settings::SettingsError;

/// Exit code if a command failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit code if arguments, settings, features or a policy are invalid.
pub const EXIT_INVALID: u8 = 2;
/// Exit code if `report` found unfinished jobs.
pub const EXIT_UNFINISHED: u8 = 3;

/// Error for an unknown value of the environment variable `LOG_LEVEL`.
#[derive(Debug, thiserror::Error)]
#[error("LOG_LEVEL: {0:?} is not one of error, info, debug")]
pub struct LogLevelError(pub(super) String);

/// Reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum CliError {
    #[error("--config FILE is required to run a controller")]
    MissingConfig,
    #[error(transparent)]
    LogLevel(#[from] LogLevelError),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("policy: cannot read {path}: {cause}")]
    PolicyFile { path: String, cause: std::io::Error },
    #[error(transparent)]
    Policy(#[from] PolicyError),
    #[error("features: cannot read {path}: {cause}")]
    FeaturesFile { path: String, cause: std::io::Error },
    #[error(transparent)]
    Features(#[from] FeaturesError),
    /// The amount to move is one that every controller would reject.
    #[error("an amount is negative, too large or not a number")]
    InvalidAmount,
    /// A running controller rejected the arguments with a 4xx status.
    #[error("{0}")]
    InvalidArguments(String),
    #[error("cannot start the async runtime: {0}")]
    Runtime(std::io::Error),
    #[error("cannot listen: {0}")]
    Controller(std::io::Error),
    /// A call to a running controller failed, or its response could not be read.
    #[error("{controller}: {cause}")]
    Call {
        controller: SocketAddrV4,
        cause: CallError,
    },
    /// A running controller rejected a request.
    #[error("{controller}: {reason}")]
    Rejected {
        controller: SocketAddrV4,
        reason: String,
    },
    #[error("cannot write JSON: {0}")]
    Json(serde_json::Error),
}

impl CliError {
    /// Returns the exit code for the error.
    pub(super) fn exit_code(&self) -> u8 {
        match self {
            CliError::MissingConfig
            | CliError::LogLevel(_)
            | CliError::Settings(_)
            | CliError::PolicyFile { .. }
            | CliError::Policy(_)
            | CliError::FeaturesFile { .. }
            | CliError::Features(_)
            | CliError::InvalidAmount
            | CliError::InvalidArguments(_) => EXIT_INVALID,
            CliError::Runtime(_)
            | CliError::Controller(_)
            | CliError::Call { .. }
            | CliError::Rejected { .. }
            | CliError::Json(_) => EXIT_FAILED,
        }
    }
}
