//! The state service refuses only the leader, before an outage for all controllers.

use std::rc::Rc;

use tokio::time::{Instant, sleep};

use crate::scenario::{cancel, heal_and_check, secs, start_long_jobs};
use crate::stand_ins::{Scenario, Simulation, StateFault, StateFaultOptions};

/// Faults that accompany the refusal and the outage.
#[derive(Clone, Copy, Default)]
struct FaultCase {
    name: &'static str,
    /// Time for which only the leader is refused before jobs are cancelled, in seconds.
    leader_refused_s: f64,
    /// Time from the confirmed cancellations until the outage for all controllers, in seconds.
    outage_after_s: f64,
    /// Number of workers that receive neither answers nor commands.
    unreachable_workers: usize,
    hang_s: f64,
    commands_delayed_s: f64,
    slow_s: f64,
    /// Delay of the state service's answers to the leader, in seconds. The delay begins some
    /// seconds before the refusal and ends with its start.
    slow_leader_s: f64,
    /// Fraction of the commits that are applied late.
    late_commits: f64,
    /// Time from the start of the outage to the restart of the old leader, in seconds;
    /// `None` for no restart.
    leader_restarts_s: Option<f64>,
    /// Whether all other controllers are restarted just before the outage.
    others_restart: bool,
    /// Time for which the old leader is frozen, in seconds.
    leader_frozen_s: f64,
    peers_partitioned: bool,
    /// Whether the state service recovers for a short time during the outage.
    short_recovery: bool,
}

fn fault_cases() -> [FaultCase; 19] {
    let base = FaultCase {
        name: "plain",
        leader_refused_s: 1.5,
        ..FaultCase::default()
    };
    [
        base,
        FaultCase {
            name: "cancelled immediately",
            leader_refused_s: 0.0,
            ..base
        },
        FaultCase {
            name: "cancelled later",
            leader_refused_s: 4.0,
            outage_after_s: 0.5,
            ..base
        },
        FaultCase {
            name: "messages to workers blocked",
            unreachable_workers: 2,
            ..base
        },
        FaultCase {
            name: "machines hanging within the lease",
            hang_s: 7.0,
            ..base
        },
        FaultCase {
            name: "machines hanging past the lease",
            hang_s: 14.0,
            commands_delayed_s: 3.0,
            ..base
        },
        FaultCase {
            name: "delayed commands",
            commands_delayed_s: 6.0,
            outage_after_s: 1.0,
            ..base
        },
        FaultCase {
            name: "slow answers",
            slow_s: 1.0,
            outage_after_s: 0.3,
            ..base
        },
        FaultCase {
            name: "slow answers to the leader",
            leader_refused_s: 0.0,
            slow_leader_s: 1.15,
            ..base
        },
        FaultCase {
            name: "slow answers to the leader, refused 0.1 s before the cancellations",
            leader_refused_s: 0.1,
            slow_leader_s: 1.15,
            ..base
        },
        FaultCase {
            name: "slow answers to the leader, refused 0.3 s before the cancellations",
            leader_refused_s: 0.3,
            slow_leader_s: 1.15,
            ..base
        },
        FaultCase {
            name: "late commits",
            late_commits: 0.4,
            ..base
        },
        FaultCase {
            name: "leader restarts during the outage",
            leader_restarts_s: Some(3.0),
            ..base
        },
        FaultCase {
            name: "leader restarts as the outage begins",
            leader_restarts_s: Some(0.0),
            hang_s: 5.0,
            ..base
        },
        FaultCase {
            name: "other controllers restart",
            others_restart: true,
            ..base
        },
        FaultCase {
            name: "leader is frozen",
            leader_frozen_s: 8.0,
            ..base
        },
        FaultCase {
            name: "leader is frozen past a lease",
            leader_frozen_s: 15.0,
            unreachable_workers: 1,
            ..base
        },
        FaultCase {
            name: "leader is partitioned from its peers",
            peers_partitioned: true,
            ..base
        },
        FaultCase {
            name: "short recovery",
            short_recovery: true,
            commands_delayed_s: 2.0,
            ..base
        },
    ]
}

/// Checks that the tasks of a job end in time if the job is cancelled at another controller and
/// the leader never learns of it. The state service first refuses only the leader, and is then
/// unavailable to all controllers for longer than `cancel_s`.
#[test]
fn jobs_cancelled_elsewhere_end_in_time_during_an_outage() {
    for (n, case) in fault_cases().into_iter().enumerate() {
        // With 30 s, much of `cancel_s` is left when a lease ends; with 14 s, little is left.
        for (variant, cancel_s) in [30.0, 14.0].into_iter().enumerate() {
            let seed = 300 + 20 * n as u64 + variant as u64;
            let scenario = Scenario::with_large_teams(seed).cancel_s(cancel_s);
            scenario.run(|simulation| async move {
                let name = format!("{}, cancel_s {cancel_s}", case.name);
                let ids = start_long_jobs(&simulation, 1, 6).await;
                sleep(secs(6.0)).await;
                refuse_leader_before_outage(&simulation, case, &ids).await;
                for id in ids.iter().filter(|id| simulation.is_cancelled(id)) {
                    assert_eq!(simulation.running_task_count(id), 0, "{name}: {id}");
                }
                heal_and_check(&simulation, &name, &ids).await;
            });
        }
    }
}

