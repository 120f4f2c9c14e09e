//! Whose fault a job's failures are: the job's or the machine's.

use std::collections::{HashMap, HashSet};

use crate::machines::{EndKey, Hand};
use crate::model::{Final, Job};
use crate::node::Node;
use crate::view::View;

/// What a machine's failures say of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Judgement {
    /// Nothing, or the jobs fail on others as well.
    Fine,
    /// Several jobs failed there, and nobody knows yet whose fault it is.
    Suspect,
    /// A job that failed there has succeeded elsewhere since.
    Sick,
}

/// What the failure of one job on a machine says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Blame {
    Job,
    Machine,
    Unknown,
}

/// Whom to blame for a job's failure on a machine, by the job's record, which
/// holds that failure: the machine, if the job has succeeded since; the job, if
/// it fails on others, too, or is cancelled.
pub fn blame(job: &Job, machine: &str) -> Blame {
    match job.fin {
        Final::Done => Blame::Machine,
        Final::Cancelled => Blame::Job,
        Final::Open if job.is_doubtful() => Blame::Job,
        Final::Open if job.failed_on.iter().any(|m| m == machine) => Blame::Unknown,
        Final::Open => Blame::Machine,
    }
}

/// Judges a machine by jobs that succeed elsewhere; a job with a mistake fails
/// on all machines alike, and would send one after another away.
pub(super) fn judgement(node: &Node, view: &View, machine: &str, hand: &Hand) -> Judgement {
    let ends = node.ends.borrow();
    let mut unknown = 0;
    for id in &hand.failed_jobs {
        let first = EndKey {
            job: id.clone(),
            machine: machine.to_string(),
            attempt: 0,
            task: 0,
        };
        let mut waiting = ends.range(first..);
        let waits = waiting
            .next()
            .is_some_and(|(k, _)| k.job == *id && k.machine == machine);
        let Some(job) = view.jobs.get(id) else {
            continue;
        };
        match blame(&job.value, machine) {
            _ if waits => unknown += 1,
            Blame::Machine => return Judgement::Sick,
            Blame::Unknown => unknown += 1,
            Blame::Job => {}
        }
    }
    match unknown {
        0 | 1 => Judgement::Fine,
        _ => Judgement::Suspect,
    }
}

/// Machines that take no new work until it is known whose fault the failures
/// there are: a quarter of those held at most, or many jobs with a mistake
/// would leave no room to tell.
pub fn suspects(node: &Node, view: &View, hands: &HashMap<String, Hand>) -> HashSet<String> {
    let mut found: Vec<(usize, &String)> = hands
        .iter()
        .filter(|(_, hand)| hand.failed_jobs.len() > 1)
        .filter(|(id, hand)| judgement(node, view, id, hand) == Judgement::Suspect)
        .map(|(id, hand)| (hand.failed_jobs.len(), id))
        .collect();
    found.sort_by(|a, b| b.cmp(a));
    let most = (hands.len() / 4).max(1);
    let found = found.into_iter().take(most);
    found.map(|(_, id)| id.clone()).collect()
}
