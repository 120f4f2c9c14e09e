//! A hash that is the same in every version of the program, unlike the standard
//! library's: what follows from it stands in records.

/// The 64-bit FNV-1a hash.
pub(crate) fn fnv1a(bytes: impl Iterator<Item = u8>) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    bytes.fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
