//! Numbers that identify the names of the settings in the decision module.

use std::collections::HashMap;

use crate::decision::interface::GroupId;

/// Returns the number of a group, which is the 32-bit FNV-1a hash of its name. It is the same at all
/// gateways, and needs no table of names, which would grow without bound.
pub fn group_id(name: &str) -> GroupId {
    const OFFSET_BASIS: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    let hash = name.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(PRIME));
    GroupId(hash)
}

/// Table that assigns numbers to names in the order of their first occurrence, from zero.
#[derive(Default)]
pub struct Interner {
    numbers: HashMap<String, u32>,
    names: Vec<String>,
}

impl Interner {
    /// Returns the number of a name. A new name is assigned the next number.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = self.names.len() as u32;
        self.numbers.insert(name.to_owned(), number);
        self.names.push(name.to_owned());
        number
    }

    /// Returns the number of a name; `None` if the name has not been interned.
    pub fn find(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// Returns all names in the order of their numbers.
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

/// Tables of names. Each name has a number, which the decision module uses instead of the name.
pub struct NameTables {
    /// Names of zones. Those that the settings define are first.
    pub zones: Interner,
    /// Names of machine kinds. Those that the settings define are first.
    pub kinds: Interner,
    /// Names of servers, in the order of their first occurrence.
    pub servers: Interner,
    /// Names of classes, in the order of the settings.
    pub classes: Interner,
    /// Names of tenants, in the order of the settings.
    pub tenants: Interner,
}
