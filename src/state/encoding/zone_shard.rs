//! The compact encoding of zone shards.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::de::{Deserializer, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Serialize};

use super::names::{fold_names, join_name, split_name};
use crate::state::records::{Amount, MachineSlot, Ranges, Resources, ZoneShard};

/// Machines of one type and kind in a zone shard: ranges of numbers by prefix and
/// width, names in full, and what unbooked tasks take of some.
#[derive(Debug, Serialize, Deserialize)]
struct Slots(
    String,
    u8,
    Vec<(String, usize, Ranges)>,
    Vec<String>,
    BTreeMap<String, (i64, i64, i64)>,
);

/// A zone shard's record in the compact encoding: what is free is not written, as planning
/// takes the type's capacity less what is booked and what unbooked tasks take.
pub fn encode_zone_shard(shard: &ZoneShard) -> Option<String> {
    let mut classes: BTreeMap<(&str, bool), Vec<(&str, &MachineSlot)>> = BTreeMap::new();
    for (name, slot) in &shard.machines {
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

/// The punctuation and figures of a class of machines, of its names' prefix, and of
/// one name.
const CLASS_BYTES: usize = 40;

/// What the figures of unbooked tasks take beside the machine's name.
const UNBOOKED_BYTES: usize = 60;

/// The most bytes that one more machine may add to a zone shard's compact encoding, even
/// if it is the first of its class and every character of its names is quoted.
pub fn slot_bytes_bound(machine: &str, kind: &str) -> usize {
    (machine.len() + kind.len()) * 2 + CLASS_BYTES
}

/// The most bytes that a zone shard's compact encoding may come to have while machines
/// leave it: a machine that leaves may split a range of numbers, and so make the text
/// longer. Here each number stands by itself.
pub fn zone_shard_bytes_bound(shard: &ZoneShard) -> usize {
    let mut classes: BTreeSet<(&str, bool, &str, usize)> = BTreeSet::new();
    let mut bytes = 0;
    for (name, slot) in &shard.machines {
        let (prefix, width, number) = split_name(name);
        bytes += match width {
            0 => name.len() * 2,
            _ => number.checked_ilog10().unwrap_or(0) as usize + 2,
        };
        if !slot.unbooked.is_empty() {
            bytes += name.len() * 2 + UNBOOKED_BYTES;
        }
        classes.insert((&slot.kind, slot.spot, prefix, width));
    }
    let classes = classes.iter();
    let classes = classes.map(|(kind, _, prefix, _)| slot_bytes_bound(prefix, kind));
    bytes + classes.sum::<usize>()
}

/// Whether a zone shard's record is in the compact encoding: a list, where the longer one
/// has names.
pub fn is_compact_zone_shard(text: &str) -> bool {
    let machines = text.split_once(':').map_or("", |(_, rest)| rest);
    machines.trim_start().starts_with('[')
}

/// Reads a zone shard's machines in either encoding.
pub fn deserialize_slots<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<BTreeMap<String, MachineSlot>, D::Error> {
    struct SlotsVisitor;
    impl<'de> Visitor<'de> for SlotsVisitor {
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
                            cpus: Amount(taken.0),
                            gpus: Amount(taken.1),
                            ram: Amount(taken.2),
                        },
                    };
                    all.insert(name, slot);
                }
            }
            Ok(all)
        }
    }
    deserializer.deserialize_any(SlotsVisitor)
}
