//! Corrects the pending amounts of a share record, which moves have requested, after a change
//! of the granted amounts.

use resources::Resources;

use crate::names::ControllerName;
use crate::records::Share;

impl Share {
    /// Restores the invariant that no controller has to transfer more than its share. The
    /// invariant is violated if capacity has left the share in another way than a transfer.
    /// The excess of the outgoing amount is then reassigned to other controllers, which may
    /// have received that capacity: first to those with a pending incoming amount.
    pub(crate) fn rebalance(&mut self) {
        let controllers = self.controllers();
        for source in &controllers {
            let shortfall = (Resources::default() - self.target_for(source.as_str())).positive();
            self.redistribute_shortfall(&controllers, source, shortfall);
        }
        self.settle_if_complete();
    }

    /// Reassigns the part of a controller's outgoing amount that its share does not cover to
    /// other controllers.
    fn redistribute_shortfall(
        &mut self,
        controllers: &[ControllerName],
        source: &ControllerName,
        mut shortfall: Resources,
    ) {
        // Controllers with a pending incoming amount come first, then any whose target is
        // above 0.
        for receivers_only in [true, false] {
            for other in controllers.iter().filter(|name| *name != source) {
                let target = self.target_for(other.as_str()).positive();
                let bound = match receivers_only {
                    true => self.incoming_to(other.as_str()).min(&target),
                    false => target,
                };
                let part = shortfall.min(&bound);
                self.add_pending(other, Resources::default() - part);
                self.add_pending(source, part);
                shortfall -= part;
            }
        }
    }

    /// Sets `settled` to the present generation if no move is pending.
    pub(crate) fn settle_if_complete(&mut self) {
        if self.pending.is_empty() {
            self.settled = self.generation;
        }
    }
}
