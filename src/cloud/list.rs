//! The cloud's list of machines, compared with the records.

use std::time::Duration;

use tokio::time::Instant;

use super::life::set_lives;
use super::rentals::hire_of;
use crate::draft::Groups;
use crate::model::{Life, Machine};
use crate::node::Node;
use crate::store::Class;
use crate::view::View;
use crate::wire::{ListedStage, MachineList};

/// Takes up machines that have no record: rented ones that have not come up,
/// which go back, and listed ones that nobody knows.
pub(super) async fn take_up(node: &Node, machines: &[(String, Machine)]) {
    let ops = node.settings.txn_ops();
    let mut taken = Vec::new();
    let (guards, writes) = {
        let view = node.view.borrow();
        let mut groups = Groups::new(&view);
        for (id, machine) in machines {
            if view.machines.contains_key(id) || groups.is_full(ops) {
                continue;
            }
            let mut machine = machine.clone();
            machine.part = groups.new_part(&node.settings, id, &machine.kind, &machine.zone);
            taken.push((id, machine.life));
            groups.put(id, machine);
        }
        groups.into_commit()
    };
    if writes.is_empty() {
        return;
    }
    match node.commit(Class::Life, guards, writes).await {
        Ok(_) => {
            for (machine, life) in taken {
                tracing::info!(machine, ?life, "taken up");
            }
        }
        Err(error) => tracing::debug!(%error, "machines not taken up"),
    }
}

/// A rented machine without a record, to be sent back.
pub(super) fn never_came_up(view: &View, id: &str) -> Option<(String, Machine)> {
    let (_, hire) = hire_of(view, id)?;
    let machine = Machine {
        life: Life::Returning,
        spot: hire.value.spot,
        ..Machine::new(&hire.value.kind, &hire.value.zone)
    };
    Some((id.to_string(), machine))
}

/// Reads the cloud's list: adopts what nobody knows, gives up what failed.
pub(super) async fn read_list(node: &Node) {
    let lag = Duration::from_secs_f64(node.settings.deployment.cloud.list_lag_s);
    let orphaned = node.settings.lease() * 2;
    let due = node
        .fleet
        .borrow()
        .listed_at
        .is_none_or(|t| t.elapsed() > lag);
    if !due {
        return;
    }
    let mut all = Vec::new();
    let mut after = String::new();
    loop {
        let path = format!("/rentals?after={after}&limit=500");
        let Some(r) = node.cloud("GET", &path, None).await else {
            return;
        };
        let Ok(list) = r.parse::<MachineList>() else {
            return;
        };
        let Some(last) = list.machines.last() else {
            break;
        };
        after = last.id.clone();
        let more = list.more;
        all.extend(list.machines);
        if !more {
            break;
        }
    }
    node.fleet.borrow_mut().listed_at = Some(Instant::now());
    let mut failed = Vec::new();
    let mut new = Vec::new();
    {
        let view = node.view.borrow();
        let unnamed = view.hires.values().any(|e| e.value.machines.is_empty());
        let mut fleet = node.fleet.borrow_mut();
        fleet.gone.retain(|_, t| t.elapsed() < lag * 6);
        fleet.listed.retain(|id, _| !view.machines.contains_key(id));
        for m in &all {
            match view.machines.get(&m.id) {
                Some(known) => {
                    if m.stage == ListedStage::Failed && known.value.life != Life::Gone {
                        failed.push(m.id.clone());
                    }
                }
                None if fleet.gone.contains_key(&m.id) => {}
                None if hire_of(&view, &m.id).is_some() => {
                    if m.stage == ListedStage::Failed {
                        new.extend(never_came_up(&view, &m.id));
                    }
                }
                // The answer to a rental that is under way will name it.
                None if unnamed => {}
                // One that runs reports soon, and is claimed with a record of
                // its own: only one that nobody hears of is taken up here.
                None if !fleet.unheard(&m.id, orphaned) => {}
                None => {
                    let machine = Machine {
                        spot: m.spot,
                        ..Machine::new(&m.kind, &m.zone)
                    };
                    new.push((m.id.clone(), machine));
                }
            }
        }
    }
    take_up(node, &new).await;
    let failed: Vec<_> = failed.into_iter().map(|id| (id, Life::Returning)).collect();
    set_lives(node, &failed).await;
}
