//! Which of the newer subsystems are on.

/// Subsystems that are on; all are off unless the operators turn them on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Features {
    /// Each controller admits within a share of a team's limit, and shares can be moved.
    pub shares: bool,
}
