//! Checks that the files, modules, tests and types that the documentation names exist: stale names mislead readers.

use std::path::{Path, PathBuf};

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the quoted paths of a page: `crates/...`, `docs/...`, `deploy/...`, without a trailing `::item` or wildcard.
fn quoted_paths(page: &str) -> Vec<String> {
    let quoted = page.split('`').skip(1).step_by(2);
    quoted
        .filter(|text| ["crates/", "docs/", "deploy/"].iter().any(|directory| text.starts_with(directory)))
        .filter(|text| !text.contains([' ', '*', '{', '<']))
        .map(|text| text.split("::").next().unwrap_or(text).trim_end_matches('/').to_owned())
        .collect()
}

/// Returns the quoted modules of the proxy, in the form that the architecture page uses, such as `dispatch/timers.rs`.
fn quoted_proxy_modules(page: &str) -> Vec<String> {
    let directories =
        ["process", "admin", "downstream", "upstream", "dispatch", "discovery", "lifecycle", "limits"];
    let quoted = page.split('`').skip(1).step_by(2);
    let is_module =
        |text: &&str| directories.iter().any(|directory| text.starts_with(&format!("{directory}/")));
    quoted.filter(is_module).map(str::to_owned).collect()
}

#[test]
fn every_path_that_a_page_names_exists() {
    let mut missing = Vec::new();
    for page in [
        "README.md",
        "CONTRIBUTING.md",
        "docs/architecture.md",
        "docs/operations.md",
        "docs/race-conditions.md",
        "docs/model.md",
    ] {
        let text = std::fs::read_to_string(repository_root().join(page))
            .unwrap_or_else(|error| panic!("{page}: {error}"));
        let named = quoted_paths(&text);
        missing.extend(
            named.into_iter().filter(|path| !repository_root().join(path).exists()).map(|path| (page, path)),
        );
        let modules = quoted_proxy_modules(&text);
        let proxy = repository_root().join("crates/proxy/src");
        missing
            .extend(modules.into_iter().filter(|path| !proxy.join(path).exists()).map(|path| (page, path)));
    }
    assert!(missing.is_empty(), "pages name files that do not exist: {missing:?}");
}

#[test]
fn the_architecture_page_names_every_crate_and_every_module_directory_of_the_proxy() {
    let page = std::fs::read_to_string(repository_root().join("docs/architecture.md"))
        .expect("docs/architecture.md is readable");
    for directory in ["crates", "crates/proxy/src"] {
        for entry in std::fs::read_dir(repository_root().join(directory)).expect("the directory is readable")
        {
            let entry = entry.expect("the directory entry is readable");
            if entry.file_type().expect("the type of the entry is known").is_dir() {
                let name = entry.file_name().into_string().expect("the name of the directory is UTF-8");
                assert!(
                    page.contains(&format!("`{directory}/{name}`")),
                    "the page does not name {directory}/{name}"
                );
            }
        }
    }
}

/// Appends all source files below the directory to `text`.
fn append_sources(directory: &Path, text: &mut String) {
    for entry in std::fs::read_dir(directory).expect("the directory is readable") {
        let path = entry.expect("the directory entry is readable").path();
        if path.is_dir() {
            append_sources(&path, text);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            text.push_str(&std::fs::read_to_string(&path).expect("the source file is readable"));
        }
    }
}

#[test]
fn every_test_that_the_page_of_race_conditions_names_exists() {
    let page = std::fs::read_to_string(repository_root().join("docs/race-conditions.md"))
        .expect("docs/race-conditions.md is readable");
    let mut code = String::new();
    append_sources(&repository_root().join("crates"), &mut code);
    let word_count = |text: &str| text.split('_').count();
    let is_test = |text: &&str| {
        let is_name_byte = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'_';
        text.bytes().all(is_name_byte) && word_count(text) >= 4
    };
    let named: Vec<&str> = page.split('`').skip(1).step_by(2).filter(is_test).collect();
    assert!(named.len() > 40, "the page names {} tests", named.len());
    let missing: Vec<&&str> = named.iter().filter(|name| !code.contains(&format!("fn {name}("))).collect();
    assert!(missing.is_empty(), "the page names tests that do not exist: {missing:?}");
}

/// Returns the types in the third column of the tables of a page.
fn glossary_types(page: &str) -> Vec<String> {
    let cells = page.lines().filter_map(|line| line.split(" | ").nth(2));
    let names = cells.flat_map(|cell| cell.split('`').skip(1).step_by(2));
    names.map(str::to_owned).collect()
}

#[test]
fn every_type_that_the_glossary_names_is_defined() {
    let page = std::fs::read_to_string(repository_root().join("docs/glossary.md"))
        .expect("docs/glossary.md is readable");
    let mut code = String::new();
    append_sources(&repository_root().join("crates"), &mut code);
    let defines = |forms: &[String]| forms.iter().any(|form| code.contains(form));
    let is_defined = |name: &str| {
        let (owner, member) = name.split_once("::").unwrap_or((name, ""));
        // The character after the name excludes longer names that begin with it.
        let owner_forms: Vec<String> = ["struct", "enum", "trait"]
            .iter()
            .flat_map(|kind| [" ", "<", "(", ";", ":"].map(|after| format!("{kind} {owner}{after}")))
            .collect();
        let member_forms = [
            format!("fn {member}("),
            format!("pub {member}:"),
            format!("    {member},\n"),
            format!("    {member} {{\n"),
        ];
        defines(&owner_forms) && (member.is_empty() || defines(&member_forms))
    };
    let named = glossary_types(&page);
    assert!(named.len() > 20, "the page names {} types", named.len());
    let missing: Vec<&String> = named.iter().filter(|name| !is_defined(name)).collect();
    assert!(missing.is_empty(), "the glossary names types that do not exist: {missing:?}");
}
