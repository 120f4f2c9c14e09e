//! Random sequences of decisions, each carried out at once: the invariants hold, room
//! is refused only where there is none, and what is left to move comes to an end.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use resources::{Amount, Resources};
use shares::{
    ControllerName, JobBooking, JobId, Ledger, MoveError, MoveRecord, MoveState, Share, Shortage,
    TeamLimit, TeamName, adjust_capacity, blocked_transfer, close_team, next_transfer, open_team,
    release_machines, request_move, reserve, reserve_for_smallest_job,
};

const TEAMS: [&str; 2] = ["t", "u"];
const CONTROLLERS: [&str; 4] = ["n0", "n1", "n2", "n3"];
const LIMIT: i64 = 24;
const MACHINE: i64 = 8;
const MANY_WRITES: usize = 64;

fn amount(cpus: i64, gpus: i64) -> Resources {
    Resources {
        cpus: Amount(cpus),
        gpus: Amount(gpus),
        ram: Amount(cpus * 2),
    }
}

#[derive(Debug, Clone)]
enum Event {
    Book {
        team: usize,
        by: usize,
        cpus: i64,
        gpus: i64,
    },
    End(usize),
    Ask {
        team: usize,
        from: usize,
        to: usize,
        cpus: i64,
    },
    Transfer {
        team: usize,
        max_jobs: usize,
    },
    MachineComes,
    MachineLeaves,
    Adjust,
}

/// What is booked in all, as plain sums.
#[derive(Debug, Clone, Default)]
struct Books {
    machines: i64,
    jobs: Vec<(usize, Resources)>,
}

impl Books {
    fn used(&self, team: Option<usize>) -> Resources {
        let jobs = self
            .jobs
            .iter()
            .filter(|(t, _)| team.is_none_or(|team| team == *t));
        jobs.map(|(_, need)| *need).sum()
    }

    fn room(&self) -> Resources {
        amount(MACHINE, 2).scaled(self.machines)
    }

    /// Whether the team's limit and the machines have room, whatever shares say.
    fn admits(&self, team: usize, need: Resources) -> bool {
        self.used(Some(team)).cpus.0 + need.cpus.0 <= LIMIT
            && self.room().fits(&(self.used(None) + need))
    }
}

impl ReferenceStateMachine for Books {
    type State = Books;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Books> {
        (2..8_i64)
            .prop_map(|machines| Books {
                machines,
                ..Books::default()
            })
            .boxed()
    }

    fn transitions(state: &Books) -> BoxedStrategy<Event> {
        let team = || 0..TEAMS.len();
        let controller = || 0..CONTROLLERS.len();
        let jobs = state.jobs.len().max(1);
        prop_oneof![
            6 => (team(), controller(), 1..7_i64, 0..3_i64)
                .prop_map(|(team, by, cpus, gpus)| Event::Book { team, by, cpus, gpus }),
            3 => (0..jobs).prop_map(Event::End),
            3 => (team(), controller(), controller(), 0..12_i64)
                .prop_map(|(team, from, to, cpus)| Event::Ask { team, from, to, cpus }),
            5 => (team(), 0..4_usize)
                .prop_map(|(team, max_jobs)| Event::Transfer { team, max_jobs }),
            1 => Just(Event::MachineComes),
            1 => Just(Event::MachineLeaves),
            1 => Just(Event::Adjust),
        ]
        .boxed()
    }

    fn apply(mut state: Books, event: &Event) -> Books {
        match event {
            Event::Book {
                team, cpus, gpus, ..
            } => {
                let need = amount(*cpus, *gpus);
                if state.admits(*team, need) {
                    state.jobs.push((*team, need));
                }
            }
            Event::End(at) if *at < state.jobs.len() => {
                state.jobs.remove(*at);
            }
            Event::MachineComes => state.machines += 1,
            Event::MachineLeaves if state.room().fits(&(state.used(None) + amount(MACHINE, 2))) => {
                state.machines -= 1;
            }
            _ => {}
        }
        state
    }
}

