//! The pages against the sources: they name only files, packages and identifiers that exist, each log line has its row, and
//! tests are in test files.

mod repository;

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use repository::{read, root, rust_files};

/// Folders of pages; every page in them is checked, but for [`HISTORY`].
const PAGE_FOLDERS: [&str; 5] = ["", "docs", "docs/design", "docs/operators", "deploy/sites"];
/// Pages that record what was, in the words of their time.
const HISTORY: [&str; 3] = ["CHANGELOG.md", "docs/results.md", "docs/ROADMAP.md"];
/// Where a shortened path may begin.
const ROOTS: [&str; 2] = ["", "crates/loomflow-server/src"];
/// Folders of the repository that a path may begin with.
const FOLDERS: [&str; 6] = ["src/", "crates/", "docs/", "tests/", "scripts/", "deploy/"];
/// Files that operators write themselves.
const OPERATORS_FILES: [&str; 2] = ["options.yaml", "credentials.yaml"];
/// Endings of the files that pages name.
const FILE_ENDINGS: [&str; 6] = [".rs", ".md", ".toml", ".yaml", ".lock", ".txt"];
/// Names that no source defines: the page that may name them, the reason, the names.
const FOREIGN: [(&str, &str, &str); 8] = [
    ("DEVELOPERS.md", "names of the projects that serve as models", "load_shed Overloaded PeakEwma quinn"),
    (
        "docs/design/wire.md",
        "keys of the simulator's wire that the adapter ignores",
        "Clients MarksRetry Family Tiers MyNumber Localities Readiness ScoreParts CpuUsPerRequest CpuUsPerS \
         LateFail Waste Origin Reporting How Names Fraction inline on_probe",
    ),
    ("docs/design/wire.md", "actions of the simulator's wire that are never sent", "JOURNAL_LINE GIVE_IN"),
    (
        "docs/design/fleet.md",
        "libraries that were weighed and not chosen",
        "memberlist chitchat openraft fjall",
    ),
    ("docs/design/fleet.md", "a program that the build does without", "protoc"),
    ("docs/design/crossings.md", "an option of the operating system", "TCP_NODELAY"),
    ("docs/platform.md", "a call of the operating system", "epoll_wait"),
    ("docs/operators/duties.md", "duties of an operator's example", "filing harm"),
];
/// Texts that show the form of a name and are none: the page, the text.
const FORMS: [(&str, &str); 1] = [("docs/decisions.md", "crate::module::Type::function")];

/// The texts between single backticks of a page, code blocks aside.
fn quoted(page: &str) -> Vec<String> {
    let lines = page.lines().filter(|line| !line.starts_with("    "));
    lines.flat_map(|line| line.split('`').skip(1).step_by(2).map(str::to_owned).collect::<Vec<_>>()).collect()
}

fn is_word(text: &str) -> bool {
    !text.is_empty() && text.chars().all(|c| c.is_ascii_alphanumeric() || c == '_')
}

/// The words of a text.
fn words(text: &str) -> impl Iterator<Item = &str> {
    text.split(|c: char| !(c.is_ascii_alphanumeric() || c == '_')).filter(|word| !word.is_empty())
}

/// The identifiers of each source file: those that it defines or uses, in tests and in strings too, and the modules and
/// the package that it belongs to. What only a comment names does not count, and neither does this file, which lists
/// foreign names.
fn identifiers_by_file() -> Vec<BTreeSet<String>> {
    let files = ["src", "crates", "tests"].into_iter().flat_map(rust_files);
    let files = files.filter(|file| !file.ends_with("tests/documentation.rs"));
    let identifiers_of_file = |file: PathBuf| {
        let text = read(&file);
        let code = text.lines().filter(|line| !line.trim_start().starts_with("//"));
        let path = file.with_extension("");
        let modules: Vec<&str> = path.iter().filter_map(|part| part.to_str()).collect();
        // In code a package's name has underscores.
        let crates = modules.iter().map(|module| module.replace('-', "_"));
        code.flat_map(words).chain(modules.iter().copied()).map(str::to_owned).chain(crates).collect()
    };
    files.map(identifiers_of_file).collect()
}

fn identifiers() -> BTreeSet<String> {
    identifiers_by_file().into_iter().flatten().collect()
}

/// The pages that are checked.
fn pages() -> Vec<String> {
    let mut pages = Vec::new();
    for folder in PAGE_FOLDERS {
        for entry in std::fs::read_dir(root().join(folder)).expect("a folder of pages") {
            let path = entry.expect("an entry").path();
            if path.extension().is_some_and(|extension| extension == "md") {
                let page = path.strip_prefix(root()).expect("a page of this repository");
                pages.push(page.to_str().expect("a path").to_owned());
            }
        }
    }
    pages.retain(|page| !HISTORY.contains(&page.as_str()));
    pages.sort();
    pages
}

fn is_package_name(text: &str) -> bool {
    text.starts_with("loomflow-") && text.chars().all(|c| c.is_ascii_lowercase() || c == '-')
}

