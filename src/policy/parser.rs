//! Parses the text of an expression into a syntax tree.
//!
//! The operators in order of increasing precedence are `||`, `&&`, comparisons, `+` and
//! `-`, `*` and `/`, and the prefix operators `-` and `!`. Their operands are numbers,
//! names, calls and expressions in parentheses.

use winnow::ascii::multispace0;
use winnow::combinator::{alt, cut_err, delimited, opt, preceded, repeat, separated};
use winnow::error::{ContextError, ErrMode, StrContext};
use winnow::stream::{LocatingSlice, Location};
use winnow::token::{one_of, take_while};

use super::error::{LocatedProblem, MAX_EXPRESSION_BYTES, MAX_NESTING_DEPTH, Problem};
use super::syntax::{
    ArithmeticOperator, BinaryOperator, ComparisonOperator, LogicalOperator, SourceRange,
    SyntaxKind, SyntaxNode, UnaryOperator,
};

use winnow::prelude::*;

type Input<'a> = LocatingSlice<&'a str>;
type ParseResult<T> = Result<T, ErrMode<ContextError>>;

/// Parses one or more expressions, separated by commas.
pub(super) fn parse_expressions(text: &str) -> Result<Vec<SyntaxNode>, LocatedProblem> {
    check_length(text)?;
    check_nesting(text)?;
    let mut input = LocatingSlice::new(text);
    let parsed = expression_list(&mut input);
    let position = input.current_token_start();
    let is_at_end = position >= text.len();
    match parsed {
        Ok(expressions) if is_at_end => Ok(expressions),
        _ if is_at_end => Err(Problem::UnexpectedEnd.at(&(position..position + 1))),
        _ => Err(Problem::UnexpectedText.at(&(position..position + 1))),
    }
}

fn check_length(text: &str) -> Result<(), LocatedProblem> {
    if text.len() > MAX_EXPRESSION_BYTES {
        return Err(Problem::TooLong.at(&(0..text.len())));
    }
    Ok(())
}

fn check_nesting(text: &str) -> Result<(), LocatedProblem> {
    let mut depth = 0;
    for (position, character) in text.char_indices() {
        match character {
            '(' => depth += 1,
            ')' => depth -= 1,
            _ => {}
        }
        if depth > MAX_NESTING_DEPTH as i32 {
            return Err(Problem::NestedTooDeep.at(&(position..position + 1)));
        }
    }
    Ok(())
}

fn expression_list(input: &mut Input<'_>) -> ParseResult<Vec<SyntaxNode>> {
    preceded(multispace0, separated(1.., expression, ',')).parse_next(input)
}

fn expression(input: &mut Input<'_>) -> ParseResult<SyntaxNode> {
    left_associative(input, conjunction, |input| {
        "||".value(BinaryOperator::Logical(LogicalOperator::Or))
            .parse_next(input)
    })
}

fn conjunction(input: &mut Input<'_>) -> ParseResult<SyntaxNode> {
    left_associative(input, comparison, |input| {
        "&&".value(BinaryOperator::Logical(LogicalOperator::And))
            .parse_next(input)
    })
}

fn comparison(input: &mut Input<'_>) -> ParseResult<SyntaxNode> {
    left_associative(input, sum, |input| {
        alt((
            "==".value(ComparisonOperator::Equal),
            "!=".value(ComparisonOperator::NotEqual),
            "<=".value(ComparisonOperator::LessOrEqual),
            ">=".value(ComparisonOperator::GreaterOrEqual),
            '<'.value(ComparisonOperator::Less),
            '>'.value(ComparisonOperator::Greater),
        ))
        .map(BinaryOperator::Comparison)
        .parse_next(input)
    })
}

fn sum(input: &mut Input<'_>) -> ParseResult<SyntaxNode> {
    left_associative(input, product, |input| {
        alt((
            '+'.value(ArithmeticOperator::Add),
            '-'.value(ArithmeticOperator::Subtract),
        ))
        .map(BinaryOperator::Arithmetic)
        .parse_next(input)
    })
}