/// The package under test, with the jobs' shares beside it.
struct Accounts {
    ledger: Ledger,
    jobs: Vec<JobBooking>,
    teams: Vec<usize>,
    named: usize,
}

impl Accounts {
    fn share(&self, team: usize) -> &Share {
        let share = &self.ledger.teams[TEAMS[team]].share;
        share.as_ref().expect("a split")
    }

    fn book(&mut self, team: usize, by: usize, need: Resources, is_admitted: bool) {
        let (name, controller) = (TeamName::from(TEAMS[team]), CONTROLLERS[by].into());
        match reserve(&self.ledger, &name, &controller, need, MANY_WRITES) {
            Ok(change) => {
                assert!(is_admitted, "room beyond the limit or the machines");
                change.apply(&mut self.ledger);
                let account = self.ledger.teams.get_mut(&name).expect("a team");
                account.book(&controller, need);
                self.named += 1;
                self.jobs.push(JobBooking {
                    job: JobId::from(self.named.to_string().as_str()),
                    controller,
                    booked: need,
                });
                self.teams.push(team);
            }
            Err(shortage) => {
                assert!(!is_admitted, "no room in shares: {shortage}");
                assert_ne!(shortage, Shortage::NoShares(name));
            }
        }
    }

    fn end(&mut self, at: usize) {
        if at < self.jobs.len() {
            let job = self.jobs.remove(at);
            let team = TEAMS[self.teams.remove(at)];
            let account = self.ledger.teams.get_mut(team).expect("a team");
            account.book(&job.controller, Resources::default() - job.booked);
        }
    }

    fn ask(&mut self, team: usize, from: usize, to: usize, cpus: i64) {
        let name = TeamName::from(TEAMS[team]);
        let before = self.share(team).clone();
        let [from, to] = [from, to].map(|at| ControllerName::from(CONTROLLERS[at]));
        let moved = amount(cpus, 0);
        match request_move(&self.ledger, &name, &from, &to, moved) {
            Ok(share) => {
                assert_eq!(share.granted, before.granted, "asking moves nothing yet");
                let wanted = |share: &Share, name: &ControllerName| share.target_for(name.as_str());
                assert_eq!(wanted(&share, &from), wanted(&before, &from) - moved);
                assert_eq!(wanted(&share, &to), wanted(&before, &to) + moved);
                let account = self.ledger.teams.get_mut(&name).expect("a team");
                account.share = Some(share);
            }
            Err(MoveError::ToItself(_)) => assert_eq!(from, to),
            Err(MoveError::NotPositive) => assert_eq!(cpus, 0),
            Err(MoveError::TooMuch(_)) => {
                assert!(!before.target_for(from.as_str()).fits(&moved));
            }
            Err(MoveError::NoShares(_)) => panic!("there are shares"),
        }
    }

    /// One step; false if there is none.
    fn transfer(&mut self, team: usize, max_jobs: usize) -> bool {
        let name = TeamName::from(TEAMS[team]);
        let of_team = self
            .jobs
            .iter()
            .zip(&self.teams)
            .filter(|(_, t)| **t == team);
        let jobs: Vec<JobBooking> = of_team.map(|(job, _)| job.clone()).collect();
        let Some(step) = next_transfer(&self.ledger, &name, &jobs, max_jobs) else {
            let room = reserve_for_smallest_job(&self.ledger, &name, &jobs, MANY_WRITES);
            let Some(change) = room.filter(|_| max_jobs > 0) else {
                return false;
            };
            change.apply(&mut self.ledger);
            return true;
        };
        assert!(step.change.reassigned.len() <= max_jobs);
        let total = self.share(team).total();
        step.change.apply(&mut self.ledger);
        assert_eq!(self.share(team).total(), total, "a move makes no room");
        for job in &mut self.jobs {
            if let Some(to) = step.change.reassigned.get(&job.job) {
                let account = self.ledger.teams.get_mut(&name).expect("a team");
                account.book(&job.controller, Resources::default() - job.booked);
                account.book(to, job.booked);
                job.controller = to.clone();
            }
        }
        true
    }

