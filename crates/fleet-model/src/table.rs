//! Tables that are each indexed by a dedicated type, so that an index of one table cannot be used with another.

use std::iter::Map;
use std::marker::PhantomData;
use std::ops::{Index, IndexMut, Range};

/// An index of a [`Table`].
pub(crate) trait TableIndex: Copy {
    /// Returns the index of the entry at a position.
    fn from_position(position: usize) -> Self;

    /// Returns the position of the entry.
    fn position(self) -> usize;
}

impl TableIndex for u32 {
    fn from_position(position: usize) -> u32 {
        position as u32
    }

    fn position(self) -> usize {
        self as usize
    }
}

/// Defines an index type. It is displayed as a number.
macro_rules! index_type {
    ($(#[$attributes:meta])* $name:ident) => {
        $(#[$attributes])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub(crate) struct $name(u32);

        impl $crate::table::TableIndex for $name {
            fn from_position(position: usize) -> $name {
                $name(position as u32)
            }

            fn position(self) -> usize {
                self.0 as usize
            }
        }

        impl From<$name> for u64 {
            fn from(index: $name) -> u64 {
                u64::from(index.0)
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

pub(crate) use index_type;

/// A growing list that is indexed by `I`.
pub(crate) struct Table<I, T> {
    entries: Vec<T>,
    index: PhantomData<I>,
}

impl<I, T> Default for Table<I, T> {
    fn default() -> Table<I, T> {
        Table::from(Vec::new())
    }
}

impl<I, T> From<Vec<T>> for Table<I, T> {
    fn from(entries: Vec<T>) -> Table<I, T> {
        Table { entries, index: PhantomData }
    }
}

impl<I: TableIndex, T> Table<I, T> {
    /// Appends an entry and returns its index.
    pub fn push(&mut self, entry: T) -> I {
        let index = self.next_index();
        self.entries.push(entry);
        index
    }

    /// Returns the index that the next entry will have.
    pub fn next_index(&self) -> I {
        I::from_position(self.entries.len())
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the indexes of all entries. The iterator does not borrow the table.
    pub fn indexes(&self) -> Map<Range<usize>, fn(usize) -> I> {
        (0..self.entries.len()).map(I::from_position)
    }

    /// Returns all entries in the order of their indexes.
    pub fn as_slice(&self) -> &[T] {
        &self.entries
    }

    /// Iterates over all entries in the order of their indexes.
    pub fn iter(&self) -> std::slice::Iter<'_, T> {
        self.entries.iter()
    }

    /// Iterates mutably over all entries, in the order of their indexes.
    pub fn iter_mut(&mut self) -> std::slice::IterMut<'_, T> {
        self.entries.iter_mut()
    }
}

impl<I: TableIndex, T> Index<I> for Table<I, T> {
    type Output = T;

    fn index(&self, index: I) -> &T {
        &self.entries[index.position()]
    }
}

impl<I: TableIndex, T> IndexMut<I> for Table<I, T> {
    fn index_mut(&mut self, index: I) -> &mut T {
        &mut self.entries[index.position()]
    }
}
