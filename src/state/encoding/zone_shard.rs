//! Encodes and decodes the compact encoding of zone shards.
//!
//! The machines are grouped into classes of machines with the same machine type and spot
//! flag. The properties of a class are written once.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::de::{Deserializer, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Serialize};

use super::names::{group_names, join_name, split_name};
use crate::state::records::{Amount, MachineSlot, NumberSet, Resources, ZoneShard};

/// Encoded class of machines: the machine type, the spot flag, the numbers of the machines by
/// prefix and number of digits of their names, and the names that have no number. The last
/// field contains the resources that tasks without a booking take, by machine name.
#[derive(Debug, Serialize, Deserialize)]
struct Slots(
    String,
    u8,
    Vec<(String, usize, NumberSet)>,
    Vec<String>,
    BTreeMap<String, (i64, i64, i64)>,
);

/// Encodes a zone shard's record in the compact encoding. The free resources are omitted, as
/// planning does not need them: it subtracts the resources of bookings and of unbooked tasks
/// from the capacity of the machine type.
pub fn encode_zone_shard(shard: &ZoneShard) -> Option<String> {
    let mut classes: BTreeMap<(&str, bool), Vec<(&str, &MachineSlot)>> = BTreeMap::new();
    for (name, slot) in &shard.machines {
        let class = classes.entry((&slot.kind, slot.spot)).or_default();
        class.push((name, slot));
    }
    let slots: Vec<Slots> = classes
        .into_iter()
        .map(|((kind, spot), machines)| {
            let (grouped, full_names) = group_names(machines.iter().map(|(name, _)| *name));
            let unbooked = machines
                .iter()
                .filter(|(_, slot)| !slot.unbooked.is_empty())
                .map(|(name, slot)| {
                    let Resources { cpus, gpus, ram } = slot.unbooked;
                    (name.to_string(), (cpus.0, gpus.0, ram.0))
                })
                .collect();
            Slots(
                kind.to_string(),
                u8::from(spot),
                grouped,
                full_names,
                unbooked,
            )
        })
        .collect();
    Some(format!("{{\"m\":{}}}", serde_json::to_string(&slots).ok()?))
}

/// Size of the punctuation and numbers that a class of machines, a prefix of names and a
/// single name take together, in bytes.
const CLASS_BYTES: usize = 40;

/// Size of the resources of unbooked tasks without the machine's name, in bytes.
const UNBOOKED_BYTES: usize = 60;

/// Returns the maximum number of bytes that one more machine may add to a zone shard's
/// compact encoding. The bound holds even if the machine is the first of its class and JSON
/// escapes every character of its name and of its type's name.
pub fn slot_bytes_bound(machine: &str, kind: &str) -> usize {
    (machine.len() + kind.len()) * 2 + CLASS_BYTES
}

/// Returns the maximum number of bytes that a zone shard's compact encoding may have while
/// machines leave it. A machine that leaves may split a range of numbers, which makes the
/// encoding longer. The bound counts each number as a range of its own.
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

/// Returns whether a zone shard's record is in the compact encoding, which is a list, while
/// the plain encoding is an object.
pub fn is_compact_zone_shard(text: &str) -> bool {
    let machines = text.split_once(':').map_or("", |(_, rest)| rest);
    machines.trim_start().starts_with('[')
}

/// Deserializes a zone shard's machines from the plain or the compact encoding.
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
            let mut slots = BTreeMap::new();
            while let Some((name, slot)) = map.next_entry()? {
                slots.insert(name, slot);
            }
            Ok(slots)
        }
        fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
            let mut slots = BTreeMap::new();
            while let Some(Slots(kind, spot, grouped, full_names, unbooked)) = seq.next_element()? {
                let numbered = grouped.iter().flat_map(|(prefix, width, numbers)| {
                    numbers
                        .iter()
                        .map(|number| join_name(prefix, *width, number))
                });
                for name in numbered.chain(full_names) {
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
                    slots.insert(name, slot);
                }
            }
            Ok(slots)
        }
    }
    deserializer.deserialize_any(SlotsVisitor)
}