    fn machine_leaves(&mut self, may_leave: bool) {
        if !may_leave {
            return;
        }
        self.ledger.retained_capacity -= amount(MACHINE, 2);
        if let Some(change) = adjust_capacity(&self.ledger, MANY_WRITES) {
            change.apply(&mut self.ledger);
        }
        let pool = release_machines(&self.ledger, amount(MACHINE, 2));
        self.ledger.pool = pool.expect("free room to take it from");
        self.ledger.machine_capacity -= amount(MACHINE, 2);
    }

    fn machine_comes(&mut self) {
        self.ledger.machine_capacity += amount(MACHINE, 2);
        self.ledger.retained_capacity += amount(MACHINE, 2);
    }

    fn adjust(&mut self) {
        if let Some(change) = adjust_capacity(&self.ledger, MANY_WRITES) {
            change.apply(&mut self.ledger);
        }
        assert_eq!(
            adjust_capacity(&self.ledger, MANY_WRITES),
            None,
            "it settles in one step"
        );
    }
}

struct SharesMachine;

impl StateMachineTest for SharesMachine {
    type SystemUnderTest = Accounts;
    type Reference = Books;

    fn init_test(books: &Books) -> Accounts {
        let limit = TeamLimit {
            cpus: Some(Amount(LIMIT)),
            gpus: None,
        };
        let mut ledger = Ledger {
            machine_capacity: books.room(),
            retained_capacity: books.room(),
            growth_factor: 4,
            ..Ledger::default()
        };
        for team in TEAMS {
            ledger.teams.entry(team.into()).or_default().limit = limit;
        }
        adjust_capacity(&ledger, MANY_WRITES)
            .expect("a pool")
            .apply(&mut ledger);
        for team in TEAMS {
            let opened = open_team(&ledger, &team.into(), &CONTROLLERS[0].into(), MANY_WRITES);
            opened.expect("opened").apply(&mut ledger);
        }
        Accounts {
            ledger,
            jobs: Vec::new(),
            teams: Vec::new(),
            named: 0,
        }
    }

    fn apply(mut accounts: Accounts, after: &Books, event: Event) -> Accounts {
        match event {
            Event::Book {
                team,
                by,
                cpus,
                gpus,
            } => {
                let is_admitted = after.jobs.len() > accounts.jobs.len();
                accounts.book(team, by, amount(cpus, gpus), is_admitted);
            }
            Event::End(at) => accounts.end(at),
            Event::Ask {
                team,
                from,
                to,
                cpus,
            } => accounts.ask(team, from, to, cpus),
            Event::Transfer { team, max_jobs } => {
                accounts.transfer(team, max_jobs);
            }
            Event::MachineComes => accounts.machine_comes(),
            Event::MachineLeaves => {
                let may_leave = after.room() != accounts.ledger.machine_capacity;
                accounts.machine_leaves(may_leave);
            }
            Event::Adjust => accounts.adjust(),
        }
        accounts
    }

    fn check_invariants(accounts: &Accounts, books: &Books) {
        assert_eq!(accounts.ledger.violations(), []);
        for (team, name) in TEAMS.iter().enumerate() {
            let account = &accounts.ledger.teams[*name];
            assert_eq!(account.total_used(), books.used(Some(team)));
        }
    }