/// Makes the state service refuse the leader, cancels jobs at other controllers, and then makes
/// the state service unavailable to all controllers.
async fn refuse_leader_before_outage(simulation: &Rc<Simulation>, case: FaultCase, ids: &[String]) {
    let leader = simulation.controller_with_most_machines();
    let busy_workers = simulation.busy_workers();
    for worker in busy_workers.iter().take(case.unreachable_workers) {
        worker.inbound_blocked.set(true);
    }
    for worker in &busy_workers {
        worker.command_delay.set(secs(case.commands_delayed_s));
    }
    begin_refusal(simulation, leader, case).await;
    cancel_at_other_controllers(simulation, leader, case, &ids[..4]).await;
    if case.hang_s > 0.0 {
        for worker in busy_workers.iter().skip(case.unreachable_workers).take(2) {
            worker.hang(secs(case.hang_s));
        }
    }
    if case.others_restart {
        for i in (0..simulation.shape.controllers).filter(|i| *i != leader) {
            simulation.kill_controller(i);
            simulation.start(i);
        }
    }
    sleep(secs(case.outage_after_s)).await;
    run_outage(simulation, leader, case).await;
    if case.peers_partitioned {
        simulation.set_peer_partition(leader, false);
    }
}

async fn begin_refusal(simulation: &Rc<Simulation>, leader: usize, case: FaultCase) {
    if case.slow_leader_s > 0.0 {
        simulation.state.fault_options.replace(StateFaultOptions {
            response_delay: secs(case.slow_leader_s),
            delayed_controllers: [leader].into(),
            ..StateFaultOptions::default()
        });
        sleep(secs(4.0)).await;
    }
    simulation.state.fault_options.replace(StateFaultOptions {
        refused_controllers: [leader].into(),
        late_commit_fraction: case.late_commits,
        response_delay: secs(case.slow_s),
        ..StateFaultOptions::default()
    });
    if case.peers_partitioned {
        simulation.set_peer_partition(leader, true);
    }
    sleep(secs(case.leader_refused_s)).await;
}

async fn cancel_at_other_controllers(
    simulation: &Rc<Simulation>,
    leader: usize,
    case: FaultCase,
    ids: &[String],
) {
    let mut confirmed = 0;
    for id in ids {
        confirmed += usize::from(cancel(simulation, Some(leader), id).await.is_some());
    }
    assert!(
        confirmed > 0,
        "{}: no cancellation was confirmed",
        case.name
    );
}

/// Makes the state service unavailable for more than twice `cancel_s`. If the case says so, the
/// leader is restarted or frozen during the outage, or the state service recovers shortly.
async fn run_outage(simulation: &Rc<Simulation>, leader: usize, case: FaultCase) {
    simulation.state.fault.set(StateFault::Outage);
    let start = Instant::now();
    if let Some(after) = case.leader_restarts_s {
        sleep(secs(after)).await;
        simulation.kill_controller(leader);
        simulation.start(leader);
    }
    if case.leader_frozen_s > 0.0 {
        simulation.set_paused(leader, true);
        sleep(secs(case.leader_frozen_s)).await;
        simulation.set_paused(leader, false);
    }
    if case.short_recovery {
        sleep(secs(5.0)).await;
        simulation.state.fault.set(StateFault::None);
        sleep(secs(0.4)).await;
        simulation.state.fault.set(StateFault::Outage);
    }
    let total = secs(simulation.shape.cancel_s * 2.0 + 4.0);
    sleep(total.saturating_sub(start.elapsed())).await;
}

/// Checks that an answer that renews a lease is as old as its request: its age counts from the
/// moment at which the request was sent. The state service answers the leader slowly, and
/// begins to refuse it at different moments while answers are in flight.
#[test]
fn age_of_an_answer_counts_from_its_request() {
    for variant in 0..8u32 {
        let scenario = Scenario::with_large_teams(1500 + u64::from(variant));
        scenario
            .cancel_s(13.0)
            .report_s(0.5)
            .run(|simulation| async move {
                let ids = start_long_jobs(&simulation, 1, 6).await;
                let case = FaultCase {
                    name: "slow answers in flight",
                    leader_refused_s: 0.13 * f64::from(variant),
                    slow_leader_s: 1.15,
                    ..FaultCase::default()
                };
                sleep(secs(6.0)).await;
                refuse_leader_before_outage(&simulation, case, &ids).await;
                heal_and_check(&simulation, &format!("{}, {variant}", case.name), &ids).await;
            });
    }
}
