//! The file that turns subsystems on (`deploy/features.toml`): its fields, their ranges,
//! and its schema. Unknown fields are refused. Without a file everything is off.

#![warn(missing_docs, unreachable_pub, clippy::expect_used)]

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Why a features file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum FeaturesError {
    /// It is not TOML, or a field is unknown or of another type.
    #[error("features: {0}")]
    Parse(String),
    /// The value of a field is out of range.
    #[error("features: {0}")]
    Range(String),
}

/// The subsystems, each with its settings.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Features {
    /// Shares of teams' limits, one for each controller.
    #[garde(dive)]
    pub shares: Shares,
}

/// Shares of teams' limits: each controller admits within its own, and they can be moved.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Shares {
    /// Whether controllers admit within shares.
    #[garde(skip)]
    pub enabled: bool,
    /// A share that grows from the pool takes so many times what it lacks, where the pool
    /// has as much.
    #[garde(range(min = 1, max = 100))]
    #[schemars(range(min = 1, max = 100))]
    pub growth: u32,
    /// How often in a worker's report interval a controller looks for something that is
    /// left to move.
    #[garde(range(min = 1, max = 50))]
    #[schemars(range(min = 1, max = 50))]
    pub passes_per_report: u32,
}

impl Default for Shares {
    fn default() -> Self {
        Shares {
            enabled: false,
            growth: 4,
            passes_per_report: 4,
        }
    }
}

impl Features {
    /// Reads and checks the text of a features file.
    pub fn parse(text: &str) -> Result<Self, FeaturesError> {
        let parsed: Result<Features, toml::de::Error> = toml::from_str(text);
        let features = parsed.map_err(|error| FeaturesError::Parse(error_line(&error, text)))?;
        let checked = features.validate();
        checked.map_err(|report| FeaturesError::Range(first_line(&report.to_string())))?;
        Ok(features)
    }

    /// The schema of the file.
    pub fn schema() -> schemars::Schema {
        schemars::schema_for!(Features)
    }
}

/// The error as one line, with the place where it is.
fn error_line(error: &toml::de::Error, text: &str) -> String {
    let before = error.span().and_then(|span| text.get(..span.start));
    let line = before.map_or(1, |before| before.matches('\n').count() + 1);
    format!("line {line}: {}", first_line(error.message()))
}

fn first_line(text: &str) -> String {
    text.lines().next().unwrap_or_default().to_string()
}
