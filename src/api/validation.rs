//! Checks of a submission: first of its form, then of whether the job can ever run.

use std::collections::BTreeSet;

use crate::admission;
use crate::model::{Final, Room, Spec, is_job_id};
use crate::settings::Settings;
use crate::view::View;
use crate::wire::{Kind, Submission};

/// Why a submission is refused for good.
#[derive(Debug, PartialEq, Eq)]
pub enum Refusal {
    /// 400
    Malformed(String),
    /// 422
    Never(String),
    /// 503: not decidable yet.
    Unknown,
}

fn malformed(s: impl Into<String>) -> Refusal {
    Refusal::Malformed(s.into())
}

/// Reads and checks the form of a submission; 400 on failure.
pub fn read_submission(body: &[u8]) -> Result<Submission, Refusal> {
    let value: serde_json::Value =
        serde_json::from_slice(body).map_err(|e| malformed(format!("not JSON: {e}")))?;
    if !value.is_object() {
        return Err(malformed("not an object"));
    }
    let s: Submission =
        serde_json::from_value(value).map_err(|e| malformed(format!("field: {e}")))?;
    if !is_job_id(&s.id) {
        return Err(malformed("name_id: not of the form job-000412"));
    }
    if !(1..=100_000).contains(&s.tasks) {
        return Err(malformed("boards: must be 1 to 100000"));
    }
    let amount = |field: &str, x: f64, positive: bool| {
        let least = if positive { f64::MIN_POSITIVE } else { 0.0 };
        if x.is_finite() && x >= least && x <= 1e9 {
            Ok(())
        } else {
            Err(malformed(format!("{field}: out of range")))
        }
    };
    amount("vcpus", s.cpus, false)?;
    amount("cards", s.gpus, false)?;
    amount("ram_gb", s.memory_gb, false)?;
    amount("pull_gb", s.image_gb, false)?;
    amount("expect_s", s.estimate_s, false)?;
    amount("notch_s", s.checkpoint_s, false)?;
    amount("stow_s", s.save_s, false)?;
    if let Some(d) = s.deadline_s {
        amount("due_s", d, false)?;
    }
    for (field, text) in [
        ("lot", &s.class),
        ("crew", &s.team),
        ("blueprint", &s.image),
    ] {
        if text.len() > 200 {
            return Err(malformed(format!("{field}: too long")));
        }
    }
    if s.types
        .as_ref()
        .is_some_and(|t| t.len() > 64 || t.iter().any(|x| x.len() > 200))
    {
        return Err(malformed("grades: too many or too long"));
    }
    if s.zone.as_ref().is_some_and(|z| z.len() > 200) {
        return Err(malformed("yard: too long"));
    }
    if let Some(id) = s.awaits.iter().flatten().find(|id| !is_job_id(id)) {
        let id: String = id.chars().take(40).collect();
        return Err(malformed(format!("awaits: not a job id: {id}")));
    }
    Ok(s)
}

/// What a record takes beside its spec before anything is booked.
const EMPTY_RECORD: usize = 150;

/// Whether the job can ever run; 422 if not, 503 if that is not known yet.
pub fn check_submission(s: &Submission, settings: &Settings, view: &View) -> Result<Spec, Refusal> {
    let mut spec = Spec::from(s);
    let Some(team) = settings.team(&s.team) else {
        return Err(Refusal::Never("crew: unknown team".into()));
    };
    if view.types.value.types.is_empty() {
        return Err(Refusal::Unknown);
    }
    let zones = &settings.deployment.zones;
    if s.zone.as_ref().is_some_and(|z| !zones.contains(z)) {
        return Err(Refusal::Never("yard: unknown zone".into()));
    }
    let types = &view.types.value.types;
    let fitting = types
        .iter()
        .filter(|t| spec.allows_type(&t.name) && Room::of_type(t).fits(&spec.need));
    // Where the cloud has machines that take a task.
    let open: BTreeSet<&str> = fitting
        .flat_map(|t| t.zones.iter().map(String::as_str))
        .filter(|z| spec.zone.as_ref().is_none_or(|only| only == z))
        .collect();
    if open.is_empty() {
        return Err(Refusal::Never("a task fits no allowed machine type".into()));
    }
    // A gang runs whole or not at all: what has to be spread over more zones
    // than it may use never does.
    let zones_at_once = if s.one_zone { 1 } else { open.len() };
    if s.kind == Kind::Gang && s.spread && s.tasks.div_ceil(2) * (zones_at_once as u32) < s.tasks {
        return Err(Refusal::Never(
            "scatter: the gang may use too few zones".into(),
        ));
    }
    let at_once = match s.kind {
        Kind::Array => 1,
        _ => s.tasks as usize,
    };
    if !team.allows(&spec.need.times(at_once)) {
        return Err(Refusal::Never("needs more than the team's limit".into()));
    }
    // Its own id is not known either: it was never accepted.
    if spec.awaits.iter().any(|id| view.is_unreadable_job(id)) {
        return Err(Refusal::Unknown);
    }
    if let Some(id) = spec.awaits.iter().find(|id| view.state(id).is_none()) {
        return Err(Refusal::Never(format!("awaits: {id} was never accepted")));
    }
    // What is done stays done: nothing needs to remember it.
    spec.awaits.retain(|id| view.state(id) != Some(Final::Done));
    // What a job awaits leaves its record before any of its tasks comes in.
    let bytes = serde_json::to_vec(&spec).map_or(0, |v| v.len());
    let most = settings.value_bytes();
    let awaits = spec.awaits_bytes();
    let too_long = match settings.shrinks() {
        // Where records are to be small: what could not be written, or never run
        // within one.
        true => {
            let longest = |names: &mut dyn Iterator<Item = &String>| {
                names.max_by_key(|n| n.len()).cloned().unwrap_or_default()
            };
            let machine = longest(&mut view.machines.keys());
            let least = admission::least_record(&spec, &machine, &longest(&mut zones.iter()));
            least.saturating_sub(awaits) > most || bytes + EMPTY_RECORD > most
        }
        false => bytes.saturating_sub(awaits) > most / 4 || bytes > most / 2,
    };
    if too_long {
        return Err(Refusal::Malformed("too long".into()));
    }
    Ok(spec)
}
