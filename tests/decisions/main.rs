//! Tests of single decisions, mostly as tables of cases. They use a given time instead of a
//! clock, and a network inside the process.

mod dependencies;
mod http;
mod records;
mod requests;
mod scheduling;
mod setup;
mod shards;
mod workers;
