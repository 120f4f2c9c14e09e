//! The types of expressions, with the interval arithmetic of their ranges.

/// A closed range of numbers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Interval {
    /// The smallest number of the range.
    pub min: f64,
    /// The largest number of the range.
    pub max: f64,
}

impl Interval {
    /// The range from `min` to `max`, both included.
    pub const fn new(min: f64, max: f64) -> Self {
        Interval { min, max }
    }

    /// The range of a single number.
    pub(super) const fn point(value: f64) -> Self {
        Interval::new(value, value)
    }

    pub(super) fn is_finite(&self) -> bool {
        self.min.is_finite() && self.max.is_finite()
    }

    pub(super) fn contains(&self, value: f64) -> bool {
        self.min <= value && self.max >= value
    }

    /// Whether every number of `self` is also one of `outer`.
    pub(super) fn is_within(&self, outer: &Interval) -> bool {
        !(self.min < outer.min || self.max > outer.max)
    }

    /// The smallest range that holds both.
    pub(super) fn hull(&self, other: &Interval) -> Self {
        Interval::new(self.min.min(other.min), self.max.max(other.max))
    }

    pub(super) fn negated(&self) -> Self {
        Interval::new(-self.max, -self.min)
    }

    /// The range of `function` over both arguments, where it takes its extremes
    /// at the ends of their ranges.
    pub(super) fn combine(&self, other: &Interval, function: impl Fn(f64, f64) -> f64) -> Self {
        let corners = [
            function(self.min, other.min),
            function(self.min, other.max),
            function(self.max, other.min),
            function(self.max, other.max),
        ];
        Interval::new(
            corners.iter().copied().fold(f64::INFINITY, f64::min),
            corners.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        )
    }

    /// The range of a function that never decreases when an argument grows.
    pub(super) fn map_monotonic(&self, function: impl Fn(f64) -> f64) -> Self {
        Interval::new(function(self.min), function(self.max))
    }

    /// As [`Interval::map_monotonic`], for a function of two arguments.
    pub(super) fn combine_monotonic(
        &self,
        other: &Interval,
        function: impl Fn(f64, f64) -> f64,
    ) -> Self {
        Interval::new(function(self.min, other.min), function(self.max, other.max))
    }
}

/// The type of an expression, with what is known of its value.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Type {
    Number(Interval),
    Boolean,
}
