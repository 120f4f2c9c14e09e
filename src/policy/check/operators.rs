//! Checks the operands of operators and determines the types of the results.

use super::{Checker, TypedExpression};
use crate::policy::error::{LocatedProblem, Problem};
use crate::policy::eval::Expression;
use crate::policy::syntax::{ArithmeticOperator, BinaryOperator, SyntaxNode, UnaryOperator};

impl Checker {
    pub(super) fn unary(
        &self,
        operator: UnaryOperator,
        operand: &SyntaxNode,
    ) -> Result<TypedExpression, LocatedProblem> {
        match operator {
            UnaryOperator::Negate => {
                let operand = self.number(operand)?;
                let expression = Expression::Unary(operator, Box::new(operand.expression));
                Ok(TypedExpression::number(
                    expression,
                    operand.interval.negated(),
                ))
            }
            UnaryOperator::Not => {
                let operand = self.boolean(operand)?;
                Ok(TypedExpression::boolean(Expression::Unary(
                    operator,
                    Box::new(operand),
                )))
            }
        }
    }

    pub(super) fn binary(
        &self,
        operator: BinaryOperator,
        left: &SyntaxNode,
        right: &SyntaxNode,
    ) -> Result<TypedExpression, LocatedProblem> {
        match operator {
            BinaryOperator::Logical(operator) => {
                let left = Box::new(self.boolean(left)?);
                let right = Box::new(self.boolean(right)?);
                Ok(TypedExpression::boolean(Expression::Logical(
                    operator, left, right,
                )))
            }
            BinaryOperator::Comparison(operator) => {
                let left = Box::new(self.number(left)?.expression);
                let right = Box::new(self.number(right)?.expression);
                Ok(TypedExpression::boolean(Expression::Comparison(
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
    ) -> Result<TypedExpression, LocatedProblem> {
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
        Ok(TypedExpression::number(expression, interval))
    }
}
