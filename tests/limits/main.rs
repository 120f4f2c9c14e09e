//! Tests of lower limits of the state service: compact encodings, merging of zone shards,
//! splitting of machine shards, and a deployment that keeps serving while the limits are
//! lowered. The setting `state.next` announces these upcoming limits, so that controllers can
//! compact the stored records before the limits come into force.

// Each test target uses only some of the stand-ins.
#[allow(dead_code)]
#[path = "../stand_ins/mod.rs"]
mod stand_ins;

mod encodings;
mod lowered_limits;
mod production_records;
mod setup;
mod shards;
