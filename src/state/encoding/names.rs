//! Machine names of one kind, as ranges of the numbers in them.

use std::collections::BTreeMap;

use crate::state::records::Ranges;

/// Digits of a name's number: as many as a `u32` always holds.
pub(super) const NAME_DIGITS: usize = 9;

/// A name as its prefix, the width of its number and that number; width 0 is a
/// name that stands in full.
pub(crate) fn split_name(name: &str) -> (&str, usize, u32) {
    let digits = name.bytes().rev().take_while(u8::is_ascii_digit).count();
    let width = digits.min(NAME_DIGITS);
    let (prefix, number) = name.split_at(name.len() - width);
    match number.parse() {
        Ok(n) => (prefix, width, n),
        Err(_) => (name, 0, 0),
    }
}

pub(super) fn join_name(prefix: &str, width: usize, number: u32) -> String {
    match width {
        0 => prefix.to_string(),
        _ => format!("{prefix}{number:0width$}"),
    }
}

/// The machines' names as ranges by prefix and width, and those in full.
pub(super) fn fold_names<'a>(
    names: impl Iterator<Item = &'a str>,
) -> (Vec<(String, usize, Ranges)>, Vec<String>) {
    let mut folded: BTreeMap<(&str, usize), Vec<u32>> = BTreeMap::new();
    let mut full = Vec::new();
    for name in names {
        match split_name(name) {
            (_, 0, _) => full.push(name.to_string()),
            (prefix, width, n) => folded.entry((prefix, width)).or_default().push(n),
        }
    }
    let folded = folded.into_iter().map(|((prefix, width), mut numbers)| {
        numbers.sort_unstable();
        let mut ranges: Vec<(u32, u32)> = Vec::new();
        for n in numbers {
            match ranges.last_mut() {
                Some(last) if last.1 + 1 == n => last.1 = n,
                _ => ranges.push((n, n)),
            }
        }
        (prefix.to_string(), width, Ranges(ranges))
    });
    (folded.collect(), full)
}
