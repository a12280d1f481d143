//! Layout of tables: alignment, and columns that are declared with a title and a cell formatter.

use comfy_table::{CellAlignment, Table, presets};

/// A column of a table that has one line for each `Row`.
pub struct Column<Row> {
    /// Title of the column.
    pub title: &'static str,
    /// Formats the cell of a row.
    pub cell: fn(&Row) -> String,
}

/// Returns a table without borders. All columns but the first `text_columns` are aligned to the right.
pub fn new_table(header: &[&str], text_columns: usize) -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING).set_header(header.iter().copied());
    for column in table.column_iter_mut().skip(text_columns) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

/// Formats a table with a line for each row. All columns but the first `text_columns` are aligned to the right.
pub fn format_table<'a, Row: 'a>(
    columns: &[Column<Row>],
    text_columns: usize,
    rows: impl IntoIterator<Item = &'a Row>,
) -> String {
    let header: Vec<&str> = columns.iter().map(|column| column.title).collect();
    let mut table = new_table(&header, text_columns);
    for row in rows {
        table.add_row(columns.iter().map(|column| (column.cell)(row)));
    }
    table.to_string()
}
