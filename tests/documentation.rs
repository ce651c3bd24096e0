//! Checks of the pages against the sources: pages name only files, packages and identifiers that exist, each
//! log message has a row in the on-call page, and unit tests are in test files.

mod repository;

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use repository::{read, root, rust_files};

/// Directories whose pages are checked, except for [`HISTORY_PAGES`].
const PAGE_DIRECTORIES: [&str; 5] = ["", "docs", "docs/design", "docs/operators", "deploy/sites"];
/// Pages about past versions, which keep the names of those versions.
const HISTORY_PAGES: [&str; 3] = ["CHANGELOG.md", "docs/results.md", "docs/ROADMAP.md"];
/// Directories that a quoted path may be relative to, besides that of its page.
const PATH_BASES: [&str; 2] = ["", "crates/loomflow-server/src"];
/// Prefixes by which a quoted text counts as a path.
const PATH_PREFIXES: [&str; 6] = ["src/", "crates/", "docs/", "tests/", "scripts/", "deploy/"];
/// Files that operators write, which the repository does not contain.
const OPERATOR_FILES: [&str; 2] = ["options.yaml", "credentials.yaml"];
/// Suffixes by which a quoted text counts as a file.
const FILE_SUFFIXES: [&str; 6] = [".rs", ".md", ".toml", ".yaml", ".lock", ".txt"];
/// Names that pages may use although no source defines them: the page, the reason, the names.
const EXTERNAL_NAMES: [(&str, &str, &str); 8] = [
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
        "memberlist chitchat openraft fjall heed",
    ),
    ("docs/design/fleet.md", "a program that the build does without", "protoc"),
    ("docs/design/crossings.md", "an option of the operating system", "TCP_NODELAY"),
    ("docs/platform.md", "a call of the operating system", "epoll_wait"),
    ("docs/operators/duties.md", "duties of an operator's example", "filing harm"),
];
/// Examples of the form of a path that name no item: the page, the text.
const EXAMPLE_PATHS: [(&str, &str); 1] = [("docs/decisions.md", "crate::module::Type::function")];

/// The texts between single backticks of a page, without indented code blocks.
fn quoted(page: &str) -> Vec<String> {
    let lines = page.lines().filter(|line| !line.starts_with("    "));
    lines.flat_map(|line| line.split('`').skip(1).step_by(2).map(str::to_owned).collect::<Vec<_>>()).collect()
}

fn is_word(text: &str) -> bool {
    !text.is_empty() && text.chars().all(|c| c.is_ascii_alphanumeric() || c == '_')
}

/// The maximal sequences of letters, digits and underscores of a text.
fn identifiers_in(text: &str) -> impl Iterator<Item = &str> {
    text.split(|c: char| !(c.is_ascii_alphanumeric() || c == '_')).filter(|word| !word.is_empty())
}

/// The identifiers of each source file, including tests and strings but not comments, with the names of its
/// modules and its package. This file is left out since it lists external names.
fn identifiers_by_file() -> Vec<BTreeSet<String>> {
    let files = ["src", "crates", "tests"].into_iter().flat_map(rust_files);
    let files = files.filter(|file| !file.ends_with("tests/documentation.rs"));
    let identifiers_of_file = |file: PathBuf| {
        let text = read(&file);
        let code = text.lines().filter(|line| !line.trim_start().starts_with("//"));
        let path = file.with_extension("");
        let modules: Vec<&str> = path.iter().filter_map(|part| part.to_str()).collect();
        // In code, the names of packages have underscores in place of hyphens.
        let crates = modules.iter().map(|module| module.replace('-', "_"));
        code.flat_map(identifiers_in)
            .chain(modules.iter().copied())
            .map(str::to_owned)
            .chain(crates)
            .collect()
    };
    files.map(identifiers_of_file).collect()
}

fn identifiers() -> BTreeSet<String> {
    identifiers_by_file().into_iter().flatten().collect()
}

/// The paths of the pages that are checked.
fn pages() -> Vec<String> {
    let mut pages = Vec::new();
    for directory in PAGE_DIRECTORIES {
        for entry in std::fs::read_dir(root().join(directory))
            .unwrap_or_else(|error| panic!("cannot list {directory}: {error}"))
        {
            let path = entry.expect("cannot read a directory entry").path();
            if path.extension().is_some_and(|extension| extension == "md") {
                let page = path.strip_prefix(root()).expect("the page is outside the repository");
                pages.push(page.to_str().expect("the path of the page is not UTF-8").to_owned());
            }
        }
    }
    pages.retain(|page| !HISTORY_PAGES.contains(&page.as_str()));
    pages.sort();
    pages
}

fn is_package_name(text: &str) -> bool {
    text.starts_with("loomflow-") && text.chars().all(|c| c.is_ascii_lowercase() || c == '-')
}

