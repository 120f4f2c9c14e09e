//! One controller: what its loops share. The loops that keep the replica and the
//! last barrier are in the submodules, the others with their subjects.

mod barrier;
mod clock;
mod replica_loop;
mod state_sync;

pub use clock::shifted_past_pause;
pub use state_sync::StateSync;

use clock::ProcessClock;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use crate::api::Admissions;
use crate::cloud::FleetState;
use crate::gossip::PeerTable;
use crate::http::Client;
use crate::net::Net;
use crate::scheduler::PlacementState;
use crate::settings::Settings;
use crate::state::budget::{BUDGET_SHARE, Budget, RequestClass};
use crate::state::client::{Store, StoreError};
use crate::state::replica::Replica;
use crate::wire::{Commit, Guard, Write};
use crate::workers::WorkerTable;

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
    /// What is known of the rented machines, owned here or not.
    pub fleet: RefCell<FleetState>,
    /// Randomness for spreading load; nothing secret.
    pub rng: RefCell<SmallRng>,
}

impl Controller {
    /// A controller that has not started any loop yet.
    pub fn new(settings: Settings, net: Net, seed: u64) -> Rc<Self> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let now = Instant::now();
        let client = Client::new(net.clone(), settings.worker_lease());
        let client = Rc::new(client.bounded(usize::MAX, settings.max_response_bytes()));
        let worker_client = Client::new(net.clone(), settings.worker_lease());
        let worker_client =
            worker_client.bounded(settings.command_connections(), crate::http::BODY_LIMIT * 4);
        let store_rng = SmallRng::seed_from_u64(rng.random());
        let store = new_store(&settings, client.clone(), store_rng, now);
        let mut replica = Replica::with_compact_limit(
            settings
                .limits_will_fall()
                .then(|| settings.value_limit_bytes()),
        );
        let objectives = settings.deployment.objectives.iter();
        replica.slo_classes = objectives.filter_map(|o| o.class.clone()).collect();
        Rc::new(Controller {
            net,
            client,
            worker_client,
            store,
            incarnation: rng.random_range(1..u64::from(u32::MAX)),
            started: now,
            process_clock: ProcessClock::new(now),
            replica: RefCell::new(replica),
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

    /// The span in which this controller may make one request of its share.
    pub fn request_gap(&self) -> Duration {
        let rps = self.settings.rps(self.store.is_lowered());
        Duration::from_secs_f64(self.settings.deployment.count as f64 / rps)
    }

    /// Commits and lays the result over the replica.
    pub async fn commit(
        &self,
        class: RequestClass,
        guards: Vec<Guard>,
        writes: Vec<Write>,
    ) -> Result<u64, StoreError> {
        let commit = Commit { guards, writes };
        let revision = self.store.commit(class, &commit).await?;
        self.replica.borrow_mut().overlay(&commit.writes, revision);
        self.announce();
        Ok(revision)
    }

    /// Tells the loops that the replica has changed.
    pub fn announce(&self) {
        let revision = self.replica.borrow().revision;
        self.state_sync.applied_revision.send_if_modified(|r| {
            let newer = *r < revision;
            *r = revision.max(*r);
            newer
        });
        self.placement.placement_notify.notify_one();
        self.workers.wake_commands();
    }
}

/// The state service as a controller of these settings calls it.
fn new_store(settings: &Settings, client: Rc<Client>, rng: SmallRng, now: Instant) -> Store {
    let count = settings.deployment.count as f64;
    let budget = Budget::new(
        settings.rps(false) / count * BUDGET_SHARE,
        settings.write_rps(false) / count * BUDGET_SHARE,
        now,
    );
    // Answers take milliseconds, now and then hundreds of them.
    let patience = settings.deployment.workers.lease_s / 8.0;
    let patience = Duration::from_secs_f64(patience.clamp(0.5, 2.0));
    Store::new(client, settings.external.state, budget, patience, rng)
}
