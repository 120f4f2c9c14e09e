//! Compact encodings ("compact encodings") of the records that grow with machines and
//! tasks: a part, a group, a job's runs. They are written once every controller
//! reads them and the state service's limits are to fall (`Replica::uses_compact_encoding`), and
//! are always read: each stands under the field of the plain encoding, which is of
//! another shape.
//!
//! Numbers are in base 64, by an alphabet that JSON leaves as it is. A name is
//! its number after a common prefix where it ends in digits; else it stands in
//! full.

use std::collections::BTreeMap;
use std::fmt;

use serde::de::{Deserializer, Error as _, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Serialize};

use crate::model::{MachineShard, Job, MachineLifecycle, Machine, ZoneShard, Ranges, Resources, Run, MachineSlot};

const DIGITS: &[u8; 64] = b"0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz_~";

/// Digits of a name's number: as many as a `u32` always holds.
const NAME_DIGITS: usize = 9;

/// Stands between the first and the last task of a range.
const RANGE_MARK: u8 = b'-';

/// Begins the compact encoding of a set of tasks; the plain one never does.
const COMPACT_MARK: char = '.';

fn digit_value(c: u8) -> Option<u64> {
    Some(u64::from(match c {
        b'0'..=b'9' => c - b'0',
        b'A'..=b'Z' => c - b'A' + 10,
        b'a'..=b'z' => c - b'a' + 36,
        b'_' => 62,
        b'~' => 63,
        _ => return None,
    }))
}

fn push_number(text: &mut String, mut n: u64) {
    let mut digits = [0; 11];
    let mut at = digits.len();
    loop {
        at -= 1;
        digits[at] = DIGITS[(n % 64) as usize];
        n /= 64;
        if n == 0 {
            break;
        }
    }
    text.extend(digits[at..].iter().map(|d| char::from(*d)));
}

fn read_number(text: &str) -> Option<u64> {
    if text.is_empty() {
        return None;
    }
    text.bytes()
        .try_fold(0u64, |n, c| n.checked_mul(64)?.checked_add(digit_value(c)?))
}

/// A name as its prefix, the width of its number and that number; width 0 is a
/// name that stands in full.
fn split_name(name: &str) -> (&str, usize, u32) {
    let digits = name.bytes().rev().take_while(u8::is_ascii_digit).count();
    let width = digits.min(NAME_DIGITS);
    let (prefix, number) = name.split_at(name.len() - width);
    match number.parse() {
        Ok(n) => (prefix, width, n),
        Err(_) => (name, 0, 0),
    }
}

fn join_name(prefix: &str, width: usize, number: u32) -> String {
    match width {
        0 => prefix.to_string(),
        _ => format!("{prefix}{number:0width$}"),
    }
}

// --- tasks -------------------------------------------------------------------

/// The digits that each task of the set takes.
fn task_width(sets: impl Iterator<Item = u32>) -> usize {
    match sets.max().unwrap_or(0) {
        ..4096 => 2,
        4096..262_144 => 3,
        _ => 6,
    }
}

fn push_task(text: &mut String, n: u32, width: usize) {
    for at in (0..width).rev() {
        let d = (u64::from(n) >> (6 * at)) % 64;
        text.push(char::from(DIGITS[d as usize]));
    }
}

/// However a set falls apart, a task takes its width at most.
fn push_tasks(text: &mut String, set: &Ranges, width: usize) {
    for &(a, b) in &set.0 {
        push_task(text, a, width);
        match b - a {
            0 => {}
            1 => push_task(text, b, width),
            _ => {
                text.push(char::from(RANGE_MARK));
                push_task(text, b, width);
            }
        }
    }
}

fn read_tasks(text: &str, width: usize) -> Option<Ranges> {
    let mut set: Vec<(u32, u32)> = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    let mut open = false;
    while at < bytes.len() {
        if bytes[at] == RANGE_MARK {
            open = true;
            at += 1;
            continue;
        }
        let code = bytes.get(at..at + width)?;
        let n = code
            .iter()
            .try_fold(0u64, |n, c| Some(n * 64 + digit_value(*c)?))?;
        let n = u32::try_from(n).ok()?;
        at += width;
        match set.last_mut() {
            Some(last) if open && last.1 < n => last.1 = n,
            _ if open => return None,
            Some(last) if last.1 >= n => return None,
            // Two that touch stand alone, as that is shorter.
            Some(last) if last.1 + 1 == n => last.1 = n,
            _ => set.push((n, n)),
        }
        open = false;
    }
    (!open).then_some(Ranges(set))
}

