//! Encodes and decodes numbers in base 64, the form that they have in compact encodings.

/// Digits of the base 64 alphabet, in the order of their values.
pub(super) const DIGITS: &[u8; 64] =
    b"0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz_~";

/// First character of the compact encoding of a set of tasks. The plain encoding, which
/// begins with a decimal digit, never begins with this character.
pub(super) const COMPACT_MARK: char = '.';

/// Returns the value of a digit, or `None` if the character is not a digit.
pub(super) fn digit_value(digit: u8) -> Option<u64> {
    Some(u64::from(match digit {
        b'0'..=b'9' => digit - b'0',
        b'A'..=b'Z' => digit - b'A' + 10,
        b'a'..=b'z' => digit - b'a' + 36,
        b'_' => 62,
        b'~' => 63,
        _ => return None,
    }))
}

/// Appends a number in base 64 to a text, without leading zeros.
pub(super) fn push_number(text: &mut String, mut number: u64) {
    let mut digits = [0; 11];
    let mut start = digits.len();
    loop {
        start -= 1;
        digits[start] = DIGITS[(number % 64) as usize];
        number /= 64;
        if number == 0 {
            break;
        }
    }
    text.extend(digits[start..].iter().map(|digit| char::from(*digit)));
}

/// Parses a number in base 64. Returns `None` if the text is not such a number or if the
/// number exceeds 64 bits.
pub(super) fn read_number(text: &str) -> Option<u64> {
    if text.is_empty() {
        return None;
    }
    text.bytes().try_fold(0u64, |number, digit| {
        number.checked_mul(64)?.checked_add(digit_value(digit)?)
    })
}
