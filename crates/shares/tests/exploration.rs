//! All orders of events at small size: decisions that are committed late, twice, or
//! never, by controllers that may end after any of them. Whoever carries a decision out
//! is of no account: all that there is stands in the records.
//!
//! A commit fails once a record that it guards was written. So no versions are kept: a
//! write ends every commit under way that guards the record.

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
const MAX_UNDER_WAY: usize = 2;
const MAX_WRITES: usize = 4;

struct Job {
    team: &'static str,
    cpus: i64,
}

/// What is broken on purpose.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// A move does not depend on the giver's record of use.
    GiverUnguarded,
    /// A machine leaves the record before the capacity falls.
    CapacityAfterMachine,
}

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

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Progress {
    Waiting,
    Booked { by: &'static str, on: usize },
    Over,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Commit {
    preconditions: BTreeSet<Key>,
    writes: BTreeSet<Key>,
    change: Change,
    jobs: Vec<(usize, Progress)>,
    leaves: Option<usize>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    ledger: Ledger,
    jobs: [Progress; JOBS.len()],
    machines: [bool; MACHINES],
    under_way: Vec<Commit>,
    /// Moves that were asked for: there and back, so that two overlap.
    asked: u8,
}

fn cpus(n: i64) -> Resources {
    Resources {
        cpus: Amount(n),
        ..Resources::default()
    }
}

fn known(name: &str) -> &'static str {
    let names = CONTROLLERS.iter().chain(&["t", "u"]);
    let mut names = names.filter(|known| **known == name);
    names.next().expect("a known name")
}

impl Commit {
    fn new(change: Change) -> Self {
        let mut writes = BTreeSet::new();
        writes.extend(change.shares.keys().map(|t| Key::Share(known(t.as_str()))));
        writes.extend(change.pool.map(|_| Key::Pool));
        writes.extend(change.reassigned.keys().map(|job| Key::Job(number(job))));
        let mut preconditions = writes.clone();
        let reads = change.read_shares.iter();
        preconditions.extend(reads.map(|t| Key::Share(known(t.as_str()))));
        let uses = change.read_uses.iter();
        preconditions.extend(uses.map(|(t, c)| Key::Use(known(t.as_str()), known(c.as_str()))));
        Commit {
            preconditions,
            writes,
            change,
            jobs: Vec::new(),
            leaves: None,
        }
    }

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
            under_way: Vec::new(),
            asked: 0,
        }
    }

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

    /// A booking by a controller, on the first machine with room.
    fn book(&self, job: usize, by: &'static str) -> Option<Commit> {
        let Job { team, cpus: need } = JOBS[job];
        let has_room =
            |on: &usize| self.machines[*on] && self.booked_on(*on) + need <= MACHINE_CPUS;
        let on = (0..MACHINES).find(has_room)?;
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

    fn end(&self, job: usize) -> Commit {
        let mut commit = Commit::new(Change::default()).write(Key::Job(job));
        commit.jobs.push((job, Progress::Over));
        commit
    }

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
            let room = reserve_for_smallest_job(&self.ledger, &team.into(), &bookings, MAX_WRITES)?;
            return Some(Commit::new(room));
        };
        if fault == Fault::GiverUnguarded {
            let giver = transfer.from.clone();
            transfer.change.read_uses.retain(|(_, name)| *name != giver);
        }
        let reassigned = transfer.change.reassigned.clone();
        let mut commit = Commit::new(transfer.change);
        for (job, to) in reassigned {
            let job = number(&job);
            if let Progress::Booked { on, .. } = self.jobs[job] {
                let by = known(to.as_str());
                commit.jobs.push((job, Progress::Booked { by, on }));
            }
        }
        Some(commit)
    }

    /// Two CPUs there, one back.
    fn next_ask(&self) -> Option<Commit> {
        let (from, to, amount) = match self.asked {
            0 => ("n0", "n1", 2),
            1 => ("n1", "n0", 1),
            _ => return None,
        };
        let team = TeamName::from("t");
        let share =
            request_move(&self.ledger, &team, &from.into(), &to.into(), cpus(amount)).ok()?;
        let mut change = Change::default();
        change.shares.insert(team, share);
        Some(Commit::new(change).write(Key::Move(self.asked)))
    }

    fn adjust(&self) -> Option<Commit> {
        adjust_capacity(&self.ledger, MAX_WRITES).map(|change| {
            // What the machines on record are is read with it.
            let mut commit = Commit::new(change);
            commit.preconditions.insert(Key::Pool);
            commit
        })
    }

    /// The last machine leaves the record, if nothing is booked there.
    fn leave(&self, fault: Fault) -> Option<Commit> {
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
        commit.leaves = Some(machine);
        Some(commit)
    }

    /// Every decision that some controller may make now.
    fn decisions(&self, fault: Fault) -> Vec<Commit> {
        let mut commits = Vec::new();
        for (job, progress) in self.jobs.iter().enumerate() {
            match progress {
                Progress::Waiting => {
                    commits.extend(CONTROLLERS.iter().filter_map(|by| self.book(job, by)));
                }
                Progress::Booked { .. } => commits.push(self.end(job)),
                Progress::Over => {}
            }
        }
        commits.extend(
            ["t", "u"]
                .iter()
                .filter_map(|team| self.transfer(team, fault)),
        );
        commits.extend(self.next_ask());
        commits.extend(self.adjust());
        commits.extend(self.leave(fault));
        commits
    }

    /// The state after a commit under way was carried out.
    fn carry_out(&self, at: usize) -> World {
        let mut next = self.clone();
        let commit = next.under_way.remove(at);
        // What was written is guarded: a second copy of the commit always fails.
        assert!(commit.writes.is_subset(&commit.preconditions));
        next.under_way
            .retain(|other| other.preconditions.is_disjoint(&commit.writes));
        commit.change.apply(&mut next.ledger);
        for (job, progress) in &commit.jobs {
            next.set_job(*job, *progress);
        }
        if let Some(machine) = commit.leaves {
            next.machines[machine] = false;
            next.ledger.machine_capacity -= cpus(MACHINE_CPUS);
            next.ledger.retained_capacity -= cpus(MACHINE_CPUS);
        }
        next.asked += u8::from(commit.writes.contains(&Key::Move(self.asked)));
        next
    }

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

    fn successors(&self, fault: Fault) -> Vec<World> {
        let mut next: Vec<World> = (0..self.under_way.len())
            .map(|at| self.carry_out(at))
            .collect();
        // Who was to commit it has ended, or its message is lost.
        next.extend((0..self.under_way.len()).map(|at| {
            let mut world = self.clone();
            world.under_way.remove(at);
            world
        }));
        if self.under_way.len() < MAX_UNDER_WAY {
            for commit in self.decisions(fault) {
                if !self.under_way.contains(&commit) {
                    let mut world = self.clone();
                    world.under_way.push(commit);
                    next.push(world);
                }
            }
        }
        next
    }

    fn is_sound(&self) -> bool {
        let crowded = |machine| self.booked_on(machine) > MACHINE_CPUS;
        self.ledger.violations().is_empty() && !(0..MACHINES).any(crowded)
    }
}

/// The states that can be reached, until the first that breaks an invariant.
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
fn no_order_of_events_breaks_an_invariant() {
    let (count, broken) = explore(Fault::None);
    assert!(
        broken.is_none(),
        "{:?}",
        broken.map(|w| w.ledger.violations())
    );
    println!("{count} states");
    // Far fewer would mean that most events no longer happen.
    assert!(count > 10_000, "{count} states");
}

#[test]
fn a_move_that_does_not_guard_the_givers_use_is_found() {
    let (_, broken) = explore(Fault::GiverUnguarded);
    let found = broken.expect("a breach").ledger.violations();
    assert!(
        found
            .iter()
            .any(|v| matches!(v, shares::Violation::Overbooked(..)))
    );
}

#[test]
fn a_capacity_that_falls_after_its_machine_is_found() {
    let (_, broken) = explore(Fault::CapacityAfterMachine);
    let found = broken.expect("a breach").ledger.violations();
    assert!(found.contains(&shares::Violation::PoolAboveMachines));
}
