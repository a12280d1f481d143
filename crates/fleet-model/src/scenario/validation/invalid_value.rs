//! Invalid values of a scenario, and the tables of the file whose keys are validated.

use crate::scenario::ScenarioError;
use crate::scenario::error::Location;

/// Result of a validation: the first invalid value that was found.
pub(in crate::scenario) type Validation = Result<(), InvalidValue>;

/// A step on the path to a value of the file.
#[derive(Clone, Debug)]
enum PathStep {
    /// The key of a table.
    Key(&'static str),
    /// The index of an array's entry, from 0.
    Entry(usize),
}

/// A value of a scenario that is out of range or contradicts another one.
#[derive(Debug)]
pub(in crate::scenario) struct InvalidValue {
    path: Vec<PathStep>,
    problem: &'static str,
}

impl InvalidValue {
    /// Returns the error for a scenario that was not read from a file.
    pub fn without_file(self) -> ScenarioError {
        self.into_error(Location::default())
    }

    /// Returns the error for a scenario that was read from `text`, with the line of the value. If the file lacks the
    /// key, the line is that of the closest table around it.
    pub fn in_file(self, text: &str) -> ScenarioError {
        let location = self.locate(text);
        self.into_error(location)
    }

    fn into_error(self, location: Location) -> ScenarioError {
        let steps: Vec<String> = self
            .path
            .iter()
            .map(|step| match step {
                PathStep::Key(key) => format!(".{key}"),
                PathStep::Entry(index) => format!("[{index}]"),
            })
            .collect();
        let key = steps.concat().trim_start_matches('.').to_owned();
        ScenarioError::InvalidValue { location, key, problem: self.problem }
    }

    fn locate(&self, text: &str) -> Location {
        let Ok(document) = toml::de::DeTable::parse(text) else { return Location::default() };
        let mut offset = 0;
        let mut value: Option<&toml::de::DeValue<'_>> = None;
        for step in &self.path {
            let next = match (step, value) {
                (PathStep::Key(key), None) => document.get_ref().get(*key),
                (PathStep::Key(key), Some(value)) => value.as_table().and_then(|table| table.get(*key)),
                (PathStep::Entry(index), Some(value)) => value.as_array().and_then(|list| list.get(*index)),
                (PathStep::Entry(_), None) => None,
            };
            let Some(next) = next else { break };
            offset = next.span().start;
            value = Some(next.get_ref());
        }
        Location::of_offset(text, offset)
    }
}

/// A table of the file whose keys are validated.
pub(super) struct Table {
    path: Vec<PathStep>,
}

impl Table {
    /// Returns the table that contains all others.
    pub fn root() -> Table {
        Table { path: Vec::new() }
    }

    /// Returns the table, or the array of tables, with this key.
    pub fn named(key: &'static str) -> Table {
        Table { path: vec![PathStep::Key(key)] }
    }

    /// Returns an entry of an array of tables. Index 0 is the first `[[key]]`.
    pub fn entry(key: &'static str, index: usize) -> Table {
        Table { path: vec![PathStep::Key(key), PathStep::Entry(index)] }
    }

    /// Returns the table `inner` in an entry of an array of tables.
    pub fn inner(key: &'static str, index: usize, inner: &'static str) -> Table {
        let mut table = Table::entry(key, index);
        table.path.push(PathStep::Key(inner));
        table
    }

    /// Requires that the value of `key` is valid.
    ///
    /// # Errors
    ///
    /// `valid` is false. The error names the key and the problem.
    pub fn require(&self, valid: bool, key: &'static str, problem: &'static str) -> Validation {
        if valid { Ok(()) } else { Err(self.invalid_value(&[PathStep::Key(key)], problem)) }
    }

    /// Requires that an entry of the list at `key` is valid.
    ///
    /// # Errors
    ///
    /// `valid` is false. The error names the entry and the problem.
    pub fn require_entry(
        &self,
        valid: bool,
        key: &'static str,
        index: usize,
        problem: &'static str,
    ) -> Validation {
        let steps = [PathStep::Key(key), PathStep::Entry(index)];
        if valid { Ok(()) } else { Err(self.invalid_value(&steps, problem)) }
    }

    /// Requires a condition that concerns several keys of the table.
    ///
    /// # Errors
    ///
    /// `valid` is false. The error names the table and the problem.
    pub fn require_table(&self, valid: bool, problem: &'static str) -> Validation {
        if valid { Ok(()) } else { Err(self.invalid_value(&[], problem)) }
    }

    fn invalid_value(&self, steps: &[PathStep], problem: &'static str) -> InvalidValue {
        let mut path = self.path.clone();
        path.extend_from_slice(steps);
        InvalidValue { path, problem }
    }
}
