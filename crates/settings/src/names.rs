//! Interned names: the policy works with small integers, the platform with names.

use std::collections::HashMap;

/// A table of names with an id for each, counted from 0 in the order of their first mention.
#[derive(Default)]
pub struct Names {
    id_by_name: HashMap<String, u32>,
    names: Vec<String>,
}

impl Names {
    /// Returns the id of `name`; a name that is not in the table yet is added to it.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(&id) = self.id_by_name.get(name) {
            return id;
        }
        let id = self.names.len() as u32;
        self.id_by_name.insert(name.to_owned(), id);
        self.names.push(name.to_owned());
        id
    }

    /// All names; the id of a name is its index.
    pub fn as_slice(&self) -> &[String] {
        &self.names
    }

    /// Returns the name that has this id.
    ///
    /// # Panics
    /// If no name has it.
    pub fn name(&self, id: u32) -> &str {
        &self.names[id as usize]
    }
}
