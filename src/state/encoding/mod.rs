//! Implements compact encodings of the records that grow with machines and tasks: zone
//! shards, machine shards, and the runs of jobs. They are written once every controller
//! can read them and lower limits of the state service are announced
//! (`Replica::uses_compact_encoding`). They can always be read: a compact encoding uses the
//! same JSON field as the plain one, but another JSON type, which tells them apart.
//!
//! Numbers are in base 64, with an alphabet that JSON does not escape. A name that ends in
//! digits is encoded as its number after a common prefix, any other name in full.

mod digits;
mod job;
mod machine_shard;
mod names;
mod tasks;
mod zone_shard;

pub use job::{deserialize_runs, encode_job, run_bytes, table_bytes, task_bytes};
pub use machine_shard::{
    MACHINE_ENTRY_BYTES, added_machine_bytes, deserialize_machines, encode_machine_shard,
    machine_shard_bytes,
};
pub(crate) use names::split_name;
pub use tasks::decode_ranges;
pub use zone_shard::{
    deserialize_slots, encode_zone_shard, is_compact_zone_shard, slot_bytes_bound,
    zone_shard_bytes_bound,
};