/// What is wrong with the files, folders and packages that a quoted text names.
fn missing_file(page: &str, text: &str) -> Option<String> {
    if is_package_name(text) && !root().join("crates").join(text).is_dir() {
        return Some(format!("there is no package {text}"));
    }
    let is_file = FILE_ENDINGS.iter().any(|ending| text.ends_with(ending))
        && !text.contains(' ')
        && !OPERATORS_FILES.contains(&text);
    // A command begins with a file, as in `scripts/benchmark NAME`; a test is named as `file::function`.
    let path = if is_file { text } else { text.split([' ', ':']).next().unwrap_or_default() };
    let is_path = is_file || (FOLDERS.iter().any(|folder| path.starts_with(folder)) && !path.contains('*'));
    let folder = Path::new(page).parent().expect("a folder").to_str().expect("a path");
    let mut places = ROOTS.iter().copied().chain([folder]);
    let exists = places.any(|place| root().join(place).join(path).exists());
    (is_path && !exists).then(|| format!("there is no file {path}"))
}

/// The identifiers of a quoted text: a name, or a path of names such as `Type::function()`, `package::module::CONSTANT`,
/// `Type.field` and `settings.Classes[]`. None where the text is something else, as a command, a file or a number.
fn identifiers_of(text: &str) -> Vec<&str> {
    let separators = ["::", "."];
    let plain = text.trim_end_matches("()").trim_end_matches("[]").trim_end_matches("[...]");
    let mut parts = vec![plain];
    for separator in separators {
        parts = parts.into_iter().flat_map(|part| part.split(separator)).collect();
    }
    let parts: Vec<&str> = parts.into_iter().map(|part| part.trim_end_matches("[]")).collect();
    let is_package = |part: &&&str| is_package_name(part);
    let names: Vec<&str> = parts.iter().filter(|part| !is_package(part)).copied().collect();
    let is_file = FILE_ENDINGS.iter().any(|ending| text.ends_with(ending));
    let is_name = |name: &&str| is_word(name) && !name.starts_with(|c: char| c.is_ascii_digit());
    if !is_file && names.iter().all(is_name) { names } else { Vec::new() }
}

#[test]
fn files_and_packages_that_pages_name_exist() {
    let mut faults = Vec::new();
    for page in pages() {
        for text in quoted(&read(&page)) {
            faults.extend(missing_file(&page, &text).map(|fault| format!("{page}: {fault}")));
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// The names of other projects that a page may name.
fn foreign_names(page: &str) -> impl Iterator<Item = &'static str> {
    FOREIGN.into_iter().filter(move |(of, _, _)| *of == page).flat_map(|(_, _, names)| names.split(' '))
}

/// An entry of the list is stale once a source defines the name, or its page does not name it.
#[test]
fn foreign_names_are_foreign_and_in_use() {
    let known = identifiers();
    for (page, reason, names) in FOREIGN {
        let quoted = quoted(&read(page));
        let used: BTreeSet<&str> = quoted.iter().flat_map(|text| identifiers_of(text)).collect();
        for name in names.split(' ') {
            assert!(!known.contains(name), "{name}: a source defines it, so it is not one of {reason}");
            assert!(used.contains(name), "{page} does not name {name}, one of {reason}");
        }
    }
}

/// Types, variants, functions, constants, fields and keys.
#[test]
fn identifiers_that_pages_name_exist() {
    let known = identifiers();
    let mut faults = Vec::new();
    for page in pages() {
        let foreign: BTreeSet<&str> = foreign_names(&page).collect();
        for text in quoted(&read(&page)) {
            let is_missing = |name: &&str| !known.contains(*name) && !foreign.contains(*name);
            for name in identifiers_of(&text).into_iter().filter(is_missing) {
                faults.push(format!("{page}: `{text}`: {name} names nothing in the sources"));
            }
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// In `Type::function` and `module::CONSTANT` both stand in one source file.
#[test]
fn paths_that_pages_name_belong_together() {
    let files = identifiers_by_file();
    let mut faults = Vec::new();
    for page in pages() {
        let is_form = |text: &str| FORMS.contains(&(page.as_str(), text));
        let is_name = |text: &&String| !identifiers_of(text).is_empty() && !is_form(text);
        for text in quoted(&read(&page)).iter().filter(is_name) {
            let parts: Vec<&str> = text.trim_end_matches("()").split("::").collect();
            let is_together =
                |pair: &[&str]| files.iter().any(|file| pair.iter().all(|name| file.contains(*name)));
            for pair in parts.windows(2).filter(|pair| !is_together(pair)) {
                faults.push(format!("{page}: `{text}`: no source has {} with {}", pair[0], pair[1]));
            }
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
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
    let files = rust_files("crates/loomflow-server/src");
    for file in files.iter().filter(|file| !file.ends_with("log.rs")) {
        let source = read(file);
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
    for file in ["src", "crates"].into_iter().flat_map(rust_files) {
        let text = read(&file);
        let inline = text.lines().find(|line| line.contains("mod tests {"));
        assert!(inline.is_none(), "{}: {}", file.display(), inline.unwrap_or_default());
    }
}
