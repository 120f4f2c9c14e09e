//! Splits machine names into prefixes and numbers, and groups them into ranges of numbers.

use std::collections::BTreeMap;

use crate::state::records::NumberSet;

/// Maximum number of digits of a name's number, so that it always fits a `u32`.
pub(super) const NAME_DIGITS: usize = 9;

/// Splits a name into its prefix, the width of its number in digits, and the number. With
/// width 0, the prefix is the full name.
pub(crate) fn split_name(name: &str) -> (&str, usize, u32) {
    let digits = name.bytes().rev().take_while(u8::is_ascii_digit).count();
    let width = digits.min(NAME_DIGITS);
    let (prefix, number) = name.split_at(name.len() - width);
    match number.parse() {
        Ok(number) => (prefix, width, number),
        Err(_) => (name, 0, 0),
    }
}

/// Returns the name that `split_name` has split.
pub(super) fn join_name(prefix: &str, width: usize, number: u32) -> String {
    match width {
        0 => prefix.to_string(),
        _ => format!("{prefix}{number:0width$}"),
    }
}

/// Groups names into ranges of numbers by prefix and width. Returns the ranges, and the
/// names without a number in full.
pub(super) fn group_names<'a>(
    names: impl Iterator<Item = &'a str>,
) -> (Vec<(String, usize, NumberSet)>, Vec<String>) {
    let mut grouped: BTreeMap<(&str, usize), Vec<u32>> = BTreeMap::new();
    let mut full_names = Vec::new();
    for name in names {
        match split_name(name) {
            (_, 0, _) => full_names.push(name.to_string()),
            (prefix, width, number) => grouped.entry((prefix, width)).or_default().push(number),
        }
    }
    let grouped = grouped.into_iter().map(|((prefix, width), mut numbers)| {
        numbers.sort_unstable();
        let mut ranges: Vec<(u32, u32)> = Vec::new();
        for number in numbers {
            match ranges.last_mut() {
                Some(last) if last.1 + 1 == number => last.1 = number,
                _ => ranges.push((number, number)),
            }
        }
        (prefix.to_string(), width, NumberSet(ranges))
    });
    (grouped.collect(), full_names)
}
