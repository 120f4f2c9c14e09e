//! Splits policy files into lines of the form `rule = expression`, and locates errors in
//! them.

use super::error::{LocatedProblem, PolicyError, Problem};
use super::rules::RULES;
use super::syntax::SourceRange;

/// Line that sets a rule.
pub(super) struct Assignment<'a> {
    /// Position of the rule in [`RULES`].
    pub(super) rule: usize,
    /// Range of the rule's name in the line.
    pub(super) name_range: SourceRange,
    /// Text after the `=`, without a comment.
    pub(super) expression: &'a str,
    line: Line<'a>,
}

/// Line of a policy file.
#[derive(Clone, Copy)]
struct Line<'a> {
    /// Line number, from 1.
    number: usize,
    /// Text of the line, with its comment if it has one.
    text: &'a str,
    /// Text of the line up to its comment.
    code: &'a str,
}

/// Returns the assignments of a file in their order. Empty lines and lines that contain only
/// a comment are skipped.
pub(super) fn assignments(text: &str) -> impl Iterator<Item = Result<Assignment<'_>, PolicyError>> {
    text.lines()
        .enumerate()
        .map(|(index, text)| Line {
            number: index + 1,
            text,
            code: text.split('#').next().unwrap_or(""),
        })
        .filter(|line| !line.code.trim().is_empty())
        .map(|line| parse_assignment(line).map_err(|problem| line.error(problem)))
}

fn parse_assignment(line: Line<'_>) -> Result<Assignment<'_>, LocatedProblem> {
    let Some((name, expression)) = line.code.split_once('=') else {
        let whole = 0..line.code.trim_end().len();
        return Err(Problem::ExpectedAssignment.at(&whole));
    };
    let name_start = name.len() - name.trim_start().len();
    let name = name.trim();
    let name_range = name_start..name_start + name.len();
    let Some(rule) = RULES.iter().position(|rule| rule.name == name) else {
        let known: Vec<&str> = RULES.iter().map(|rule| rule.name).collect();
        let known = known.join(", ");
        return Err(Problem::UnknownRule { known }.at(&name_range));
    };
    Ok(Assignment {
        rule,
        name_range,
        expression,
        line,
    })
}

impl Assignment<'_> {
    /// Creates an error that is located at the name of the rule.
    pub(super) fn name_error(&self, problem: Problem) -> PolicyError {
        self.line.error(problem.at(&self.name_range))
    }

    /// Creates an error that is located within the expression. The range of `located` is
    /// relative to the expression's text.
    pub(super) fn expression_error(&self, located: LocatedProblem) -> PolicyError {
        let offset = self.line.code.len() - self.expression.len();
        let range = located.range.start + offset..located.range.end + offset;
        self.line.error(located.problem.at(&range))
    }
}

impl Line<'_> {
    /// Creates an error that is located within the line.
    fn error(&self, located: LocatedProblem) -> PolicyError {
        let LocatedProblem { problem, range } = located;
        let before = self.text.get(..range.start);
        let characters_before = before.map_or(range.start, |text| text.chars().count());
        PolicyError {
            line: self.number,
            column: characters_before + 1,
            text: self.text.to_string(),
            width: range.end.min(self.text.len()).saturating_sub(range.start),
            problem: problem.to_string(),
        }
    }
}
