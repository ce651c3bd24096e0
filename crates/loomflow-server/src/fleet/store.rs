//! The folder: one file of `redb`, whose commits are on the disk before they return.

use std::path::{Path, PathBuf};

use loomflow_fleet::agreement::disk::{Disk, Image, Stamp, Write};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};

const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const KEPT: TableDefinition<&str, &[u8]> = TableDefinition::new("kept");
const FILE: &str = "fleet.redb";
/// What the library may hold of the file in memory, bytes.
const CACHE: usize = 256 * 1024;

/// Opened when it is first wanted, and anew after every error: the library takes no more steps after one.
pub struct Store {
    folder: PathBuf,
    database: Option<Database>,
}

/// Opens the file, made where there is none.
fn open(folder: &Path) -> Result<Database, redb::Error> {
    std::fs::create_dir_all(folder)?;
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE);
    let database = builder.create(folder.join(FILE))?;
    // So that there is something to read from the first time on.
    let begin = database.begin_write()?;
    begin.open_table(LOG)?;
    begin.open_table(KEPT)?;
    begin.commit()?;
    Ok(database)
}

impl Store {
    pub fn new(folder: &Path) -> Store {
        Store { folder: folder.to_owned(), database: None }
    }

    /// Does something with the file. Errors: in words, with the file.
    fn with<T>(&mut self, what: impl FnOnce(&Database) -> Result<T, redb::Error>) -> Result<T, String> {
        let file = self.folder.join(FILE);
        let named = |e: redb::Error| format!("{}: {}", file.display(), e);
        let database = match self.database.take() {
            Some(database) => database,
            None => open(&self.folder).map_err(named)?,
        };
        let done = what(&database).map_err(named)?;
        self.database = Some(database);
        Ok(done)
    }
}

fn all(database: &Database) -> Result<Image, redb::Error> {
    let read = database.begin_read()?;
    let kept = read.open_table(KEPT)?;
    let get = |key: &str| -> Result<Option<Vec<u8>>, redb::Error> {
        Ok(kept.get(key)?.map(|bytes| bytes.value().to_vec()))
    };
    let stamp = get("stamp")?.and_then(|bytes| Stamp::decode(&bytes));
    let mut entries = Vec::new();
    for entry in read.open_table(LOG)?.iter()? {
        let (index, bytes) = entry?;
        entries.push((index.value(), bytes.value().to_vec()));
    }
    Ok(Image { stamp: stamp.unwrap_or_default(), hard: get("hard")?, snapshot: get("snapshot")?, entries })
}

fn step(database: &Database, write: &Write) -> Result<(), redb::Error> {
    let step = database.begin_write()?;
    {
        let mut kept = step.open_table(KEPT)?;
        if let Some(stamp) = write.stamp {
            kept.insert("stamp", stamp.encode().as_slice())?;
        }
        if let Some(hard) = &write.hard {
            kept.insert("hard", hard.as_slice())?;
        }
        let mut log = step.open_table(LOG)?;
        if write.anew {
            log.retain(|_, _| false)?;
        }
        if let Some((index, snapshot)) = &write.snapshot {
            kept.insert("snapshot", snapshot.as_slice())?;
            log.retain_in(..=*index, |_, _| false)?;
        }
        if let Some((first, _)) = write.entries.first() {
            log.retain_in(*first.., |_, _| false)?;
        }
        for (index, bytes) in &write.entries {
            log.insert(index, bytes.as_slice())?;
        }
    }
    step.commit()?;
    Ok(())
}

impl Disk for Store {
    fn read(&mut self) -> Result<Image, String> {
        self.with(all)
    }

    fn write(&mut self, write: &Write) -> Result<(), String> {
        self.with(|database| step(database, write))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use loomflow_fleet::member::Seat;

    /// Random steps leave on the disk what the meaning of a step says, over reopening.
    #[test]
    fn the_folder_holds_what_the_steps_mean() {
        let folder = std::env::temp_dir().join(format!("loomflow-store-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        let mut rng = fastrand::Rng::with_seed(7);
        let (mut image, mut next) = (Image::default(), 1u64);
        for round in 0..60 {
            let mut store = Store::new(&folder);
            let first = rng.u64(next.saturating_sub(3).max(1)..=next);
            let count = rng.u64(0..5);
            next = if count > 0 { first + count } else { next };
            let write = Write {
                stamp: (round % 7 == 0)
                    .then_some(Stamp { incarnation: round, seat: Seat { id: 3, group: round } }),
                hard: rng.bool().then(|| vec![round as u8; 9]),
                snapshot: (round % 11 == 10).then(|| (next.saturating_sub(2), vec![1; 40])),
                entries: (first..first + count).map(|at| (at, vec![at as u8; 20])).collect(),
                anew: round % 23 == 22,
            };
            store.write(&write).unwrap();
            image.apply(&write);
            assert_eq!(store.read().unwrap(), image, "round {round}");
        }
        let _ = std::fs::remove_dir_all(&folder);
    }

    #[test]
    fn a_folder_that_cannot_be_made_is_named() {
        let file = std::env::temp_dir().join(format!("loomflow-no-folder-{}", std::process::id()));
        std::fs::write(&file, "").unwrap();
        let error = Store::new(&file.join("below")).read().unwrap_err();
        let _ = std::fs::remove_file(&file);
        assert!(error.contains("below"), "{error}");
    }
}
