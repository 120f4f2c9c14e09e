//! The rules that operators may set, and the variables and constants that
//! their expressions may use.

use super::types::Interval;

/// What a rule decides on: the variables that its expression may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// A job that waits for machines.
    Job,
    /// A provisioned machine.
    Machine,
}

impl Subject {
    /// The variables of a rule that decides on this.
    pub fn variables(self) -> &'static [Variable] {
        match self {
            Subject::Job => JOB_VARIABLES,
            Subject::Machine => MACHINE_VARIABLES,
        }
    }
}

/// A variable of the policy language.
pub struct Variable {
    /// Its name in expressions.
    pub name: &'static str,
    /// The range of a number; `None` for a boolean.
    pub range: Option<Interval>,
    /// What it tells, for operators to read.
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

/// The most work of a job, in seconds times CPUs or accelerators.
const WORK_LIMIT: f64 = 1e12;

/// Variables of a job, in the order in which [`super::JobFacts`] gives them.
pub const JOB_VARIABLES: &[Variable] = &[
    boolean("borrows", "it does not fit its team's guarantee"),
    number(
        "priority",
        0.0,
        3.0,
        "low 0, normal 1, urgent 2, prod 3; the highest of it and of what needs it",
    ),
    number("share", 0.0, 1e9, "its team's use over its guarantee"),
    boolean("late", "too late for every objective of its class"),
    number(
        "work",
        0.0,
        WORK_LIMIT,
        "its waiting tasks: estimate times amount",
    ),
    number(
        "age_s",
        0.0,
        1e9,
        "how long this controller has known it to be ready",
    ),
    number("tasks", 1.0, 1e5, "its number of tasks"),
    number("waiting", 0.0, 1e5, "its tasks that wait for a place"),
    number("estimate_s", 0.0, 1e9, "its owner's estimate of a task"),
    number("kind", 0.0, 2.0, "array 0, gang 1, service 2"),
    boolean(
        "has_deadline",
        "its owner, or that of what needs it, set a deadline",
    ),
    number(
        "boot_s",
        0.0,
        1e5,
        "the shortest boot time of all machine types",
    ),
    boolean("aimed", "an objective speaks of its class"),
];

/// Variables of a machine, in the order of [`super::MachineFacts`].
pub const MACHINE_VARIABLES: &[Variable] = &[
    number("boot_s", 0.0, 1e5, "the boot time of its type"),
    number("price", 0.0, 1e6, "its price an hour"),
    number("cpus", 0.0, 1e6, "its CPUs"),
    number("gpus", 0.0, 1e6, "its accelerators"),
    boolean("spot", "it may be taken back"),
];

/// A named number of the policy language.
pub(super) struct Constant {
    pub(super) name: &'static str,
    pub(super) value: f64,
}

const fn constant(name: &'static str, value: f64) -> Constant {
    Constant { name, value }
}

/// Priorities and kinds of jobs by their names.
pub(super) const CONSTANTS: &[Constant] = &[
    constant("low", 0.0),
    constant("normal", 1.0),
    constant("urgent", 2.0),
    constant("prod", 3.0),
    constant("array", 0.0),
    constant("gang", 1.0),
    constant("service", 2.0),
];

/// One rule that a policy may set.
pub struct Rule {
    /// Its name in policy files.
    pub name: &'static str,
    /// What it decides on.
    pub subject: Subject,
    /// The range of a single number; `None`: a list of sort keys.
    pub range: Option<Interval>,
    /// The expression that stands where a policy sets none.
    pub default: &'static str,
    /// What it decides, for operators to read.
    pub meaning: &'static str,
}

pub(super) const QUEUE_ORDER: &str = "queue_order";
pub(super) const RENT_WINDOW: &str = "rent_window_s";
pub(super) const RENT_TURNOVER: &str = "rent_turnover";
pub(super) const RENT_PRICE_RATIO: &str = "rent_price_ratio";
pub(super) const HEADROOM: &str = "headroom";
pub(super) const IDLE_TIME: &str = "idle_s";
pub(super) const BOOT_LIMIT: &str = "boot_limit_s";

/// All rules, in the order in which the command line explains them.
pub const RULES: &[Rule] = &[
    Rule {
        name: QUEUE_ORDER,
        subject: Subject::Job,
        range: None,
        default: "borrows, 3 - priority, floor(share * 4), late, work",
        meaning: "sort keys, compared one by one, the lowest first; ties go by acceptance",
    },
    Rule {
        name: RENT_WINDOW,
        subject: Subject::Job,
        range: Some(Interval::new(1.0, 1e9)),
        default: "max(3 * boot_s, estimate_s, 1)",
        meaning: "array tasks may follow one another this long in rented room",
    },
    Rule {
        name: RENT_TURNOVER,
        subject: Subject::Job,
        range: Some(Interval::new(0.0, 1.0)),
        default: "0.5",
        meaning: "the part of running array work that counts as room soon",
    },
    Rule {
        name: RENT_PRICE_RATIO,
        subject: Subject::Job,
        range: Some(Interval::new(1.0, 1e6)),
        default: "if(kind == array, if(has_deadline, 20, if(aimed || priority > low, 7, 2)), 1000000)",
        meaning: "the dearest offer to rent, over the cheapest type's price for a task",
    },
    Rule {
        name: HEADROOM,
        subject: Subject::Job,
        range: Some(Interval::new(0.0, 100.0)),
        default: "1",
        meaning: "places kept for so many more jobs like the latest on accelerators, while such jobs are open",
    },
    Rule {
        name: IDLE_TIME,
        subject: Subject::Machine,
        range: Some(Interval::new(0.0, 1e6)),
        default: "boot_s",
        meaning: "a machine with no work goes back after this long",
    },
    Rule {
        name: BOOT_LIMIT,
        subject: Subject::Machine,
        range: Some(Interval::new(1.0, 1e7)),
        default: "max(4 * boot_s, 40)",
        meaning: "a machine that has not come up after this long goes back",
    },
];
