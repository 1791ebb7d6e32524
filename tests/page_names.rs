//! The pages against the tree: every path, file and name that they give exists, and the pages name
//! every event that a gateway logs.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// Folders of the tree that pages name paths in.
const FOLDERS: [&str; 7] = [
    "src", "tests", "platform", "benches", "deploy", "docs", ".ci",
];

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn files_below(folder: &Path, ending: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    let Ok(entries) = std::fs::read_dir(folder) else {
        return found;
    };
    for entry in entries {
        let path = entry.unwrap().path();
        if path.is_dir() {
            found.extend(files_below(&path, ending));
        } else if path.to_string_lossy().ends_with(ending) {
            found.push(path);
        }
    }
    found
}

/// The pages by name.
fn pages() -> BTreeMap<String, String> {
    let mut files = files_below(&root().join("docs"), ".md");
    files.push(root().join("README.md"));
    files.push(root().join("CONTRIBUTING.md"));
    let read = |path: PathBuf| {
        let name = path.strip_prefix(root()).unwrap().display().to_string();
        (name, std::fs::read_to_string(path).unwrap())
    };
    files.into_iter().map(read).collect()
}

fn sources(folders: &[&str]) -> String {
    let files = folders
        .iter()
        .flat_map(|folder| files_below(&root().join(folder), ".rs"));
    files
        .map(|path| std::fs::read_to_string(path).unwrap())
        .collect()
}

/// Every word of a text that is made of these characters.
fn words(text: &str, is_part: impl Fn(char) -> bool) -> BTreeSet<&str> {
    text.split(|c: char| !is_part(c))
        .map(|word| word.trim_matches(['.', '/', '-', ':']))
        .filter(|word| !word.is_empty())
        .collect()
}

/// What stands between single backticks.
fn quoted(text: &str) -> Vec<&str> {
    let lines = text.lines().filter(|line| !line.starts_with("    "));
    lines
        .flat_map(|line| line.split('`').skip(1).step_by(2))
        .collect()
}

fn identifiers(text: &str) -> BTreeSet<&str> {
    words(text, |c| c.is_ascii_alphanumeric() || c == '_')
}

#[test]
fn paths_exist() {
    let mut missing = Vec::new();
    for (page, text) in pages() {
        let is_path = |c: char| c.is_ascii_alphanumeric() || "_./-".contains(c);
        for word in words(&text, is_path) {
            let first = word.split('/').next().unwrap();
            let is_ours = word.contains('/') && FOLDERS.contains(&first);
            if is_ours && !root().join(word).exists() {
                missing.push(format!("{page}: {word}"));
            }
        }
    }
    assert!(missing.is_empty(), "{missing:#?}");
}

#[test]
fn files_exist() {
    let mut known: BTreeSet<String> = BTreeSet::new();
    for folder in FOLDERS {
        for ending in [".rs", ".md", ".toml", ".env"] {
            let files = files_below(&root().join(folder), ending);
            known.extend(
                files
                    .iter()
                    .map(|path| path.file_name().unwrap().to_string_lossy().into_owned()),
            );
        }
    }
    let mut missing = Vec::new();
    for (page, text) in pages() {
        for word in words(&text, |c| c.is_ascii_alphanumeric() || "_.".contains(c)) {
            if word.ends_with(".rs") && !known.contains(word) {
                missing.push(format!("{page}: {word}"));
            }
        }
    }
    assert!(missing.is_empty(), "{missing:#?}");
}

#[test]
fn names_exist() {
    let sources = sources(&["src", "platform", "tests", "benches"]);
    let mut known = identifiers(&sources);
    let tests = files_below(&root().join("tests"), ".rs");
    let stems: Vec<String> = tests
        .iter()
        .map(|path| path.file_stem().unwrap().to_string_lossy().into_owned())
        .collect();
    known.extend(stems.iter().map(String::as_str));
    let mut missing = Vec::new();
    for (page, text) in pages() {
        for name in quoted(&text) {
            // The page of the structure gives single names too, as they stand in the code.
            let is_name = name.contains("::") || page.ends_with("ARCHITECTURE.md");
            if !is_name || name.contains([' ', '/', '.']) || name.starts_with('-') {
                continue;
            }
            let unknown = identifiers(name)
                .into_iter()
                .find(|part| !known.contains(part));
            if let Some(part) = unknown {
                missing.push(format!("{page}: {name} ({part})"));
            }
        }
    }
    assert!(missing.is_empty(), "{missing:#?}");
}

/// Events that a source text logs.
fn events(sources: &str) -> BTreeSet<&str> {
    let rest = sources.split("event = \"").skip(1);
    rest.filter_map(|rest| rest.split('"').next()).collect()
}

#[test]
fn events_exist() {
    let pages = pages();
    let text = &pages["docs/OPERATIONS.md"];
    let all = sources(&["src", "platform"]);
    let known = events(&all);
    let rows = text.lines().skip_while(|line| !line.starts_with("| event"));
    let rows = rows.filter(|line| line.starts_with("| `") && !line.contains('='));
    let mut wrong = Vec::new();
    for row in rows {
        let first = row.split('|').nth(1).unwrap();
        let is_refusal = row.split('|').nth(2).is_some_and(|cell| {
            cell.trim()
                .chars()
                .all(|c| c.is_ascii_digit() || c == ',' || c == ' ')
                && !cell.trim().is_empty()
        });
        if is_refusal {
            continue;
        }
        for event in quoted(first) {
            if !known.contains(event) {
                wrong.push(event);
            }
        }
    }
    assert!(
        wrong.is_empty(),
        "on the page, and logged nowhere: {wrong:?}"
    );
    let gateway = sources(&["src/gateway", "src/store", "src/net", "platform"]);
    let untold: Vec<&str> = events(&gateway)
        .into_iter()
        .filter(|event| !text.contains(&format!("`{event}`")))
        .collect();
    assert!(untold.is_empty(), "logged, and not on the page: {untold:?}");
}
