//! The unit of provisioning in the cloud: a machine type in a zone, as a spot machine or at
//! the regular price.

use std::fmt;

use crate::state::records::ProvisioningRequest;

/// A machine type in a zone, as a spot machine or at the regular price. Planned machines,
/// refusals and failed boots are counted separately for each offer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct MachineOffer {
    pub(super) machine_type: String,
    pub(super) zone: String,
    pub(super) spot: bool,
}

impl MachineOffer {
    pub(super) fn new(machine_type: &str, zone: &str, spot: bool) -> Self {
        MachineOffer {
            machine_type: machine_type.to_string(),
            zone: zone.to_string(),
            spot,
        }
    }
}

impl From<&ProvisioningRequest> for MachineOffer {
    fn from(request: &ProvisioningRequest) -> Self {
        MachineOffer::new(&request.kind, &request.zone, request.spot)
    }
}

impl fmt::Display for MachineOffer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} in {}", self.machine_type, self.zone)?;
        if self.spot {
            write!(f, " (spot)")?;
        }
        Ok(())
    }
}
