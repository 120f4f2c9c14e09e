//! The checker: resolves names, and proves by interval arithmetic that an
//! expression is always defined and stays in the range of its rule.

use super::error::{LocatedProblem, Problem, SORT_KEYS_LIMIT};
use super::eval::{Expression, FUNCTIONS, Function, Signature, boolean_value};
use super::parser::parse_expressions;
use super::rules::{CONSTANTS, Rule, Subject};
use super::syntax::{
    ArithmeticOperator, BinaryOperator, SourceRange, SyntaxKind, SyntaxNode, UnaryOperator,
};
use super::types::{Interval, Type};

/// A checked expression with its type.
struct Typed {
    expression: Expression,
    value_type: Type,
}

impl Typed {
    fn number(expression: Expression, interval: Interval) -> Self {
        Typed {
            expression,
            value_type: Type::Number(interval),
        }
    }

    fn boolean(expression: Expression) -> Self {
        Typed {
            expression,
            value_type: Type::Boolean,
        }
    }
}

/// A checked expression of numbers with its range.
struct Numeric {
    expression: Expression,
    interval: Interval,
}

/// Parses and checks the text of a rule.
pub(super) fn compile(rule: &Rule, text: &str) -> Result<Vec<Expression>, LocatedProblem> {
    let nodes = parse_expressions(text)?;
    match rule.range {
        Some(allowed) => single_value(rule, allowed, &nodes).map(|value| vec![value]),
        None => sort_keys(rule, &nodes),
    }
}

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

fn sort_keys(rule: &Rule, nodes: &[SyntaxNode]) -> Result<Vec<Expression>, LocatedProblem> {
    if let Some(excess) = nodes.get(SORT_KEYS_LIMIT) {
        return Err(Problem::TooManySortKeys.at(&excess.range));
    }
    let checker = Checker::new(rule.subject);
    nodes
        .iter()
        .map(|node| Ok(checker.typed(node)?.expression))
        .collect()
}

/// Checks expressions over the variables of one subject.
struct Checker {
    subject: Subject,
}

impl Checker {
    fn new(subject: Subject) -> Self {
        Checker { subject }
    }

