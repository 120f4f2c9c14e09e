//! Which claims one commit takes, and what it writes for them.

use crate::controller::Controller;
use crate::scheduler::MachineShardEdits;
use crate::settings::Settings;
use crate::state::keys::shard_id;
use crate::state::records::{HeartbeatId, Machine, MachineLifecycle};
use crate::state::replica::Replica;
use crate::wire::{Precondition, WorkerStatus, Write};

use super::claim_queue::Claim;

/// A claim as its commit records it.
pub(super) struct GrantedClaim {
    pub machine: String,
    pub fencing_token: u64,
    /// The newest heartbeat of the worker by the machine's record.
    pub newest_heartbeat: HeartbeatId,
}

/// What one commit claims.
#[derive(Default)]
pub(super) struct ClaimBatch {
    /// Machines whose claims are decided once the commit is answered.
    pub decided: Vec<String>,
    pub granted: Vec<GrantedClaim>,
    pub preconditions: Vec<Precondition>,
    pub writes: Vec<Write>,
}

/// Chooses claims for one commit, the urgent ones first.
pub(super) fn plan_claims(controller: &Controller) -> ClaimBatch {
    let replica = controller.replica.borrow();
    let fleet = controller.fleet.borrow();
    let claims = controller.workers.claims.claims();
    let mut in_order: Vec<(&String, &Claim)> = claims.iter().collect();
    in_order.sort_by_key(|(_, claim)| claim.commit_order());
    let mut planner = ClaimPlanner {
        settings: &controller.settings,
        controller: controller.name(),
        incarnation: controller.incarnation,
        replica: &replica,
        machine_shards: MachineShardEdits::new(&replica),
        is_full: false,
        batch: ClaimBatch::default(),
    };
    for (id, _) in in_order {
        planner.add(id, fleet.claim_report(id));
    }
    planner.into_batch()
}

/// Plans one commit of claims.
struct ClaimPlanner<'a> {
    settings: &'a Settings,
    /// The name of the controller that claims.
    controller: &'a str,
    incarnation: u64,
    replica: &'a Replica,
    machine_shards: MachineShardEdits<'a>,
    /// The commit takes no further machine shard.
    is_full: bool,
    batch: ClaimBatch,
}

impl ClaimPlanner<'_> {
    /// Adds a claim, unless the commit is full.
    fn add(&mut self, id: &str, status: Option<&WorkerStatus>) {
        let Some(status) = status else {
            self.batch.decided.push(id.to_string());
            return;
        };
        let known = self.replica.machines.get(id).map(|entry| &entry.value);
        if !self.fits(known) {
            return;
        }
        let machine = match known {
            Some(machine) => Some(machine.clone()),
            None => self.new_machine(id, status),
        };
        let Some(machine) = machine else {
            // It waits for the next commit, or, where it alone has too many
            // conditions, for the worker's next heartbeat.
            if self.batch.granted.is_empty() {
                self.batch.decided.push(id.to_string());
            }
            return;
        };
        self.batch.decided.push(id.to_string());
        if machine.lifecycle != MachineLifecycle::Gone {
            self.grant(id, machine, status);
        }
    }

    /// Whether the commit takes a claim of this machine besides.
    fn fits(&mut self, known: Option<&Machine>) -> bool {
        // Once full it stays full, and there may be thousands of claims.
        self.is_full = self.is_full || self.machine_shards.is_full(self.settings.txn_ops());
        if !self.is_full {
            return true;
        }
        // A machine of a machine shard that is in the commit already adds nothing to it.
        known.is_some_and(|m| self.machine_shards.contains(&shard_id(&m.zone, &m.shard)))
    }

    /// The record of a machine that has none yet; `None` if this commit has no capacity
    /// for the conditions of a new machine.
    fn new_machine(&mut self, id: &str, status: &WorkerStatus) -> Option<Machine> {
        let (kind, zone) = (&status.machine_type, &status.zone);
        let shard = self
            .machine_shards
            .allocate_shard(self.settings, id, kind, zone)?;
        Some(Machine {
            shard,
            spot: status.spot,
            ..Machine::new(kind, zone)
        })
    }

    /// Writes this controller as the owner into the machine's record.
    fn grant(&mut self, id: &str, mut machine: Machine, status: &WorkerStatus) {
        if machine.lifecycle == MachineLifecycle::Booting {
            machine.lifecycle = MachineLifecycle::Active;
        }
        machine.fencing_token = machine.fencing_token.max(status.fencing_token) + 1;
        machine.owner = self.controller.to_string();
        machine.incarnation = self.incarnation;
        machine.claim_heartbeat = machine.claim_heartbeat.max(status.heartbeat_id());
        self.batch.granted.push(GrantedClaim {
            machine: id.to_string(),
            fencing_token: machine.fencing_token,
            newest_heartbeat: machine.claim_heartbeat,
        });
        self.machine_shards.put(id, machine);
    }

    fn into_batch(mut self) -> ClaimBatch {
        (self.batch.preconditions, self.batch.writes) = self.machine_shards.into_commit();
        self.batch
    }
}
