//! Checks parsed expressions: resolves names, and proves by interval arithmetic that the value
//! of an expression is always defined and stays in the range that its rule allows.
//!
//! `operators` checks operators, and `calls` checks function calls.

mod calls;
mod operators;

use super::error::{LocatedProblem, MAX_SORT_KEYS, Problem};
use super::eval::{Expression, boolean_value};
use super::parser::parse_expressions;
use super::rules::{CONSTANTS, Rule, Subject};
use super::syntax::{SourceRange, SyntaxKind, SyntaxNode};
use super::types::{Interval, Type};

/// Checked expression with its type.
struct TypedExpression {
    expression: Expression,
    value_type: Type,
}

impl TypedExpression {
    fn number(expression: Expression, interval: Interval) -> Self {
        TypedExpression {
            expression,
            value_type: Type::Number(interval),
        }
    }

    fn boolean(expression: Expression) -> Self {
        TypedExpression {
            expression,
            value_type: Type::Boolean,
        }
    }
}

/// Checked numeric expression with the range of its value.
struct NumericExpression {
    expression: Expression,
    interval: Interval,
}

/// Parses and checks the text of a rule's expression. Returns one expression for each sort key
/// if the rule has sort keys, otherwise a single expression.
pub(super) fn compile(rule: &Rule, text: &str) -> Result<Vec<Expression>, LocatedProblem> {
    let nodes = parse_expressions(text)?;
    match rule.range {
        Some(allowed) => single_value(rule, allowed, &nodes).map(|value| vec![value]),
        None => sort_keys(rule, &nodes),
    }
}

/// Checks a rule whose value is a single number in the range `allowed`.
fn single_value(
    rule: &Rule,
    allowed: Interval,
    nodes: &[SyntaxNode],
) -> Result<Expression, LocatedProblem> {
    if let Some(second) = nodes.get(1) {
        return Err(Problem::MultipleValues.at(&second.range));
    }
    let checker = Checker::new(rule.subject);
    let value = checker.number(&nodes[0])?;
    if !value.interval.is_within(&allowed) {
        let problem = Problem::OutOfRange {
            found: value.interval,
            rule: rule.name,
            allowed,
        };
        return Err(problem.at(&nodes[0].range));
    }
    Ok(value.expression)
}

/// Checks a rule whose value is a list of sort keys.
fn sort_keys(rule: &Rule, nodes: &[SyntaxNode]) -> Result<Vec<Expression>, LocatedProblem> {
    if let Some(excess) = nodes.get(MAX_SORT_KEYS) {
        return Err(Problem::TooManySortKeys.at(&excess.range));
    }
    let checker = Checker::new(rule.subject);
    nodes
        .iter()
        .map(|node| Ok(checker.typed(node)?.expression))
        .collect()
}

/// Checker of expressions that use the variables of one subject.
struct Checker {
    subject: Subject,
}

impl Checker {
    fn new(subject: Subject) -> Self {
        Checker { subject }
    }

    /// Checks an expression of any type.
    fn typed(&self, node: &SyntaxNode) -> Result<TypedExpression, LocatedProblem> {
        let typed = match &node.kind {
            SyntaxKind::Number(number) => {
                TypedExpression::number(Expression::Number(*number), Interval::point(*number))
            }
            SyntaxKind::Boolean(value) => {
                TypedExpression::boolean(Expression::Number(boolean_value(*value)))
            }
            SyntaxKind::Name(name) => self.name(name, &node.range)?,
            SyntaxKind::Unary(operator, operand) => self.unary(*operator, operand)?,
            SyntaxKind::Binary(operator, left, right) => self.binary(*operator, left, right)?,
            SyntaxKind::Call {
                function,
                arguments,
            } => self.call(function, arguments, &node.range)?,
        };
        match typed.value_type {
            Type::Number(interval) if !interval.is_finite() => {
                Err(Problem::Overflow.at(&node.range))
            }
            _ => Ok(typed),
        }
    }

    /// Checks an expression that must be a number.
    fn number(&self, node: &SyntaxNode) -> Result<NumericExpression, LocatedProblem> {
        let typed = self.typed(node)?;
        match typed.value_type {
            Type::Number(interval) => Ok(NumericExpression {
                expression: typed.expression,
                interval,
            }),
            Type::Boolean => Err(Problem::ExpectedNumber.at(&node.range)),
        }
    }

    /// Checks an expression that must be a boolean.
    fn boolean(&self, node: &SyntaxNode) -> Result<Expression, LocatedProblem> {
        let typed = self.typed(node)?;
        match typed.value_type {
            Type::Boolean => Ok(typed.expression),
            Type::Number(_) => Err(Problem::ExpectedBoolean.at(&node.range)),
        }
    }

    /// Resolves the name of a constant or of a variable of the subject.
    fn name(&self, name: &str, range: &SourceRange) -> Result<TypedExpression, LocatedProblem> {
        if let Some(constant) = CONSTANTS.iter().find(|constant| constant.name == name) {
            let expression = Expression::Number(constant.value);
            return Ok(TypedExpression::number(
                expression,
                Interval::point(constant.value),
            ));
        }
        let variables = self.subject.variables();
        let Some(position) = variables.iter().position(|variable| variable.name == name) else {
            let known: Vec<&str> = variables.iter().map(|variable| variable.name).collect();
            let known = known.join(", ");
            return Err(Problem::UnknownName { known }.at(range));
        };
        let expression = Expression::Variable(position);
        Ok(match variables[position].range {
            Some(interval) => TypedExpression::number(expression, interval),
            None => TypedExpression::boolean(expression),
        })
    }
}
