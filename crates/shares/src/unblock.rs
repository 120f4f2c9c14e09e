//! Unblocks a move whose remaining amount is smaller than every job that a transfer could
//! include, by reserving free capacity in the destination's share.

use resources::{Amount, Resources};

use crate::booking::reserve;
use crate::change::Change;
use crate::ledger::Ledger;
use crate::names::{ControllerName, TeamName};
use crate::records::Share;
use crate::transfer::JobBooking;

/// Returns the change that reserves the free capacity that a move's destination needs to
/// receive the source's smallest job, if the job is larger than the remaining amount. The next
/// transfer can then include that job. Returns `None` if no capacity has to be reserved for
/// the job, or if there is not enough.
pub fn reserve_for_smallest_job(
    ledger: &Ledger,
    team: &TeamName,
    jobs: &[JobBooking],
    max_writes: usize,
) -> Option<Change> {
    let pending = PendingPair::first_in(ledger.share(team)?)?;
    let smallest = jobs
        .iter()
        .filter(|job| job.controller == pending.from)
        .filter(|job| !pending.remaining.min(&job.booked).is_empty())
        .min_by_key(|job| (job.booked.cpus, &job.job))?;
    let needed = excess_over(pending.remaining, smallest.booked);
    let change = reserve(ledger, team, &pending.to, needed, max_writes).ok()?;
    (change.writes() > 0).then_some(change)
}

/// A source and a destination, with the amount that is still to be transferred between them.
struct PendingPair {
    from: ControllerName,
    to: ControllerName,
    remaining: Resources,
}

impl PendingPair {
    fn first_in(share: &Share) -> Option<Self> {
        let controllers = share.controllers();
        let from = controllers
            .iter()
            .find(|name| !share.outgoing_from(name.as_str()).is_empty())?;
        let outgoing = share.outgoing_from(from.as_str());
        let to = controllers
            .iter()
            .find(|name| !outgoing.min(&share.incoming_to(name.as_str())).is_empty())?;
        Some(PendingPair {
            remaining: outgoing.min(&share.incoming_to(to.as_str())),
            from: from.clone(),
            to: to.clone(),
        })
    }
}

/// Returns the part of the bookings that exceeds the remaining amount; 0 in dimensions without
/// a remaining amount.
fn excess_over(remaining: Resources, booked: Resources) -> Resources {
    let excess = |remaining: Amount, booked: Amount| match remaining.0 {
        0 => Amount(0),
        remaining => Amount((booked.0 - remaining).max(0)),
    };
    Resources {
        cpus: excess(remaining.cpus, booked.cpus),
        gpus: excess(remaining.gpus, booked.gpus),
        ram: excess(remaining.ram, booked.ram),
    }
}
