//! Removal of machines from service.

use super::life::set_lives;
use super::list::{never_came_up, take_up};
use crate::model::{Life, Machine};
use crate::node::Node;
use crate::store::Class;

pub(super) type Leaving = Vec<(String, Life, &'static str)>;

/// Judges and carries it out. What is found is judged again once the budget is
/// there: it may have waited, or this process may have stood still, and who was
/// silent may have been heard meanwhile.
pub(super) async fn send_away(node: &Node, judge: fn(&Node) -> Leaving) {
    let first = judge(node);
    if first.is_empty() {
        return;
    }
    node.store.ready(Class::Life, 1).await;
    if !node.has_state() {
        return;
    }
    let leaving = judge(node);
    let (known, new): (Vec<_>, Vec<_>) = {
        let view = node.view.borrow();
        let known = |id: &str| view.machines.contains_key(id);
        leaving.into_iter().partition(|(id, _, _)| known(id))
    };
    let lives: Vec<(String, Life)> = known.iter().map(|l| (l.0.clone(), l.1)).collect();
    let changed = set_lives(node, &lives).await;
    for (id, life, why) in known.iter().filter(|l| changed.contains(&l.0)) {
        tracing::info!(machine = id, ?life, why, "leaves service");
    }
    let lost: Vec<(String, Machine)> = {
        let view = node.view.borrow();
        new.iter()
            .filter_map(|(id, _, _)| never_came_up(&view, id))
            .collect()
    };
    take_up(node, &lost).await;
}
