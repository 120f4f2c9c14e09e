//! Sends the commits of the fleet loops and skips empty ones. Many passes of these loops have
//! nothing to write.

use crate::controller::Controller;
use crate::state::budget::RequestClass;
use crate::state::client::StateClientError;
use crate::wire::Commit;

/// Sends a commit, unless it has no writes.
pub(super) async fn commit_unless_empty(
    controller: &Controller,
    class: RequestClass,
    commit: Commit,
) -> Result<(), StateClientError> {
    let Commit {
        preconditions,
        writes,
    } = commit;
    if writes.is_empty() {
        return Ok(());
    }
    controller
        .commit(class, preconditions, writes)
        .await
        .map(drop)
}
