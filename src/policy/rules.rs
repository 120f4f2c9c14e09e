//! Defines the rules that operators can set, and the variables and constants that the
//! rules' expressions can use.

use super::types::Interval;

/// Kind of object that a rule is evaluated for. It determines the variables that the
/// rule's expression may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// Job that waits for machines.
    Job,
    /// Provisioned machine.
    Machine,
}

impl Subject {
    /// Returns the variables of rules that are evaluated for this kind of object.
    pub fn variables(self) -> &'static [Variable] {
        match self {
            Subject::Job => JOB_VARIABLES,
            Subject::Machine => MACHINE_VARIABLES,
        }
    }
}

/// Variable of the policy language.
pub struct Variable {
    /// Name in expressions.
    pub name: &'static str,
    /// Range of the value of a numeric variable; `None` for a boolean variable.
    pub range: Option<Interval>,
    /// Explanation for operators.
    pub meaning: &'static str,
}

const fn number(name: &'static str, min: f64, max: f64, meaning: &'static str) -> Variable {
    Variable {
        name,
        range: Some(Interval::new(min, max)),
        meaning,
    }
}

const fn boolean(name: &'static str, meaning: &'static str) -> Variable {
    Variable {
        name,
        range: None,
        meaning,
    }
}

/// Maximum work of a job, in CPU seconds or accelerator seconds.
const MAX_WORK: f64 = 1e12;

/// Variables of a job, in the order of the values of [`super::JobFacts`].
pub const JOB_VARIABLES: &[Variable] = &[
    boolean(
        "borrows",
        "the team would exceed its guarantee with this job",
    ),
    number(
        "priority",
        0.0,
        3.0,
        "low 0, normal 1, urgent 2, prod 3; the highest of the job and of the jobs that depend on it",
    ),
    number(
        "share",
        0.0,
        1e9,
        "resources that the team uses, as a fraction of its guarantee",
    ),
    boolean(
        "late",
        "the job, started now, would miss every objective of its class and the deadline of its dependents",
    ),
    number(
        "work",
        0.0,
        MAX_WORK,
        "estimated work of the waiting tasks, in CPU seconds or accelerator seconds",
    ),
    number(
        "age_s",
        0.0,
        1e9,
        "seconds since this controller first saw that the job is ready to start",
    ),
    number("tasks", 1.0, 1e5, "number of tasks"),
    number(
        "waiting",
        0.0,
        1e5,
        "number of tasks that wait for a machine",
    ),
    number(
        "estimate_s",
        0.0,
        1e9,
        "run time of a task as estimated by the job's owner, in seconds",
    ),
    number("kind", 0.0, 2.0, "array 0, gang 1, service 2"),
    boolean(
        "has_deadline",
        "the job, or a job that depends on it, has a deadline",
    ),
    number(
        "boot_s",
        0.0,
        1e5,
        "shortest boot time of all machine types, in seconds",
    ),
    boolean("aimed", "an objective is configured for the job's class"),
];

/// Variables of a machine, in the order of the values of [`super::MachineFacts`].
pub const MACHINE_VARIABLES: &[Variable] = &[
    number(
        "boot_s",
        0.0,
        1e5,
        "boot time of the machine's type, in seconds",
    ),
    number("price", 0.0, 1e6, "price per hour"),
    number("cpus", 0.0, 1e6, "number of CPUs"),
    number("gpus", 0.0, 1e6, "number of accelerators"),
    boolean(
        "spot",
        "the machine is a spot machine, which the cloud may reclaim",
    ),
];

/// Constant of the policy language: a name that stands for a number.
pub(super) struct Constant {
    pub(super) name: &'static str,
    pub(super) value: f64,
}

const fn constant(name: &'static str, value: f64) -> Constant {
    Constant { name, value }
}

/// Constants for the priorities and the kinds of jobs.
pub(super) const CONSTANTS: &[Constant] = &[
    constant("low", 0.0),
    constant("normal", 1.0),
    constant("urgent", 2.0),
    constant("prod", 3.0),
    constant("array", 0.0),
    constant("gang", 1.0),
    constant("service", 2.0),
];

/// Rule that a policy can set.
pub struct Rule {
    /// Name in policy files.
    pub name: &'static str,
    /// Kind of object that the rule is evaluated for.
    pub subject: Subject,
    /// Range of the rule's value; `None` for a rule with a list of sort keys.
    pub range: Option<Interval>,
    /// Expression that is used if the policy file does not set the rule.
    pub default: &'static str,
    /// Explanation for operators.
    pub meaning: &'static str,
}

pub(super) const QUEUE_ORDER: &str = "queue_order";
pub(super) const RENT_WINDOW: &str = "rent_window_s";
pub(super) const RENT_TURNOVER: &str = "rent_turnover";
pub(super) const RENT_PRICE_RATIO: &str = "rent_price_ratio";
pub(super) const HEADROOM: &str = "headroom";
pub(super) const IDLE_TIME: &str = "idle_s";
pub(super) const BOOT_LIMIT: &str = "boot_limit_s";

/// All rules, in the order in which the command line prints them.
pub const RULES: &[Rule] = &[
    Rule {
        name: QUEUE_ORDER,
        subject: Subject::Job,
        range: None,
        default: "borrows, 3 - priority, floor(share * 4), late, work",
        meaning: "sort keys of waiting jobs, compared in order, lowest first; jobs with equal keys are placed in the order of their acceptance",
    },
    Rule {
        name: RENT_WINDOW,
        subject: Subject::Job,
        range: Some(Interval::new(1.0, 1e9)),
        default: "max(3 * boot_s, estimate_s, 1)",
        meaning: "seconds within which the waiting tasks of an array run one after another on rented machines",
    },
    Rule {
        name: RENT_TURNOVER,
        subject: Subject::Job,
        range: Some(Interval::new(0.0, 1.0)),
        default: "0.5",
        meaning: "fraction of the CPUs in use by running array tasks that is expected to become free for waiting array tasks",
    },
    Rule {
        name: RENT_PRICE_RATIO,
        subject: Subject::Job,
        range: Some(Interval::new(1.0, 1e6)),
        default: "if(kind == array, if(has_deadline, 20, if(aimed || priority > low, 7, 2)), 1000000)",
        meaning: "highest acceptable price for a task, as a multiple of the price on the cheapest machine type",
    },
    Rule {
        name: HEADROOM,
        subject: Subject::Job,
        range: Some(Interval::new(0.0, 100.0)),
        default: "1",
        meaning: "number of jobs like the latest accelerator job for which free capacity is kept, while any accelerator job is open",
    },
    Rule {
        name: IDLE_TIME,
        subject: Subject::Machine,
        range: Some(Interval::new(0.0, 1e6)),
        default: "boot_s",
        meaning: "seconds without work after which a machine is returned to the cloud",
    },
    Rule {
        name: BOOT_LIMIT,
        subject: Subject::Machine,
        range: Some(Interval::new(1.0, 1e7)),
        default: "max(4 * boot_s, 40)",
        meaning: "seconds after which a machine that has not booted is returned to the cloud",
    },
];
