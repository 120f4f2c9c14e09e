//! Defines the record of jobs that were accepted in one write.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::spec::JobSpec;

/// Record `new/ID`: jobs that were accepted in one write. Each entry serves as the job's
/// record until the job's own record is first written and takes precedence.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AcceptedBatch {
    /// Revision at which the jobs were accepted.
    #[serde(rename = "b")]
    pub accepted_revision: u64,
    /// Specifications of the jobs, by job id.
    #[serde(rename = "j")]
    pub jobs: BTreeMap<String, JobSpec>,
}
