//! Implements compact encodings of the records that grow with the number of machines and
//! tasks: zone shards, machine shards, and the runs of jobs.
//!
//! Compact encodings are written only if the settings announce lower limits of the state
//! service and every controller can read compact encodings
//! (`Replica::uses_compact_encoding`). A controller always reads both encodings. They use the
//! same JSON field with different JSON types, which tells them apart; a set of tasks is a
//! string in both, and its first character tells them apart.
//!
//! Numbers are written in base 64, with an alphabet that JSON does not escape. Machine names
//! that end in digits are split into a prefix, which is written once, and their numbers. Any
//! other name is written in full.

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
