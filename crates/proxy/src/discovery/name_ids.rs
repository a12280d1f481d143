//! Numeric ids for names.

use std::collections::{HashMap, HashSet};

/// Assigns ids to names. No id is assigned twice: what still holds the id of a name that was removed cannot mistake
/// another one for it, and a name that comes back gets a new id, with none of its former state.
#[derive(Default)]
pub(super) struct NameIds {
    by_name: HashMap<String, u32>,
    next_id: u32,
}

impl NameIds {
    /// The given names have the ids 0, 1 and so on.
    pub(super) fn with_names(names: &[String]) -> NameIds {
        let by_name: HashMap<String, u32> = names.iter().cloned().zip(0..).collect();
        NameIds { by_name, next_id: names.len() as u32 }
    }

    /// The id of a name; a new one if it has none.
    pub(super) fn get_or_assign(&mut self, name: &str) -> u32 {
        if let Some(&id) = self.by_name.get(name) {
            return id;
        }
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        self.by_name.insert(name.to_owned(), id);
        id
    }

    pub(super) fn get(&self, name: &str) -> Option<u32> {
        self.by_name.get(name).copied()
    }

    pub(super) fn contains(&self, name: &str) -> bool {
        self.by_name.contains_key(name)
    }

    pub(super) fn remove(&mut self, name: &str) {
        self.by_name.remove(name);
    }

    /// Removes the names whose ids are not in `kept`.
    pub(super) fn retain_ids(&mut self, kept: &HashSet<u32>) {
        self.by_name.retain(|_, id| kept.contains(id));
    }

    /// The names by their ids.
    pub(super) fn names_by_id(&self) -> HashMap<u32, String> {
        self.by_name.iter().map(|(name, id)| (*id, name.clone())).collect()
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.by_name.len()
    }
}