/// The error if a quoted text names a file, directory or package that does not exist.
fn missing_file(page: &str, text: &str) -> Option<String> {
    if is_package_name(text) && !root().join("crates").join(text).is_dir() {
        return Some(format!("package {text} does not exist"));
    }
    let is_file = FILE_SUFFIXES.iter().any(|suffix| text.ends_with(suffix))
        && !text.contains(' ')
        && !OPERATOR_FILES.contains(&text);
    // The path is the first part of a command such as `scripts/benchmark NAME` and of a test such as
    // `file::function`.
    let path = if is_file { text } else { text.split([' ', ':']).next().unwrap_or_default() };
    let is_path =
        is_file || (PATH_PREFIXES.iter().any(|prefix| path.starts_with(prefix)) && !path.contains('*'));
    let directory =
        Path::new(page).parent().expect("the page has no directory").to_str().expect("the path is not UTF-8");
    let mut bases = PATH_BASES.iter().copied().chain([directory]);
    let exists = bases.any(|base| root().join(base).join(path).exists());
    (is_path && !exists).then(|| format!("file {path} does not exist"))
}

/// The identifiers of a quoted text: a name, or a path of names such as `Type::function()`,
/// `package::module::CONSTANT`, `Type.field` and `settings.Classes[]`. Empty for other texts, such as a
/// command, a file or a number.
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
    let is_file = FILE_SUFFIXES.iter().any(|suffix| text.ends_with(suffix));
    let is_name = |name: &&str| is_word(name) && !name.starts_with(|c: char| c.is_ascii_digit());
    if !is_file && names.iter().all(is_name) { names } else { Vec::new() }
}

#[test]
fn files_and_packages_that_pages_name_exist() {
    let mut errors = Vec::new();
    for page in pages() {
        for text in quoted(&read(&page)) {
            errors.extend(missing_file(&page, &text).map(|error| format!("{page}: {error}")));
        }
    }
    assert!(errors.is_empty(), "{}", errors.join("\n"));
}

/// The external names that a page may use.
fn external_names(page: &str) -> impl Iterator<Item = &'static str> {
    EXTERNAL_NAMES
        .into_iter()
        .filter(move |(listed, _, _)| *listed == page)
        .flat_map(|(_, _, names)| names.split(' '))
}

/// Detects stale entries of [`EXTERNAL_NAMES`]: a source defines the name, or the page no longer uses it.
#[test]
fn external_names_are_undefined_and_used() {
    let known = identifiers();
    for (page, reason, names) in EXTERNAL_NAMES {
        let quoted = quoted(&read(page));
        let used: BTreeSet<&str> = quoted.iter().flat_map(|text| identifiers_of(text)).collect();
        for name in names.split(' ') {
            assert!(!known.contains(name), "{name} is listed under \"{reason}\", but a source defines it");
            assert!(used.contains(name), "{name} is listed under \"{reason}\", but {page} does not use it");
        }
    }
}

/// Checks types, variants, functions, constants, fields and keys.
#[test]
fn identifiers_that_pages_name_exist() {
    let known = identifiers();
    let mut errors = Vec::new();
    for page in pages() {
        let external: BTreeSet<&str> = external_names(&page).collect();
        for text in quoted(&read(&page)) {
            let is_missing = |name: &&str| !known.contains(*name) && !external.contains(*name);
            for name in identifiers_of(&text).into_iter().filter(is_missing) {
                errors.push(format!("{page}: `{text}`: no source defines {name}"));
            }
        }
    }
    assert!(errors.is_empty(), "{}", errors.join("\n"));
}

/// Both parts of `Type::function` and `module::CONSTANT` must occur in one source file.
#[test]
fn parts_of_a_path_are_in_one_source_file() {
    let files = identifiers_by_file();
    let mut errors = Vec::new();
    for page in pages() {
        let is_example = |text: &str| EXAMPLE_PATHS.contains(&(page.as_str(), text));
        let is_name = |text: &&String| !identifiers_of(text).is_empty() && !is_example(text);
        for text in quoted(&read(&page)).iter().filter(is_name) {
            let parts: Vec<&str> = text.trim_end_matches("()").split("::").collect();
            let are_in_one_file =
                |pair: &[&str]| files.iter().any(|file| pair.iter().all(|name| file.contains(*name)));
            for pair in parts.windows(2).filter(|pair| !are_in_one_file(pair)) {
                errors.push(format!("{page}: `{text}`: no source file has both {} and {}", pair[0], pair[1]));
            }
        }
    }
    assert!(errors.is_empty(), "{}", errors.join("\n"));
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
    panic!("macro call without a closing parenthesis: {call}");
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
fn each_log_message_of_the_server_has_a_row() {
    let page = read("docs/on-call.md");
    let rows: Vec<&str> = page.lines().filter(|line| line.starts_with("| `")).collect();
    let mut count = 0;
    let files = rust_files("crates/loomflow-server/src");
    for file in files.iter().filter(|file| !file.ends_with("log.rs")) {
        let source = read(file);
        // `{text}` is a placeholder for the texts of a state machine, which are listed on a page of their own.
        for message in log_messages(&source).into_iter().filter(|message| message != "{text}") {
            count += 1;
            let row = format!("| `{message}` |");
            assert!(
                rows.iter().any(|line| line.starts_with(&row)),
                "{}: docs/on-call.md has no row for {message:?}",
                file.display()
            );
        }
    }
    assert!(count > 20, "{count} log messages found, more than 20 are expected");
}

/// Unit tests must be in separate test files, not in inline modules.
#[test]
fn tests_are_in_test_files() {
    for file in ["src", "crates"].into_iter().flat_map(rust_files) {
        let text = read(&file);
        let inline = text.lines().find(|line| line.contains("mod tests {"));
        assert!(inline.is_none(), "{}: inline test module: {}", file.display(), inline.unwrap_or_default());
    }
}
