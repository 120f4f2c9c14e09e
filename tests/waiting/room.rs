//! The room that machines have for a job, as seen from outside: by what runs on them.

use std::collections::{BTreeMap, HashMap};

use serde_json::Value;

use crate::stand_ins::MachineWithTasks;

/// Memory of each machine, in GB.
const MACHINE_MEMORY_GB: f64 = 16.0;

/// Resources of a machine or a task: CPUs, accelerators and GB of memory.
type Amounts = [f64; 3];

/// Returns the resources of a machine type of the simulated cloud.
fn machine_resources(machine_type: &str) -> Amounts {
    match machine_type {
        "small" => [4.0, 0.0, MACHINE_MEMORY_GB],
        "big" => [8.0, 0.0, MACHINE_MEMORY_GB],
        "gpu" => [8.0, 2.0, MACHINE_MEMORY_GB],
        other => panic!("machine type {other}"),
    }
}

/// Returns the resources that a task of the job needs.
fn task_resources(job: &Value) -> Amounts {
    let amount = |name: &str| job[name].as_f64().expect("a number");
    [amount("vcpus"), amount("cards"), amount("ram_gb")]
}

/// Returns the job that a task belongs to.
fn job_of<'a>(task: &str, jobs: &'a BTreeMap<String, Value>) -> Option<&'a Value> {
    let (id, _) = task.split_once('/')?;
    jobs.get(id)
}

/// Returns the number of the job's tasks that the machine has room for, in addition to what runs.
fn task_slots(machine: &MachineWithTasks, job: &Value, jobs: &BTreeMap<String, Value>) -> usize {
    let mut free = machine_resources(&machine.machine_type);
    let running = machine.tasks.iter().filter_map(|task| job_of(task, jobs));
    for used in running.map(task_resources) {
        free.iter_mut()
            .zip(used)
            .for_each(|(free, used)| *free -= used);
    }
    let slots = free.iter().zip(task_resources(job));
    let slots = slots.filter(|(_, need)| *need > 0.0);
    let slots = slots.map(|(free, need)| (free / need + 1e-9).floor().max(0.0) as usize);
    slots.min().unwrap_or(0)
}

/// Returns the number of CPUs that the running tasks of a team use.
fn team_cpus(team: &Value, machines: &[MachineWithTasks], jobs: &BTreeMap<String, Value>) -> f64 {
    let tasks = machines.iter().flat_map(|machine| &machine.tasks);
    let jobs = tasks.filter_map(|task| job_of(task, jobs));
    let of_team = jobs.filter(|job| job["crew"] == *team);
    of_team.map(|job| task_resources(job)[0]).sum()
}

/// Returns whether the machines have room for a job of which nothing runs: for one task, or for
/// all tasks of a gang, within the team's limit and where the job may run.
pub fn has_room(
    job: &Value,
    machines: &[MachineWithTasks],
    jobs: &BTreeMap<String, Value>,
    team_limit: f64,
) -> bool {
    let tasks = job["boards"].as_u64().expect("a number") as usize;
    let wanted = if job["cut"] == "gang" { tasks } else { 1 };
    let cpus = task_resources(job)[0] * wanted as f64;
    if team_cpus(&job["crew"], machines, jobs) + cpus > team_limit {
        return false;
    }
    let max_in_zone = match job["scatter"] == true {
        true => tasks.div_ceil(2),
        false => tasks,
    };
    let mut slots_by_zone: HashMap<&str, usize> = HashMap::new();
    for machine in machines.iter().filter(|machine| is_allowed(job, machine)) {
        *slots_by_zone.entry(&machine.zone).or_default() += task_slots(machine, job, jobs);
    }
    let slots = slots_by_zone
        .values()
        .map(|slots| (*slots).min(max_in_zone));
    let available = match job["same_place"] == true {
        true => slots.max().unwrap_or(0),
        false => slots.sum(),
    };
    available >= wanted
}

/// Returns whether the job may run on the machine, by its type and zone.
fn is_allowed(job: &Value, machine: &MachineWithTasks) -> bool {
    let types = job["grades"].as_array();
    let allows_type =
        types.is_none_or(|types| types.contains(&machine.machine_type.as_str().into()));
    allows_type && (job["yard"].is_null() || job["yard"] == machine.zone.as_str())
}
