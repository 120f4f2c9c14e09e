//! Defines sets of numbers that are stored as ranges, mainly for the numbers of tasks.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Set of numbers of tasks or of machine names, stored as sorted, disjoint, closed ranges.
/// It is encoded as text such as `0-4,7`, so that a job with thousands of tasks fits into
/// one record.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NumberSet(pub Vec<(u32, u32)>);

impl fmt::Display for NumberSet {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (index, (first, last)) in self.0.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            match first == last {
                true => write!(f, "{comma}{first}")?,
                false => write!(f, "{comma}{first}-{last}")?,
            }
        }
        Ok(())
    }
}

impl Serialize for NumberSet {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for NumberSet {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(deserializer)?;
        if let Some(decoded) = crate::state::encoding::decode_ranges(&text) {
            return decoded.ok_or_else(|| {
                serde::de::Error::custom("invalid compact encoding of task numbers")
            });
        }
        let mut ranges = Vec::new();
        for part in text.split(',').filter(|p| !p.is_empty()) {
            let (first, last) = part.split_once('-').unwrap_or((part, part));
            match (first.parse(), last.parse()) {
                (Ok(first), Ok(last)) if first <= last => ranges.push((first, last)),
                _ => return Err(serde::de::Error::custom("invalid ranges of task numbers")),
            }
        }
        Ok(NumberSet(ranges))
    }
}

impl NumberSet {
    /// Creates a set of a single number.
    pub fn one(number: u32) -> Self {
        NumberSet(vec![(number, number)])
    }
    /// Returns the number of elements.
    pub fn len(&self) -> usize {
        self.0
            .iter()
            .map(|(first, last)| (last - first + 1) as usize)
            .sum()
    }
    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
    /// Returns whether a number is in the set.
    pub fn contains(&self, number: u32) -> bool {
        self.0
            .iter()
            .any(|&(first, last)| first <= number && number <= last)
    }
    /// Returns the numbers in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|&(first, last)| first..=last)
    }
    /// Adds a number, unless it is in the set already.
    pub fn insert(&mut self, number: u32) {
        if self.contains(number) {
            return;
        }
        let index = self.0.partition_point(|&(first, _)| first < number);
        self.0.insert(index, (number, number));
        // Merge with the adjacent ranges.
        if index + 1 < self.0.len() && self.0[index].1 + 1 == self.0[index + 1].0 {
            self.0[index].1 = self.0[index + 1].1;
            self.0.remove(index + 1);
        }
        if index > 0 && self.0[index - 1].1 + 1 == self.0[index].0 {
            self.0[index - 1].1 = self.0[index].1;
            self.0.remove(index);
        }
    }
    /// Removes a number. Returns false if it was not in the set.
    pub fn remove(&mut self, number: u32) -> bool {
        let Some(index) = self
            .0
            .iter()
            .position(|&(first, last)| first <= number && number <= last)
        else {
            return false;
        };
        let (first, last) = self.0.remove(index);
        if number < last {
            self.0.insert(index, (number + 1, last));
        }
        if first < number {
            self.0.insert(index, (first, number - 1));
        }
        true
    }
    /// Removes the lowest number and returns it.
    pub fn pop_first(&mut self) -> Option<u32> {
        let number = self.0.first()?.0;
        self.remove(number);
        Some(number)
    }
}