fn product(input: &mut Input<'_>) -> ParseResult<SyntaxNode> {
    left_associative(input, unary, |input| {
        alt((
            '*'.value(ArithmeticOperator::Multiply),
            '/'.value(ArithmeticOperator::Divide),
        ))
        .map(BinaryOperator::Arithmetic)
        .parse_next(input)
    })
}

/// Parses operands that are separated by left-associative operators of one precedence.
fn left_associative<'a>(
    input: &mut Input<'a>,
    mut operand: impl FnMut(&mut Input<'a>) -> ParseResult<SyntaxNode>,
    mut operator: impl FnMut(&mut Input<'a>) -> ParseResult<BinaryOperator>,
) -> ParseResult<SyntaxNode> {
    let mut left = operand(input)?;
    loop {
        let before_operator = *input;
        let operator = match operator(input) {
            Ok(operator) => operator,
            Err(ErrMode::Backtrack(_)) => {
                *input = before_operator;
                return Ok(left);
            }
            Err(error) => return Err(error),
        };
        let right = operand(input).map_err(ErrMode::cut)?;
        let range = left.range.start..right.range.end;
        let kind = SyntaxKind::Binary(operator, Box::new(left), Box::new(right));
        left = SyntaxNode { kind, range };
    }
}

/// Parses an atom with its prefix operators. The operators are read in a loop instead of by
/// recursion, so that a long sequence of operators cannot overflow the stack.
fn unary(input: &mut Input<'_>) -> ParseResult<SyntaxNode> {
    let operator = alt((
        '-'.value(UnaryOperator::Negate),
        '!'.value(UnaryOperator::Not),
    ));
    let operators: Vec<(UnaryOperator, SourceRange)> =
        repeat(0.., spaced(operator.with_span())).parse_next(input)?;
    let mut node = atom(input)?;
    for (operator, operator_range) in operators.into_iter().rev() {
        let range = operator_range.start..node.range.end;
        let kind = SyntaxKind::Unary(operator, Box::new(node));
        node = SyntaxNode { kind, range };
    }
    Ok(node)
}

fn atom(input: &mut Input<'_>) -> ParseResult<SyntaxNode> {
    let closing = cut_err(')').context(StrContext::Label("`)`"));
    let parenthesized = delimited('(', expression, closing);
    let kind = alt((number.map(SyntaxKind::Number), call, name));
    let node = kind
        .with_span()
        .map(|(kind, range)| SyntaxNode { kind, range });
    spaced(alt((parenthesized, node))).parse_next(input)
}

fn call(input: &mut Input<'_>) -> ParseResult<SyntaxKind> {
    let arguments = delimited('(', separated(1.., expression, ','), cut_err(')'));
    (identifier, multispace0, arguments)
        .map(|(function, _, arguments)| SyntaxKind::Call {
            function,
            arguments,
        })
        .parse_next(input)
}

fn name(input: &mut Input<'_>) -> ParseResult<SyntaxKind> {
    let name = identifier(input)?;
    Ok(match name.as_str() {
        "true" => SyntaxKind::Boolean(true),
        "false" => SyntaxKind::Boolean(false),
        _ => SyntaxKind::Name(name),
    })
}

fn identifier(input: &mut Input<'_>) -> ParseResult<String> {
    (
        one_of(|c: char| c.is_ascii_alphabetic() || c == '_'),
        take_while(0.., |c: char| c.is_ascii_alphanumeric() || c == '_'),
    )
        .take()
        .map(str::to_string)
        .parse_next(input)
}

fn number(input: &mut Input<'_>) -> ParseResult<f64> {
    (
        take_while(1.., |c: char| c.is_ascii_digit()),
        opt(('.', take_while(1.., |c: char| c.is_ascii_digit()))),
    )
        .take()
        .try_map(str::parse)
        .parse_next(input)
}

/// Returns a parser that accepts white space before and after `inner`.
fn spaced<'a, T>(
    inner: impl Parser<Input<'a>, T, ErrMode<ContextError>>,
) -> impl Parser<Input<'a>, T, ErrMode<ContextError>> {
    delimited(multispace0, inner, multispace0)
}