    /// What is left to move comes to an end: each step closes some of it.
    fn teardown(mut accounts: Accounts) {
        for (team, name) in TEAMS.iter().enumerate() {
            let mut steps = 0;
            while accounts.transfer(team, MANY_WRITES) {
                steps += 1;
                assert!(steps < 100, "moves go round in circles");
            }
            let account = &accounts.ledger.teams[*name];
            let share = account.share.as_ref().expect("a split");
            let is_settled = share.settled == share.generation;
            assert_eq!(is_settled, share.pending.is_empty());
            assert_eq!(is_settled, blocked_transfer(account).is_none());
            if let Some(obstacle) = blocked_transfer(account) {
                assert!(!obstacle.booked.is_empty(), "free room was left to move");
            }
        }
        for team in TEAMS {
            let closed = close_team(&accounts.ledger, &team.into());
            closed.expect("closed").apply(&mut accounts.ledger);
        }
        let pool = accounts.ledger.pool.expect("a pool");
        assert!(pool.granted.is_empty(), "{pool:?}");
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn shares_follow_the_books(sequential 1..60 => SharesMachine);
}

#[test]
fn a_move_is_pending_superseded_or_done() {
    let record = MoveRecord {
        team: "t".into(),
        from: "n0".into(),
        to: "n1".into(),
        amount: amount(1, 0),
        generation: 3,
    };
    let share = |generation, settled| Share {
        generation,
        settled,
        ..Share::default()
    };
    for (generation, settled, state) in [
        (3, 2, MoveState::Pending),
        (4, 2, MoveState::Superseded),
        (4, 3, MoveState::Done),
        (3, 3, MoveState::Done),
    ] {
        assert_eq!(record.state(Some(&share(generation, settled))), state);
    }
    assert_eq!(record.state(None), MoveState::Done);
}

/// One commit takes back what it can hold of other teams' free room, and the next goes on.
#[test]
fn room_comes_back_from_many_teams_in_several_commits() {
    let mut ledger = Ledger {
        machine_capacity: amount(8, 8),
        retained_capacity: amount(8, 8),
        ..Ledger::default()
    };
    let names: Vec<String> = (0..9).map(|n| format!("team-{n}")).collect();
    for name in &names {
        ledger
            .teams
            .insert(name.as_str().into(), Default::default());
    }
    adjust_capacity(&ledger, MANY_WRITES)
        .expect("a pool")
        .apply(&mut ledger);
    for name in &names {
        let opened = open_team(&ledger, &name.as_str().into(), &"n0".into(), MANY_WRITES);
        opened.expect("opened").apply(&mut ledger);
    }
    let pool = ledger.pool.as_mut().expect("a pool");
    pool.granted = amount(8, 8);
    for name in &names[1..] {
        let share = ledger
            .teams
            .get_mut(name.as_str())
            .and_then(|a| a.share.as_mut());
        share.expect("a split").granted = BTreeMap::from([("n1".into(), amount(1, 1))]);
    }
    assert_eq!(ledger.violations(), []);
    let mut commits = 0;
    let change = loop {
        commits += 1;
        match reserve(&ledger, &"team-0".into(), &"n0".into(), amount(8, 8), 4) {
            Ok(change) => break change,
            Err(Shortage::CommitFirst(first)) => {
                assert!(first.writes() <= 4, "{first:?}");
                first.apply(&mut ledger);
                assert_eq!(ledger.violations(), []);
            }
            Err(shortage) => panic!("{shortage}"),
        }
    };
    assert!(change.writes() <= 4);
    assert_eq!(commits, 4);
    change.apply(&mut ledger);
    assert_eq!(ledger.violations(), []);
}

#[test]
fn a_split_of_five_controllers_fits_two_kib() {
    let names: Vec<ControllerName> = (0..5)
        .map(|n| ControllerName::from(format!("{}-{n}", "c".repeat(98)).as_str()))
        .collect();
    let large = Resources {
        cpus: Amount(1_000_000_000),
        gpus: Amount(1_000_000_000),
        ram: Amount(-1_000_000_000),
    };
    let split: BTreeMap<ControllerName, Resources> =
        names.iter().map(|name| (name.clone(), large)).collect();
    let share = Share {
        generation: u64::from(u32::MAX),
        settled: u64::from(u32::MAX),
        fallback: names[0].clone(),
        granted: split.clone(),
        pending: split,
    };
    let text = serde_json::to_string(&share).expect("text");
    assert!(text.len() <= 2048, "{} bytes", text.len());
    let read: Share = serde_json::from_str(&text).expect("a split");
    assert_eq!(read, share);
}
