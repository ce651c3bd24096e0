//! Checks of `docs/decisions.md` against the sources: each function, constant and test that it names exists,
//! each constant has the value of the code, and no constant or file of the controller is left out.

mod repository;

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use repository::{policy_files, read, root};

/// Columns of the page's tables.
const COLUMNS: [&str; 6] = ["question", "decision", "inputs (unit)", "constants (unit)", "reason", "test"];
/// Content of the cell for constants in a row without constants.
const NO_CONSTANTS: &str = "none";

/// A row of a table of the page.
struct Row {
    line: usize,
    cells: Vec<String>,
}

impl Row {
    fn cell(&self, column: &str) -> &str {
        let index = COLUMNS
            .iter()
            .position(|name| *name == column)
            .unwrap_or_else(|| panic!("COLUMNS does not contain {column}"));
        &self.cells[index]
    }

    /// The texts between backticks in a cell.
    fn quoted(&self, column: &str) -> Vec<&str> {
        self.cell(column).split('`').skip(1).step_by(2).collect()
    }
}

fn rows() -> Vec<Row> {
    let page = read("docs/decisions.md");
    let mut rows = Vec::new();
    for (index, line) in page.lines().enumerate().filter(|(_, line)| line.starts_with('|')) {
        let cells: Vec<String> =
            line.trim_matches('|').split('|').map(|cell| cell.trim().to_owned()).collect();
        assert_eq!(cells.len(), COLUMNS.len(), "docs/decisions.md:{}: unexpected number of cells", index + 1);
        if cells[0] != COLUMNS[0] && !cells[0].starts_with("---") {
            rows.push(Row { line: index + 1, cells });
        }
    }
    rows
}

/// The parsed path of a function or constant.
struct CodePath<'a> {
    file: PathBuf,
    type_name: Option<&'a str>,
    name: &'a str,
}

/// Parses `crate::module::Type::name` and finds its file, as a path from the root; none if the module does
/// not exist.
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
    let directory = modules.iter().fold(source, |directory, module| directory.join(module));
    let module_file = directory.with_extension("rs");
    let candidates = if modules.is_empty() {
        [directory.join("lib.rs"), directory.join("main.rs")]
    } else {
        [module_file, directory.join("mod.rs")]
    };
    let file = candidates.into_iter().find(|file| root().join(file).is_file())?;
    Some(CodePath { file, type_name, name })
}

/// The impl and trait blocks of a formatted source text whose first line names the type.
fn impl_blocks(source: &str, type_name: &str) -> String {
    let mut blocks = String::new();
    let mut is_inside = false;
    for line in source.lines() {
        let words: Vec<&str> = line.split(|c: char| !(c.is_alphanumeric() || c == '_')).collect();
        let is_block_start =
            line.starts_with("impl") || line.starts_with("pub trait") || line.starts_with("trait");
        is_inside |= is_block_start && words.contains(&type_name);
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

/// A value without whitespace and digit separators.
fn normalized(value: &str) -> String {
    value.chars().filter(|c| !c.is_whitespace() && *c != '_').collect()
}

/// The normalized value of a constant in a source text.
fn constant_value(source: &str, name: &str) -> Option<String> {
    let definition = source.split(&format!("const {name}: ")).nth(1)?;
    let (_, value) = definition.split_once('=')?;
    let (value, _) = value.split_once(';')?;
    Some(normalized(value))
}

/// The names of the module-level constants that a source text defines.
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
            assert!(!cell.is_empty(), "docs/decisions.md:{}: the cell under {column} is empty", row.line);
        }
        assert_eq!(
            row.quoted("decision").len(),
            1,
            "docs/decisions.md:{}: a row must quote one decision",
            row.line
        );
        assert!(
            !row.quoted("test").is_empty(),
            "docs/decisions.md:{}: a row must quote at least one test",
            row.line
        );
    }
}

#[test]
fn each_decision_exists() {
    for row in rows() {
        let decision = row.quoted("decision")[0];
        let location = format!("docs/decisions.md:{}: {decision}", row.line);
        let path = resolve(decision).unwrap_or_else(|| panic!("{location}: the module does not exist"));
        let source = read(&path.file);
        let source = path.type_name.map_or(source.clone(), |type_name| impl_blocks(&source, type_name));
        assert!(
            defines_function(&source, path.name),
            "{location}: {} does not define the function",
            path.file.display()
        );
    }
}

#[test]
fn each_constant_has_the_value_of_the_code() {
    for row in rows() {
        let decision = row.quoted("decision")[0];
        let constants = row.quoted("constants (unit)");
        let is_none = row.cell("constants (unit)") == NO_CONSTANTS;
        assert!(
            is_none || !constants.is_empty(),
            "docs/decisions.md:{}: a row must quote its constants or state {NO_CONSTANTS}",
            row.line
        );
        for constant in constants {
            let location = format!("docs/decisions.md:{}: {constant}", row.line);
            let (path, value) =
                constant.split_once(" = ").unwrap_or_else(|| panic!("{location}: the constant has no value"));
            let owner = if path.contains("::") { path } else { decision };
            let resolved =
                resolve(owner).unwrap_or_else(|| panic!("{location}: the module of {owner} does not exist"));
            let name = path.rsplit("::").next().expect("a path has a last part");
            let in_code = constant_value(&read(&resolved.file), name);
            let in_code = in_code
                .unwrap_or_else(|| panic!("{location}: the file of {owner} does not define the constant"));
            assert_eq!(normalized(value), in_code, "{location}: the value on the page differs from the code");
        }
    }
}

#[test]
fn each_test_exists() {
    for row in rows() {
        for test in row.quoted("test") {
            let location = format!("docs/decisions.md:{}: {test}", row.line);
            let (file, name) =
                test.split_once("::").unwrap_or_else(|| panic!("{location}: the test has no file"));
            let source = read(file);
            let body = source.split(&format!("fn {name}(")).next().expect("a split has a first part");
            assert!(body.len() < source.len(), "{location}: {file} does not define the test");
            let attributes = body.rsplit("\n\n").next().expect("a split has a first part");
            assert!(attributes.contains("#[test]"), "{location}: the function has no #[test] attribute");
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
            assert!(
                on_page.contains(name.as_str()),
                "{}: docs/decisions.md has no row with {name}",
                file.display()
            );
        }
    }
}

#[test]
fn each_file_of_the_controller_has_a_row() {
    let with_rows: BTreeSet<PathBuf> =
        rows().iter().filter_map(|row| resolve(row.quoted("decision")[0]).map(|path| path.file)).collect();
    for file in policy_files() {
        assert!(
            with_rows.contains(&file),
            "{}: docs/decisions.md has no row with a decision of this file",
            file.display()
        );
    }
}
