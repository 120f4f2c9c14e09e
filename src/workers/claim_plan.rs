//! Selects the queued claims for one commit, and plans the commit's preconditions and writes.

use crate::controller::Controller;
use crate::scheduler::MachineShardEdits;
use crate::settings::Settings;
use crate::state::keys::shard_id;
use crate::state::records::{HeartbeatId, Machine, MachineLifecycle};
use crate::state::replica::Replica;
use crate::wire::{Commit, WorkerStatus};

use super::claim_queue::Claim;
use super::token_range::TokenRange;

/// A claim that is part of the planned commit.
pub(super) struct GrantedClaim {
    pub machine: String,
    pub tokens: TokenRange,
    /// Id of the worker's newest known heartbeat, as written to the machine's record.
    pub newest_heartbeat: HeartbeatId,
}

/// The claims of one commit, with its preconditions and writes.
#[derive(Default)]
pub(super) struct ClaimBatch {
    /// Machines whose claims are resolved, granted or not, once the commit has succeeded.
    pub resolved: Vec<String>,
    pub granted: Vec<GrantedClaim>,
    pub commit: Commit,
}

/// Selects the queued claims that fit into one commit, urgent ones first, and returns them
/// with the commit.
pub(super) fn plan_claims(controller: &Controller) -> ClaimBatch {
    let replica = controller.replica.borrow();
    let fleet = controller.fleet.borrow();
    let claims = controller.workers.claims.claims();
    let mut ordered_claims: Vec<(&String, &Claim)> = claims.iter().collect();
    ordered_claims.sort_by_key(|(_, claim)| claim.commit_order());
    let mut planner = ClaimPlanner {
        settings: &controller.settings,
        controller: controller.name(),
        incarnation: controller.incarnation,
        replica: &replica,
        machine_shards: MachineShardEdits::new(&replica),
        is_full: false,
        batch: ClaimBatch::default(),
    };
    for (id, _) in ordered_claims {
        planner.add(id, fleet.claim_status(id));
    }
    planner.into_batch()
}

/// A planner of one commit of claims.
struct ClaimPlanner<'a> {
    settings: &'a Settings,
    /// Name of this controller.
    controller: &'a str,
    incarnation: u64,
    replica: &'a Replica,
    machine_shards: MachineShardEdits<'a>,
    /// Flag set if the commit has no capacity for a further machine shard.
    is_full: bool,
    batch: ClaimBatch,
}

impl ClaimPlanner<'_> {
    /// Adds the claim of a machine, unless the commit is full. A claim without a status of
    /// the worker, or of a machine that is gone, is resolved without being granted.
    fn add(&mut self, id: &str, status: Option<&WorkerStatus>) {
        let Some(status) = status else {
            self.batch.resolved.push(id.to_string());
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
            // The claim waits for the next commit. If this commit grants no other claim, the
            // claim has too many preconditions even for a commit of its own. It is then
            // dropped, and the worker's next heartbeat requests it again.
            if self.batch.granted.is_empty() {
                self.batch.resolved.push(id.to_string());
            }
            return;
        };
        self.batch.resolved.push(id.to_string());
        if machine.lifecycle != MachineLifecycle::Gone {
            self.grant(id, machine, status);
        }
    }

    /// Returns whether the commit has capacity for a claim of this machine.
    fn fits(&mut self, known: Option<&Machine>) -> bool {
        // A commit that is full stays full, so the check is not repeated for each of what
        // may be thousands of claims.
        self.is_full = self.is_full
            || self
                .machine_shards
                .is_full(self.settings.max_writes_per_commit());
        if !self.is_full {
            return true;
        }
        // A claim in a machine shard that the commit already writes adds no further write.
        known.is_some_and(|m| self.machine_shards.contains(&shard_id(&m.zone, &m.shard)))
    }

    /// Returns a record for a machine that has none yet; `None` if this commit has no
    /// capacity for the preconditions of a new machine.
    fn new_machine(&mut self, id: &str, status: &WorkerStatus) -> Option<Machine> {
        let (machine_type, zone) = (&status.machine_type, &status.zone);
        let shard = self
            .machine_shards
            .allocate_shard(self.settings, id, machine_type, zone)?;
        Some(Machine {
            shard,
            spot: status.spot,
            ..Machine::new(machine_type, zone)
        })
    }

    /// Adds the machine's record, with this controller as its owner, to the commit.
    fn grant(&mut self, id: &str, mut machine: Machine, status: &WorkerStatus) {
        if machine.lifecycle == MachineLifecycle::Booting {
            machine.lifecycle = MachineLifecycle::Active;
        }
        let tokens = TokenRange::after(machine.fencing_token.max(status.fencing_token));
        machine.fencing_token = tokens.last();
        machine.owner = self.controller.to_string();
        machine.incarnation = self.incarnation;
        machine.claim_heartbeat = machine.claim_heartbeat.max(status.heartbeat_id());
        self.batch.granted.push(GrantedClaim {
            machine: id.to_string(),
            tokens,
            newest_heartbeat: machine.claim_heartbeat,
        });
        self.machine_shards.put(id, machine);
    }

    fn into_batch(mut self) -> ClaimBatch {
        self.batch.commit = self.machine_shards.into_commit();
        self.batch
    }
}