/// Reads a set of tasks that begins like the short form.
pub fn decode_ranges(text: &str) -> Option<Option<Ranges>> {
    let rest = text.strip_prefix(COMPACT_MARK)?;
    let read = || {
        let width = digit_value(*rest.as_bytes().first()?)? as usize;
        read_tasks(rest.get(1..)?, width.max(1))
    };
    Some(read())
}

// --- a job -------------------------------------------------------------------

/// Machines whose names have a prefix and a width in common, in one zone; with
/// width 0 one machine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct NamePattern(String, usize, String);

/// What a run takes beside its tasks: its name pattern, the machine's number, the
/// attempt, the mark of a stop and two marks between.
pub fn run_bytes(attempt: u64) -> usize {
    let mut digits = String::new();
    push_number(&mut digits, attempt);
    1 + 5 + 1 + digits.len() + 1 + 1 + 1
}

/// What a task of the job takes.
pub fn task_bytes(tasks: u32) -> usize {
    task_width([tasks.saturating_sub(1)].into_iter())
}

/// What the table of patterns takes for machines of these names and zones, and all
/// that stands around it.
pub fn table_bytes<'a>(machines: impl Iterator<Item = (&'a str, &'a str)>) -> usize {
    let mut patterns: Vec<(&str, usize, &str)> = machines
        .map(|(name, zone)| {
            let (prefix, width, _) = split_name(name);
            (prefix, width, zone)
        })
        .collect();
    patterns.sort_unstable();
    patterns.dedup();
    let text = |s: &str| serde_json::to_string(s).map_or(0, |t| t.len());
    let one = |(prefix, _, zone): &(&str, usize, &str)| text(prefix) + text(zone) + 6;
    40 + patterns.iter().map(one).sum::<usize>()
}

/// A job's record in the compact encoding; nothing where it has no such.
pub fn encode_job(job: &Job) -> Option<String> {
    let runs = job.runs.iter().flat_map(|r| r.tasks.0.last());
    let last = runs.chain(job.retry.0.last()).map(|(_, b)| *b);
    let width = task_width(last);
    let mut table: Vec<NamePattern> = Vec::new();
    let mut text = String::new();
    push_number(&mut text, width as u64);
    for run in &job.runs {
        let (prefix, digits, number) = split_name(&run.machine);
        let same = |k: &NamePattern| k.0 == prefix && k.1 == digits && k.2 == run.zone;
        let at = table.iter().position(same).unwrap_or_else(|| {
            table.push(NamePattern(prefix.to_string(), digits, run.zone.clone()));
            table.len() - 1
        });
        // Names of as many kinds have no compact encoding.
        let pattern = *DIGITS.get(at)?;
        text.push(' ');
        text.push(char::from(pattern));
        push_number(&mut text, u64::from(number));
        text.push('.');
        push_number(&mut text, run.attempt);
        text.push(if run.stop { '!' } else { ':' });
        push_tasks(&mut text, &run.tasks, width);
    }
    let mut retry = String::from(COMPACT_MARK);
    push_number(&mut retry, width as u64);
    push_tasks(&mut retry, &job.retry, width);
    let bare = Job {
        runs: Vec::new(),
        retry: Ranges::default(),
        spec: job.spec.clone(),
        failed_on: job.failed_on.clone(),
        ..*job
    };
    let mut record = serde_json::to_string(&bare).ok()?;
    record.pop()?;
    if !job.retry.is_empty() {
        record.push_str(&format!(",\"q\":\"{retry}\""));
    }
    if !job.runs.is_empty() {
        let table = serde_json::to_string(&table).ok()?;
        record.push_str(&format!(",\"r\":{{\"k\":{table},\"t\":\"{text}\"}}"));
    }
    record.push('}');
    Some(record)
}

fn read_runs(table: &[NamePattern], text: &str) -> Option<Vec<Run>> {
    let mut zone_shards = text.split(' ');
    let width = read_number(zone_shards.next()?)? as usize;
    let run = |part: &str| {
        let pattern = table.get(digit_value(*part.as_bytes().first()?)? as usize)?;
        let (number, rest) = part.get(1..)?.split_once('.')?;
        let mark = rest.find(['!', ':'])?;
        let number = u32::try_from(read_number(number)?).ok()?;
        Some(Run {
            machine: join_name(&pattern.0, pattern.1, number),
            zone: pattern.2.clone(),
            attempt: read_number(&rest[..mark])?,
            tasks: read_tasks(&rest[mark + 1..], width)?,
            stop: rest.as_bytes()[mark] == b'!',
        })
    };
    zone_shards.map(run).collect()
}

