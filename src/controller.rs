//! One controller: what its loops share. The loops that keep the replica and the
//! last barrier are in the submodules, the others with their subjects.

mod barrier;
mod clock;
mod replica_loop;

pub use clock::shifted_past_pause;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::api::PendingSubmission;
use crate::cloud::FleetState;
use crate::gossip::PeerTable;
use crate::http::Client;
use crate::net::Net;
use crate::scheduler::{FirstSeenTimes, Reason};
use crate::settings::Settings;
use crate::state::budget::{Budget, RequestClass};
use crate::state::client::{Store, StoreError};
use crate::state::replica::Replica;
use crate::wire::{Commit, Guard, Write};
use crate::workers::{AttemptKey, Claim, OwnedWorker, TerminationEvidence};

/// The limits of the state service are shared by all controllers, which do not
/// count for one another: together they keep to so much of them.
const BUDGET_SHARE: f64 = 0.97;

/// What the loops of one controller share; all of them run on one thread.
pub struct Controller {
    /// The settings that the controller was started with.
    pub settings: Settings,
    /// The network that it listens and calls on.
    pub net: Net,
    /// For the state service and the cloud.
    pub client: Rc<Client>,
    /// For orders to workers: bounded, as there are many of them.
    pub workers: Client,
    /// The state service, with this controller's share of its budget.
    pub store: Store,
    /// Tells this run of the process from the earlier ones of the same name.
    pub incarnation: u64,
    /// When this process was started.
    pub started: Instant,
    /// When this process last ran, as far as it has noticed.
    ran: Cell<Instant>,
    /// The recent mean of how late its timers fire: it grows where the work exceeds
    /// the share of the processor.
    lag: Cell<Duration>,
    /// When a question about a job was last answered here.
    pub answered: RefCell<HashMap<String, Instant>>,
    /// The state service's records, as far as they have been read.
    pub replica: RefCell<Replica>,
    /// The revision that the replica has reached, for those who wait on it.
    pub reached: watch::Sender<u64>,
    /// Wakes placement: something that it depends on has changed.
    pub placement_notify: Notify,
    /// Wakes the direct orders: bookings or reports of machines have changed.
    pub commands_notify: Notify,
    /// The send time of the last barrier that the replica has reached.
    pub last_barrier: Cell<Option<Instant>>,
    barrier_notify: Notify,
    barrier_started: Cell<u64>,
    barrier_done: watch::Sender<u64>,
    /// The last barrier that the state service refused to serve.
    barrier_refused: watch::Sender<u64>,
    /// Machines with launches that wait for the next read barrier.
    deferred_launches: RefCell<BTreeSet<String>>,
    watch_again: Notify,
    /// Someone waits for the replica: the next watch is opened without delay.
    watch_expedited: Notify,
    /// The machines that this controller holds.
    pub owned_workers: RefCell<HashMap<String, OwnedWorker>>,
    /// Ends of tasks that wait to be recorded.
    pub ends: RefCell<BTreeMap<AttemptKey, TerminationEvidence>>,
    /// Wakes the recording of ends.
    pub terminations_notify: Notify,
    /// Submissions that wait to be accepted.
    pub pending_submissions: RefCell<VecDeque<PendingSubmission>>,
    /// Wakes the acceptance of submissions.
    pub acceptance_notify: Notify,
    /// Claims that wait to be committed, by machine.
    pub claims: RefCell<BTreeMap<String, Claim>>,
    /// How many heartbeats wait for their claims, each with its connection.
    pub claims_awaited: Cell<usize>,
    /// Wakes the commits of claims.
    pub claims_notify: Notify,
    /// Wakes the publication of room: a machine can take work from now on.
    pub publication_notify: Notify,
    /// What the other controllers have told of themselves.
    pub peers: RefCell<PeerTable>,
    /// What is known of the rented machines, held here or not.
    pub fleet: RefCell<FleetState>,
    /// Why each open job waits, as the decision that made it wait said.
    pub wait_states: RefCell<HashMap<String, Reason>>,
    /// When each open job was first seen here.
    pub first_seen: RefCell<FirstSeenTimes>,
    /// Randomness for spreading load; nothing secret.
    pub rng: RefCell<SmallRng>,
}

impl Controller {
    /// A controller that has not started any loop yet.
    pub fn new(settings: Settings, net: Net, seed: u64) -> Rc<Self> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let now = Instant::now();
        let client = Client::new(net.clone(), settings.lease());
        let client = Rc::new(client.bounded(usize::MAX, settings.answer_bytes()));
        let workers = Client::new(net.clone(), settings.lease());
        let workers = workers.bounded(settings.order_connections(), crate::http::BODY_LIMIT * 4);
        let store_rng = SmallRng::seed_from_u64(rng.random());
        let store = new_store(&settings, client.clone(), store_rng, now);
        let mut replica = Replica::with_compact_limit(
            settings.limits_will_fall().then(|| settings.value_bytes()),
        );
        let objectives = settings.deployment.objectives.iter();
        replica.slo_classes = objectives.filter_map(|o| o.class.clone()).collect();
        Rc::new(Controller {
            net,
            client,
            workers,
            store,
            incarnation: rng.random_range(1..u64::from(u32::MAX)),
            started: now,
            ran: Cell::new(now),
            lag: Cell::default(),
            answered: RefCell::default(),
            replica: RefCell::new(replica),
            reached: watch::Sender::new(0),
            placement_notify: Notify::new(),
            commands_notify: Notify::new(),
            last_barrier: Cell::new(None),
            barrier_notify: Notify::new(),
            barrier_started: Cell::new(0),
            barrier_done: watch::Sender::new(0),
            barrier_refused: watch::Sender::new(0),
            deferred_launches: RefCell::default(),
            watch_again: Notify::new(),
            watch_expedited: Notify::new(),
            owned_workers: RefCell::default(),
            ends: RefCell::default(),
            terminations_notify: Notify::new(),
            pending_submissions: RefCell::default(),
            acceptance_notify: Notify::new(),
            claims: RefCell::default(),
            claims_awaited: Cell::new(0),
            claims_notify: Notify::new(),
            publication_notify: Notify::new(),
            peers: RefCell::default(),
            fleet: RefCell::default(),
            wait_states: RefCell::default(),
            first_seen: RefCell::default(),
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
        self.reached.send_if_modified(|r| {
            let newer = *r < revision;
            *r = revision.max(*r);
            newer
        });
        self.placement_notify.notify_one();
        self.commands_notify.notify_one();
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
