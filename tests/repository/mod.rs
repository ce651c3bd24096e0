//! Access to the files of the repository, for tests that check pages and sources.

#![allow(dead_code, reason = "each test file uses some of these functions")]

use std::path::{Path, PathBuf};

/// The root directory of the repository.
pub fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// The text of a file, by its path from the root.
pub fn read(path: impl AsRef<Path>) -> String {
    let path = path.as_ref();
    std::fs::read_to_string(root().join(path))
        .unwrap_or_else(|error| panic!("cannot read {}: {error}", path.display()))
}

/// All Rust files below a directory, as paths from the root; directories named `target` are skipped.
pub fn rust_files(directory: impl AsRef<Path>) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(root().join(&directory))
        .unwrap_or_else(|error| panic!("cannot list {}: {error}", directory.as_ref().display()))
    {
        let entry = entry.expect("cannot read a directory entry");
        let path = directory.as_ref().join(entry.file_name());
        if entry.path().is_dir() && !path.ends_with("target") {
            files.extend(rust_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

/// The files under `policy` in `deploy/balancer.toml`, in its order: those with the controller's decisions.
pub fn policy_files() -> Vec<PathBuf> {
    let deploy = read("deploy/balancer.toml");
    let line = deploy
        .lines()
        .find(|line| line.starts_with("policy = ["))
        .expect("deploy/balancer.toml has no line `policy = [`");
    assert!(line.ends_with(']'), "deploy/balancer.toml: policy must be a list on one line: {line}");
    line.split('"').skip(1).step_by(2).map(PathBuf::from).collect()
}
