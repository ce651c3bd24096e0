//! The data directory: one `redb` database file, whose commits are durable when they return.

use std::path::{Path, PathBuf};

use loomflow_fleet::consensus::storage::{
    PersistedState, ReplicaMetadata, Storage, StorageError, WriteBatch,
};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};

/// Log entries by index.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// Single values, by the three keys below.
const VALUES: TableDefinition<&str, &[u8]> = TableDefinition::new("kept");
const METADATA: &str = "stamp";
const HARD_STATE: &str = "hard";
const SNAPSHOT: &str = "snapshot";
/// The name of the database file.
const FILE: &str = "fleet.redb";
/// Size of the database's page cache, bytes.
const CACHE_BYTES: usize = 256 * 1024;

/// An error of the database, with the path of its file.
#[derive(Debug, thiserror::Error)]
#[error("database file {}: {source}", .file.display())]
struct FileError {
    file: PathBuf,
    source: redb::Error,
}

/// Storage in a `redb` file. The file is opened on first use and reopened after an error, since `redb` accepts no further
/// transactions after one.
pub struct RedbStorage {
    directory: PathBuf,
    /// `None` before the first use and after an error.
    database: Option<Database>,
}

/// Opens the file, creating it and its directory if they do not exist.
fn open(directory: &Path) -> Result<Database, redb::Error> {
    std::fs::create_dir_all(directory)?;
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    let database = builder.create(directory.join(FILE))?;
    // Creates both tables: reading a table that does not exist is an error.
    let transaction = database.begin_write()?;
    transaction.open_table(LOG)?;
    transaction.open_table(VALUES)?;
    transaction.commit()?;
    Ok(database)
}

impl RedbStorage {
    /// Storage in a data directory; opens nothing yet.
    pub fn new(directory: &Path) -> RedbStorage {
        RedbStorage { directory: directory.to_owned(), database: None }
    }

    /// Runs an action on the open database. An error closes it.
    fn with_database<T>(
        &mut self,
        action: impl FnOnce(&Database) -> Result<T, redb::Error>,
    ) -> Result<T, StorageError> {
        let file = self.directory.join(FILE);
        let file_error = |source| StorageError::new(FileError { file: file.clone(), source });
        let database = match self.database.take() {
            Some(database) => database,
            None => open(&self.directory).map_err(file_error)?,
        };
        let result = action(&database).map_err(file_error)?;
        self.database = Some(database);
        Ok(result)
    }
}

fn read_all(database: &Database) -> Result<PersistedState, redb::Error> {
    let transaction = database.begin_read()?;
    let values = transaction.open_table(VALUES)?;
    let get = |key: &str| -> Result<Option<Vec<u8>>, redb::Error> {
        Ok(values.get(key)?.map(|bytes| bytes.value().to_vec()))
    };
    let metadata = get(METADATA)?.and_then(|bytes| ReplicaMetadata::decode(&bytes));
    let mut entries = Vec::new();
    for entry in transaction.open_table(LOG)?.iter()? {
        let (index, bytes) = entry?;
        entries.push((index.value(), bytes.value().to_vec()));
    }
    Ok(PersistedState {
        metadata: metadata.unwrap_or_default(),
        hard_state: get(HARD_STATE)?,
        snapshot: get(SNAPSHOT)?,
        entries,
    })
}

fn write_batch(database: &Database, batch: &WriteBatch) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    {
        let mut values = transaction.open_table(VALUES)?;
        if let Some(metadata) = batch.metadata {
            values.insert(METADATA, metadata.encode().as_slice())?;
        }
        if let Some(hard_state) = &batch.hard_state {
            values.insert(HARD_STATE, hard_state.as_slice())?;
        }
        let mut log = transaction.open_table(LOG)?;
        if batch.clears_log {
            log.retain(|_, _| false)?;
        }
        if let Some((index, snapshot)) = &batch.snapshot {
            values.insert(SNAPSHOT, snapshot.as_slice())?;
            log.retain_in(..=*index, |_, _| false)?;
        }
        if let Some((first, _)) = batch.entries.first() {
            log.retain_in(*first.., |_, _| false)?;
        }
        for (index, bytes) in &batch.entries {
            log.insert(index, bytes.as_slice())?;
        }
    }
    transaction.commit()?;
    Ok(())
}

impl Storage for RedbStorage {
    fn read(&mut self) -> Result<PersistedState, StorageError> {
        self.with_database(read_all)
    }

    fn write(&mut self, batch: &WriteBatch) -> Result<(), StorageError> {
        self.with_database(|database| write_batch(database, batch))
    }
}

#[cfg(test)]
mod tests;
