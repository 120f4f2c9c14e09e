//! Defines a checked policy, with which the scheduler evaluates the rules.

use super::check::compile;
use super::error::{PolicyError, Problem};
use super::eval::Expression;
use super::facts::{JobFacts, MachineFacts};
use super::file::assignments;
use super::rules::{
    BOOT_LIMIT, HEADROOM, IDLE_TIME, QUEUE_ORDER, RENT_PRICE_RATIO, RENT_TURNOVER, RENT_WINDOW,
    RULES, Rule,
};

/// Checked policy: an expression for every rule. A rule that the policy file does not set
/// has its built-in expression.
#[derive(Debug, Clone)]
pub struct Policy {
    /// Compiled rules, in the order of [`RULES`].
    rules: Vec<CompiledRule>,
}

/// Expression of a rule, as text and in the form that can be evaluated. A rule with sort keys
/// has one expression for each key, any other rule a single one.
#[derive(Debug, Clone)]
struct CompiledRule {
    text: String,
    expressions: Vec<Expression>,
}

impl CompiledRule {
    fn built_in(rule: &Rule) -> Self {
        CompiledRule {
            text: rule.default.to_string(),
            // A test checks that the defaults compile.
            expressions: compile(rule, rule.default).unwrap_or_default(),
        }
    }
}

/// Rule, with the expression that a policy uses for it.
#[derive(Clone, Copy)]
pub struct RuleExpression<'a> {
    /// Definition of the rule.
    pub rule: &'static Rule,
    /// Text of the expression.
    pub text: &'a str,
}

impl RuleExpression<'_> {
    /// Returns whether the expression is the built-in expression of the rule.
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
    /// Parses and checks the text of a policy file. Rules that the file does not set keep
    /// their defaults.
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

    /// Returns each rule with its expression, in the order of [`RULES`].
    pub fn rules(&self) -> impl Iterator<Item = RuleExpression<'_>> {
        let rules = RULES.iter().zip(&self.rules);
        rules.map(|(rule, compiled)| RuleExpression {
            rule,
            text: &compiled.text,
        })
    }

    /// Returns the sort keys of a waiting job. Jobs are compared by their first keys, then by
    /// the second ones, and so on; the job with the lowest keys is placed first.
    pub fn queue_order(&self, job: &JobFacts) -> Vec<f64> {
        self.values(QUEUE_ORDER, &job.values())
    }

    /// Returns the time, in seconds, within which the waiting tasks of an array are to run, one
    /// after another, on the machines that are rented for them. The longer this time is, the
    /// fewer machines are rented.
    pub fn rent_window_s(&self, job: &JobFacts) -> f64 {
        self.value(RENT_WINDOW, &job.values())
    }

    /// Returns the fraction, from 0 to 1, of the CPUs in use by running array tasks that is
    /// expected to become free for waiting array tasks.
    pub fn rent_turnover(&self, job: &JobFacts) -> f64 {
        self.value(RENT_TURNOVER, &job.values())
    }

    /// Returns the highest acceptable price for a task, as a multiple of the price on the
    /// cheapest machine type.
    pub fn rent_price_ratio(&self, job: &JobFacts) -> f64 {
        self.value(RENT_PRICE_RATIO, &job.values())
    }

    /// Returns the number of jobs like the latest accelerator job for which free capacity is
    /// kept.
    pub fn headroom(&self, job: &JobFacts) -> f64 {
        self.value(HEADROOM, &job.values())
    }

    /// Returns the time, in seconds, after which a machine without work is returned to the
    /// cloud.
    pub fn idle_s(&self, machine: &MachineFacts) -> f64 {
        self.value(IDLE_TIME, &machine.values())
    }

    /// Returns the time after which a machine that has not booted is returned to the cloud,
    /// in seconds.
    pub fn boot_limit_s(&self, machine: &MachineFacts) -> f64 {
        self.value(BOOT_LIMIT, &machine.values())
    }

    /// Evaluates all expressions of a rule.
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

    /// Evaluates a rule with a single expression.
    fn value(&self, rule_name: &str, variables: &[f64]) -> f64 {
        self.values(rule_name, variables)
            .first()
            .copied()
            .unwrap_or(0.0)
    }
}
