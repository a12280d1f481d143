//! Assignment of numeric ids to names.

use std::collections::{HashMap, HashSet};

/// Assigns ids to names. An id is never assigned twice: the id of a removed name, which other code may still hold, never
/// refers to another name, and a name that is added again gets a new id without its former state.
#[derive(Default)]
pub(super) struct NameIds {
    by_name: HashMap<String, u32>,
    next_id: u32,
}

impl NameIds {
    /// Assigns the ids 0, 1 and so on to the given names.
    pub(super) fn with_names(names: &[String]) -> NameIds {
        let by_name: HashMap<String, u32> = names.iter().cloned().zip(0..).collect();
        NameIds { by_name, next_id: names.len() as u32 }
    }

    /// Returns the id of a name. A name without an id gets a new one.
    pub(super) fn get_or_assign(&mut self, name: &str) -> u32 {
        if let Some(&id) = self.by_name.get(name) {
            return id;
        }
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        self.by_name.insert(name.to_owned(), id);
        id
    }

    /// Returns the id of a name, or `None` if it has none.
    pub(super) fn get(&self, name: &str) -> Option<u32> {
        self.by_name.get(name).copied()
    }

    /// Returns whether a name has an id.
    pub(super) fn contains(&self, name: &str) -> bool {
        self.by_name.contains_key(name)
    }

    /// Removes a name. Its id is not assigned again.
    pub(super) fn remove(&mut self, name: &str) {
        self.by_name.remove(name);
    }

    /// Removes the names whose ids are not in `retained`.
    pub(super) fn retain_ids(&mut self, retained: &HashSet<u32>) {
        self.by_name.retain(|_, id| retained.contains(id));
    }

    /// Returns the names by id.
    pub(super) fn names_by_id(&self) -> HashMap<u32, String> {
        self.by_name.iter().map(|(name, id)| (*id, name.clone())).collect()
    }

    /// Returns how many names have an id.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.by_name.len()
    }
}
