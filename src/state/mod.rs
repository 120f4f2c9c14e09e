//! The state service as this controller sees it: the client with its budget,
//! the records and their encodings, the replica, and the compaction of records
//! that are to fit lower limits.

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
