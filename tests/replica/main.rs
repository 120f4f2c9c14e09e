//! The replica: updates of its records by the watch, by full reads, and by the answers to this
//! controller's commits.

mod history;
mod late_answers;
mod random_histories;
mod service;
mod unreadable_records;
