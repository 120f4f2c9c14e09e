//! Sets of task numbers in the compact encoding.

use super::digits::{COMPACT_MARK, DIGITS, digit_value};
use crate::state::records::Ranges;

/// Stands between the first and the last task of a range.
pub(super) const RANGE_MARK: u8 = b'-';

/// The digits that each task of the set takes.
pub(super) fn task_width(sets: impl Iterator<Item = u32>) -> usize {
    match sets.max().unwrap_or(0) {
        ..4096 => 2,
        4096..262_144 => 3,
        _ => 6,
    }
}

pub(super) fn push_task(text: &mut String, n: u32, width: usize) {
    for at in (0..width).rev() {
        let d = (u64::from(n) >> (6 * at)) % 64;
        text.push(char::from(DIGITS[d as usize]));
    }
}

/// Writes a set of tasks. However it falls apart, a task takes its width at most.
pub(super) fn push_tasks(text: &mut String, set: &Ranges, width: usize) {
    for &(a, b) in &set.0 {
        push_task(text, a, width);
        match b - a {
            0 => {}
            1 => push_task(text, b, width),
            _ => {
                text.push(char::from(RANGE_MARK));
                push_task(text, b, width);
            }
        }
    }
}

pub(super) fn read_tasks(text: &str, width: usize) -> Option<Ranges> {
    let mut set: Vec<(u32, u32)> = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    let mut open = false;
    while at < bytes.len() {
        if bytes[at] == RANGE_MARK {
            open = true;
            at += 1;
            continue;
        }
        let code = bytes.get(at..at + width)?;
        let n = code
            .iter()
            .try_fold(0u64, |n, c| Some(n * 64 + digit_value(*c)?))?;
        let n = u32::try_from(n).ok()?;
        at += width;
        match set.last_mut() {
            Some(last) if open && last.1 < n => last.1 = n,
            _ if open => return None,
            Some(last) if last.1 >= n => return None,
            // Two that touch stand alone, as that is shorter.
            Some(last) if last.1 + 1 == n => last.1 = n,
            _ => set.push((n, n)),
        }
        open = false;
    }
    (!open).then_some(Ranges(set))
}

/// Reads a set of tasks in the compact encoding; the outer `None` where the text is in
/// the plain one.
pub fn decode_ranges(text: &str) -> Option<Option<Ranges>> {
    let rest = text.strip_prefix(COMPACT_MARK)?;
    let read = || {
        let width = digit_value(*rest.as_bytes().first()?)? as usize;
        read_tasks(rest.get(1..)?, width.max(1))
    };
    Some(read())
}
