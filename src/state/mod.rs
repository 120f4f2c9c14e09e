//! Accesses the state service: the client with its budget, the records and their
//! encodings, this controller's replica, and the trimming of records that have to fit
//! lower limits.

pub mod budget;
pub mod client;
pub mod commit;
pub mod encoding;
pub mod keys;
pub mod names;
pub mod record_bound;
pub mod record_trim;
pub mod records;
pub mod replica;
