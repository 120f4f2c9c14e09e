//! Errors of a policy file.

use super::syntax::SourceRange;
use super::types::Interval;

/// Maximum length of an expression, in bytes.
pub(super) const MAX_EXPRESSION_BYTES: usize = 2000;
/// Maximum nesting depth of parentheses.
pub(super) const MAX_NESTING_DEPTH: usize = 24;
/// Maximum number of sort keys of a rule.
pub(super) const MAX_SORT_KEYS: usize = 8;

/// Error in a policy, with its location in the file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "policy: line {line}, column {column}: {problem}\n    {text}\n    {}{}",
    " ".repeat(.column.saturating_sub(1)),
    "^".repeat(*.width.max(&1))
)]
pub struct PolicyError {
    /// Line number in the file, from 1.
    pub line: usize,
    /// Column in the line, in characters from 1.
    pub column: usize,
    /// Text of the line.
    pub text: String,
    /// Length of the erroneous part of the line, in bytes.
    pub width: usize,
    /// Description of the problem.
    pub problem: String,
}

/// Problem in a line of a policy file, without its location.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub(super) enum Problem {
    #[error("expected `rule = expression`")]
    ExpectedAssignment,
    #[error("unknown rule; known rules: {known}")]
    UnknownRule { known: String },
    #[error("the rule is set twice")]
    DuplicateRule,
    #[error("the expression is longer than {} bytes", MAX_EXPRESSION_BYTES)]
    TooLong,
    #[error("parentheses are nested more than {} deep", MAX_NESTING_DEPTH)]
    NestedTooDeep,
    #[error("unexpected end of the expression")]
    UnexpectedEnd,
    #[error("unexpected text")]
    UnexpectedText,
    #[error("the rule takes a single value")]
    MultipleValues,
    #[error("more than {} sort keys", MAX_SORT_KEYS)]
    TooManySortKeys,
    #[error("unknown name; variables of this rule: {known}")]
    UnknownName { known: String },
    #[error("unknown function; known functions: {known}")]
    UnknownFunction { known: String },
    #[error("the function takes {min} to {max} arguments")]
    ArgumentCount { min: usize, max: usize },
    #[error("expected a number, found a boolean")]
    ExpectedNumber,
    #[error("expected a boolean, found a number")]
    ExpectedBoolean,
    #[error("the branches of `if` have different types")]
    BranchTypesDiffer,
    #[error("the divisor may be zero")]
    DivisorMayBeZero,
    #[error("the lower bound of `clamp` may exceed its upper bound")]
    ClampBoundsMayCross,
    #[error("the value may overflow")]
    Overflow,
    #[error(
        "the value may be from {} to {}, but {rule} must stay within {} to {}: use clamp()",
        .found.min, .found.max, .allowed.min, .allowed.max
    )]
    OutOfRange {
        found: Interval,
        rule: &'static str,
        allowed: Interval,
    },
}

/// Problem with its location in the text of an expression or of a line.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{problem}")]
pub(super) struct LocatedProblem {
    pub(super) problem: Problem,
    pub(super) range: SourceRange,
}

impl Problem {
    /// Returns the problem together with its location.
    pub(super) fn at(self, range: &SourceRange) -> LocatedProblem {
        LocatedProblem {
            problem: self,
            range: range.clone(),
        }
    }
}
