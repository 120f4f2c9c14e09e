//! The context that the loops of one controller share.
//!
//! | module | task |
//! | --- | --- |
//! | `watch` | keeps the replica up to date with the state service |
//! | `barrier` | read barriers, which bound the replica's staleness |
//! | `state_sync` | the progress of the watch and the barriers, and notifications of it |
//! | `process_clock` | pauses of this process, and the delay of its timers |
//!
//! The loops themselves are defined in the modules of their subsystems; `daemon` starts
//! them.

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
use crate::state::budget::{Budget, MAX_BUDGET_FRACTION, RequestClass};
use crate::state::client::{StateClient, StateClientError};
use crate::state::replica::Replica;
use crate::wire::{Commit, Precondition, Write};
use crate::workers::WorkerTable;

/// Size limit of a worker's response to commands, as a multiple of the limit of a request
/// body.
const MAX_WORKER_RESPONSE_BODIES: usize = 4;

/// Timeout of a request to the state service as a fraction of a worker's lease, within the
/// bounds below. Responses take milliseconds, occasionally hundreds of milliseconds.
const STATE_TIMEOUT_PER_LEASE: f64 = 1.0 / 8.0;
const MIN_STATE_TIMEOUT_S: f64 = 0.5;
const MAX_STATE_TIMEOUT_S: f64 = 2.0;

/// The context that the loops of one controller share. All loops run on one thread. Each
/// subsystem keeps its state in a struct of its own module.
pub struct Controller {
    /// The settings with which the controller was started.
    pub settings: Settings,
    /// The network on which the controller listens and connects.
    pub net: Net,
    /// The client for the state service and the cloud.
    pub client: Rc<Client>,
    /// The client for direct commands to workers, with a limited number of connections, as
    /// there are many workers.
    pub worker_client: Client,
    /// The client of the state service. It keeps this controller within its fraction of the
    /// service's limits on requests and writes.
    pub state_client: StateClient,
    /// A random number that distinguishes this run of the process from earlier runs under
    /// the same controller name.
    pub incarnation: u64,
    /// The start time of this process.
    pub started: Instant,
    /// Pauses of this process, and the delay of its timers.
    process_clock: ProcessClock,
    /// The local copy of the state service's records.
    pub replica: RefCell<Replica>,
    /// The progress of the replica, and notifications of it.
    pub state_sync: StateSync,
    /// Users' submissions and queries in progress.
    pub admissions: Admissions,
    /// The workers that this controller owns, and its claims to further ones.
    pub workers: WorkerTable,
    /// The state that placement keeps about waiting jobs.
    pub placement: PlacementState,
    /// The last reports of the other controllers.
    pub peers: RefCell<PeerTable>,
    /// The state of all provisioned machines, including those that other controllers own.
    pub fleet: RefCell<FleetState>,
    /// The random number generator for spreading load; not for secrets.
    pub rng: RefCell<SmallRng>,
}

impl Controller {
    /// Creates a controller whose loops have not started yet. `seed` initializes its random
    /// numbers.
    pub fn new(settings: Settings, net: Net, seed: u64) -> Rc<Self> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let now = Instant::now();
        let client = Rc::new(new_client(&settings, &net));
        let store_rng = SmallRng::seed_from_u64(rng.random());
        Rc::new(Controller {
            worker_client: new_worker_client(&settings, &net),
            state_client: new_state_client(&settings, client.clone(), store_rng, now),
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

    /// Returns the controller's name.
    pub fn name(&self) -> &str {
        &self.settings.controller_name
    }

    /// Returns the interval at which this controller may send requests to the state service
    /// if all controllers have equal fractions of the rate limit.
    pub fn request_interval(&self) -> Duration {
        let rps = self
            .settings
            .max_requests_per_s(self.state_client.is_rate_reduced());
        Duration::from_secs_f64(self.settings.deployment.count as f64 / rps)
    }

    /// Commits a transaction, and applies its writes to the replica before the watch
    /// delivers them. Returns the revision of the commit.
    pub async fn commit(
        &self,
        class: RequestClass,
        preconditions: Vec<Precondition>,
        writes: Vec<Write>,
    ) -> Result<u64, StateClientError> {
        let commit = Commit {
            preconditions,
            writes,
        };
        let revision = self.state_client.commit(class, &commit).await?;
        self.replica
            .borrow_mut()
            .apply_commit(&commit.writes, revision);
        self.notify_replica_changed();
        Ok(revision)
    }

    /// Wakes the loops that depend on the replica. Must be called after each change of the
    /// replica.
    pub fn notify_replica_changed(&self) {
        let revision = self.replica.borrow().revision;
        self.state_sync.advance_to(revision);
        self.placement.wake();
        self.workers.wake_commands();
    }
}

/// Creates the client for the state service and the cloud.
fn new_client(settings: &Settings, net: &Net) -> Client {
    let client = Client::new(net.clone(), settings.worker_lease());
    client.with_limits(usize::MAX, settings.max_response_bytes())
}

/// Creates the client for direct commands to workers.
fn new_worker_client(settings: &Settings, net: &Net) -> Client {
    let client = Client::new(net.clone(), settings.worker_lease());
    client.with_limits(
        settings.command_connections(),
        BODY_LIMIT * MAX_WORKER_RESPONSE_BODIES,
    )
}

/// Creates the client of the state service, with equal fractions of its rate limits for all
/// controllers as the initial budget.
fn new_state_client(
    settings: &Settings,
    client: Rc<Client>,
    rng: SmallRng,
    now: Instant,
) -> StateClient {
    let count = settings.deployment.count as f64;
    let budget = Budget::new(
        settings.max_requests_per_s(false) / count * MAX_BUDGET_FRACTION,
        settings.max_writes_per_s(false) / count * MAX_BUDGET_FRACTION,
        now,
    );
    let timeout_s = settings.deployment.workers.lease_s * STATE_TIMEOUT_PER_LEASE;
    let timeout_s = timeout_s.clamp(MIN_STATE_TIMEOUT_S, MAX_STATE_TIMEOUT_S);
    let timeout = Duration::from_secs_f64(timeout_s);
    StateClient::new(client, settings.external.state, budget, timeout, rng)
}

/// Creates an empty replica for these settings.
fn new_replica(settings: &Settings) -> Replica {
    let will_compact = settings.limits_will_decrease();
    let compact_limit = will_compact.then(|| settings.value_limit_bytes());
    let mut replica = Replica::with_compact_limit(compact_limit);
    let objectives = settings.deployment.objectives.iter();
    replica.slo_classes = objectives
        .filter_map(|objective| objective.class.clone())
        .collect();
    replica
}
