//! The files of the repository, as the tests of pages and sources read them.

#![allow(dead_code, reason = "each test file uses a part of them")]

use std::path::{Path, PathBuf};

/// The root folder.
pub fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// The text of a file, by its path from the root.
pub fn read(path: impl AsRef<Path>) -> String {
    let path = path.as_ref();
    std::fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// All Rust files below a folder, by their paths from the root; build folders are left out.
pub fn rust_files(folder: impl AsRef<Path>) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(root().join(&folder)).expect("a folder") {
        let entry = entry.expect("an entry");
        let path = folder.as_ref().join(entry.file_name());
        if entry.path().is_dir() && !path.ends_with("target") {
            files.extend(rust_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

/// The files that the deploy file names under `policy`, in its order: those with the controller's decisions.
pub fn policy_files() -> Vec<PathBuf> {
    let deploy = read("deploy/balancer.toml");
    let line = deploy.lines().find(|line| line.starts_with("policy = [")).expect("the key policy");
    assert!(line.ends_with(']'), "policy is a list on one line");
    line.split('"').skip(1).step_by(2).map(PathBuf::from).collect()
}
