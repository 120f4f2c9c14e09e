//! Exhaustive exploration of all orders of events in a small deployment. A commit may be applied
//! late, twice or never, because a message may be delayed, duplicated or lost and a controller
//! may stop after any decision. It makes no difference which controller makes a decision, because
//! all state is in the records.
//!
//! A commit fails if a record with one of its preconditions was written after the decision. The
//! model therefore needs no versions: a write removes every commit in flight that has a
//! precondition on the written record. For the same reason, a second copy of a commit always
//! fails.

use std::collections::BTreeSet;

use pathfinding::directed::bfs::bfs_reach;
use resources::{Amount, Resources};
use shares::{
    Change, ControllerName, JobBooking, JobId, Ledger, TeamLimit, TeamName, adjust_capacity,
    next_transfer, open_team, release_machines, request_move, reserve, reserve_for_smallest_job,
};

const CONTROLLERS: [&str; 3] = ["n0", "n1", "n2"];
const JOBS: [Job; 3] = [
    Job { team: "t", cpus: 1 },
    Job { team: "t", cpus: 2 },
    Job { team: "u", cpus: 1 },
];
const MACHINES: usize = 2;
const MACHINE_CPUS: i64 = 2;
const TEAM_LIMIT: i64 = 3;
/// Number of commits that may be in flight at the same time.
const MAX_IN_FLIGHT: usize = 2;
/// Number of records that one change may write.
const MAX_WRITES: usize = 4;

/// The team and the CPUs of a job.
struct Job {
    team: &'static str,
    cpus: i64,
}

/// A fault that is injected to check that the exploration finds it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// A transfer has no precondition on the usage record of its source.
    SourceWithoutPrecondition,
    /// A machine is removed from the machine shard without first reducing the pool's capacity.
    CapacityAfterMachine,
}

/// The key of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Key {
    Share(&'static str),
    Use(&'static str, &'static str),
    Pool,
    Job(usize),
    Machine(usize),
    MachineShard,
    Move(u8),
}

/// The progress of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Progress {
    Waiting,
    Booked { by: &'static str, on: usize },
    Ended,
}

/// A commit that carries out one decision, with the records and the jobs that it changes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Commit {
    preconditions: BTreeSet<Key>,
    writes: BTreeSet<Key>,
    change: Change,
    jobs: Vec<(usize, Progress)>,
    /// The machine that the commit removes from the machine shard.
    removed_machine: Option<usize>,
}

/// One state of the exploration: all records and the commits in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    ledger: Ledger,
    jobs: [Progress; JOBS.len()],
    machines: [bool; MACHINES],
    in_flight: Vec<Commit>,
    /// Number of moves requested so far. There are two, in opposite directions, so that they
    /// can overlap.
    requested_moves: u8,
}

fn cpus(n: i64) -> Resources {
    Resources {
        cpus: Amount(n),
        ..Resources::default()
    }
}

/// Returns the static name of a controller or team.
fn static_name(name: &str) -> &'static str {
    let names = CONTROLLERS.iter().chain(&["t", "u"]);
    let mut names = names.filter(|candidate| **candidate == name);
    names.next().expect("the name of a controller or team")
}

impl Commit {
    /// Returns a commit with the writes and preconditions of a change.
    fn new(change: Change) -> Self {
        let mut writes = BTreeSet::new();
        writes.extend(
            change
                .shares
                .keys()
                .map(|t| Key::Share(static_name(t.as_str()))),
        );
        writes.extend(change.pool.map(|_| Key::Pool));
        writes.extend(change.reassigned.keys().map(|job| Key::Job(number(job))));
        let mut preconditions = writes.clone();
        let reads = change.read_shares.iter();
        preconditions.extend(reads.map(|t| Key::Share(static_name(t.as_str()))));
        let uses = change.read_uses.iter();
        preconditions
            .extend(uses.map(|(t, c)| Key::Use(static_name(t.as_str()), static_name(c.as_str()))));
        Commit {
            preconditions,
            writes,
            change,
            jobs: Vec::new(),
            removed_machine: None,
        }
    }

    /// Adds a write, with its precondition.
    fn write(mut self, key: Key) -> Self {
        self.preconditions.insert(key);
        self.writes.insert(key);
        self
    }
}

fn number(job: &JobId) -> usize {
    job.as_str().parse().expect("a number")
}

impl World {
    fn new() -> Self {
        let mut ledger = Ledger {
            growth_factor: 2,
            ..Ledger::default()
        };
        for team in ["t", "u"] {
            let account = ledger.teams.entry(TeamName::from(team)).or_default();
            account.limit = TeamLimit {
                cpus: Some(Amount(TEAM_LIMIT)),
                gpus: None,
            };
        }
        ledger.machine_capacity = cpus(MACHINE_CPUS * MACHINES as i64);
        ledger.retained_capacity = ledger.machine_capacity;
        adjust_capacity(&ledger, MAX_WRITES)
            .expect("a pool")
            .apply(&mut ledger);
        for team in ["t", "u"] {
            let change =
                open_team(&ledger, &team.into(), &"n0".into(), MAX_WRITES).expect("opened");
            change.apply(&mut ledger);
        }
        World {
            ledger,
            jobs: [Progress::Waiting; JOBS.len()],
            machines: [true; MACHINES],
            in_flight: Vec::new(),
            requested_moves: 0,
        }
    }

