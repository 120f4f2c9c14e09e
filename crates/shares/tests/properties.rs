//! Tests of random sequences of decisions, each applied immediately. The invariants must hold
//! after each decision. A booking may be refused only if the team's limit or the machines have no
//! free capacity for it. Pending moves must complete unless bookings block them.

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
/// Limit of each team, in CPUs.
const TEAM_LIMIT_CPUS: i64 = 24;
/// CPUs of each machine.
const MACHINE_CPUS: i64 = 8;
/// Limit on the writes of one change that no change of these tests reaches.
const MANY_WRITES: usize = 64;

fn amount(cpus: i64, gpus: i64) -> Resources {
    Resources {
        cpus: Amount(cpus),
        gpus: Amount(gpus),
        ram: Amount(cpus * 2),
    }
}

/// A decision, or an event in the deployment.
#[derive(Debug, Clone)]
enum Event {
    Book {
        team: usize,
        by: usize,
        cpus: i64,
        gpus: i64,
    },
    EndJob(usize),
    RequestMove {
        team: usize,
        from: usize,
        to: usize,
        cpus: i64,
    },
    Transfer {
        team: usize,
        max_jobs: usize,
    },
    AddMachine,
    RemoveMachine,
    AdjustCapacity,
}

/// The reference model: the number of machines and the team and resources of each job.
#[derive(Debug, Clone, Default)]
struct Model {
    machines: i64,
    jobs: Vec<(usize, Resources)>,
}

impl Model {
    /// Returns the resources booked by one team, or by all.
    fn used(&self, team: Option<usize>) -> Resources {
        let jobs = self
            .jobs
            .iter()
            .filter(|(t, _)| team.is_none_or(|team| team == *t));
        jobs.map(|(_, need)| *need).sum()
    }

    /// Returns the resources of all machines.
    fn capacity(&self) -> Resources {
        amount(MACHINE_CPUS, 2).scaled(self.machines)
    }

    /// Returns whether the team's limit and the machines have enough free capacity, regardless
    /// of shares.
    fn admits(&self, team: usize, need: Resources) -> bool {
        self.used(Some(team)).cpus.0 + need.cpus.0 <= TEAM_LIMIT_CPUS
            && self.capacity().fits(&(self.used(None) + need))
    }
}

impl ReferenceStateMachine for Model {
    type State = Model;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Model> {
        (2..8_i64)
            .prop_map(|machines| Model {
                machines,
                ..Model::default()
            })
            .boxed()
    }

    fn transitions(state: &Model) -> BoxedStrategy<Event> {
        let team = || 0..TEAMS.len();
        let controller = || 0..CONTROLLERS.len();
        let jobs = state.jobs.len().max(1);
        prop_oneof![
            6 => (team(), controller(), 1..7_i64, 0..3_i64)
                .prop_map(|(team, by, cpus, gpus)| Event::Book { team, by, cpus, gpus }),
            3 => (0..jobs).prop_map(Event::EndJob),
            3 => (team(), controller(), controller(), 0..12_i64)
                .prop_map(|(team, from, to, cpus)| Event::RequestMove { team, from, to, cpus }),
            5 => (team(), 0..4_usize)
                .prop_map(|(team, max_jobs)| Event::Transfer { team, max_jobs }),
            1 => Just(Event::AddMachine),
            1 => Just(Event::RemoveMachine),
            1 => Just(Event::AdjustCapacity),
        ]
        .boxed()
    }

    fn apply(mut state: Model, event: &Event) -> Model {
        match event {
            Event::Book {
                team, cpus, gpus, ..
            } => {
                let need = amount(*cpus, *gpus);
                if state.admits(*team, need) {
                    state.jobs.push((*team, need));
                }
            }
            Event::EndJob(index) if *index < state.jobs.len() => {
                state.jobs.remove(*index);
            }
            Event::AddMachine => state.machines += 1,
            Event::RemoveMachine
                if state
                    .capacity()
                    .fits(&(state.used(None) + amount(MACHINE_CPUS, 2))) =>
            {
                state.machines -= 1;
            }
            _ => {}
        }
        state
    }
}

/// The ledger under test, with the bookings of the jobs and their teams.
struct System {
    ledger: Ledger,
    jobs: Vec<JobBooking>,
    teams: Vec<usize>,
    job_count: usize,
}

impl System {
    /// Returns the share record of a team.
    fn share(&self, team: usize) -> &Share {
        let share = &self.ledger.teams[TEAMS[team]].share;
        share.as_ref().expect("a split")
    }

