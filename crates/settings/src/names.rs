//! Interned names: the platform identifies things by name, the policy by a small integer.

use std::collections::HashMap;

/// A table of names with consecutive ids from 0, in the order of addition.
#[derive(Default)]
pub struct Names {
    id_by_name: HashMap<String, u32>,
    names: Vec<String>,
}

impl Names {
    /// Returns the id of `name`, and adds the name if it is not in the table.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(&id) = self.id_by_name.get(name) {
            return id;
        }
        let id = self.names.len() as u32;
        self.id_by_name.insert(name.to_owned(), id);
        self.names.push(name.to_owned());
        id
    }

    /// Returns all names, each at the index that is its id.
    pub fn as_slice(&self) -> &[String] {
        &self.names
    }

    /// Returns the name with the id.
    ///
    /// # Panics
    ///
    /// Panics if no name has the id.
    pub fn name(&self, id: u32) -> &str {
        &self.names[id as usize]
    }
}
