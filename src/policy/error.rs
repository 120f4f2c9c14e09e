//! Why a policy is refused.

use super::syntax::SourceRange;
use super::types::Interval;

/// The maximum length of an expression, in bytes.
pub(super) const EXPRESSION_LENGTH_LIMIT: usize = 2000;
/// The maximum nesting depth of brackets.
pub(super) const NESTING_LIMIT: usize = 24;
/// The maximum number of sort keys of one rule.
pub(super) const SORT_KEYS_LIMIT: usize = 8;

/// Why a policy is refused, with the place in its file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "policy: line {line}, column {column}: {problem}\n    {text}\n    {}{}",
    " ".repeat(.column.saturating_sub(1)),
    "^".repeat(*.width.max(&1))
)]
pub struct PolicyError {
    /// The line in the file, from 1.
    pub line: usize,
    /// The column in the line, in characters from 1.
    pub column: usize,
    /// The text of the line.
    pub text: String,
    /// How many bytes of the line are wrong.
    pub width: usize,
    /// What is wrong, in words.
    pub problem: String,
}

/// What is wrong with a line of a policy.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub(super) enum Problem {
    #[error("expected `rule = expression`")]
    ExpectedAssignment,
    #[error("unknown rule; known: {known}")]
    UnknownRule { known: String },
    #[error("the rule is set twice")]
    DuplicateRule,
    #[error("longer than {} bytes", EXPRESSION_LENGTH_LIMIT)]
    TooLong,
    #[error("brackets deeper than {}", NESTING_LIMIT)]
    NestedTooDeep,
    #[error("the expression ends too soon")]
    UnexpectedEnd,
    #[error("not understood from here")]
    UnexpectedText,
    #[error("one value only")]
    MultipleValues,
    #[error("more than {} keys", SORT_KEYS_LIMIT)]
    TooManySortKeys,
    #[error("unknown name; known here: {known}")]
    UnknownName { known: String },
    #[error("unknown function; known: {known}")]
    UnknownFunction { known: String },
    #[error("takes {min} to {max} values")]
    ArgumentCount { min: usize, max: usize },
    #[error("is true or false where a number is needed")]
    ExpectedNumber,
    #[error("is a number where true or false is needed")]
    ExpectedBoolean,
    #[error("both branches must be of one type")]
    BranchTypesDiffer,
    #[error("may be zero: dividing by it is not defined")]
    DivisorMayBeZero,
    #[error("clamp: the least may exceed the most")]
    ClampBoundsMayCross,
    #[error("may grow beyond all numbers")]
    Overflow,
    #[error(
        "may be from {} to {}, but {rule} must stay from {} to {}: use clamp()",
        .found.min, .found.max, .allowed.min, .allowed.max
    )]
    OutOfRange {
        found: Interval,
        rule: &'static str,
        allowed: Interval,
    },
}

/// A problem with its place in the text of an expression or a line.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{problem}")]
pub(super) struct LocatedProblem {
    pub(super) problem: Problem,
    pub(super) range: SourceRange,
}

impl Problem {
    pub(super) fn at(self, range: &SourceRange) -> LocatedProblem {
        LocatedProblem {
            problem: self,
            range: range.clone(),
        }
    }
}
