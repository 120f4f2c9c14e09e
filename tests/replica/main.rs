//! The replica: updates of its records by the watch, by full reads, and by the answers to this
//! controller's commits.

mod late_answers;
