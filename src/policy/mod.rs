//! The operators' policy, in a small typed expression language.
//!
//! A policy file holds lines `rule = expression`; `#` begins a comment. An
//! expression is total: there are no loops, nesting and length are bounded,
//! and the checker refuses what could divide by zero or leave the range of
//! its rule. No policy can break a rule of the protocol or a team's limit:
//! policies order and time what is allowed anyway.
//!
//! A line passes through these modules in turn:
//!
//! * [`rules`] lists the rules, and the variables each may use;
//! * `file` splits a policy file into rules and locates errors in it;
//! * `parser` turns the text of an expression into the tree of `syntax`;
//! * `check` resolves names and proves ranges by interval arithmetic, with the
//!   types of [`types`];
//! * `eval` computes a checked expression;
//! * `facts` holds the values of the variables for one job or machine.

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
