//! What of a submission is kept with its job.

use std::collections::HashSet;

use resources::{Amount, Resources};
use serde::{Deserialize, Serialize};

use crate::wire::{JobKind, Priority, Submission};

/// The part of a submission that placing needs, kept with the job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Spec {
    /// The class of jobs that objectives refer to.
    #[serde(rename = "l")]
    pub class: String,
    /// The team whose guarantee and limit apply.
    #[serde(rename = "w")]
    pub team: String,
    /// How the tasks belong together.
    #[serde(rename = "k")]
    pub kind: JobKind,
    /// What it may preempt and be preempted by.
    #[serde(rename = "p")]
    pub priority: Priority,
    /// The number of tasks.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// What each task takes of its machine.
    #[serde(rename = "r")]
    pub need: Resources,
    /// The image that a machine needs before a task starts.
    #[serde(rename = "i")]
    pub image: String,
    /// The size of the image, in GB.
    #[serde(rename = "ig")]
    pub image_gb: f64,
    /// The allowed machine types, `None` for any.
    #[serde(rename = "ty", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only allowed zone, `None` for any.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks must be in the same zone.
    #[serde(rename = "oz", default, skip_serializing_if = "super::is_false")]
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "sp", default, skip_serializing_if = "super::is_false")]
    pub spread: bool,
    /// The job may use spot machines.
    #[serde(rename = "lo", default, skip_serializing_if = "super::is_false")]
    pub spot: bool,
    /// The owner's estimate of a task's run time, in seconds.
    #[serde(rename = "e")]
    pub estimate_s: f64,
    /// Seconds of progress between checkpoints, 0 if tasks never save.
    #[serde(rename = "cs")]
    pub checkpoint_s: f64,
    /// Seconds that a task takes to save when it is stopped.
    #[serde(rename = "ss")]
    pub save_s: f64,
    /// Seconds from the submission to the deadline, if there is one.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts; those that
    /// were done when it was accepted, or booked, are left out. Left out of the
    /// text when empty: programs from before it would write it back without.
    #[serde(rename = "aw", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<String>,
}

impl From<&Submission> for Spec {
    fn from(s: &Submission) -> Self {
        Spec {
            class: s.class.clone(),
            team: s.team.clone(),
            kind: s.kind,
            priority: s.priority,
            tasks: s.tasks,
            need: Resources {
                cpus: Amount::rounded_up(s.cpus),
                gpus: Amount::rounded_up(s.gpus),
                ram: Amount::rounded_up(s.memory_gb),
            },
            image: s.image.clone(),
            image_gb: s.image_gb,
            types: s.types.clone(),
            zone: s.zone.clone(),
            one_zone: s.one_zone,
            spread: s.spread,
            spot: s.spot,
            estimate_s: s.estimate_s,
            checkpoint_s: s.checkpoint_s,
            save_s: s.save_s,
            deadline_s: s.deadline_s,
            dependencies: distinct(s.dependencies.as_deref().unwrap_or_default()),
        }
    }
}

/// Each once, in the order in which they first come.
fn distinct(ids: &[String]) -> Vec<String> {
    let mut seen = HashSet::new();
    let first = ids.iter().filter(|id| seen.insert(id.as_str()));
    first.cloned().collect()
}

impl Spec {
    /// Whether tasks may run on machines of this type.
    pub fn allows_type(&self, t: &str) -> bool {
        self.types
            .as_ref()
            .is_none_or(|ts| ts.iter().any(|x| x == t))
    }

    /// Whether the machine's type, zone and kind are allowed; room apart.
    pub fn allows(&self, kind: &str, zone: &str, spot: bool) -> bool {
        self.allows_type(kind)
            && self.zone.as_deref().is_none_or(|z| z == zone)
            && (self.spot || !spot)
    }

    /// At most half of the tasks, rounded up, in one zone.
    pub fn zone_cap(&self) -> usize {
        if self.spread {
            (self.tasks as usize).div_ceil(2)
        } else {
            usize::MAX
        }
    }

    /// Whether all tasks have to run at the same time.
    pub fn is_gang(&self) -> bool {
        self.kind == JobKind::Gang
    }

    /// About how long its names are together.
    pub fn names_bytes(&self) -> usize {
        const MARKS: usize = 3;
        let types = self.types.iter().flatten().chain(&self.dependencies);
        let lists: usize = types.map(|name| name.len() + MARKS).sum();
        let zone = self.zone.as_ref().map_or(0, String::len);
        self.class.len() + self.team.len() + self.image.len() + zone + lists
    }

    /// How much of its text the ids take that it awaits, with quotes and commas.
    pub fn dependencies_bytes(&self) -> usize {
        const NAME: usize = 10;
        let ids: usize = self.dependencies.iter().map(|id| id.len() + 3).sum();
        if ids == 0 { 0 } else { ids + NAME }
    }
}
