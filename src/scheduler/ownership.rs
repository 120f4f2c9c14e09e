//! Which controller places a job first.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::settings::Settings;

/// Rendezvous hashing: every controller finds the same preferred one among
/// those alive, and only the jobs of a lost one move.
pub fn preferred<'a>(job: &str, alive: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    alive.max_by_key(|node| {
        let mut h = DefaultHasher::new();
        (job, node).hash(&mut h);
        (h.finish(), *node)
    })
}

/// The controller that places a job first. With teams enough to go round it is
/// the same for all of a team: its record is then written by one, and jobs
/// that are placed together share that write.
pub fn placer<'a>(
    settings: &Settings,
    job: &str,
    team: &str,
    alive: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    let d = &settings.deployment;
    let key = if d.teams.len() >= d.count * 2 {
        team
    } else {
        job
    };
    preferred(key, alive)
}
