//! Encodes and decodes sets of task numbers in the compact encoding.

use super::digits::{COMPACT_MARK, DIGITS, digit_value};
use crate::state::records::NumberSet;

/// Separator between the first and the last task of a range.
pub(super) const RANGE_MARK: u8 = b'-';

/// Returns the number of base 64 digits in which every one of the task numbers fits.
pub(super) fn task_width(tasks: impl Iterator<Item = u32>) -> usize {
    match tasks.max().unwrap_or(0) {
        ..4096 => 2,
        4096..262_144 => 3,
        _ => 6,
    }
}

/// Appends a task number in base 64 with exactly `width` digits.
pub(super) fn push_task(text: &mut String, task: u32, width: usize) {
    for position in (0..width).rev() {
        let digit = (u64::from(task) >> (6 * position)) % 64;
        text.push(char::from(DIGITS[digit as usize]));
    }
}

/// Appends a set of tasks. The numbers need no separators, as each has `width` digits. A set
/// of n tasks therefore takes at most n times `width` characters, even if no two of the
/// tasks are adjacent.
pub(super) fn push_tasks(text: &mut String, set: &NumberSet, width: usize) {
    for &(first, last) in &set.0 {
        push_task(text, first, width);
        match last - first {
            0 => {}
            1 => push_task(text, last, width),
            _ => {
                text.push(char::from(RANGE_MARK));
                push_task(text, last, width);
            }
        }
    }
}

/// Parses a set of tasks that `push_tasks` wrote. Returns `None` if the text is not valid.
pub(super) fn read_tasks(text: &str, width: usize) -> Option<NumberSet> {
    let mut ranges: Vec<(u32, u32)> = Vec::new();
    let bytes = text.as_bytes();
    let mut position = 0;
    let mut in_range = false;
    while position < bytes.len() {
        if bytes[position] == RANGE_MARK {
            in_range = true;
            position += 1;
            continue;
        }
        let digits = bytes.get(position..position + width)?;
        let task = digits
            .iter()
            .try_fold(0u64, |value, digit| Some(value * 64 + digit_value(*digit)?))?;
        let task = u32::try_from(task).ok()?;
        position += width;
        match ranges.last_mut() {
            Some(last) if in_range && last.1 < task => last.1 = task,
            _ if in_range => return None,
            Some(last) if last.1 >= task => return None,
            // Two adjacent tasks are written without a range mark, as that is shorter. The
            // second one extends the range of the first.
            Some(last) if last.1 + 1 == task => last.1 = task,
            _ => ranges.push((task, task)),
        }
        in_range = false;
    }
    (!in_range).then_some(NumberSet(ranges))
}

/// Decodes a set of tasks if the text is in the compact encoding. Returns `None` if the text
/// is in the plain encoding, and `Some(None)` if it begins like a compact encoding but is not
/// a valid one.
pub fn decode_ranges(text: &str) -> Option<Option<NumberSet>> {
    let rest = text.strip_prefix(COMPACT_MARK)?;
    let read = || {
        let width = digit_value(*rest.as_bytes().first()?)? as usize;
        read_tasks(rest.get(1..)?, width.max(1))
    };
    Some(read())
}
