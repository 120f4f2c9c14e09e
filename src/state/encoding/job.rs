//! Encodes and decodes the compact encoding of a job's record.
//!
//! The runs are encoded as a single text. A run refers to its machine by a pattern of machine
//! names, which is kept in a table beside the text, and by the number in the name.

use std::fmt;

use serde::de::{Deserializer, Error as _, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Serialize};

use super::digits::{COMPACT_MARK, DIGITS, digit_value, push_number, read_number};
use super::names::{join_name, split_name};
use super::tasks::{push_tasks, read_tasks, task_width};
use crate::state::records::{Job, NumberSet, Run};

/// Pattern of the names of machines in one zone: the common prefix, the number of digits that
/// follow, and the zone. If the number of digits is 0, the prefix is the full name of a
/// single machine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct NamePattern(String, usize, String);

/// Returns the number of bytes that a run takes in the compact encoding without its tasks:
/// the index of the name pattern, the machine's number, the attempt, the stop mark and two
/// separators.
pub fn run_bytes(attempt: u64) -> usize {
    let mut digits = String::new();
    push_number(&mut digits, attempt);
    1 + 5 + 1 + digits.len() + 1 + 1 + 1
}

/// Returns the number of bytes that each task takes in a job with `tasks` tasks.
pub fn task_bytes(tasks: u32) -> usize {
    task_width([tasks.saturating_sub(1)].into_iter())
}

/// Returns the number of bytes that the table of name patterns takes for machines with
/// these names and zones, including the surrounding punctuation and field names.
pub fn table_bytes<'a>(machines: impl Iterator<Item = (&'a str, &'a str)>) -> usize {
    let mut patterns: Vec<(&str, usize, &str)> = machines
        .map(|(name, zone)| {
            let (prefix, width, _) = split_name(name);
            (prefix, width, zone)
        })
        .collect();
    patterns.sort_unstable();
    patterns.dedup();
    let json_bytes = |name: &str| serde_json::to_string(name).map_or(0, |json| json.len());
    let pattern_bytes =
        |(prefix, _, zone): &(&str, usize, &str)| json_bytes(prefix) + json_bytes(zone) + 6;
    40 + patterns.iter().map(pattern_bytes).sum::<usize>()
}

/// Encodes a job's record in the compact encoding. Returns `None` if the record has no compact
/// encoding because its runs need more name patterns than there are digits.
pub fn encode_job(job: &Job) -> Option<String> {
    let runs = job.runs.iter().flat_map(|run| run.tasks.0.last());
    let last_tasks = runs.chain(job.retry.0.last()).map(|(_, last)| *last);
    let width = task_width(last_tasks);
    let mut table: Vec<NamePattern> = Vec::new();
    let mut text = String::new();
    push_number(&mut text, width as u64);
    for run in &job.runs {
        let (prefix, name_width, number) = split_name(&run.machine);
        let is_same =
            |known: &NamePattern| known.0 == prefix && known.1 == name_width && known.2 == run.zone;
        let index = table.iter().position(is_same).unwrap_or_else(|| {
            table.push(NamePattern(
                prefix.to_string(),
                name_width,
                run.zone.clone(),
            ));
            table.len() - 1
        });
        // The index of a pattern is written as a single digit. If there are more patterns
        // than digits, the record has no compact encoding.
        let pattern = *DIGITS.get(index)?;
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
    let job_without_tasks = Job {
        runs: Vec::new(),
        retry: NumberSet::default(),
        spec: job.spec.clone(),
        failed_on: job.failed_on.clone(),
        share: job.share.clone(),
        ..*job
    };
    let mut record = serde_json::to_string(&job_without_tasks).ok()?;
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

/// Parses the runs of a job from the table of name patterns and the text. Returns `None` if
/// either is not valid.
fn read_runs(table: &[NamePattern], text: &str) -> Option<Vec<Run>> {
    let mut parts = text.split(' ');
    let width = read_number(parts.next()?)? as usize;
    let read_run = |part: &str| {
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
    parts.map(read_run).collect()
}

/// Deserializes a job's runs from the plain or the compact encoding.
pub fn deserialize_runs<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Run>, D::Error> {
    struct RunsVisitor;
    impl<'de> Visitor<'de> for RunsVisitor {
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
            read_runs(&table, &text)
                .ok_or_else(|| A::Error::custom("invalid compact encoding of runs"))
        }
    }
    deserializer.deserialize_any(RunsVisitor)
}