/// A job's runs in either text.
pub fn runs<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Run>, D::Error> {
    struct Runs;
    impl<'de> Visitor<'de> for Runs {
        type Value = Vec<Run>;
        fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
            f.write_str("runs")
        }
        fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Vec<Run>, A::Error> {
            let mut runs = Vec::new();
            while let Some(run) = seq.next_element()? {
                runs.push(run);
            }
            Ok(runs)
        }
        fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Vec<Run>, A::Error> {
            let mut table: Vec<NamePattern> = Vec::new();
            let mut text = String::new();
            while let Some(key) = map.next_key::<String>()? {
                match key.as_str() {
                    "k" => table = map.next_value()?,
                    "t" => text = map.next_value()?,
                    _ => {
                        map.next_value::<serde::de::IgnoredAny>()?;
                    }
                }
            }
            read_runs(&table, &text).ok_or_else(|| A::Error::custom("not a text of runs"))
        }
    }
    deserializer.deserialize_any(Runs)
}

// --- a part ------------------------------------------------------------------

/// Machines of one type and kind in a part: ranges of numbers by prefix and
/// width, names in full, and what unbooked tasks take of some.
#[derive(Debug, Serialize, Deserialize)]
struct Slots(
    String,
    u8,
    Vec<(String, usize, Ranges)>,
    Vec<String>,
    BTreeMap<String, (i64, i64, i64)>,
);

/// The machines' names as ranges by prefix and width, and those in full.
fn fold_names<'a>(
    names: impl Iterator<Item = &'a str>,
) -> (Vec<(String, usize, Ranges)>, Vec<String>) {
    let mut folded: BTreeMap<(&str, usize), Vec<u32>> = BTreeMap::new();
    let mut full = Vec::new();
    for name in names {
        match split_name(name) {
            (_, 0, _) => full.push(name.to_string()),
            (prefix, width, n) => folded.entry((prefix, width)).or_default().push(n),
        }
    }
    let folded = folded.into_iter().map(|((prefix, width), mut numbers)| {
        numbers.sort_unstable();
        let mut ranges: Vec<(u32, u32)> = Vec::new();
        for n in numbers {
            match ranges.last_mut() {
                Some(last) if last.1 + 1 == n => last.1 = n,
                _ => ranges.push((n, n)),
            }
        }
        (prefix.to_string(), width, Ranges(ranges))
    });
    (folded.collect(), full)
}

/// A part's record in the compact encoding: what is free is not written, as planning
/// takes the type's room less what is booked and what unbooked tasks take.
pub fn encode_zone_shard(part: &ZoneShard) -> Option<String> {
    let mut classes: BTreeMap<(&str, bool), Vec<(&str, &MachineSlot)>> = BTreeMap::new();
    for (name, slot) in &part.machines {
        let class = classes.entry((&slot.kind, slot.spot)).or_default();
        class.push((name, slot));
    }
    let slots: Vec<Slots> = classes
        .into_iter()
        .map(|((kind, spot), machines)| {
            let (folded, full) = fold_names(machines.iter().map(|(n, _)| *n));
            let unbooked = machines
                .iter()
                .filter(|(_, s)| !s.unbooked.is_empty())
                .map(|(n, s)| {
                    let Resources { cpus, gpus, ram } = s.unbooked;
                    (n.to_string(), (cpus.0, gpus.0, ram.0))
                })
                .collect();
            Slots(kind.to_string(), u8::from(spot), folded, full, unbooked)
        })
        .collect();
    Some(format!("{{\"m\":{}}}", serde_json::to_string(&slots).ok()?))
}

/// Whether a part's record is in the compact encoding: a list, where the longer one
/// has names.
pub fn is_compact_zone_shard(text: &str) -> bool {
    let machines = text.split_once(':').map_or("", |(_, rest)| rest);
    machines.trim_start().starts_with('[')
}

/// A part's machines in either text.
pub fn slots<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<BTreeMap<String, MachineSlot>, D::Error> {
    struct All;
    impl<'de> Visitor<'de> for All {
        type Value = BTreeMap<String, MachineSlot>;
        fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
            f.write_str("machines that take work")
        }
        fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
            let mut all = BTreeMap::new();
            while let Some((name, slot)) = map.next_entry()? {
                all.insert(name, slot);
            }
            Ok(all)
        }
        fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
            let mut all = BTreeMap::new();
            while let Some(Slots(kind, spot, folded, full, unbooked)) = seq.next_element()? {
                let numbered = folded.iter().flat_map(|(prefix, width, numbers)| {
                    numbers.iter().map(|n| join_name(prefix, *width, n))
                });
                for name in numbered.chain(full) {
                    let taken = unbooked.get(&name).copied().unwrap_or_default();
                    let slot = MachineSlot {
                        kind: kind.clone(),
                        spot: spot != 0,
                        free: Resources::default(),
                        unbooked: Resources {
                            cpus: crate::model::Amount(taken.0),
                            gpus: crate::model::Amount(taken.1),
                            ram: crate::model::Amount(taken.2),
                        },
                    };
                    all.insert(name, slot);
                }
            }
            Ok(all)
        }
    }
    deserializer.deserialize_any(All)
}

