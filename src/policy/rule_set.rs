//! A checked policy: the expression of every rule.

use super::check::compile;
use super::error::{PolicyError, Problem};
use super::eval::Expression;
use super::facts::{JobFacts, MachineFacts};
use super::file::assignments;
use super::rules::{
    BOOT_LIMIT, HEADROOM, IDLE_TIME, QUEUE_ORDER, RENT_PRICE_RATIO, RENT_TURNOVER, RENT_WINDOW,
    RULES, Rule,
};

/// A checked policy: every rule's expression, the built-in one where the
/// operators set none.
#[derive(Debug, Clone)]
pub struct Policy {
    /// In the order of [`RULES`].
    rules: Vec<CompiledRule>,
}

/// The text of a rule with its checked expressions: one, or the sort keys.
#[derive(Debug, Clone)]
struct CompiledRule {
    text: String,
    expressions: Vec<Expression>,
}

impl CompiledRule {
    fn built_in(rule: &Rule) -> Self {
        CompiledRule {
            text: rule.default.to_string(),
            // The defaults are checked by a test like any operators' policy.
            expressions: compile(rule, rule.default).unwrap_or_default(),
        }
    }
}

/// A rule with the expression that a policy has for it.
#[derive(Clone, Copy)]
pub struct RuleExpression<'a> {
    /// The rule.
    pub rule: &'static Rule,
    /// The text of the expression.
    pub text: &'a str,
}

impl RuleExpression<'_> {
    /// Whether the expression is the built-in one.
    pub fn is_built_in(&self) -> bool {
        self.text == self.rule.default
    }
}

impl Default for Policy {
    fn default() -> Self {
        let rules = RULES.iter().map(CompiledRule::built_in).collect();
        Policy { rules }
    }
}

impl Policy {
    /// Reads a policy file's text; rules that it does not set keep their
    /// defaults.
    pub fn parse(text: &str) -> Result<Self, PolicyError> {
        let mut policy = Policy::default();
        let mut assigned = Vec::new();
        for assignment in assignments(text) {
            let assignment = assignment?;
            if assigned.contains(&assignment.rule) {
                return Err(assignment.name_error(Problem::DuplicateRule));
            }
            assigned.push(assignment.rule);
            let expressions = compile(&RULES[assignment.rule], assignment.expression)
                .map_err(|problem| assignment.expression_error(problem))?;
            policy.rules[assignment.rule] = CompiledRule {
                text: assignment.expression.trim().to_string(),
                expressions,
            };
        }
        Ok(policy)
    }

    /// The expression of each rule, in the order of [`RULES`].
    pub fn rules(&self) -> impl Iterator<Item = RuleExpression<'_>> {
        let rules = RULES.iter().zip(&self.rules);
        rules.map(|(rule, compiled)| RuleExpression {
            rule,
            text: &compiled.text,
        })
    }

    /// The sort keys of a waiting job; the job with the lowest goes first.
    pub fn queue_order(&self, job: &JobFacts) -> Vec<f64> {
        self.values(QUEUE_ORDER, &job.values())
    }

    /// For how many seconds array tasks may follow one another on rented
    /// machines.
    pub fn rent_window_s(&self, job: &JobFacts) -> f64 {
        self.value(RENT_WINDOW, &job.values())
    }

    /// The part, from 0 to 1, of running array work that counts as free soon.
    pub fn rent_turnover(&self, job: &JobFacts) -> f64 {
        self.value(RENT_TURNOVER, &job.values())
    }

    /// The dearest offer to rent, over the cheapest type's price for a task.
    pub fn rent_price_ratio(&self, job: &JobFacts) -> f64 {
        self.value(RENT_PRICE_RATIO, &job.values())
    }

    /// For how many more jobs like the latest on accelerators room is kept.
    pub fn headroom(&self, job: &JobFacts) -> f64 {
        self.value(HEADROOM, &job.values())
    }

    /// After how many seconds without work a machine is returned.
    pub fn idle_s(&self, machine: &MachineFacts) -> f64 {
        self.value(IDLE_TIME, &machine.values())
    }

    /// After how many seconds a machine that has not come up is returned.
    pub fn boot_limit_s(&self, machine: &MachineFacts) -> f64 {
        self.value(BOOT_LIMIT, &machine.values())
    }

    fn values(&self, rule_name: &str, variables: &[f64]) -> Vec<f64> {
        let position = RULES.iter().position(|rule| rule.name == rule_name);
        position
            .and_then(|position| self.rules.get(position))
            .map(|rule| {
                rule.expressions
                    .iter()
                    .map(|expression| expression.value(variables))
                    .collect()
            })
            .unwrap_or_default()
    }

    fn value(&self, rule_name: &str, variables: &[f64]) -> f64 {
        self.values(rule_name, variables)
            .first()
            .copied()
            .unwrap_or(0.0)
    }
}
