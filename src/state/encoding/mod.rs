//! Compact encodings of the records that grow with machines and tasks: zone
//! shards, machine shards, a job's runs. They are written once every controller
//! reads them and the state service's limits are to fall
//! (`Replica::uses_compact_encoding`), and read always: each stands under the
//! field of the plain encoding, which is of another shape.
//!
//! Numbers are in base 64, by an alphabet that JSON leaves as it is. A name is
//! its number after a common prefix where it ends in digits; else it stands in
//! full.

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
