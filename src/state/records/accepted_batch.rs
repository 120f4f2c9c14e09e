//! The record of jobs that were accepted together.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::spec::Spec;

/// `new/ID`: jobs that were accepted together, in one write. Each stands for
/// its own record until that is first written; from then on that one counts.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AcceptedBatch {
    /// The revision at which they were accepted.
    #[serde(rename = "b")]
    pub accepted_revision: u64,
    /// The jobs by their ids.
    #[serde(rename = "j")]
    pub jobs: BTreeMap<String, Spec>,
}
