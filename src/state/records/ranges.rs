//! Defines sets of task numbers.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Set of task numbers as sorted, disjoint, closed ranges. It is encoded as text such as
/// `0-4,7`, as a job with thousands of tasks has to fit into one record.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ranges(pub Vec<(u32, u32)>);

impl Serialize for Ranges {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        use std::fmt::Write;
        let mut text = String::with_capacity(self.0.len() * 8);
        for (a, b) in &self.0 {
            let comma = if text.is_empty() { "" } else { "," };
            let _ = if a == b {
                write!(text, "{comma}{a}")
            } else {
                write!(text, "{comma}{a}-{b}")
            };
        }
        serializer.serialize_str(&text)
    }
}

impl<'de> Deserialize<'de> for Ranges {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(deserializer)?;
        if let Some(short) = crate::state::encoding::decode_ranges(&text) {
            return short.ok_or_else(|| serde::de::Error::custom("not a set of tasks"));
        }
        let mut ranges = Vec::new();
        for part in text.split(',').filter(|p| !p.is_empty()) {
            let (a, b) = part.split_once('-').unwrap_or((part, part));
            match (a.parse(), b.parse()) {
                (Ok(a), Ok(b)) if a <= b => ranges.push((a, b)),
                _ => return Err(serde::de::Error::custom("not a set of numbers")),
            }
        }
        Ok(Ranges(ranges))
    }
}

impl Ranges {
    /// Creates a set of a single number.
    pub fn one(n: u32) -> Self {
        Ranges(vec![(n, n)])
    }
    /// Returns the number of elements.
    pub fn len(&self) -> usize {
        self.0.iter().map(|(a, b)| (b - a + 1) as usize).sum()
    }
    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
    /// Returns whether a number is in the set.
    pub fn contains(&self, n: u32) -> bool {
        self.0.iter().any(|&(a, b)| a <= n && n <= b)
    }
    /// Returns the numbers in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|&(a, b)| a..=b)
    }
    /// Adds a number, unless it is in the set already.
    pub fn insert(&mut self, n: u32) {
        if self.contains(n) {
            return;
        }
        let at = self.0.partition_point(|&(a, _)| a < n);
        self.0.insert(at, (n, n));
        // Merge with the adjacent ranges.
        if at + 1 < self.0.len() && self.0[at].1 + 1 == self.0[at + 1].0 {
            self.0[at].1 = self.0[at + 1].1;
            self.0.remove(at + 1);
        }
        if at > 0 && self.0[at - 1].1 + 1 == self.0[at].0 {
            self.0[at - 1].1 = self.0[at].1;
            self.0.remove(at);
        }
    }
    /// Removes a number. Returns false if it was not in the set.
    pub fn remove(&mut self, n: u32) -> bool {
        let Some(at) = self.0.iter().position(|&(a, b)| a <= n && n <= b) else {
            return false;
        };
        let (a, b) = self.0.remove(at);
        if n < b {
            self.0.insert(at, (n + 1, b));
        }
        if a < n {
            self.0.insert(at, (a, n - 1));
        }
        true
    }
    /// Removes the lowest number and returns it.
    pub fn pop_first(&mut self) -> Option<u32> {
        let n = self.0.first()?.0;
        self.remove(n);
        Some(n)
    }
}