    /// Books a job, and checks that the booking is refused if and only if the reference model
    /// refuses it.
    fn book(&mut self, team: usize, by: usize, need: Resources, is_admitted: bool) {
        let (name, controller) = (TeamName::from(TEAMS[team]), CONTROLLERS[by].into());
        match reserve(&self.ledger, &name, &controller, need, MANY_WRITES) {
            Ok(change) => {
                assert!(
                    is_admitted,
                    "a reservation beyond the limit or the machines"
                );
                change.apply(&mut self.ledger);
                let account = self.ledger.teams.get_mut(&name).expect("a team");
                account.book(&controller, need);
                self.job_count += 1;
                self.jobs.push(JobBooking {
                    job: JobId::from(self.job_count.to_string().as_str()),
                    controller,
                    booked: need,
                });
                self.teams.push(team);
            }
            Err(shortage) => {
                assert!(!is_admitted, "no capacity in shares: {shortage}");
                assert_ne!(shortage, Shortage::NoShares(name));
            }
        }
    }

    /// Ends a job, if there is one at the index.
    fn end_job(&mut self, index: usize) {
        if index < self.jobs.len() {
            let job = self.jobs.remove(index);
            let team = TEAMS[self.teams.remove(index)];
            let account = self.ledger.teams.get_mut(team).expect("a team");
            account.book(&job.controller, Resources::default() - job.booked);
        }
    }

