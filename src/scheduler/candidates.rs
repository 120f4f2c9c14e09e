//! Which machines a job may take, and which of them it prefers.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use super::plan::{Plan, UNNAMED};
use crate::model::{Amount, Spec};
use crate::view::{Spot, View};
use crate::wire::Kind;

/// Hints for choosing among machines with room; none of them is needed.
pub struct Hints<'a> {
    pub view: &'a View,
    /// The controller that plans: between machines that are as good, those of
    /// its own parts, where its commits meet no others.
    pub home: &'a str,
    /// Parts that the commit in the making writes anyway come before those.
    pub touched: BTreeSet<String>,
    /// Machines that the job has failed on may be tried again: it has waited
    /// long enough for another.
    pub lenient: bool,
}

impl<'a> Hints<'a> {
    pub fn new(view: &'a View, home: &'a str) -> Self {
        Hints {
            view,
            home,
            touched: BTreeSet::new(),
            lenient: false,
        }
    }
}

/// How far work without accelerators may stand in their way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Care {
    /// Not at all, and no service keeps their machines rented.
    Strict,
    /// Only in what they cannot use.
    Mild,
    /// If there is no other place.
    Lax,
}

/// Lower is better, the first figures first.
type Score = [i64; 8];

/// A machine on offer: what is lost by it, how many tasks it was given, how
/// good it is, and where it stands in the plan.
type Offered = (i64, i64, Score, usize);

/// What a class of machines means to a job, worked out once for all of them.
#[derive(Clone, Copy)]
pub(super) struct Gate {
    pub(super) allowed: bool,
    gpus: Amount,
    /// The accelerators' usual work may run there, and this work needs none.
    in_way: bool,
    costly: i64,
    pub(super) zone: usize,
}

/// Where a job's tasks may go.
pub(super) struct Field<'a> {
    spec: &'a Spec,
    hints: &'a Hints<'a>,
    care: Care,
    pub(super) gates: Vec<Gate>,
    /// By part number: how much its part adds to the commit. Places that are as
    /// good are taken from few parts, as each is a record to write.
    far: Vec<i64>,
    image: Option<u32>,
    /// Machines that the job has just failed on, by number: the fault may be
    /// theirs, and what fails at once is the first to have room again.
    barred: Vec<u32>,
    /// The only parts whose machines it may take, if not all may be; what is not
    /// rented yet may come into any.
    pub(super) within: Option<[u32; 2]>,
}

impl<'a> Field<'a> {
    pub(super) fn new(spec: &'a Spec, hints: &'a Hints<'a>, care: Care) -> Self {
        let view = hints.view;
        let gates = view.classes.iter().map(|class| {
            let gpus = view.class_type(class).map_or(0.0, |t| t.gpus);
            let wanted = view
                .gpu_spec
                .as_ref()
                .is_none_or(|s| s.allows(&class.kind, &class.zone, class.spot));
            Gate {
                allowed: spec.allows(&class.kind, &class.zone, class.spot),
                gpus: Amount::room(gpus),
                in_way: gpus > 0.0 && spec.need.gpus.0 == 0 && wanted,
                costly: i64::from(spec.spot && !class.spot),
                zone: class.zone_at,
            }
        });
        let far = (0..view.part_names.len() as u32).map(|n| {
            let name = view.part_names.name(n);
            let part = name.split_once('/').map_or("", |p| p.1);
            let own = crate::machines::home_of(part) == hints.home;
            let touched = hints.touched.contains(&*name);
            match (touched, own) {
                (true, _) => 0,
                (_, true) => 1,
                _ => 2 + i64::from(n),
            }
        });
        Field {
            gates: gates.collect(),
            far: far.collect(),
            spec,
            hints,
            care,
            image: view.image(&spec.image),
            barred: Vec::new(),
            within: None,
        }
    }

    pub(super) fn without(mut self, machines: &[String]) -> Self {
        let names = &self.hints.view.machine_names;
        self.barred = machines.iter().filter_map(|m| names.find(m)).collect();
        self
    }

    /// How many tasks of the accelerators' usual shape lose their place on
    /// this machine if the job's task takes it. Work without accelerators is
    /// kept off them only as far as it is in the way.
    fn loss(&self, spot: &Spot) -> i64 {
        let gate = &self.gates[spot.class as usize];
        if !gate.in_way {
            return 0;
        }
        match &self.hints.view.gpu_spec {
            Some(s) => {
                let after = spot.free - self.spec.need;
                spot.free.slots(&s.need) as i64 - after.slots(&s.need) as i64
            }
            None => 1,
        }
    }

