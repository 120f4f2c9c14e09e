//! Why a command could not be carried out, and the exit codes.

use std::net::SocketAddrV4;

use features::FeaturesError;

use crate::http::CallError;
use crate::policy::PolicyError;
use crate::settings::SettingsError;

/// The exit code when a command could not be carried out.
pub const EXIT_FAILED: u8 = 1;
/// The exit code when arguments, settings or a policy are wrong.
pub const EXIT_INVALID: u8 = 2;
/// The exit code when `report` found unfinished work.
pub const EXIT_UNFINISHED: u8 = 3;

/// A value of the environment variable `LOG_LEVEL` that is not known.
#[derive(Debug, thiserror::Error)]
#[error("LOG_LEVEL: {0:?} is none of error, info, debug")]
pub struct LogLevelError(pub(super) String);

/// Why a command could not be carried out.
#[derive(Debug, thiserror::Error)]
pub(super) enum CliError {
    #[error("--config FILE is needed to run")]
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
    /// An amount of a move that no controller would take.
    #[error("an amount is negative, too large or not a number")]
    InvalidAmount,
    /// A running controller says that the arguments are wrong.
    #[error("{0}")]
    InvalidArguments(String),
    #[error("{0}")]
    Runtime(std::io::Error),
    #[error("{0}")]
    Controller(std::io::Error),
    /// A running controller could not be asked, or its response not be read.
    #[error("{controller}: {cause}")]
    Call {
        controller: SocketAddrV4,
        cause: CallError,
    },
    /// A running controller has refused what it was asked.
    #[error("{controller}: {reason}")]
    Rejected {
        controller: SocketAddrV4,
        reason: String,
    },
    #[error("{0}")]
    Json(serde_json::Error),
}

impl CliError {
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
