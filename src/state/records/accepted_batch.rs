//! Defines the record of jobs that were accepted in one write.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::spec::JobSpec;

/// Record `new/ID`: jobs that were accepted in one write. A job's entry stands in for its
/// record `job/ID` until that record is written for the first time. From then on, the entry
/// is ignored.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AcceptedBatch {
    /// Revision at which the jobs were accepted.
    #[serde(rename = "b")]
    pub accepted_revision: u64,
    /// Specifications of the jobs, by job id.
    #[serde(rename = "j")]
    pub jobs: BTreeMap<String, JobSpec>,
}
