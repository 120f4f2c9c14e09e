//! Acceptance of submissions: those that wait are committed together.

use std::collections::BTreeMap;
use std::rc::Rc;

use rand::Rng;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::users::is_given_up;
use crate::model::{Arrivals, Job, Spec};
use crate::node::{Node, guard, put};
use crate::store::{Class, StoreError};
use crate::view::{arrivals_key, job_key};
use crate::wire::Guard;

/// A submission that waits to be accepted, and who waits for that: true when
/// it is, false when its id is known already.
pub struct Arrival {
    pub(super) id: String,
    pub(super) spec: Spec,
    pub(super) done: oneshot::Sender<bool>,
}

/// Accepts submissions, as many at once as have gathered while the budget or
/// the last commit was waited for: a rush costs few writes.
pub async fn keep_accepting(node: Rc<Node>) {
    // The first does not wait; those behind it gather for a moment.
    let gather = node.request_gap() * 4;
    loop {
        node.arrivals_wanted.notified().await;
        while !node.arrivals.borrow().is_empty() {
            node.store.ready(Class::Accept, 1).await;
            let begun = Instant::now();
            accept_some(&node).await;
            tokio::time::sleep(gather.saturating_sub(begun.elapsed())).await;
        }
    }
}

async fn accept_some(node: &Node) {
    let ops = node.settings.txn_ops();
    let most = node.settings.value_bytes() * 9 / 10;
    let mut taken: Vec<Arrival> = Vec::new();
    let mut arrivals = Arrivals {
        born: node.view.borrow().revision,
        jobs: BTreeMap::new(),
    };
    let mut bytes = 0;
    // Each is a condition, and the record of all of them one more.
    while taken.len() < ops * 2 {
        let Some(next) = node.arrivals.borrow_mut().pop_front() else {
            break;
        };
        // Its user has gone, or asks again.
        if next.done.is_closed() {
            continue;
        }
        let known = {
            let view = node.view.borrow();
            let twice = arrivals.jobs.contains_key(&next.id);
            twice || view.jobs.contains_key(&next.id)
        };
        if known {
            let _ = next.done.send(false);
            continue;
        }
        bytes += serde_json::to_vec(&next.spec).map_or(most, |v| v.len()) + next.id.len() + 4;
        if bytes > most && !taken.is_empty() {
            node.arrivals.borrow_mut().push_front(next);
            break;
        }
        arrivals.jobs.insert(next.id.clone(), next.spec.clone());
        taken.push(next);
    }
    let mut guards: Vec<Guard> = taken.iter().map(|a| guard(job_key(&a.id), 0)).collect();
    let write = match taken.as_slice() {
        [] => return,
        [one] => put(job_key(&one.id), &Job::new(one.spec.clone(), arrivals.born)),
        _ => {
            let number = node.rng.borrow_mut().random::<u64>();
            let key = arrivals_key(&format!("{}-{number:x}", node.name()));
            guards.push(guard(key.clone(), 0));
            put(key, &arrivals)
        }
    };
    match node.commit(Class::Accept, guards, vec![write]).await {
        Ok(_) => {
            tracing::debug!(jobs = taken.len(), "accepted");
            for one in taken {
                let _ = one.done.send(true);
            }
        }
        Err(StoreError::Conflict(keys)) => {
            // Those are known by now, to another controller or by a commit of
            // our own that got no answer; the rest go into the next commit.
            for one in taken.into_iter().rev() {
                if keys.contains(&job_key(&one.id)) {
                    let _ = one.done.send(false);
                } else {
                    node.arrivals.borrow_mut().push_front(one);
                }
            }
        }
        Err(error) if is_given_up(node, &error) => {
            tracing::debug!(%error, "not accepted: all who wait are told to come back");
            // Without an answer to wait for, their requests end at once.
            drop(taken);
            node.arrivals.borrow_mut().clear();
        }
        Err(error) => {
            tracing::debug!(%error, "not accepted");
            // It may have happened. Trying again is harmless: jobs that two
            // such records name are one job.
            for one in taken.into_iter().rev() {
                node.arrivals.borrow_mut().push_front(one);
            }
            tokio::time::sleep(node.store.jitter(node.request_gap() * 4)).await;
        }
    }
}
