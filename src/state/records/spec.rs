//! Defines a job's specification, the part of its submission that is kept in its record.

use std::collections::HashSet;

use resources::{Amount, Resources};
use serde::{Deserialize, Serialize};

use crate::wire::{JobKind, Priority, Submission};

/// Specification of a job: the part of its submission that placement needs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Job class, to which objectives refer.
    #[serde(rename = "l")]
    pub class: String,
    /// Team whose guarantee and limit apply.
    #[serde(rename = "w")]
    pub team: String,
    /// Kind of job, which determines how its tasks depend on each other.
    #[serde(rename = "k")]
    pub kind: JobKind,
    /// Priority, which determines what the job may preempt and be preempted by.
    #[serde(rename = "p")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// Resources that each task needs.
    #[serde(rename = "r")]
    pub need: Resources,
    /// Image that a machine must have fetched before a task starts.
    #[serde(rename = "i")]
    pub image: String,
    /// Size of the image, in GB.
    #[serde(rename = "ig")]
    pub image_gb: f64,
    /// Allowed machine types; `None` for any.
    #[serde(rename = "ty", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// Only allowed zone; `None` for any.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// True if all tasks must be in the same zone.
    #[serde(rename = "oz", default, skip_serializing_if = "super::is_false")]
    pub one_zone: bool,
    /// True if at most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "sp", default, skip_serializing_if = "super::is_false")]
    pub spread: bool,
    /// True if the job may use spot machines.
    #[serde(rename = "lo", default, skip_serializing_if = "super::is_false")]
    pub spot: bool,
    /// Run time of a task as estimated by the job's owner, in seconds.
    #[serde(rename = "e")]
    pub estimate_s: f64,
    /// Progress between checkpoints, in seconds; 0 if tasks never save.
    #[serde(rename = "cs")]
    pub checkpoint_s: f64,
    /// Time that a task needs to save when it is stopped, in seconds.
    #[serde(rename = "ss")]
    pub save_s: f64,
    /// Time from the submission to the deadline, in seconds, if there is a deadline.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Ids of jobs that have to be done before any task of this job starts. Jobs that were
    /// already done when this job was accepted or booked are left out. An empty list is
    /// omitted, so that a record without dependencies stays the same when an older version,
    /// which does not know the field and drops it, rewrites the record.
    #[serde(rename = "aw", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<String>,
}

impl From<&Submission> for JobSpec {
    fn from(submission: &Submission) -> Self {
        JobSpec {
            class: submission.class.clone(),
            team: submission.team.clone(),
            kind: submission.kind,
            priority: submission.priority,
            tasks: submission.tasks,
            need: Resources {
                cpus: Amount::rounded_up(submission.cpus),
                gpus: Amount::rounded_up(submission.gpus),
                ram: Amount::rounded_up(submission.memory_gb),
            },
            image: submission.image.clone(),
            image_gb: submission.image_gb,
            types: submission.types.clone(),
            zone: submission.zone.clone(),
            one_zone: submission.one_zone,
            spread: submission.spread,
            spot: submission.spot,
            estimate_s: submission.estimate_s,
            checkpoint_s: submission.checkpoint_s,
            save_s: submission.save_s,
            deadline_s: submission.deadline_s,
            dependencies: distinct(submission.dependencies.as_deref().unwrap_or_default()),
        }
    }
}

/// Returns the ids without duplicates, in the order of their first occurrences.
fn distinct(ids: &[String]) -> Vec<String> {
    let mut seen = HashSet::new();
    let first = ids.iter().filter(|id| seen.insert(id.as_str()));
    first.cloned().collect()
}

impl JobSpec {
    /// Returns whether tasks may run on machines of a type.
    pub fn allows_type(&self, kind: &str) -> bool {
        self.types
            .as_ref()
            .is_none_or(|types| types.iter().any(|allowed| allowed == kind))
    }

    /// Returns whether tasks may run on machines of this type, in this zone, and on spot
    /// machines if `spot` is set. Free capacity is not considered.
    pub fn allows(&self, kind: &str, zone: &str, spot: bool) -> bool {
        self.allows_type(kind)
            && self.zone.as_deref().is_none_or(|z| z == zone)
            && (self.spot || !spot)
    }

    /// Returns the maximum number of tasks in one zone: half of the tasks, rounded up, if
    /// the job is to be spread; otherwise there is no limit.
    pub fn zone_cap(&self) -> usize {
        if self.spread {
            (self.tasks as usize).div_ceil(2)
        } else {
            usize::MAX
        }
    }

    /// Returns whether all tasks have to run at the same time.
    pub fn is_gang(&self) -> bool {
        self.kind == JobKind::Gang
    }

    /// Returns the approximate total length of the names in the specification, in bytes.
    pub fn names_bytes(&self) -> usize {
        const PUNCTUATION: usize = 3;
        let names = self.types.iter().flatten().chain(&self.dependencies);
        let lists: usize = names.map(|name| name.len() + PUNCTUATION).sum();
        let zone = self.zone.as_ref().map_or(0, String::len);
        self.class.len() + self.team.len() + self.image.len() + zone + lists
    }

    /// Returns the number of bytes that the dependencies take of the encoded specification,
    /// with quotes and commas.
    pub fn dependencies_bytes(&self) -> usize {
        const FIELD_NAME: usize = 10;
        let ids: usize = self.dependencies.iter().map(|id| id.len() + 3).sum();
        if ids == 0 { 0 } else { ids + FIELD_NAME }
    }
}
