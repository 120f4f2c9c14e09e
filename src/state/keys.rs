//! The keys under which records stand in the state service.

/// All keys of the service begin with this; one watch covers them.
pub const PREFIX: &str = "sh/";

/// A key that never exists: reading it tells the current revision.
pub const BARRIER_KEY: &str = "sh-barrier";

/// The key of the controller that rents machines.
pub const FLEET_KEY: &str = "sh/fleet";

/// The key of the cloud's machine types.
pub const TYPES_KEY: &str = "sh/types";

/// The key of the record formats that all controllers can read.
pub const FORMATS_KEY: &str = "sh/formats";

/// The key of the pool that shares grow from.
pub const POOL_KEY: &str = "sh/pool";

/// The key of a job's record.
pub fn job_key(id: &str) -> String {
    format!("{PREFIX}job/{id}")
}

/// The key of a team's record.
pub fn team_key(name: &str) -> String {
    format!("{PREFIX}team/{name}")
}

/// A zone shard's name in the replica; its key has it behind `zone/`.
pub fn shard_id(zone: &str, shard: &str) -> String {
    format!("{zone}/{shard}")
}

/// The key of a zone shard's record, by its id.
pub fn zone_shard_key(id: &str) -> String {
    format!("{PREFIX}zone/{id}")
}

/// A machine shard's key; the name is its zone shard's.
pub fn machine_shard_key(id: &str) -> String {
    format!("{PREFIX}machine/{id}")
}

/// The key that exists while a controller's state lease stands.
pub fn controller_key(name: &str) -> String {
    format!("{PREFIX}node/{name}")
}

/// The key of jobs that were accepted together.
pub fn accepted_batch_key(id: &str) -> String {
    format!("{PREFIX}new/{id}")
}

/// The key of a provisioning request.
pub fn provisioning_request_key(id: &str) -> String {
    format!("{PREFIX}hire/{id}")
}

/// The key of the split of a team's quota.
pub fn share_key(team: &str) -> String {
    format!("{PREFIX}share/{team}")
}

/// The name in the replica of the record of what is booked against a share; its key
/// has it behind `use/`.
pub fn share_use_id(team: &str, controller: &str) -> String {
    format!("{team}/{controller}")
}

/// The key of what is booked against a share, by its id.
pub fn share_use_key(id: &str) -> String {
    format!("{PREFIX}use/{id}")
}

/// The key of a move that was asked for.
pub fn move_key(id: &str) -> String {
    format!("{PREFIX}move/{id}")
}
