//! Draining of machines that the cloud takes back.

use super::life::set_life;
use crate::draft::COMMIT_BYTES;
use crate::model::{Life, Spec};
use crate::node::{Node, guard};
use crate::store::Class;
use crate::view::job_key;
use crate::wire::{Guard, Kind, Write};

/// Machines with a spot notice take no new work, and gangs that can save are
/// told to while there is time.
pub(super) async fn drain_recalled(node: &Node) {
    let ids: Vec<String> = node.fleet.borrow_mut().recalled.drain().collect();
    for id in ids {
        let life = node.view.borrow().machines.get(&id).map(|m| m.value.life);
        if life == Some(Life::Active) && node.holds(&id) {
            tracing::info!(machine = id, "is being taken back: draining");
            if !set_life(node, &id, Life::Draining).await {
                node.fleet.borrow_mut().recalled.insert(id.clone());
                continue;
            }
        }
        let (guards, writes) = stops_for_drain(node, &id);
        if !writes.is_empty()
            && let Err(error) = node.commit(Class::Life, guards, writes).await
        {
            tracing::debug!(machine = id, %error, "drain not committed");
        }
    }
}

fn stops_for_drain(node: &Node, machine: &str) -> (Vec<Guard>, Vec<Write>) {
    let view = node.view.borrow();
    let ops = node.settings.txn_ops();
    let mut guards = Vec::new();
    let mut writes = Vec::new();
    let mut bytes = 0;
    for (id, entry) in view.jobs_on(machine) {
        let saves = entry
            .value
            .spec
            .as_ref()
            .is_some_and(|s| s.checkpoint_s > 0.0 || s.kind == Kind::Service);
        let told = entry
            .value
            .runs
            .iter()
            .all(|r| r.machine != machine || r.stop);
        let full = writes.len() == ops || bytes > COMMIT_BYTES / 2;
        if !saves || told || !entry.value.is_open() || full {
            continue;
        }
        let mut job = entry.value.clone();
        let gang = job.spec.as_ref().is_some_and(Spec::is_gang);
        for run in &mut job.runs {
            if gang || run.machine == machine {
                run.stop = true;
            }
        }
        guards.push(guard(job_key(id), entry.version));
        let write = view.put_job(id, &job);
        if let Write::Put { value, .. } = &write {
            bytes += value.get().len();
        }
        writes.push(write);
    }
    (guards, writes)
}
