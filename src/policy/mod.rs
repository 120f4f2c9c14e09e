//! The scheduling policy that operators configure, in a small typed expression language.
//!
//! Each line of a policy file has the form `rule = expression`; `#` begins a comment.
//! The evaluation of an accepted expression never fails and always ends soon: the language has
//! no loops, nesting and length are bounded, and the checker rejects an expression that could
//! divide by zero or whose value could leave the range of the rule. A policy cannot violate
//! the protocol or exceed a team's limit: it only determines the order and the timing of
//! actions that are allowed anyway.
//!
//! A line is processed by these modules:
//!
//! * [`rules`] defines the rules and the variables that each may use;
//! * `file` splits a policy file into rules and locates errors in it;
//! * `parser` parses the text of an expression into the syntax tree of `syntax`;
//! * `check` resolves names and proves ranges by interval arithmetic, with the
//!   types of [`types`];
//! * `eval` evaluates a checked expression;
//! * `facts` contains the values of the variables for one job or machine.

mod check;
mod error;
mod eval;
mod facts;
mod file;
mod parser;
mod rule_set;
pub mod rules;
mod syntax;
pub mod types;

pub use error::PolicyError;
pub use facts::{JobFacts, MachineFacts};
pub use rule_set::{Policy, RuleExpression};
pub use rules::{JOB_VARIABLES, MACHINE_VARIABLES, RULES, Rule, Subject, Variable};
pub use types::Interval;
