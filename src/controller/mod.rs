//! One controller: the context that its loops share.
//!
//! | module | task |
//! | --- | --- |
//! | `watch` | keeps the replica up to date with the state service |
//! | `barrier` | read barriers: how recent the replica surely is |
//! | `state_sync` | the progress of both, and who waits for it |
//! | `process_clock` | pauses of this process, and how late its timers fire |
//!
//! The loops that use the context stand with their subjects; `daemon` starts them.

mod barrier;
mod process_clock;
mod state_sync;
mod watch;

pub use process_clock::shifted_past_pause;
pub use state_sync::StateSync;

use process_clock::ProcessClock;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use crate::api::Admissions;
use crate::cloud::FleetState;
use crate::gossip::PeerTable;
use crate::http::{BODY_LIMIT, Client};
use crate::net::Net;
use crate::scheduler::PlacementState;
use crate::settings::Settings;
use crate::state::budget::{BUDGET_SHARE, Budget, RequestClass};
use crate::state::client::{Store, StoreError};
use crate::state::replica::Replica;
use crate::wire::{Commit, Precondition, Write};
use crate::workers::WorkerTable;

/// How much longer than a request's body a worker's answer to commands may be.
const WORKER_RESPONSE_BODIES: usize = 4;

/// The state service counts as not answering after this part of a worker's lease,
/// within the bounds below: answers take milliseconds, now and then hundreds of them.
const STATE_TIMEOUT_PER_LEASE: f64 = 1.0 / 8.0;
const MIN_STATE_TIMEOUT_S: f64 = 0.5;
const MAX_STATE_TIMEOUT_S: f64 = 2.0;

/// The context that the loops of one controller share; all of them run on one thread.
/// Each subsystem's state is in a struct of that subsystem's module.
pub struct Controller {
    /// The settings that the controller was started with.
    pub settings: Settings,
    /// The network that it listens and calls on.
    pub net: Net,
    /// The client for the state service and the cloud.
    pub client: Rc<Client>,
    /// The client for direct commands to workers: bounded, as there are many of them.
    pub worker_client: Client,
    /// The state service, with this controller's part of its request budget.
    pub store: Store,
    /// Tells this run of the process from the earlier ones of the same name.
    pub incarnation: u64,
    /// When this process was started.
    pub started: Instant,
    /// Pauses of this process and the delay of its timers.
    process_clock: ProcessClock,
    /// The state service's records, as far as they have been read.
    pub replica: RefCell<Replica>,
    /// How far the replica is up to date, and who waits for it.
    pub state_sync: StateSync,
    /// Submissions and questions of users.
    pub admissions: Admissions,
    /// The workers that this controller owns, and its claims to more.
    pub workers: WorkerTable,
    /// What placement remembers of the jobs that wait.
    pub placement: PlacementState,
    /// What the other controllers have told of themselves.
    pub peers: RefCell<PeerTable>,
    /// What is known of the provisioned machines, owned here or not.
    pub fleet: RefCell<FleetState>,
    /// Randomness for spreading load; nothing secret.
    pub rng: RefCell<SmallRng>,
}

impl Controller {
    /// A controller that has not started any loop yet; `seed` is for its random numbers.
    pub fn new(settings: Settings, net: Net, seed: u64) -> Rc<Self> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let now = Instant::now();
        let client = Rc::new(new_client(&settings, &net));
        let store_rng = SmallRng::seed_from_u64(rng.random());
        Rc::new(Controller {
            worker_client: new_worker_client(&settings, &net),
            store: new_store(&settings, client.clone(), store_rng, now),
            client,
            net,
            incarnation: rng.random_range(1..u64::from(u32::MAX)),
            started: now,
            process_clock: ProcessClock::new(now),
            replica: RefCell::new(new_replica(&settings)),
            state_sync: StateSync::default(),
            admissions: Admissions::default(),
            workers: WorkerTable::default(),
            placement: PlacementState::default(),
            peers: RefCell::default(),
            fleet: RefCell::default(),
            rng: RefCell::new(rng),
            settings,
        })
    }

    /// The controller's name.
    pub fn name(&self) -> &str {
        &self.settings.controller_name
    }

    /// The interval at which this controller may send requests to the state service
    /// without going beyond its part of the limits.
    pub fn request_interval(&self) -> Duration {
        let rps = self.settings.rps(self.store.is_rate_reduced());
        Duration::from_secs_f64(self.settings.deployment.count as f64 / rps)
    }

    /// Commits a transaction, and lays it over the replica ahead of the watch. Returns
    /// the revision of the commit.
    pub async fn commit(
        &self,
        class: RequestClass,
        preconditions: Vec<Precondition>,
        writes: Vec<Write>,
    ) -> Result<u64, StoreError> {
        let commit = Commit {
            preconditions,
            writes,
        };
        let revision = self.store.commit(class, &commit).await?;
        self.replica.borrow_mut().overlay(&commit.writes, revision);
        self.notify_replica_changed();
        Ok(revision)
    }

    /// Wakes the loops that depend on the replica, as it has changed.
    pub fn notify_replica_changed(&self) {
        let revision = self.replica.borrow().revision;
        self.state_sync.advance_to(revision);
        self.placement.wake();
        self.workers.wake_commands();
    }
}

/// The client for the state service and the cloud.
fn new_client(settings: &Settings, net: &Net) -> Client {
    let client = Client::new(net.clone(), settings.worker_lease());
    client.bounded(usize::MAX, settings.max_response_bytes())
}

/// The client for direct commands to workers.
fn new_worker_client(settings: &Settings, net: &Net) -> Client {
    let client = Client::new(net.clone(), settings.worker_lease());
    client.bounded(
        settings.command_connections(),
        BODY_LIMIT * WORKER_RESPONSE_BODIES,
    )
}

/// The client of the state service, with this controller's part of its limits.
fn new_store(settings: &Settings, client: Rc<Client>, rng: SmallRng, now: Instant) -> Store {
    let count = settings.deployment.count as f64;
    let budget = Budget::new(
        settings.rps(false) / count * BUDGET_SHARE,
        settings.write_rps(false) / count * BUDGET_SHARE,
        now,
    );
    let timeout_s = settings.deployment.workers.lease_s * STATE_TIMEOUT_PER_LEASE;
    let timeout_s = timeout_s.clamp(MIN_STATE_TIMEOUT_S, MAX_STATE_TIMEOUT_S);
    let timeout = Duration::from_secs_f64(timeout_s);
    Store::new(client, settings.external.state, budget, timeout, rng)
}

/// An empty replica for these settings.
fn new_replica(settings: &Settings) -> Replica {
    let will_compact = settings.limits_will_fall();
    let compact_limit = will_compact.then(|| settings.value_limit_bytes());
    let mut replica = Replica::with_compact_limit(compact_limit);
    let objectives = settings.deployment.objectives.iter();
    replica.slo_classes = objectives
        .filter_map(|objective| objective.class.clone())
        .collect();
    replica
}
