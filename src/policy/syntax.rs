//! The syntax tree of an expression, as the parser reads it.

use std::ops::Range;

/// A range of bytes in the text of an expression.
pub(super) type SourceRange = Range<usize>;

/// An operator between two operands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BinaryOperator {
    Logical(LogicalOperator),
    Comparison(ComparisonOperator),
    Arithmetic(ArithmeticOperator),
}

/// Takes two booleans and gives one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LogicalOperator {
    Or,
    And,
}

/// Takes two numbers and gives a boolean.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ComparisonOperator {
    Equal,
    NotEqual,
    Less,
    LessOrEqual,
    Greater,
    GreaterOrEqual,
}

/// Takes two numbers and gives one.
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

/// An operator before its only operand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UnaryOperator {
    Negate,
    Not,
}

/// A node of the syntax tree, with its place in the text.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct SyntaxNode {
    pub(super) kind: SyntaxKind,
    pub(super) range: SourceRange,
}

/// What a node of the syntax tree is. Names are not resolved yet.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum SyntaxKind {
    Number(f64),
    Boolean(bool),
    /// A variable or a named constant.
    Name(String),
    Unary(UnaryOperator, Box<SyntaxNode>),
    Binary(BinaryOperator, Box<SyntaxNode>, Box<SyntaxNode>),
    Call {
        function: String,
        arguments: Vec<SyntaxNode>,
    },
}
