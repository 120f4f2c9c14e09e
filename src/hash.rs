//! Hashes that all controllers work out alike: one that is the same in every version of
//! the program, as what follows from it stands in records, and the choice of a preferred
//! controller.

use std::hash::{DefaultHasher, Hash, Hasher};

/// The 64-bit FNV-1a hash, unlike the standard library's the same for ever.
pub(crate) fn fnv1a(bytes: impl Iterator<Item = u8>) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    bytes.fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// Rendezvous hashing: every controller finds the same preferred one among
/// those alive, and only the jobs of a lost one move.
pub fn preferred<'a>(job: &str, alive: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    alive.max_by_key(|controller| {
        let mut hasher = DefaultHasher::new();
        (job, controller).hash(&mut hasher);
        (hasher.finish(), *controller)
    })
}
