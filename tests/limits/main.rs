//! The state service's limits fall: compact encodings, zone shards that are merged,
//! machine shards that are split, and a deployment that goes on throughout.

// Each target of tests uses a part of them.
#[allow(dead_code)]
#[path = "../stand_ins/mod.rs"]
mod stand_ins;

mod encodings;
mod falls;
mod production_texts;
mod setup;
mod shards;
