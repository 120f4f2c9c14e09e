//! Decisions as tables of cases: no clock but the given one, no network but a
//! fabric inside the process.

mod http;
mod pipelines;
mod records;
mod requests;
mod scheduling;
mod setup;
mod shards;
mod workers;
