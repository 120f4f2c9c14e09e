//! Accesses the state service, the key-value store that all controllers share.
//!
//! A controller sends its requests through a client that keeps to a rate budget. It plans
//! with a local replica of the records, and trims records that would exceed the lower size
//! limits that the service has announced.

pub mod budget;
pub mod client;
pub mod commit;
pub mod encoding;
pub mod full_read;
pub mod keys;
pub mod names;
pub mod record_bound;
pub mod record_trim;
pub mod records;
pub mod replica;
