//! What the replica knows of shares: their records' versions, what is booked against
//! them, and what the machines on record have.

use std::collections::BTreeMap;

use resources::Resources;
use shares::{ControllerName, Ledger, Share, TeamAccount, TeamLimit};

use super::Replica;
use crate::settings::Settings;
use crate::state::keys::{POOL_KEY, share_key, share_use_key};
use crate::state::records::{FORMATS_SHARES, MachineLifecycle};
use crate::wire::MachineType;

/// What a team's bookings take by the share that their jobs name.
#[derive(Debug, Default)]
pub(super) struct BookedByShare(BTreeMap<Option<ControllerName>, Resources>);

impl BookedByShare {
    /// Counts what a job's bookings take, or no longer take.
    pub(super) fn add(&mut self, share: Option<&ControllerName>, amount: Resources) {
        let booked = self.0.entry(share.cloned()).or_default();
        *booked += amount;
        if booked.is_empty() {
            self.0.remove(&share.cloned());
        }
    }
}

/// What machines have in all.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MachineSums {
    /// All on record.
    pub on_record: Resources,
    /// Those of them that are not about to leave.
    pub staying: Resources,
}

impl Replica {
    /// The revision since which every controller reads the formats of shares; `None`
    /// while one may not.
    pub fn shares_since(&self) -> Option<u64> {
        let known = self.formats.value.all >= FORMATS_SHARES;
        known.then_some(self.formats.version)
    }

    /// Whether bookings of some team count against shares.
    pub fn has_shares(&self) -> bool {
        !self.shares.is_empty()
    }

    /// The split of a team's quota, if its bookings count against shares.
    pub fn share(&self, team: &str) -> Option<&Share> {
        self.shares.get(team).map(|entry| &entry.value)
    }

    /// Whether nothing is known of how a team's bookings count: none may be made.
    pub fn is_share_unreadable(&self, team: &str) -> bool {
        !self.unreadable.is_empty()
            && (self.is_split_unreadable(team) || self.is_unreadable(POOL_KEY))
    }

    /// Whether a team's split cannot be read.
    pub fn is_split_unreadable(&self, team: &str) -> bool {
        self.is_unreadable(&share_key(team))
    }

    /// The generation of the latest move of a team that was asked for.
    pub fn last_move_generation(&self, team: &str) -> u64 {
        let moves = self.moves.values().map(|entry| &entry.value);
        let of_team = moves.filter(|record| record.team.as_str() == team);
        of_team.map(|record| record.generation).max().unwrap_or(0)
    }

    /// The version of the split of a team's quota, 0 if there is none.
    pub fn share_version(&self, team: &str) -> u64 {
        let absent = || self.absent_version(&share_key(team));
        self.shares.get(team).map_or_else(absent, |e| e.version)
    }

    /// The version of the record of what is booked against a share, by its id.
    pub fn share_use_version(&self, id: &str) -> u64 {
        let absent = || self.absent_version(&share_use_key(id));
        self.share_uses.get(id).map_or_else(absent, |e| e.version)
    }

    /// The version of the pool, 0 if there is none.
    pub fn pool_version(&self) -> u64 {
        let absent = || self.absent_version(POOL_KEY);
        self.pool.as_ref().map_or_else(absent, |e| e.version)
    }

    /// About what the name of a share adds to a job's record, where there are shares.
    pub fn share_name_bytes(&self, team: &str) -> usize {
        const PUNCTUATION: usize = 8;
        if !self.shares.contains_key(team) {
            return 0;
        }
        let names = self.formats.value.controllers.keys().map(String::len);
        PUNCTUATION + names.max().unwrap_or(0)
    }

    /// Whether a machine shard was written since every controller counts the machines
    /// that it takes off the record.
    pub fn is_counted_shard(&self, id: &str) -> bool {
        let version = self.machine_shards.get(id).map_or(0, |e| e.version);
        self.shares_since().is_some_and(|since| version > since)
    }

    /// What the machines of the counted shards have.
    pub fn machine_sums(&self) -> MachineSums {
        let known = self.machine_sums.get();
        let sums = known.unwrap_or_else(|| self.sum_machines());
        self.machine_sums.set(Some(sums));
        sums
    }

    fn sum_machines(&self) -> MachineSums {
        let mut sums = MachineSums::default();
        let shards = self.machine_shards.iter();
        for (_, shard) in shards.filter(|(id, _)| self.is_counted_shard(id)) {
            for machine in shard.value.machines.values() {
                let capacity = self.resources_of(&machine.kind);
                sums.on_record += capacity;
                if matches!(
                    machine.lifecycle,
                    MachineLifecycle::Booting | MachineLifecycle::Active
                ) {
                    sums.staying += capacity;
                }
            }
        }
        sums
    }

    /// All that a machine of this type has; nothing if the cloud no longer offers it.
    pub fn resources_of(&self, kind: &str) -> Resources {
        self.machine_type(kind)
            .map_or(Resources::default(), MachineType::resources)
    }

    /// The accounting of all teams at this revision.
    pub fn ledger(&self, settings: &Settings) -> Ledger {
        let sums = self.machine_sums();
        let teams = settings.deployment.teams.iter();
        Ledger {
            pool: self.pool.as_ref().map(|entry| entry.value),
            machine_capacity: sums.on_record,
            retained_capacity: sums.staying,
            growth_factor: settings.features.shares.growth,
            teams: teams
                .map(|terms| {
                    let (cpus, gpus) = terms.limit();
                    let account =
                        self.team_account(&terms.name, TeamLimit { cpus, gpus }, settings);
                    (terms.name.as_str().into(), account)
                })
                .collect(),
        }
    }

    fn team_account(&self, team: &str, limit: TeamLimit, settings: &Settings) -> TeamAccount {
        let share = self.share(team).cloned();
        let fallback = match &share {
            Some(share) => share.fallback.clone(),
            None => fallback_controller(settings),
        };
        let mut account = TeamAccount {
            limit,
            share,
            used: BTreeMap::new(),
        };
        for (name, booked) in self.share_booked.get(team).iter().flat_map(|b| &b.0) {
            account.book(name.as_ref().unwrap_or(&fallback), *booked);
        }
        account
    }
}

/// The controller whose share bookings count against that were made before there were
/// shares: every controller finds the same.
pub fn fallback_controller(settings: &Settings) -> ControllerName {
    let first = settings.controllers().into_iter().min();
    ControllerName::from(first.unwrap_or_default())
}
