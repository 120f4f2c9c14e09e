//! Numbers in base 64.

pub(super) const DIGITS: &[u8; 64] =
    b"0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz_~";

/// Begins the compact encoding of a set of tasks; the plain one never does.
pub(super) const COMPACT_MARK: char = '.';

pub(super) fn digit_value(c: u8) -> Option<u64> {
    Some(u64::from(match c {
        b'0'..=b'9' => c - b'0',
        b'A'..=b'Z' => c - b'A' + 10,
        b'a'..=b'z' => c - b'a' + 36,
        b'_' => 62,
        b'~' => 63,
        _ => return None,
    }))
}

pub(super) fn push_number(text: &mut String, mut n: u64) {
    let mut digits = [0; 11];
    let mut at = digits.len();
    loop {
        at -= 1;
        digits[at] = DIGITS[(n % 64) as usize];
        n /= 64;
        if n == 0 {
            break;
        }
    }
    text.extend(digits[at..].iter().map(|d| char::from(*d)));
}

pub(super) fn read_number(text: &str) -> Option<u64> {
    if text.is_empty() {
        return None;
    }
    text.bytes()
        .try_fold(0u64, |n, c| n.checked_mul(64)?.checked_add(digit_value(c)?))
}
