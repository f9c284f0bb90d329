//! Numbers for the names of the settings.

use std::collections::HashMap;

use crate::decision::interface::GroupId;

/// The number of a group, the same at all gateways: an FNV-1a hash, as a table of names would grow without bound.
pub fn group_id(name: &str) -> GroupId {
    const OFFSET_BASIS: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    let hash = name.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(PRIME));
    GroupId(hash)
}

/// Numbers names in the order of their first appearance.
#[derive(Default)]
pub struct Interner {
    numbers: HashMap<String, u32>,
    names: Vec<String>,
}

impl Interner {
    /// The number of a name; a new name gets the next number.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = self.names.len() as u32;
        self.numbers.insert(name.to_owned(), number);
        self.names.push(name.to_owned());
        number
    }

    /// The number of a name that was interned before.
    pub fn find(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// All names, by their numbers.
    pub fn names(&self) -> &[String] {
        &self.names
    }
}

impl<'a> FromIterator<&'a String> for Interner {
    fn from_iter<I: IntoIterator<Item = &'a String>>(names: I) -> Self {
        let mut interner = Self::default();
        for name in names {
            interner.intern(name);
        }
        interner
    }
}

/// The names that the settings define, with the numbers that the decision module uses.
pub struct NameTables {
    /// Zones, those of the settings first.
    pub zones: Interner,
    /// Kinds of machine, those of the settings first.
    pub kinds: Interner,
    /// Servers, in the order of their first appearance.
    pub servers: Interner,
    /// Classes, in the order of the settings.
    pub classes: Interner,
    /// Tenants, in the order of the settings.
    pub tenants: Interner,
}