    /// Returns the CPUs that are booked on a machine.
    fn booked_on(&self, machine: usize) -> i64 {
        let on =
            |progress: &Progress| matches!(progress, Progress::Booked { on, .. } if *on == machine);
        let jobs = self
            .jobs
            .iter()
            .zip(&JOBS)
            .filter(|(progress, _)| on(progress));
        jobs.map(|(_, job)| job.cpus).sum()
    }

    /// Returns a booking by a controller on the first machine with enough free CPUs.
    fn book(&self, job: usize, by: &'static str) -> Option<Commit> {
        let Job { team, cpus: need } = JOBS[job];
        let has_capacity =
            |on: &usize| self.machines[*on] && self.booked_on(*on) + need <= MACHINE_CPUS;
        let on = (0..MACHINES).find(has_capacity)?;
        let change = reserve(
            &self.ledger,
            &team.into(),
            &by.into(),
            cpus(need),
            MAX_WRITES,
        )
        .ok()?;
        let commit = Commit::new(change).write(Key::Use(team, by));
        let mut commit = commit.write(Key::Job(job)).write(Key::Machine(on));
        commit.jobs.push((job, Progress::Booked { by, on }));
        Some(commit)
    }

    /// Returns the commit that ends a job.
    fn end(&self, job: usize) -> Commit {
        let mut commit = Commit::new(Change::default()).write(Key::Job(job));
        commit.jobs.push((job, Progress::Ended));
        commit
    }

    /// Returns the next step of the team's pending moves: a transfer, or a reservation of the
    /// capacity that its smallest job needs.
    fn transfer(&self, team: &'static str, fault: Fault) -> Option<Commit> {
        let bookings = self.jobs.iter().enumerate().filter_map(|(job, progress)| {
            let Progress::Booked { by, .. } = progress else {
                return None;
            };
            (JOBS[job].team == team).then(|| JobBooking {
                job: JobId::from(job.to_string().as_str()),
                controller: ControllerName::from(*by),
                booked: cpus(JOBS[job].cpus),
            })
        });
        let bookings: Vec<JobBooking> = bookings.collect();
        let Some(mut transfer) = next_transfer(&self.ledger, &team.into(), &bookings, 1) else {
            let reservation =
                reserve_for_smallest_job(&self.ledger, &team.into(), &bookings, MAX_WRITES)?;
            return Some(Commit::new(reservation));
        };
        if fault == Fault::SourceWithoutPrecondition {
            let source = transfer.from.clone();
            transfer
                .change
                .read_uses
                .retain(|(_, name)| *name != source);
        }
        let reassigned = transfer.change.reassigned.clone();
        let mut commit = Commit::new(transfer.change);
        for (job, to) in reassigned {
            let job = number(&job);
            if let Progress::Booked { on, .. } = self.jobs[job] {
                let by = static_name(to.as_str());
                commit.jobs.push((job, Progress::Booked { by, on }));
            }
        }
        Some(commit)
    }

    /// Returns the request of the next move: two CPUs from n0 to n1, then one back.
    fn next_move_request(&self) -> Option<Commit> {
        let (from, to, amount) = match self.requested_moves {
            0 => ("n0", "n1", 2),
            1 => ("n1", "n0", 1),
            _ => return None,
        };
        let team = TeamName::from("t");
        let share =
            request_move(&self.ledger, &team, &from.into(), &to.into(), cpus(amount)).ok()?;
        let mut change = Change::default();
        change.shares.insert(team, share);
        Some(Commit::new(change).write(Key::Move(self.requested_moves)))
    }

    /// Returns the commit that adjusts the pool's capacity to the machines.
    fn adjust(&self) -> Option<Commit> {
        adjust_capacity(&self.ledger, MAX_WRITES).map(|change| {
            // The decision also depends on the machines on record. Every change of these
            // machines writes the pool, so a precondition on the pool covers them.
            let mut commit = Commit::new(change);
            commit.preconditions.insert(Key::Pool);
            commit
        })
    }

    /// Returns the commit that removes the last machine from the machine shard, if nothing is
    /// booked on the machine.
    fn remove_machine(&self, fault: Fault) -> Option<Commit> {
        let machine = MACHINES - 1;
        if !self.machines[machine] || self.booked_on(machine) > 0 {
            return None;
        }
        let mut change = Change::default();
        if fault != Fault::CapacityAfterMachine {
            change.pool = release_machines(&self.ledger, cpus(MACHINE_CPUS)).ok()?;
        }
        let commit = Commit::new(change).write(Key::MachineShard);
        let mut commit = commit.write(Key::Machine(machine));
        commit.removed_machine = Some(machine);
        Some(commit)
    }

