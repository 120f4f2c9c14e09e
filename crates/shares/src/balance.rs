//! What is pending of a split, brought up to date after the split has changed.

use resources::Resources;

use crate::names::ControllerName;
use crate::records::Share;

impl Share {
    /// Restores that no controller is to give more than it has, after capacity has left
    /// its share by another way: the obligation follows the capacity, first to those
    /// that were to receive.
    pub(crate) fn rebalance(&mut self) {
        let controllers = self.controllers();
        for source in &controllers {
            let shortfall = (Resources::default() - self.target_for(source.as_str())).positive();
            self.redistribute_shortfall(&controllers, source, shortfall);
        }
        self.settle_if_complete();
    }

    /// Passes what a controller cannot give on to the others.
    fn redistribute_shortfall(
        &mut self,
        controllers: &[ControllerName],
        source: &ControllerName,
        mut shortfall: Resources,
    ) {
        // Those that are to receive come first, then whoever will have something.
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

    /// Records the generation as settled once nothing is left to move.
    pub(crate) fn settle_if_complete(&mut self) {
        if self.pending.is_empty() {
            self.settled = self.generation;
        }
    }
}
