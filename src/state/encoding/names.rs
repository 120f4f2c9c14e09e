//! Splits machine names into prefixes and numbers, and groups them into ranges of numbers.

use std::collections::BTreeMap;

use crate::state::records::NumberSet;

/// Maximum number of digits at the end of a name that count as its number. A number with
/// this many digits always fits a `u32`.
pub(super) const NAME_DIGITS: usize = 9;

/// Splits a name into a prefix, the width of the number at its end in digits, and that
/// number. The width is 0 for a name without a number; the prefix is then the full name.
pub(crate) fn split_name(name: &str) -> (&str, usize, u32) {
    let digits = name.bytes().rev().take_while(u8::is_ascii_digit).count();
    let width = digits.min(NAME_DIGITS);
    let (prefix, number) = name.split_at(name.len() - width);
    match number.parse() {
        Ok(number) => (prefix, width, number),
        Err(_) => (name, 0, 0),
    }
}

/// Joins the parts that `split_name` returned into the name again.
pub(super) fn join_name(prefix: &str, width: usize, number: u32) -> String {
    match width {
        0 => prefix.to_string(),
        _ => format!("{prefix}{number:0width$}"),
    }
}

/// Groups names by prefix and width. Returns the numbers of each group as ranges, and a list
/// of the names that have no number.
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
