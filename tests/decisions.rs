//! `docs/decisions.md` against the sources: each function, constant and test that it names exists, each constant has the value
//! of the code, and no constant or file of the controller is left out.

mod repository;

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use repository::{policy_files, read, root};

/// Columns of the page's tables.
const COLUMNS: [&str; 6] = ["question", "decision", "inputs (unit)", "constants (unit)", "reason", "test"];
/// The cell of a row without constants.
const NO_CONSTANTS: &str = "none";

/// A row of the page.
struct Row {
    line: usize,
    cells: Vec<String>,
}

impl Row {
    fn cell(&self, column: &str) -> &str {
        let at = COLUMNS.iter().position(|name| *name == column).expect("a column of the page");
        &self.cells[at]
    }

    /// The texts between backticks in a cell.
    fn quoted(&self, column: &str) -> Vec<&str> {
        self.cell(column).split('`').skip(1).step_by(2).collect()
    }
}

fn rows() -> Vec<Row> {
    let page = read("docs/decisions.md");
    let mut rows = Vec::new();
    for (at, line) in page.lines().enumerate().filter(|(_, line)| line.starts_with('|')) {
        let cells: Vec<String> =
            line.trim_matches('|').split('|').map(|cell| cell.trim().to_owned()).collect();
        assert_eq!(cells.len(), COLUMNS.len(), "docs/decisions.md:{}: number of cells", at + 1);
        if cells[0] != COLUMNS[0] && !cells[0].starts_with("---") {
            rows.push(Row { line: at + 1, cells });
        }
    }
    rows
}

/// A path of a function or constant, taken apart.
struct CodePath<'a> {
    file: PathBuf,
    type_name: Option<&'a str>,
    name: &'a str,
}

/// Finds the file of `crate::module::Type::name`, by its path from the root.
fn resolve(path: &str) -> Option<CodePath<'_>> {
    let parts: Vec<&str> = path.split("::").collect();
    let (name, rest) = parts.split_last()?;
    let (package, rest) = rest.split_first()?;
    let is_type = |part: &&str| part.starts_with(|c: char| c.is_ascii_uppercase());
    let type_name = rest.last().copied().filter(is_type);
    let modules = if type_name.is_some() { &rest[..rest.len() - 1] } else { rest };
    let source = match *package {
        "loomflow" => PathBuf::from("src"),
        package => Path::new("crates").join(package.replace('_', "-")).join("src"),
    };
    let folder = modules.iter().fold(source, |folder, module| folder.join(module));
    let beside = folder.with_extension("rs");
    let candidates = if modules.is_empty() {
        [folder.join("lib.rs"), folder.join("main.rs")]
    } else {
        [beside, folder.join("mod.rs")]
    };
    let file = candidates.into_iter().find(|file| root().join(file).is_file())?;
    Some(CodePath { file, type_name, name })
}

/// The blocks that implement a type, in a formatted source text.
fn impl_blocks(source: &str, type_name: &str) -> String {
    let mut blocks = String::new();
    let mut is_inside = false;
    for line in source.lines() {
        let words: Vec<&str> = line.split(|c: char| !(c.is_alphanumeric() || c == '_')).collect();
        let begins = line.starts_with("impl") || line.starts_with("pub trait") || line.starts_with("trait");
        is_inside |= begins && words.contains(&type_name);
        if is_inside {
            blocks.push_str(line);
            blocks.push('\n');
        }
        is_inside &= line != "}";
    }
    blocks
}

fn defines_function(source: &str, name: &str) -> bool {
    source.contains(&format!("fn {name}(")) || source.contains(&format!("fn {name}<"))
}

/// A value without what only makes it readable.
fn normalized(value: &str) -> String {
    value.chars().filter(|c| !c.is_whitespace() && *c != '_').collect()
}

/// The value that a source text gives a constant.
fn constant_value(source: &str, name: &str) -> Option<String> {
    let definition = source.split(&format!("const {name}: ")).nth(1)?;
    let (_, value) = definition.split_once('=')?;
    let (value, _) = value.split_once(';')?;
    Some(normalized(value))
}

