//! Looks up shares in the replica. If a team's quota is split, each controller has a share of
//! the quota and books tasks against its share. The module provides the versions of the
//! records of shares, the bookings against them, and the total resources of the machines.

use std::collections::BTreeMap;

use resources::Resources;
use shares::{ControllerName, Ledger, Share, TeamAccount, TeamLimit};

use super::Replica;
use crate::settings::Settings;
use crate::state::keys::{POOL_KEY, share_key, share_use_key};
use crate::state::records::{FORMATS_SHARES, MachineLifecycle};
use crate::wire::MachineType;

/// Resources that a team's bookings take, by the controller whose share is recorded in the
/// job. The key is `None` for jobs without a recorded share.
#[derive(Debug, Default)]
pub(super) struct BookedByShare(BTreeMap<Option<ControllerName>, Resources>);

impl BookedByShare {
    /// Adds the resources of a job's bookings. The amount is negative if bookings are removed.
    pub(super) fn add(&mut self, share: Option<&ControllerName>, amount: Resources) {
        let booked = self.0.entry(share.cloned()).or_default();
        *booked += amount;
        if booked.is_empty() {
            self.0.remove(&share.cloned());
        }
    }
}

/// Total resources of machines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MachineSums {
    /// Resources of all machines that have a record.
    pub on_record: Resources,
    /// Resources of those machines on record that are booting or active.
    pub retained_capacity: Resources,
}

impl Replica {
    /// Returns a revision since which every controller can read the formats of shares: that
    /// of the last change of the formats record. Returns `None` while some controller may not
    /// be able to read them.
    pub fn shares_since(&self) -> Option<u64> {
        let known = self.formats.value.all >= FORMATS_SHARES;
        known.then_some(self.formats.version)
    }

    /// Returns whether the bookings of any team count against shares.
    pub fn has_shares(&self) -> bool {
        !self.shares.is_empty()
    }

    /// Returns the split of a team's quota, if its bookings count against shares.
    pub fn share(&self, team: &str) -> Option<&Share> {
        self.shares.get(team).map(|entry| &entry.value)
    }

    /// Returns whether the team's share record or the pool cannot be read. It is then unknown
    /// which share a booking counts against, so no task of the team may be booked.
    pub fn is_share_unreadable(&self, team: &str) -> bool {
        !self.unreadable.is_empty()
            && (self.is_share_record_unreadable(team) || self.is_unreadable(POOL_KEY))
    }

    /// Returns whether the split of a team's quota cannot be read.
    pub fn is_share_record_unreadable(&self, team: &str) -> bool {
        self.is_unreadable(&share_key(team))
    }

    /// Returns the generation of the latest move that was requested for a team, or 0 if
    /// there was none.
    pub fn last_move_generation(&self, team: &str) -> u64 {
        let moves = self.moves.values().map(|entry| &entry.value);
        let of_team = moves.filter(|record| record.team.as_str() == team);
        of_team.map(|record| record.generation).max().unwrap_or(0)
    }

    /// Returns the version of the split of a team's quota, or 0 if there is none.
    pub fn share_version(&self, team: &str) -> u64 {
        let absent = || self.absent_version(&share_key(team));
        self.shares
            .get(team)
            .map_or_else(absent, |entry| entry.version)
    }

    /// Returns the version of the record of a share's bookings, or 0 if there is none.
    pub fn share_use_version(&self, id: &str) -> u64 {
        let absent = || self.absent_version(&share_use_key(id));
        self.share_uses
            .get(id)
            .map_or_else(absent, |entry| entry.version)
    }

    /// Returns the version of the pool's record, or 0 if there is none.
    pub fn pool_version(&self) -> u64 {
        let absent = || self.absent_version(POOL_KEY);
        self.pool
            .as_ref()
            .map_or_else(absent, |entry| entry.version)
    }

    /// Returns the approximate maximum number of bytes that the name of the controller whose
    /// share is charged adds to a job's record. Returns 0 if the team's quota is not split.
    pub fn share_name_bytes(&self, team: &str) -> usize {
        const PUNCTUATION: usize = 8;
        if !self.shares.contains_key(team) {
            return 0;
        }
        let names = self.formats.value.controllers.keys().map(String::len);
        PUNCTUATION + names.max().unwrap_or(0)
    }

    /// Returns whether a machine shard is counted: it was last written after every controller
    /// supported shares. From then on, a controller that removes a machine from the records
    /// accounts for the lost capacity.
    pub fn is_counted_shard(&self, id: &str) -> bool {
        let version = self.machine_shards.get(id).map_or(0, |entry| entry.version);
        self.shares_since().is_some_and(|since| version > since)
    }

    /// Returns the total resources of the machines in the counted shards, from the cache if
    /// no machine has changed since.
    pub fn machine_sums(&self) -> MachineSums {
        let known = self.machine_sums.get();
        let sums = known.unwrap_or_else(|| self.sum_machines());
        self.machine_sums.set(Some(sums));
        sums
    }

    /// Sums the resources of the machines in the counted shards.
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
                    sums.retained_capacity += capacity;
                }
            }
        }
        sums
    }

    /// Returns the resources of a machine of this type; none if the cloud no longer offers
    /// the type.
    pub fn resources_of(&self, kind: &str) -> Resources {
        self.machine_type(kind)
            .map_or(Resources::default(), MachineType::resources)
    }

    /// Returns the quota accounting of all teams at this revision.
    pub fn ledger(&self, settings: &Settings) -> Ledger {
        let sums = self.machine_sums();
        let teams = settings.deployment.teams.iter();
        Ledger {
            pool: self.pool.as_ref().map(|entry| entry.value),
            machine_capacity: sums.on_record,
            retained_capacity: sums.retained_capacity,
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

    /// Returns the quota accounting of a team.
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
        for (name, booked) in self
            .share_booked
            .get(team)
            .iter()
            .flat_map(|booked| &booked.0)
        {
            account.book(name.as_ref().unwrap_or(&fallback), *booked);
        }
        account
    }
}

/// Returns the controller whose share is charged for bookings that were made before the
/// team's quota was split: the first one in the order of names, so that all controllers
/// choose the same one.
pub fn fallback_controller(settings: &Settings) -> ControllerName {
    let first = settings.controllers().into_iter().min();
    ControllerName::from(first.unwrap_or_default())
}
