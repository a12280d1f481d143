//! The table "Log lines" of `docs/operations.md` lists exactly the log messages in the sources of the proxy.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// The code that precedes the literal of a message: the macro, and the writer thread's line about dropped lines.
const MESSAGE_STARTS: [&str; 2] = ["log_line!(", "write_now(&format!("];
/// The heading of the table's section.
const SECTION: &str = "\n## Log lines\n";

/// Returns the content of the string literal at the start of `code`, which may be preceded by white space.
fn leading_literal(code: &str) -> String {
    let code = code.trim_start();
    let mut characters =
        code.strip_prefix('"').expect("a message is a string literal, so that the table can list it").chars();
    let mut literal = String::new();
    while let Some(character) = characters.next() {
        match character {
            '"' => return literal,
            '\\' => {
                assert_eq!(
                    characters.next(),
                    Some('\n'),
                    "a message has no escape except a line continuation: {literal}"
                );
                characters = characters.as_str().trim_start().chars();
            }
            plain => literal.push(plain),
        }
    }
    panic!("the string literal is not terminated: {literal}");
}

/// Returns a message whose placeholders have names and no format specifications: `{waited:?}` becomes `{waited}`.
fn without_formats(message: &str) -> String {
    let mut plain = String::new();
    let mut in_format = false;
    for character in message.chars() {
        in_format = match character {
            ':' if plain.rfind('{') > plain.rfind('}') => true,
            '}' => false,
            _ => in_format,
        };
        if !in_format {
            plain.push(character);
        }
    }
    plain
}

/// Returns the log messages in one source file.
fn messages_in(source: &str) -> Vec<String> {
    let calls = MESSAGE_STARTS.iter().flat_map(|start| source.split(start).skip(1));
    calls.map(|call| without_formats(&leading_literal(call))).collect()
}

/// Returns the log messages in all source files of a folder and its subfolders, except unit tests.
fn messages_of_folder(folder: &Path) -> Vec<String> {
    let mut messages = Vec::new();
    for entry in fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the folder entry can be read").path();
        if path.is_dir() {
            messages.extend(messages_of_folder(&path));
        } else if path.file_name().is_some_and(|name| name != "tests.rs") {
            messages.extend(messages_in(&fs::read_to_string(&path).expect("the source file can be read")));
        }
    }
    messages
}

/// Returns the lines in the first column of the table.
fn documented_lines() -> Vec<String> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operations.md");
    let page = fs::read_to_string(page).expect("the page can be read");
    let (_, section) = page.split_once(SECTION).expect("the page has the section");
    let section = section.split("\n## ").next().expect("a split has a first part");
    let rows = section.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.map(|row| row.split_once("` |").expect("the first column ends").0.to_owned()).collect()
}

#[test]
fn the_operations_page_lists_exactly_the_log_lines_of_the_sources() {
    let in_sources = messages_of_folder(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"));
    let documented = documented_lines();
    let unique: BTreeSet<_> = documented.iter().collect();
    assert_eq!(unique.len(), documented.len(), "the table has a row twice");
    let missing: Vec<_> = in_sources.iter().filter(|message| !unique.contains(message)).collect();
    assert!(missing.is_empty(), "in the sources, but not in the table: {missing:#?}");
    let obsolete: Vec<_> = documented.iter().filter(|line| !in_sources.contains(line)).collect();
    assert!(obsolete.is_empty(), "in the table, but in no source file: {obsolete:#?}");
    assert!(documented.len() > 20, "the table has more than 20 log lines");
}

#[test]
fn each_log_line_begins_with_its_component() {
    for line in messages_of_folder(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src")) {
        let (component, event) = line.split_once(": ").unwrap_or_default();
        let is_plain = |character: char| character.is_ascii_lowercase() || " -".contains(character);
        assert!(!component.is_empty() && component.chars().all(is_plain), "{line}");
        assert!(!event.is_empty(), "{line}");
    }
}
