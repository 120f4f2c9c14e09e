//! The features file (`deploy/features.toml`), which enables subsystems: its fields, their
//! ranges, and its schema. Unknown fields are refused. Without a file all subsystems are
//! disabled.

#![warn(missing_docs, unreachable_pub, clippy::expect_used)]

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The reason why a features file is invalid.
#[derive(Debug, thiserror::Error)]
pub enum FeaturesError {
    /// The file is not TOML, or a field is unknown or has the wrong type.
    #[error("features: {0}")]
    Parse(String),
    /// The value of a field is out of range.
    #[error("features: {0}")]
    Range(String),
}

/// The optional subsystems, each with its settings.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Features {
    /// Shares of teams' limits, one for each controller.
    #[garde(dive)]
    pub shares: Shares,
}

/// Shares of teams' limits: each controller books within its own shares, and operators can
/// move capacity between them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Shares {
    /// True if controllers book within shares.
    #[garde(skip)]
    pub enabled: bool,
    /// The amount by which a share grows from the pool, as a multiple of the capacity that
    /// it lacks, if the pool has as much.
    #[garde(range(min = 1, max = 100))]
    #[schemars(range(min = 1, max = 100))]
    pub growth: u32,
    /// The number of passes per worker report interval in which a controller looks for
    /// pending moves.
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
    /// Parses and validates the text of a features file.
    pub fn parse(text: &str) -> Result<Self, FeaturesError> {
        let parsed: Result<Features, toml::de::Error> = toml::from_str(text);
        let features = parsed.map_err(|error| FeaturesError::Parse(error_line(&error, text)))?;
        let checked = features.validate();
        checked.map_err(|report| FeaturesError::Range(first_line(&report.to_string())))?;
        Ok(features)
    }

    /// Returns the JSON schema of the file.
    pub fn schema() -> schemars::Schema {
        schemars::schema_for!(Features)
    }
}

/// Returns the error as one line with its line number.
fn error_line(error: &toml::de::Error, text: &str) -> String {
    let before = error.span().and_then(|span| text.get(..span.start));
    let line = before.map_or(1, |before| before.matches('\n').count() + 1);
    format!("line {line}: {}", first_line(error.message()))
}

fn first_line(text: &str) -> String {
    text.lines().next().unwrap_or_default().to_string()
}