// --- a group -----------------------------------------------------------------

/// Machines of a group that have holder, incarnation, life, type and kind in
/// common; of each prefix and width a text: number, token, session and report.
#[derive(Debug, Serialize, Deserialize)]
struct Members(String, u64, MachineLifecycle, String, u8, Vec<(String, usize, String)>);

/// The most that a machine takes of its group's short record while its figures
/// are of usual length.
pub const MEMBER: usize = 22;

/// What a class of machines takes there, beside its names.
const CLASS: usize = 60;

/// The most that the group may come to take with its machines' figures grown
/// and each in another state.
pub fn group_bytes(group: &BTreeMap<String, Machine>, longest_holder: usize) -> usize {
    let mut kinds: Vec<&str> = group.values().map(|m| m.kind.as_str()).collect();
    kinds.sort_unstable();
    kinds.dedup();
    let kinds: usize = kinds.iter().map(|k| k.len() + longest_holder + CLASS).sum();
    let names = group.keys().map(|n| match split_name(n) {
        (name, 0, _) => name.len() + MEMBER + 8,
        _ => MEMBER,
    });
    // Two holders and two lives at a time.
    kinds * 3 + names.sum::<usize>()
}

/// What one more machine may add to a group, a type that is new there included.
pub fn member_bytes(name: &str, kind: &str, longest_holder: usize) -> usize {
    let name = match split_name(name) {
        (name, 0, _) => name.len() + 8,
        _ => 0,
    };
    MEMBER + name + (kind.len() + longest_holder + CLASS) * 3
}

/// A group's record in the compact encoding.
pub fn encode_machine_shard(group: &MachineShard) -> Option<String> {
    type Class<'a> = (&'a str, u64, MachineLifecycle, &'a str, bool);
    let mut classes: BTreeMap<Class, BTreeMap<(&str, usize), String>> = BTreeMap::new();
    for (name, m) in &group.machines {
        let class = (m.holder.as_str(), m.incarnation, m.life, &*m.kind, m.spot);
        let (prefix, width, number) = split_name(name);
        let texts = classes.entry(class).or_default();
        let text = texts.entry((prefix, width)).or_default();
        if !text.is_empty() {
            text.push(' ');
        }
        push_number(text, u64::from(number));
        for figure in [m.token, m.seen.0, m.seen.1] {
            text.push('.');
            push_number(text, figure);
        }
    }
    let members: Vec<Members> = classes
        .into_iter()
        .map(|((holder, incarnation, life, kind, spot), texts)| {
            let texts = texts.into_iter();
            let texts = texts.map(|((prefix, width), text)| (prefix.to_string(), width, text));
            Members(
                holder.to_string(),
                incarnation,
                life,
                kind.to_string(),
                u8::from(spot),
                texts.collect(),
            )
        })
        .collect();
    Some(format!(
        "{{\"m\":{}}}",
        serde_json::to_string(&members).ok()?
    ))
}

fn read_member(text: &str) -> Option<(u32, u64, (u64, u64))> {
    let mut figures = text.split('.').map(read_number);
    let mut next = || figures.next().flatten();
    let number = u32::try_from(next()?).ok()?;
    let member = (number, next()?, (next()?, next()?));
    figures.next().is_none().then_some(member)
}

/// A group's machines in either text.
pub fn members<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<BTreeMap<String, Machine>, D::Error> {
    struct All;
    impl<'de> Visitor<'de> for All {
        type Value = BTreeMap<String, Machine>;
        fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
            f.write_str("machines")
        }
        fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
            let mut all = BTreeMap::new();
            while let Some((name, machine)) = map.next_entry()? {
                all.insert(name, machine);
            }
            Ok(all)
        }
        fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
            let mut all = BTreeMap::new();
            while let Some(class) = seq.next_element()? {
                let Members(holder, incarnation, life, kind, spot, texts) = class;
                for (prefix, width, text) in texts {
                    for one in text.split(' ') {
                        let Some((number, token, seen)) = read_member(one) else {
                            return Err(A::Error::custom("not a text of machines"));
                        };
                        let machine = Machine {
                            holder: holder.clone(),
                            incarnation,
                            token,
                            seen,
                            life,
                            spot: spot != 0,
                            ..Machine::new(&kind, "")
                        };
                        all.insert(join_name(&prefix, width, number), machine);
                    }
                }
            }
            Ok(all)
        }
    }
    deserializer.deserialize_any(All)
}
