//! Checks the arguments of function calls and determines the types of the results.

use super::{Checker, TypedExpression};
use crate::policy::error::{LocatedProblem, Problem};
use crate::policy::eval::{Expression, FUNCTIONS, Function, Signature};
use crate::policy::syntax::{SourceRange, SyntaxNode};
use crate::policy::types::{Interval, Type};

impl Checker {
    pub(super) fn call(
        &self,
        name: &str,
        arguments: &[SyntaxNode],
        range: &SourceRange,
    ) -> Result<TypedExpression, LocatedProblem> {
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
    ) -> Result<TypedExpression, LocatedProblem> {
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
        Ok(TypedExpression {
            expression: Expression::Call(Function::If, arguments),
            value_type,
        })
    }

    fn numeric_call(
        &self,
        function: Function,
        arguments: &[SyntaxNode],
        range: &SourceRange,
    ) -> Result<TypedExpression, LocatedProblem> {
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
        Ok(TypedExpression::number(expression, interval))
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

/// Returns the range of `min` or `max` for arguments with the given ranges.
fn reduce(intervals: &[Interval], function: fn(f64, f64) -> f64) -> Interval {
    intervals
        .iter()
        .copied()
        .reduce(|left, right| left.combine_monotonic(&right, function))
        .unwrap_or(Interval::point(0.0))
}

/// Returns the range of `clamp(value, lowest, highest)`.
fn clamp(intervals: &[Interval], range: &SourceRange) -> Result<Interval, LocatedProblem> {
    let (value, lowest, highest) = (intervals[0], intervals[1], intervals[2]);
    if lowest.max > highest.min {
        return Err(Problem::ClampBoundsMayCross.at(range));
    }
    Ok(value.map_monotonic(|x| x.max(lowest.min).min(highest.max)))
}
