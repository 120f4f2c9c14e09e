//! Defines the keys of the records in the state service.

/// Common prefix of all keys of the scheduler, so that a single watch reports every change.
pub const PREFIX: &str = "sh/";

/// Key that is never written. A read of it finds nothing, but the response contains the
/// current revision of the state service.
pub const BARRIER_KEY: &str = "sh-barrier";

/// Key whose record identifies the fleet leader, the controller that provisions machines.
pub const FLEET_KEY: &str = "sh/fleet";

/// Key of the cloud's machine types.
pub const TYPES_KEY: &str = "sh/types";

/// Key of the record formats that the controllers can read.
pub const FORMATS_KEY: &str = "sh/formats";

/// Key of the pool, the total capacity out of which shares are granted.
pub const POOL_KEY: &str = "sh/pool";

/// Returns the key of a job's record.
pub fn job_key(id: &str) -> String {
    format!("{PREFIX}job/{id}")
}

/// Returns the id of the job whose record has this key; `None` if the key is not that of a
/// job's record.
pub fn job_id(key: &str) -> Option<&str> {
    key.strip_prefix(PREFIX)?.strip_prefix("job/")
}

/// Returns the key of a team's record.
pub fn team_key(name: &str) -> String {
    format!("{PREFIX}team/{name}")
}

/// Returns the id of a zone shard. The replica refers to the shard by this id, and the
/// shard's key is `zone/` followed by the id.
pub fn shard_id(zone: &str, shard: &str) -> String {
    format!("{zone}/{shard}")
}

/// Returns the key of a zone shard's record, by its id.
pub fn zone_shard_key(id: &str) -> String {
    format!("{PREFIX}zone/{id}")
}

/// Common prefix of the keys of all machine shards.
pub const MACHINE_SHARD_PREFIX: &str = "sh/machine/";

/// Returns the key of a machine shard's record, which has the same id as its zone shard.
pub fn machine_shard_key(id: &str) -> String {
    format!("{MACHINE_SHARD_PREFIX}{id}")
}

/// Returns the key of a running controller's record. The state service removes the record
/// when the controller's state lease expires.
pub fn controller_key(name: &str) -> String {
    format!("{PREFIX}node/{name}")
}

/// Returns the key of an accepted batch.
pub fn accepted_batch_key(id: &str) -> String {
    format!("{PREFIX}new/{id}")
}

/// Returns the key of a provisioning request.
pub fn provisioning_request_key(id: &str) -> String {
    format!("{PREFIX}hire/{id}")
}

/// Returns the key of the record that splits a team's quota into one share per controller.
pub fn share_key(team: &str) -> String {
    format!("{PREFIX}share/{team}")
}

/// Returns the id of the record of a share's bookings. The replica refers to the record by
/// this id, and the record's key is `use/` followed by the id.
pub fn share_use_id(team: &str, controller: &str) -> String {
    format!("{team}/{controller}")
}

/// Returns the key of the record of a share's bookings, by its id.
pub fn share_use_key(id: &str) -> String {
    format!("{PREFIX}use/{id}")
}

/// Returns the key of a request to move quota from one share to another.
pub fn move_key(id: &str) -> String {
    format!("{PREFIX}move/{id}")
}
