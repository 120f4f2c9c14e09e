//! Defines the types of expressions, and interval arithmetic on the ranges of the values of
//! numeric expressions.

/// Closed range of numbers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Interval {
    /// Smallest number of the range.
    pub min: f64,
    /// Largest number of the range.
    pub max: f64,
}

impl Interval {
    /// Creates the range from `min` to `max`, both included.
    pub const fn new(min: f64, max: f64) -> Self {
        Interval { min, max }
    }

    /// Creates the range that contains a single number.
    pub(super) const fn point(value: f64) -> Self {
        Interval::new(value, value)
    }

    pub(super) fn is_finite(&self) -> bool {
        self.min.is_finite() && self.max.is_finite()
    }

    pub(super) fn contains(&self, value: f64) -> bool {
        self.min <= value && self.max >= value
    }

    /// Returns whether `outer` contains every number of `self`.
    pub(super) fn is_within(&self, outer: &Interval) -> bool {
        !(self.min < outer.min || self.max > outer.max)
    }

    /// Returns the smallest range that contains both ranges.
    pub(super) fn hull(&self, other: &Interval) -> Self {
        Interval::new(self.min.min(other.min), self.max.max(other.max))
    }

    pub(super) fn negated(&self) -> Self {
        Interval::new(-self.max, -self.min)
    }

    /// Returns the range of the values of a function of two arguments. The function must have
    /// its extremes where each argument is at an end of its range.
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

    /// Returns the range of a function that never decreases when its argument grows.
    pub(super) fn map_monotonic(&self, function: impl Fn(f64) -> f64) -> Self {
        Interval::new(function(self.min), function(self.max))
    }

    /// Returns the range of a function of two arguments that never decreases when either
    /// of them grows.
    pub(super) fn combine_monotonic(
        &self,
        other: &Interval,
        function: impl Fn(f64, f64) -> f64,
    ) -> Self {
        Interval::new(function(self.min, other.min), function(self.max, other.max))
    }
}

/// Type of an expression. For a number, it includes the range of possible values.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Type {
    Number(Interval),
    Boolean,
}
