//! Encodes and decodes the compact encoding of machine shards.
//!
//! The machines are grouped into classes of machines with the same owner, incarnation,
//! lifecycle state, machine type and spot flag. The properties of a class are written once.

use std::collections::BTreeMap;
use std::fmt;

use serde::de::{Deserializer, Error as _, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Serialize};

use super::digits::{push_number, read_number};
use super::names::{join_name, split_name};
use crate::state::records::{HeartbeatId, Machine, MachineLifecycle, MachineShard};

/// Encoded class of machines: the owner, the incarnation, the lifecycle state, the machine
/// type, the spot flag, and a list of the machines.
///
/// The list has an entry for each prefix and number of digits of the machines' names. The
/// text of an entry contains four numbers for each machine: the number in the name, the
/// fencing token, and the epoch and the sequence number of the claim heartbeat.
#[derive(Debug, Serialize, Deserialize)]
struct Members(
    String,
    u64,
    MachineLifecycle,
    String,
    u8,
    Vec<(String, usize, String)>,
);

/// Properties that the machines of a class have in common. The order of the fields determines
/// the order of the classes in the encoding.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct MemberClass<'a> {
    owner: &'a str,
    incarnation: u64,
    lifecycle: MachineLifecycle,
    kind: &'a str,
    spot: bool,
}

impl<'a> From<&'a Machine> for MemberClass<'a> {
    fn from(machine: &'a Machine) -> Self {
        MemberClass {
            owner: &machine.owner,
            incarnation: machine.incarnation,
            lifecycle: machine.lifecycle,
            kind: &machine.kind,
            spot: machine.spot,
        }
    }
}

/// Maximum size of a machine's four numbers in a machine shard's compact record, in bytes,
/// provided that the numbers have their usual lengths.
pub const MACHINE_ENTRY_BYTES: usize = 22;

/// Size of a class of machines in the compact record without its names, in bytes.
const CLASS_BYTES: usize = 60;

/// Additional size of a machine whose name has no number, without the name, in bytes.
const FULL_NAME_BYTES: usize = 8;

/// Maximum number of classes per machine type that the size bounds assume. The machines of a
/// type may have two owners or two lifecycle states at the same time, so that a class is
/// joined by up to two others.
const CLASSES_PER_TYPE: usize = 3;

/// Returns the maximum number of bytes that a machine shard's compact record may take at any
/// time with the same machines. The bound allows for growing fencing tokens and heartbeat
/// numbers, and for machines whose owners and lifecycle states come to differ.
pub fn machine_shard_bytes(
    machine_shard: &BTreeMap<String, Machine>,
    max_owner_length: usize,
) -> usize {
    let mut kinds: Vec<&str> = machine_shard
        .values()
        .map(|machine| machine.kind.as_str())
        .collect();
    kinds.sort_unstable();
    kinds.dedup();
    let kinds: usize = kinds
        .iter()
        .map(|kind| kind.len() + max_owner_length + CLASS_BYTES)
        .sum();
    let names = machine_shard.keys().map(|name| match split_name(name) {
        (name, 0, _) => name.len() + MACHINE_ENTRY_BYTES + FULL_NAME_BYTES,
        _ => MACHINE_ENTRY_BYTES,
    });
    kinds * CLASSES_PER_TYPE + names.sum::<usize>()
}

/// Returns the maximum number of bytes that one more machine may add to a machine shard's
/// compact record, even if no machine in the shard has its machine type yet.
pub fn added_machine_bytes(name: &str, kind: &str, max_owner_length: usize) -> usize {
    let name = match split_name(name) {
        (name, 0, _) => name.len() + FULL_NAME_BYTES,
        _ => 0,
    };
    MACHINE_ENTRY_BYTES + name + (kind.len() + max_owner_length + CLASS_BYTES) * CLASSES_PER_TYPE
}

/// Encodes a machine shard's record in the compact encoding.
pub fn encode_machine_shard(machine_shard: &MachineShard) -> Option<String> {
    let mut classes: BTreeMap<MemberClass, BTreeMap<(&str, usize), String>> = BTreeMap::new();
    for (name, machine) in &machine_shard.machines {
        let class = MemberClass::from(machine);
        let (prefix, width, number) = split_name(name);
        let texts = classes.entry(class).or_default();
        let text = texts.entry((prefix, width)).or_default();
        if !text.is_empty() {
            text.push(' ');
        }
        push_number(text, u64::from(number));
        for value in [
            machine.fencing_token,
            machine.claim_heartbeat.epoch,
            machine.claim_heartbeat.sequence,
        ] {
            text.push('.');
            push_number(text, value);
        }
    }
    let members: Vec<Members> = classes
        .into_iter()
        .map(|(class, texts)| {
            let texts = texts.into_iter();
            let texts = texts.map(|((prefix, width), text)| (prefix.to_string(), width, text));
            Members(
                class.owner.to_string(),
                class.incarnation,
                class.lifecycle,
                class.kind.to_string(),
                u8::from(class.spot),
                texts.collect(),
            )
        })
        .collect();
    Some(format!(
        "{{\"m\":{}}}",
        serde_json::to_string(&members).ok()?
    ))
}

/// Numbers of one machine: the number at the end of its name, and the properties that are
/// not common to its class.
struct MemberNumbers {
    number: u32,
    fencing_token: u64,
    claim_heartbeat: HeartbeatId,
}

/// Parses the numbers of one machine. Returns `None` if the text is not valid.
fn read_member(text: &str) -> Option<MemberNumbers> {
    let mut numbers = text.split('.').map(read_number);
    let mut next = || numbers.next().flatten();
    let member = MemberNumbers {
        number: u32::try_from(next()?).ok()?,
        fencing_token: next()?,
        claim_heartbeat: HeartbeatId {
            epoch: next()?,
            sequence: next()?,
        },
    };
    numbers.next().is_none().then_some(member)
}

/// Deserializes a machine shard's machines from the plain or the compact encoding.
pub fn deserialize_machines<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<BTreeMap<String, Machine>, D::Error> {
    struct MachinesVisitor;
    impl<'de> Visitor<'de> for MachinesVisitor {
        type Value = BTreeMap<String, Machine>;
        fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
            f.write_str("machines")
        }
        fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
            let mut machines = BTreeMap::new();
            while let Some((name, machine)) = map.next_entry()? {
                machines.insert(name, machine);
            }
            Ok(machines)
        }
        fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
            let mut machines = BTreeMap::new();
            while let Some(class) = seq.next_element()? {
                let Members(owner, incarnation, lifecycle, kind, spot, texts) = class;
                for (prefix, width, text) in texts {
                    for member in text.split(' ') {
                        let Some(numbers) = read_member(member) else {
                            return Err(A::Error::custom("invalid compact encoding of machines"));
                        };
                        let machine = Machine {
                            owner: owner.clone(),
                            incarnation,
                            fencing_token: numbers.fencing_token,
                            claim_heartbeat: numbers.claim_heartbeat,
                            lifecycle,
                            spot: spot != 0,
                            ..Machine::new(&kind, "")
                        };
                        machines.insert(join_name(&prefix, width, numbers.number), machine);
                    }
                }
            }
            Ok(machines)
        }
    }
    deserializer.deserialize_any(MachinesVisitor)
}