    /// Returns all decisions that any controller can make in this state.
    fn decisions(&self, fault: Fault) -> Vec<Commit> {
        let mut commits = Vec::new();
        for (job, progress) in self.jobs.iter().enumerate() {
            match progress {
                Progress::Waiting => {
                    commits.extend(CONTROLLERS.iter().filter_map(|by| self.book(job, by)));
                }
                Progress::Booked { .. } => commits.push(self.end(job)),
                Progress::Ended => {}
            }
        }
        commits.extend(
            ["t", "u"]
                .iter()
                .filter_map(|team| self.transfer(team, fault)),
        );
        commits.extend(self.next_move_request());
        commits.extend(self.adjust());
        commits.extend(self.remove_machine(fault));
        commits
    }

    /// Returns the state after a commit in flight is applied.
    fn apply(&self, index: usize) -> World {
        let mut next = self.clone();
        let commit = next.in_flight.remove(index);
        // A commit has a precondition on every record that it writes. A second copy of it
        // therefore always fails.
        assert!(commit.writes.is_subset(&commit.preconditions));
        next.in_flight
            .retain(|other| other.preconditions.is_disjoint(&commit.writes));
        commit.change.apply(&mut next.ledger);
        for (job, progress) in &commit.jobs {
            next.set_job(*job, *progress);
        }
        if let Some(machine) = commit.removed_machine {
            next.machines[machine] = false;
            next.ledger.machine_capacity -= cpus(MACHINE_CPUS);
            next.ledger.retained_capacity -= cpus(MACHINE_CPUS);
        }
        next.requested_moves += u8::from(commit.writes.contains(&Key::Move(self.requested_moves)));
        next
    }

    /// Sets the progress of a job and updates the booked resources.
    fn set_job(&mut self, job: usize, progress: Progress) {
        let account = self.ledger.teams.get_mut(JOBS[job].team).expect("a team");
        if let Progress::Booked { by, .. } = self.jobs[job] {
            account.book(&by.into(), cpus(-JOBS[job].cpus));
        }
        if let Progress::Booked { by, .. } = progress {
            account.book(&by.into(), cpus(JOBS[job].cpus));
        }
        self.jobs[job] = progress;
    }

    /// Returns all states that one event can lead to.
    fn successors(&self, fault: Fault) -> Vec<World> {
        let mut next: Vec<World> = (0..self.in_flight.len())
            .map(|index| self.apply(index))
            .collect();
        // The controller stops before it commits, or its message is lost.
        next.extend((0..self.in_flight.len()).map(|index| {
            let mut world = self.clone();
            world.in_flight.remove(index);
            world
        }));
        if self.in_flight.len() < MAX_IN_FLIGHT {
            for commit in self.decisions(fault) {
                if !self.in_flight.contains(&commit) {
                    let mut world = self.clone();
                    world.in_flight.push(commit);
                    next.push(world);
                }
            }
        }
        next
    }

    /// Returns whether the invariants hold and no machine is overbooked.
    fn is_sound(&self) -> bool {
        let is_overbooked = |machine| self.booked_on(machine) > MACHINE_CPUS;
        self.ledger.violations().is_empty() && !(0..MACHINES).any(is_overbooked)
    }
}

/// Explores the reachable states until one violates an invariant. Returns the number of states
/// and the state with the violation, if there is one.
fn explore(fault: Fault) -> (usize, Option<World>) {
    let mut count = 0;
    let reached = bfs_reach(World::new(), |world| world.successors(fault));
    for world in reached {
        count += 1;
        if !world.is_sound() {
            return (count, Some(world));
        }
    }
    (count, None)
}

#[test]
fn no_order_of_events_violates_an_invariant() {
    let (count, violating) = explore(Fault::None);
    assert!(
        violating.is_none(),
        "{:?}",
        violating.map(|w| w.ledger.violations())
    );
    println!("{count} states");
    // Far fewer states would mean that most events no longer occur.
    assert!(count > 10_000, "{count} states");
}

#[test]
fn transfer_without_precondition_on_its_source_is_detected() {
    let (_, violating) = explore(Fault::SourceWithoutPrecondition);
    let found = violating.expect("a breach").ledger.violations();
    assert!(
        found
            .iter()
            .any(|violation| matches!(violation, shares::Violation::Overbooked(..)))
    );
}

#[test]
fn capacity_reduced_after_machine_removal_is_detected() {
    let (_, violating) = explore(Fault::CapacityAfterMachine);
    let found = violating.expect("a breach").ledger.violations();
    assert!(found.contains(&shares::Violation::PoolAboveMachines));
}
