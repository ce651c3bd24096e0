//! The pages name only files, packages and types that exist, and every log line has its row.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Pages that are checked for files, packages and types.
const PAGES: [&str; 11] = [
    "README.md",
    "DEVELOPERS.md",
    "CONTRIBUTING.md",
    "docs/architecture.md",
    "docs/configuration.md",
    "docs/glossary.md",
    "docs/on-call.md",
    "docs/platform.md",
    "docs/operators/amqp.md",
    "docs/operators/duties.md",
    "docs/operators/fleet.md",
];
/// Where a shortened path may begin.
const ROOTS: [&str; 2] = ["", "crates/loomflow-server/src"];
/// Files that operators write themselves.
const OPERATORS_FILES: [&str; 2] = ["options.yaml", "credentials.yaml"];
/// Names in code that are not defined in this repository.
const FOREIGN: [&str; 4] = ["NotOpened", "Malformed", "BUSY", "DOWN"];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read(page: &str) -> String {
    std::fs::read_to_string(root().join(page)).unwrap_or_else(|error| panic!("{page}: {error}"))
}

/// All Rust files below a folder.
fn sources(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("an entry").path()) {
        if entry.is_dir() && !entry.ends_with("target") {
            files.extend(sources(&entry));
        } else if entry.extension().is_some_and(|extension| extension == "rs") {
            files.push(entry);
        }
    }
    files
}

/// The texts between single backticks of a page, code blocks aside.
fn quoted(page: &str) -> Vec<String> {
    let lines = page.lines().filter(|line| !line.starts_with("    "));
    lines.flat_map(|line| line.split('`').skip(1).step_by(2).map(str::to_owned).collect::<Vec<_>>()).collect()
}

fn is_word(text: &str) -> bool {
    !text.is_empty() && text.chars().all(|c| c.is_ascii_alphanumeric() || c == '_')
}

/// Names of types and variants: they begin with a capital and have a small letter.
fn is_type_name(text: &str) -> bool {
    is_word(text)
        && text.starts_with(|c: char| c.is_ascii_uppercase())
        && text.contains(|c: char| c.is_ascii_lowercase())
}

/// Every identifier that the sources define or use.
fn identifiers() -> BTreeSet<String> {
    let files = ["src", "crates"].into_iter().flat_map(|folder| sources(&root().join(folder)));
    let mut all = BTreeSet::new();
    for file in files {
        let text = std::fs::read_to_string(file).expect("a source file");
        let words = text.split(|c: char| !(c.is_ascii_alphanumeric() || c == '_'));
        all.extend(words.filter(|word| !word.is_empty()).map(str::to_owned));
    }
    all
}

#[test]
fn files_and_packages_that_pages_name_exist() {
    for page in PAGES {
        for text in quoted(&read(page)) {
            let is_package =
                text.starts_with("loomflow-") && text.chars().all(|c| c.is_ascii_lowercase() || c == '-');
            if is_package {
                assert!(root().join("crates").join(&text).is_dir(), "{page}: there is no package {text}");
            }
            let endings = [".rs", ".md", ".toml", ".yaml"];
            let is_file = endings.iter().any(|ending| text.ends_with(ending))
                && !text.contains(' ')
                && !OPERATORS_FILES.contains(&text.as_str());
            let folder = Path::new(page).parent().expect("a folder").to_str().expect("a path");
            let mut places = ROOTS.iter().copied().chain([folder]);
            let mut exists = || places.any(|place| root().join(place).join(&text).exists());
            assert!(!is_file || exists(), "{page}: there is no file {text}");
        }
    }
}

#[test]
fn types_and_functions_that_pages_name_exist() {
    let known = identifiers();
    for page in ["docs/architecture.md", "docs/glossary.md"] {
        for text in quoted(&read(page)) {
            let parts: Vec<&str> = text.split("::").collect();
            let is_code = parts.iter().all(|part| is_word(part))
                && (parts.len() > 1 || is_type_name(&text) || text.contains('_'));
            let unknown = parts.iter().find(|part| !known.contains(**part) && !FOREIGN.contains(part));
            assert!(!is_code || unknown.is_none(), "{page}: {text} names nothing in the sources");
        }
    }
}

/// The arguments of a macro call: the text up to the parenthesis that closes it.
fn arguments(call: &str) -> &str {
    let mut depth = 1;
    let mut is_quoted = false;
    for (at, c) in call.char_indices() {
        match c {
            '"' => is_quoted = !is_quoted,
            '(' if !is_quoted => depth += 1,
            ')' if !is_quoted => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return &call[..at];
        }
    }
    panic!("a macro call without an end: {call}");
}

/// The message of each `log!` in a source text: its last string literal.
fn log_messages(source: &str) -> Vec<String> {
    let mut messages = Vec::new();
    for call in source.split("log!(").skip(1) {
        let literals: Vec<&str> = arguments(call).split('"').collect();
        if let Some(message) = literals.iter().rev().nth(1) {
            messages.push((*message).to_owned());
        }
    }
    messages
}

#[test]
fn each_log_line_of_the_server_has_its_row() {
    let page = read("docs/on-call.md");
    let rows: Vec<&str> = page.lines().filter(|line| line.starts_with("| `")).collect();
    let mut count = 0;
    let files = sources(&root().join("crates/loomflow-server/src"));
    for file in files.iter().filter(|file| !file.ends_with("log.rs")) {
        let source = std::fs::read_to_string(file).expect("a source file");
        // A message that is a placeholder comes from a state machine, whose page has it.
        for message in log_messages(&source).into_iter().filter(|message| message != "{text}") {
            count += 1;
            let row = format!("| `{message}` |");
            assert!(
                rows.iter().any(|line| line.starts_with(&row)),
                "{}: no row for {message:?}",
                file.display()
            );
        }
    }
    assert!(count > 20, "{count} log lines were found");
}

/// Inline test modules are for test files.
#[test]
fn tests_are_in_test_files() {
    for file in ["src", "crates"].into_iter().flat_map(|folder| sources(&root().join(folder))) {
        let text = std::fs::read_to_string(&file).expect("a source file");
        let inline = text.lines().find(|line| line.contains("mod tests {"));
        assert!(inline.is_none(), "{}: {}", file.display(), inline.unwrap_or_default());
    }
}