    /// Requests a move, and checks the new pending amounts or the reason of the refusal.
    fn request_move_checked(&mut self, team: usize, from: usize, to: usize, cpus: i64) {
        let name = TeamName::from(TEAMS[team]);
        let before = self.share(team).clone();
        let [from, to] = [from, to].map(|index| ControllerName::from(CONTROLLERS[index]));
        let moved = amount(cpus, 0);
        match request_move(&self.ledger, &name, &from, &to, moved) {
            Ok(share) => {
                assert_eq!(
                    share.granted, before.granted,
                    "a request changed a granted amount"
                );
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
            Err(MoveError::NoShares(_)) => panic!("the team has no shares"),
        }
    }

    /// Performs the next step of the team's pending moves. Returns whether there was one.
    fn transfer(&mut self, team: usize, max_jobs: usize) -> bool {
        let name = TeamName::from(TEAMS[team]);
        let jobs_of_team = self
            .jobs
            .iter()
            .zip(&self.teams)
            .filter(|(_, t)| **t == team);
        let jobs: Vec<JobBooking> = jobs_of_team.map(|(job, _)| job.clone()).collect();
        let Some(step) = next_transfer(&self.ledger, &name, &jobs, max_jobs) else {
            let capacity = reserve_for_smallest_job(&self.ledger, &name, &jobs, MANY_WRITES);
            let Some(change) = capacity.filter(|_| max_jobs > 0) else {
                return false;
            };
            change.apply(&mut self.ledger);
            return true;
        };
        assert!(step.change.reassigned.len() <= max_jobs);
        let total = self.share(team).total();
        step.change.apply(&mut self.ledger);
        assert_eq!(self.share(team).total(), total, "a move changed the total");
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

    /// Removes a machine if `may_remove` is true, after reducing the shares that use the machine's
    /// capacity.
    fn remove_machine(&mut self, may_remove: bool) {
        if !may_remove {
            return;
        }
        self.ledger.retained_capacity -= amount(MACHINE_CPUS, 2);
        if let Some(change) = adjust_capacity(&self.ledger, MANY_WRITES) {
            change.apply(&mut self.ledger);
        }
        let pool = release_machines(&self.ledger, amount(MACHINE_CPUS, 2));
        self.ledger.pool = pool.expect("free capacity to remove");
        self.ledger.machine_capacity -= amount(MACHINE_CPUS, 2);
    }

    /// Adds a machine.
    fn add_machine(&mut self) {
        self.ledger.machine_capacity += amount(MACHINE_CPUS, 2);
        self.ledger.retained_capacity += amount(MACHINE_CPUS, 2);
    }

    /// Adjusts the pool's capacity, and checks that no second adjustment is necessary.
    fn adjust(&mut self) {
        if let Some(change) = adjust_capacity(&self.ledger, MANY_WRITES) {
            change.apply(&mut self.ledger);
        }
        assert_eq!(
            adjust_capacity(&self.ledger, MANY_WRITES),
            None,
            "a second adjustment is necessary"
        );
    }
}

struct SharesMachine;

impl StateMachineTest for SharesMachine {
    type SystemUnderTest = System;
    type Reference = Model;

    fn init_test(model: &Model) -> System {
        let limit = TeamLimit {
            cpus: Some(Amount(TEAM_LIMIT_CPUS)),
            gpus: None,
        };
        let mut ledger = Ledger {
            machine_capacity: model.capacity(),
            retained_capacity: model.capacity(),
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
            let change = open_team(&ledger, &team.into(), &CONTROLLERS[0].into(), MANY_WRITES);
            change.expect("opened").apply(&mut ledger);
        }
        System {
            ledger,
            jobs: Vec::new(),
            teams: Vec::new(),
            job_count: 0,
        }
    }

    fn apply(mut system: System, after: &Model, event: Event) -> System {
        match event {
            Event::Book {
                team,
                by,
                cpus,
                gpus,
            } => {
                let is_admitted = after.jobs.len() > system.jobs.len();
                system.book(team, by, amount(cpus, gpus), is_admitted);
            }
            Event::EndJob(index) => system.end_job(index),
            Event::RequestMove {
                team,
                from,
                to,
                cpus,
            } => system.request_move_checked(team, from, to, cpus),
            Event::Transfer { team, max_jobs } => {
                system.transfer(team, max_jobs);
            }
            Event::AddMachine => system.add_machine(),
            Event::RemoveMachine => {
                let may_remove = after.capacity() != system.ledger.machine_capacity;
                system.remove_machine(may_remove);
            }
            Event::AdjustCapacity => system.adjust(),
        }
        system
    }

    fn check_invariants(system: &System, model: &Model) {
        assert_eq!(system.ledger.violations(), []);
        for (team, name) in TEAMS.iter().enumerate() {
            let account = &system.ledger.teams[*name];
            assert_eq!(account.total_used(), model.used(Some(team)));
        }
    }

    /// Checks that all pending moves complete in a bounded number of steps unless bookings block
    /// them, and that all shares can be closed.
    fn teardown(mut system: System) {
        for (team, name) in TEAMS.iter().enumerate() {
            let mut steps = 0;
            while system.transfer(team, MANY_WRITES) {
                steps += 1;
                assert!(steps < 100, "the moves do not complete");
            }
            let account = &system.ledger.teams[*name];
            let share = account.share.as_ref().expect("a split");
            let is_settled = share.settled == share.generation;
            assert_eq!(is_settled, share.pending.is_empty());
            assert_eq!(is_settled, blocked_transfer(account).is_none());
            if let Some(blocked) = blocked_transfer(account) {
                assert!(
                    !blocked.booked.is_empty(),
                    "a transfer of free capacity is blocked"
                );
            }
        }
        for team in TEAMS {
            let change = close_team(&system.ledger, &team.into());
            change.expect("closed").apply(&mut system.ledger);
        }
        let pool = system.ledger.pool.expect("a pool");
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
    fn shares_match_the_reference_model(sequential 1..60 => SharesMachine);
}

#[test]
fn move_is_pending_superseded_or_done() {
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

/// A reservation that needs the free capacity of many teams takes several commits. None of them
/// has more writes than allowed.
#[test]
fn capacity_is_returned_by_many_teams_in_several_commits() {
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
        let change = open_team(&ledger, &name.as_str().into(), &"n0".into(), MANY_WRITES);
        change.expect("opened").apply(&mut ledger);
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
fn share_record_of_five_controllers_fits_two_kib() {
    let names: Vec<ControllerName> = (0..5)
        .map(|n| ControllerName::from(format!("{}-{n}", "c".repeat(98)).as_str()))
        .collect();
    let large = Resources {
        cpus: Amount(1_000_000_000),
        gpus: Amount(1_000_000_000),
        ram: Amount(-1_000_000_000),
    };
    let amounts: BTreeMap<ControllerName, Resources> =
        names.iter().map(|name| (name.clone(), large)).collect();
    let share = Share {
        generation: u64::from(u32::MAX),
        settled: u64::from(u32::MAX),
        fallback: names[0].clone(),
        granted: amounts.clone(),
        pending: amounts,
    };
    let text = serde_json::to_string(&share).expect("text");
    assert!(text.len() <= 2048, "{} bytes", text.len());
    let read: Share = serde_json::from_str(&text).expect("a split");
    assert_eq!(read, share);
}