    fn typed(&self, node: &SyntaxNode) -> Result<Typed, LocatedProblem> {
        let typed = match &node.kind {
            SyntaxKind::Number(number) => {
                Typed::number(Expression::Number(*number), Interval::point(*number))
            }
            SyntaxKind::Boolean(value) => Typed::boolean(Expression::Number(boolean_value(*value))),
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

    fn number(&self, node: &SyntaxNode) -> Result<Numeric, LocatedProblem> {
        let typed = self.typed(node)?;
        match typed.value_type {
            Type::Number(interval) => Ok(Numeric {
                expression: typed.expression,
                interval,
            }),
            Type::Boolean => Err(Problem::ExpectedNumber.at(&node.range)),
        }
    }

    fn boolean(&self, node: &SyntaxNode) -> Result<Expression, LocatedProblem> {
        let typed = self.typed(node)?;
        match typed.value_type {
            Type::Boolean => Ok(typed.expression),
            Type::Number(_) => Err(Problem::ExpectedBoolean.at(&node.range)),
        }
    }

    fn name(&self, name: &str, range: &SourceRange) -> Result<Typed, LocatedProblem> {
        if let Some(constant) = CONSTANTS.iter().find(|constant| constant.name == name) {
            let expression = Expression::Number(constant.value);
            return Ok(Typed::number(expression, Interval::point(constant.value)));
        }
        let variables = self.subject.variables();
        let Some(position) = variables.iter().position(|v| v.name == name) else {
            let known: Vec<&str> = variables.iter().map(|v| v.name).collect();
            let known = known.join(", ");
            return Err(Problem::UnknownName { known }.at(range));
        };
        let expression = Expression::Variable(position);
        Ok(match variables[position].range {
            Some(interval) => Typed::number(expression, interval),
            None => Typed::boolean(expression),
        })
    }

    fn unary(
        &self,
        operator: UnaryOperator,
        operand: &SyntaxNode,
    ) -> Result<Typed, LocatedProblem> {
        match operator {
            UnaryOperator::Negate => {
                let operand = self.number(operand)?;
                let expression = Expression::Unary(operator, Box::new(operand.expression));
                Ok(Typed::number(expression, operand.interval.negated()))
            }
            UnaryOperator::Not => {
                let operand = self.boolean(operand)?;
                Ok(Typed::boolean(Expression::Unary(
                    operator,
                    Box::new(operand),
                )))
            }
        }
    }

    fn binary(
        &self,
        operator: BinaryOperator,
        left: &SyntaxNode,
        right: &SyntaxNode,
    ) -> Result<Typed, LocatedProblem> {
        match operator {
            BinaryOperator::Logical(operator) => {
                let left = Box::new(self.boolean(left)?);
                let right = Box::new(self.boolean(right)?);
                Ok(Typed::boolean(Expression::Logical(operator, left, right)))
            }
            BinaryOperator::Comparison(operator) => {
                let left = Box::new(self.number(left)?.expression);
                let right = Box::new(self.number(right)?.expression);
                Ok(Typed::boolean(Expression::Comparison(
                    operator, left, right,
                )))
            }
            BinaryOperator::Arithmetic(operator) => self.arithmetic(operator, left, right),
        }
    }

    fn arithmetic(
        &self,
        operator: ArithmeticOperator,
        left: &SyntaxNode,
        right: &SyntaxNode,
    ) -> Result<Typed, LocatedProblem> {
        let left_value = self.number(left)?;
        let right_value = self.number(right)?;
        if operator == ArithmeticOperator::Divide && right_value.interval.contains(0.0) {
            return Err(Problem::DivisorMayBeZero.at(&right.range));
        }
        let interval = left_value
            .interval
            .combine(&right_value.interval, |x, y| operator.apply(x, y));
        let expression = Expression::Arithmetic(
            operator,
            Box::new(left_value.expression),
            Box::new(right_value.expression),
        );
        Ok(Typed::number(expression, interval))
    }

    fn call(
        &self,
        name: &str,
        arguments: &[SyntaxNode],
        range: &SourceRange,
    ) -> Result<Typed, LocatedProblem> {
        let signature = find_function(name, range)?;
        let (min, max) = (signature.min_arguments, signature.max_arguments);
        if !(min..=max).contains(&arguments.len()) {
            return Err(Problem::ArgumentCount { min, max }.at(range));
        }
        match signature.function {
            Function::If => self.conditional(arguments, range),
            function => self.numeric_call(function, arguments, range),
        }
    }

    fn conditional(
        &self,
        arguments: &[SyntaxNode],
        range: &SourceRange,
    ) -> Result<Typed, LocatedProblem> {
        let condition = self.boolean(&arguments[0])?;
        let positive = self.typed(&arguments[1])?;
        let negative = self.typed(&arguments[2])?;
        let value_type = match (positive.value_type, negative.value_type) {
            (Type::Number(positive), Type::Number(negative)) => {
                Type::Number(positive.hull(&negative))
            }
            (Type::Boolean, Type::Boolean) => Type::Boolean,
            _ => return Err(Problem::BranchTypesDiffer.at(range)),
        };
        let arguments = vec![condition, positive.expression, negative.expression];
        Ok(Typed {
            expression: Expression::Call(Function::If, arguments),
            value_type,
        })
    }

    fn numeric_call(
        &self,
        function: Function,
        arguments: &[SyntaxNode],
        range: &SourceRange,
    ) -> Result<Typed, LocatedProblem> {
        let mut expressions = Vec::with_capacity(arguments.len());
        let mut intervals = Vec::with_capacity(arguments.len());
        for argument in arguments {
            let value = self.number(argument)?;
            expressions.push(value.expression);
            intervals.push(value.interval);
        }
        let interval = match function {
            Function::Min => reduce(&intervals, f64::min),
            Function::Max => reduce(&intervals, f64::max),
            Function::Floor => intervals[0].map_monotonic(f64::floor),
            Function::Clamp | Function::If => clamp(&intervals, range)?,
        };
        let expression = Expression::Call(function, expressions);
        Ok(Typed::number(expression, interval))
    }
}

fn find_function(name: &str, range: &SourceRange) -> Result<&'static Signature, LocatedProblem> {
    let found = FUNCTIONS.iter().find(|signature| signature.name == name);
    found.ok_or_else(|| {
        let known: Vec<&str> = FUNCTIONS.iter().map(|signature| signature.name).collect();
        let known = known.join(", ");
        Problem::UnknownFunction { known }.at(range)
    })
}

/// The range of `min` or `max` over arguments of these ranges.
fn reduce(intervals: &[Interval], function: fn(f64, f64) -> f64) -> Interval {
    intervals
        .iter()
        .copied()
        .reduce(|left, right| left.combine_monotonic(&right, function))
        .unwrap_or(Interval::point(0.0))
}

/// The range of `clamp(value, lowest, highest)`.
fn clamp(intervals: &[Interval], range: &SourceRange) -> Result<Interval, LocatedProblem> {
    let (value, lowest, highest) = (intervals[0], intervals[1], intervals[2]);
    if lowest.max > highest.min {
        return Err(Problem::ClampBoundsMayCross.at(range));
    }
    Ok(value.map_monotonic(|x| x.max(lowest.min).min(highest.max)))
}
