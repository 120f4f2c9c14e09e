//! Defines the syntax tree of an expression, which the parser produces. Its names are not yet
//! resolved and its types are not yet checked.

use std::ops::Range;

/// Range of bytes in the text of an expression.
pub(super) type SourceRange = Range<usize>;

/// Operator with two operands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BinaryOperator {
    Logical(LogicalOperator),
    Comparison(ComparisonOperator),
    Arithmetic(ArithmeticOperator),
}

/// Operator on two booleans with a boolean result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LogicalOperator {
    Or,
    And,
}

/// Operator on two numbers with a boolean result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ComparisonOperator {
    Equal,
    NotEqual,
    Less,
    LessOrEqual,
    Greater,
    GreaterOrEqual,
}

/// Operator on two numbers with a number as its result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ArithmeticOperator {
    Add,
    Subtract,
    Multiply,
    Divide,
}

impl ArithmeticOperator {
    pub(super) fn apply(self, left: f64, right: f64) -> f64 {
        match self {
            ArithmeticOperator::Add => left + right,
            ArithmeticOperator::Subtract => left - right,
            ArithmeticOperator::Multiply => left * right,
            ArithmeticOperator::Divide => left / right,
        }
    }
}

/// Prefix operator with one operand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UnaryOperator {
    Negate,
    Not,
}

/// Node of the syntax tree, with its location in the text.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct SyntaxNode {
    pub(super) kind: SyntaxKind,
    pub(super) range: SourceRange,
}

/// Kind of a node of the syntax tree. Names are not resolved yet.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum SyntaxKind {
    Number(f64),
    Boolean(bool),
    /// Name of a variable or of a constant.
    Name(String),
    Unary(UnaryOperator, Box<SyntaxNode>),
    Binary(BinaryOperator, Box<SyntaxNode>, Box<SyntaxNode>),
    Call {
        function: String,
        arguments: Vec<SyntaxNode>,
    },
}