    fn open(&self, spot: &Spot) -> bool {
        let gate = &self.gates[spot.class as usize];
        if !gate.allowed || !spot.free.fits(&self.spec.need) {
            return false;
        }
        if self.barred.contains(&spot.machine) {
            return false;
        }
        if let Some(parts) = self.within
            && spot.part != UNNAMED
            && !parts.contains(&spot.part)
        {
            return false;
        }
        if !gate.in_way {
            return true;
        }
        match (self.spec.kind, self.care) {
            // Independent tasks come and go: they never stand in the way of
            // work that needs the accelerators, and they do not keep a
            // machine rented whose accelerators are idle.
            (Kind::Array, _) => spot.free.gpus < gate.gpus && self.loss(spot) == 0,
            // What stays for long goes elsewhere if it can.
            (_, Care::Strict) => false,
            (_, Care::Mild) => self.loss(spot) == 0,
            (_, Care::Lax) => true,
        }
    }

    /// Accelerators are kept for those that need them; then a service looks
    /// for its image first, as it should run at once; then the cheaper
    /// machine, and the tightest fit, so that others stay whole.
    fn score(&self, spot: &Spot) -> Score {
        let view = self.hints.view;
        let gate = &self.gates[spot.class as usize];
        let spec = self.spec;
        let shape_slots = match &view.gpu_spec {
            Some(s) if gate.gpus.0 > 0 && spec.need.gpus.0 == 0 => spot.free.slots(&s.need),
            _ => 0,
        };
        let no_image = i64::from(!view.has_image(spot.machine, self.image));
        let far = self
            .far
            .get(spot.part as usize)
            .copied()
            .unwrap_or(i64::MAX);
        let quick = spec.kind == Kind::Service;
        // A service stays for long and would keep a costly machine rented.
        let pins = i64::from(quick && gate.gpus.0 > 0 && spec.need.gpus.0 == 0);
        let (third, fourth, fifth) = match spec.kind {
            Kind::Service => (no_image, gate.costly, far),
            // Their ends come often: where they are this controller's own,
            // nobody else writes the records.
            Kind::Array => (gate.costly, far, no_image),
            Kind::Gang => (gate.costly, no_image, far),
        };
        [
            self.loss(spot),
            pins,
            third,
            fourth,
            fifth,
            shape_slots as i64,
            // Of two places in the way, the one among more accelerators.
            if spec.need.gpus.0 > 0 { 1 } else { -1 } * gate.gpus.0,
            spot.free.cpus.0,
        ]
    }

    /// Tasks that fit one by one into the zones with a cap, best machines
    /// first; at most `most`. Also tells how good the places are.
    pub(super) fn fill(&self, plan: &Plan, caps: &[usize], most: usize) -> (Vec<usize>, Score) {
        let service = self.spec.kind == Kind::Service;
        // Replicas go to different zones and machines while there are some;
        // other tasks fill the best machine first. A heap a zone, the best
        // machine on top.
        let mut heaps: Vec<Vec<Reverse<Offered>>> = vec![Vec::new(); caps.len()];
        for (at, spot) in plan.spots.iter().enumerate() {
            let zone = self.gates[spot.class as usize].zone;
            if caps.get(zone).is_some_and(|c| *c > 0) && self.open(spot) {
                let score = self.score(spot);
                heaps[zone].push(Reverse((score[0], 0, score, at)));
            }
        }
        let mut heaps: Vec<BinaryHeap<_>> = heaps.into_iter().map(BinaryHeap::from).collect();
        let mut caps = caps.to_vec();
        let mut in_zone = vec![0i64; caps.len()];
        let mut sum: Score = [0; 8];
        let mut places = Vec::new();
        while places.len() < most {
            let best = (0..heaps.len())
                .filter(|z| caps[*z] > 0)
                .filter_map(|z| {
                    let Reverse((loss, given, score, _)) = heaps[z].peek()?;
                    let near = if service { in_zone[z] } else { 0 };
                    Some(((*loss, near, *given, *score), z))
                })
                .min();
            let Some((_, zone)) = best else { break };
            let Some(Reverse((_, given, score, at))) = heaps[zone].pop() else {
                break;
            };
            let mut spot = plan.spots[at];
            for _ in 0..given {
                spot.free -= self.spec.need;
            }
            // One machine's room is used up before the next is looked at,
            // but for replicas.
            loop {
                for (s, r) in sum.iter_mut().zip(score) {
                    *s = s.saturating_add(r);
                }
                places.push(at);
                spot.free -= self.spec.need;
                in_zone[zone] += 1;
                caps[zone] -= 1;
                let more = places.len() < most && caps[zone] > 0 && self.open(&spot);
                if service || !more {
                    break;
                }
            }
            if service && self.open(&spot) {
                let score = self.score(&spot);
                heaps[zone].push(Reverse((score[0], given + 1, score, at)));
            }
        }
        (places, sum)
    }
}
