//! Returns of machines to the cloud, and the end of their records.

use std::collections::BTreeMap;

use tokio::time::Instant;

use super::life::set_lives;
use super::rentals::hire_of;
use crate::draft::Groups;
use crate::model::{Hire, Life};
use crate::node::{Node, guard, put};
use crate::store::Class;
use crate::view::{hire_key, part_id};
use crate::wire::{Guard, MachineNames, Write};

/// Returns what is to go, and drops the records of what is gone.
pub(super) async fn finish_returns(node: &Node) {
    let (returning, gone): (Vec<String>, Vec<String>) = {
        let view = node.view.borrow();
        let returning = view
            .machines
            .iter()
            .filter(|(_, m)| m.value.life == Life::Returning)
            .map(|(id, _)| id.clone())
            .take(100)
            .collect();
        let gone = view
            .machines
            .iter()
            .filter(|(id, m)| m.value.life == Life::Gone && !view.bookings.contains_key(*id))
            .map(|(id, _)| id.clone())
            .take(node.settings.txn_ops())
            .collect();
        (returning, gone)
    };
    if !returning.is_empty() {
        let names = MachineNames {
            machines: returning.clone(),
        };
        if let Ok(body) = serde_json::to_vec(&names)
            && let Some(r) = node.cloud("POST", "/rentals/return", Some(body)).await
            && r.status == 200
        {
            let now = Instant::now();
            // Nothing is booked on most: their records go at once.
            let (booked, empty): (Vec<_>, Vec<_>) = {
                let view = node.view.borrow();
                let booked = |id: &String| view.bookings.contains_key(id);
                returning.iter().cloned().partition(booked)
            };
            let lives: Vec<_> = booked.into_iter().map(|id| (id, Life::Gone)).collect();
            set_lives(node, &lives).await;
            drop_records(node, empty).await;
            let mut fleet = node.fleet.borrow_mut();
            for id in returning {
                fleet.reports.remove(&id);
                fleet.empty_since.remove(&id);
                fleet.first_seen.remove(&id);
                fleet.gone.insert(id, now);
            }
        }
    }
    drop_records(node, gone).await;
}

/// Drops the records of machines that the cloud has taken back.
async fn drop_records(node: &Node, ids: Vec<String>) {
    let (guards, writes) = drop_gone(node, &ids);
    if !writes.is_empty()
        && let Err(error) = node.commit(Class::Room, guards, writes).await
    {
        tracing::debug!(%error, "records of gone machines stay");
    }
}

/// Drops the records of gone machines, and their names from the rental that
/// may still list them: they would count as booting again.
fn drop_gone(node: &Node, gone: &[String]) -> (Vec<Guard>, Vec<Write>) {
    let view = node.view.borrow();
    let ops = node.settings.txn_ops();
    let mut groups = Groups::new(&view);
    let mut hires: BTreeMap<&String, Hire> = BTreeMap::new();
    for id in gone {
        // Nothing was booked meanwhile: its part has lost it, and its group
        // is guarded.
        let Some(machine) = view.machines.get(id).map(|e| &e.value) else {
            continue;
        };
        if view.bookings.contains_key(id) {
            continue;
        }
        let hire = hire_of(&view, id);
        let group = part_id(&machine.zone, &machine.part);
        let new = usize::from(!groups.has(&group))
            + usize::from(hire.is_some_and(|(h, _)| !hires.contains_key(h)));
        if groups.len() + hires.len() + new > ops || (!groups.has(&group) && groups.is_full(ops)) {
            continue;
        }
        groups.edit(&group).remove(id);
        if let Some((hire_id, entry)) = hire {
            let hire = hires.entry(hire_id).or_insert_with(|| entry.value.clone());
            hire.machines.retain(|m| m != id);
        }
    }
    let (mut guards, mut writes) = groups.into_commit();
    for (id, hire) in hires {
        let key = hire_key(id);
        guards.push(guard(key.clone(), view.hires[id].version));
        writes.push(match hire.machines.is_empty() {
            true => Write::Delete { key },
            false => put(key, &hire),
        });
    }
    (guards, writes)
}
