//! Hashes that all controllers compute identically: FNV-1a, whose results are stored in
//! records and therefore must not change between versions of the program, and rendezvous
//! hashing for the choice of a preferred controller.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Returns the 64-bit FNV-1a hash. Unlike the standard library's hash, it is the same in
/// every version.
pub(crate) fn fnv1a(bytes: impl Iterator<Item = u8>) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    bytes.fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// Returns the preferred controller for a key, such as a job, among the live controllers,
/// by rendezvous hashing. All controllers that see the same controllers alive choose the
/// same one. When a controller is lost, only the keys that it was preferred for get another
/// preferred controller.
pub fn preferred_controller<'a>(
    key: &str,
    alive: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    alive.max_by_key(|controller| {
        let mut hasher = DefaultHasher::new();
        (key, controller).hash(&mut hasher);
        (hasher.finish(), *controller)
    })
}
