//! The loop over the fleet, but for renting.

use std::rc::Rc;

use tokio::time::sleep;

use super::consolidation::consolidate;
use super::draining::drain_recalled;
use super::idle::judge;
use super::list::read_list;
use super::removal::send_away;
use super::returns::finish_returns;
use super::settling::{settle_doomed, settle_records};
use super::silent::judge_own;
use super::summary::describe;
use crate::node::Node;

pub async fn keep_fleet(node: Rc<Node>) {
    loop {
        let tick = node.settings.report().min(node.settings.lease() / 8) / 2;
        sleep(node.store.jitter(tick)).await;
        if !node.view.borrow().loaded {
            continue;
        }
        if node.has_state() {
            drain_recalled(&node).await;
            send_away(&node, judge_own).await;
        }
        if !node.is_renter() || !node.has_state() {
            continue;
        }
        tend(&node).await;
    }
}

/// One pass over the fleet.
async fn tend(node: &Rc<Node>) {
    describe(node);
    finish_returns(node).await;
    settle_records(node).await;
    settle_doomed(node).await;
    read_list(node).await;
    send_away(node, judge).await;
    consolidate(node).await;
}
