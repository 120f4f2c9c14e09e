//! Evaluates expressions that the checker has accepted.

use super::syntax::{ArithmeticOperator, ComparisonOperator, LogicalOperator, UnaryOperator};

/// Function of the policy language.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Function {
    Min,
    Max,
    Clamp,
    Floor,
    If,
}

/// Name of a function, and the numbers of arguments that the function accepts.
pub(super) struct Signature {
    pub(super) name: &'static str,
    pub(super) function: Function,
    pub(super) min_arguments: usize,
    pub(super) max_arguments: usize,
}

const fn signature(
    name: &'static str,
    function: Function,
    min_arguments: usize,
    max_arguments: usize,
) -> Signature {
    Signature {
        name,
        function,
        min_arguments,
        max_arguments,
    }
}

/// Maximum number of arguments of `min` and `max`.
const MAX_ARGUMENTS: usize = 8;

/// All functions of the policy language.
pub(super) const FUNCTIONS: &[Signature] = &[
    signature("min", Function::Min, 2, MAX_ARGUMENTS),
    signature("max", Function::Max, 2, MAX_ARGUMENTS),
    signature("clamp", Function::Clamp, 3, 3),
    signature("floor", Function::Floor, 1, 1),
    signature("if", Function::If, 3, 3),
];

/// Expression that the checker has accepted: all names are resolved, and the value is defined
/// for all values of the variables within their ranges.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Expression {
    Number(f64),
    /// Variable, by its position in the list of the variables of the rule's subject.
    Variable(usize),
    Unary(UnaryOperator, Box<Expression>),
    Logical(LogicalOperator, Box<Expression>, Box<Expression>),
    Comparison(ComparisonOperator, Box<Expression>, Box<Expression>),
    Arithmetic(ArithmeticOperator, Box<Expression>, Box<Expression>),
    Call(Function, Vec<Expression>),
}

/// Returns the number that represents a boolean in the evaluation: 1 for true, 0 for false.
pub(super) fn boolean_value(value: bool) -> f64 {
    f64::from(u8::from(value))
}

impl Expression {
    /// Evaluates the expression with the given values of the variables of the rule's subject.
    /// The checker has proven that the result is defined for all values within the ranges of
    /// the variables.
    pub(super) fn value(&self, variables: &[f64]) -> f64 {
        match self {
            Expression::Number(number) => *number,
            Expression::Variable(position) => variables.get(*position).copied().unwrap_or(0.0),
            Expression::Unary(UnaryOperator::Negate, operand) => -operand.value(variables),
            Expression::Unary(UnaryOperator::Not, operand) => 1.0 - operand.value(variables),
            Expression::Logical(operator, left, right) => {
                let (left, right) = (left.value(variables), right.value(variables));
                match operator {
                    LogicalOperator::Or => left.max(right),
                    LogicalOperator::And => left.min(right),
                }
            }
            Expression::Comparison(operator, left, right) => {
                let (left, right) = (left.value(variables), right.value(variables));
                boolean_value(compare(*operator, left, right))
            }
            Expression::Arithmetic(operator, left, right) => {
                operator.apply(left.value(variables), right.value(variables))
            }
            Expression::Call(function, arguments) => call(*function, arguments, variables),
        }
    }
}

fn compare(operator: ComparisonOperator, left: f64, right: f64) -> bool {
    match operator {
        ComparisonOperator::Equal => left == right,
        ComparisonOperator::NotEqual => left != right,
        ComparisonOperator::Less => left < right,
        ComparisonOperator::LessOrEqual => left <= right,
        ComparisonOperator::Greater => left > right,
        ComparisonOperator::GreaterOrEqual => left >= right,
    }
}

fn call(function: Function, arguments: &[Expression], variables: &[f64]) -> f64 {
    let value = |position: usize| arguments[position].value(variables);
    let values = || arguments.iter().map(|argument| argument.value(variables));
    match function {
        Function::Min => values().fold(f64::MAX, f64::min),
        Function::Max => values().fold(f64::MIN, f64::max),
        Function::Clamp => value(0).max(value(1)).min(value(2)),
        Function::Floor => value(0).floor(),
        Function::If if value(0) != 0.0 => value(1),
        Function::If => value(2),
    }
}