/// The names of the constants that a source text defines at the head of a module.
fn constants(source: &str) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for line in source.lines() {
        let line = line.trim_start_matches("pub(crate) ").trim_start_matches("pub(super) ");
        let line = line.trim_start_matches("pub ");
        if let Some((name, _)) = line.strip_prefix("const ").and_then(|rest| rest.split_once(':')) {
            names.insert(name.to_owned());
        }
    }
    names
}

#[test]
fn each_row_is_complete() {
    for row in rows() {
        for (cell, column) in row.cells.iter().zip(COLUMNS) {
            assert!(!cell.is_empty(), "docs/decisions.md:{}: nothing under {column}", row.line);
        }
        assert_eq!(row.quoted("decision").len(), 1, "docs/decisions.md:{}: one decision", row.line);
        assert!(!row.quoted("test").is_empty(), "docs/decisions.md:{}: a test", row.line);
    }
}

#[test]
fn each_decision_exists() {
    for row in rows() {
        let decision = row.quoted("decision")[0];
        let at = format!("docs/decisions.md:{}: {decision}", row.line);
        let path = resolve(decision).unwrap_or_else(|| panic!("{at}: there is no such module"));
        let source = read(&path.file);
        let source = path.type_name.map_or(source.clone(), |type_name| impl_blocks(&source, type_name));
        assert!(defines_function(&source, path.name), "{at}: there is no such function");
    }
}

#[test]
fn each_constant_has_the_value_of_the_code() {
    for row in rows() {
        let decision = row.quoted("decision")[0];
        let constants = row.quoted("constants (unit)");
        let is_none = row.cell("constants (unit)") == NO_CONSTANTS;
        assert!(is_none || !constants.is_empty(), "docs/decisions.md:{}: constants or none", row.line);
        for constant in constants {
            let at = format!("docs/decisions.md:{}: {constant}", row.line);
            let (path, value) = constant.split_once(" = ").unwrap_or_else(|| panic!("{at}: no value"));
            let home = if path.contains("::") { path } else { decision };
            let resolved = resolve(home).unwrap_or_else(|| panic!("{at}: there is no such module"));
            let name = path.rsplit("::").next().expect("a name");
            let in_code = constant_value(&read(&resolved.file), name);
            let in_code = in_code.unwrap_or_else(|| panic!("{at}: {home} has no such constant"));
            assert_eq!(normalized(value), in_code, "{at}: the page and the code differ");
        }
    }
}

#[test]
fn each_test_exists() {
    for row in rows() {
        for test in row.quoted("test") {
            let at = format!("docs/decisions.md:{}: {test}", row.line);
            let (file, name) = test.split_once("::").unwrap_or_else(|| panic!("{at}: no file"));
            let source = read(file);
            let body = source.split(&format!("fn {name}(")).next().expect("a text");
            assert!(body.len() < source.len(), "{at}: there is no such test");
            let attributes = body.rsplit("\n\n").next().expect("a text");
            assert!(attributes.contains("#[test]"), "{at}: it is not marked as a test");
        }
    }
}

#[test]
fn each_constant_of_the_controller_is_on_the_page() {
    let rows = rows();
    let on_page: BTreeSet<&str> = rows
        .iter()
        .flat_map(|row| row.quoted("constants (unit)"))
        .filter_map(|constant| constant.split(" = ").next()?.rsplit("::").next())
        .collect();
    for file in policy_files() {
        for name in constants(&read(&file)) {
            assert!(on_page.contains(name.as_str()), "{}: {name} is on no row", file.display());
        }
    }
}

#[test]
fn each_file_of_the_controller_has_a_row() {
    let with_rows: BTreeSet<PathBuf> =
        rows().iter().filter_map(|row| resolve(row.quoted("decision")[0]).map(|path| path.file)).collect();
    for file in policy_files() {
        assert!(with_rows.contains(&file), "{}: no row names a decision of it", file.display());
    }
}
