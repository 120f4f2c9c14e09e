//! Assigns numbers to names, so that planning compares and copies small numbers instead of
//! strings.

use std::rc::Rc;

use foldhash::HashMap;

/// Table that assigns consecutive numbers to names.
#[derive(Debug, Default)]
pub struct NameTable {
    numbers: HashMap<Rc<str>, u32>,
    names: Vec<Rc<str>>,
}

impl NameTable {
    /// Returns the number of a name, and assigns one if the name has none.
    pub fn number(&mut self, name: &str) -> u32 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.names.len() as u32;
        let name: Rc<str> = name.into();
        self.numbers.insert(name.clone(), number);
        self.names.push(name);
        number
    }
    /// Returns the number of a name, if it has one.
    pub fn find(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }
    /// Returns the name that `number` was assigned to, or an empty string if there is none.
    pub fn name(&self, number: u32) -> Rc<str> {
        self.names
            .get(number as usize)
            .cloned()
            .unwrap_or_else(|| "".into())
    }
    /// Returns all names in the order of their numbers.
    pub fn all(&self) -> impl Iterator<Item = &str> {
        self.names.iter().map(|name| &**name)
    }
    /// Returns the number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }
    /// Returns whether there are no names.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
