//! Names as small numbers, so that planning compares and copies no text.

use std::rc::Rc;

use foldhash::HashMap;

/// Names as small numbers, so that planning compares and copies no text.
#[derive(Debug, Default)]
pub struct Names {
    numbers: HashMap<Rc<str>, u32>,
    names: Vec<Rc<str>>,
}

impl Names {
    /// The number of a name, which is given one if it has none.
    pub fn number(&mut self, name: &str) -> u32 {
        if let Some(n) = self.numbers.get(name) {
            return *n;
        }
        let n = self.names.len() as u32;
        let name: Rc<str> = name.into();
        self.numbers.insert(name.clone(), n);
        self.names.push(name);
        n
    }
    /// The number of a name, if it has one.
    pub fn find(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }
    /// The name with this number; empty if there is none.
    pub fn name(&self, number: u32) -> Rc<str> {
        self.names
            .get(number as usize)
            .cloned()
            .unwrap_or_else(|| "".into())
    }
    /// All names in the order of their numbers.
    pub fn all(&self) -> impl Iterator<Item = &str> {
        self.names.iter().map(|n| &**n)
    }
    /// How many names there are.
    pub fn len(&self) -> usize {
        self.names.len()
    }
    /// Whether there are no names.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
