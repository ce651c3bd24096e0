//! What a voter must not forget, as plain bytes: what a storage writes and reads back. The seam to whatever keeps it.

use serde::{Deserialize, Serialize};

use crate::member::Seat;

/// All that a folder holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Image {
    pub stamp: Stamp,
    /// The library's hard state: term, vote, commit.
    pub hard: Option<Vec<u8>>,
    /// The last snapshot, with its configuration.
    pub snapshot: Option<Vec<u8>>,
    /// Entries by their index.
    pub entries: Vec<(u64, Vec<u8>)>,
}

/// What belongs to the folder itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Of the server's last start with this folder.
    pub incarnation: u64,
    pub seat: Seat,
}

impl Stamp {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// None where the bytes are no stamp.
    pub fn decode(bytes: &[u8]) -> Option<Stamp> {
        postcard::from_bytes(bytes).ok()
    }
}

/// One step that must be durable, whole or not at all, before anything that follows from it is said.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Write {
    pub stamp: Option<Stamp>,
    pub hard: Option<Vec<u8>>,
    /// Replaces the snapshot. Entries up to its index are of no further use.
    pub snapshot: Option<(u64, Vec<u8>)>,
    /// Replace what is there from the first of them on, to the end.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// Drops every entry before anything else is written: the log begins anew behind a snapshot.
    pub anew: bool,
}

impl Write {
    pub fn is_empty(&self) -> bool {
        *self == Write::default()
    }
}

impl Image {
    /// What the image is after a step. The one meaning of a step: storages are tested against it.
    pub fn apply(&mut self, write: &Write) {
        if let Some(stamp) = write.stamp {
            self.stamp = stamp;
        }
        if let Some(hard) = &write.hard {
            self.hard = Some(hard.clone());
        }
        if write.anew {
            self.entries.clear();
        }
        if let Some((index, snapshot)) = &write.snapshot {
            self.snapshot = Some(snapshot.clone());
            self.entries.retain(|(at, _)| at > index);
        }
        if let Some((first, _)) = write.entries.first() {
            self.entries.retain(|(at, _)| at < first);
            self.entries.extend(write.entries.iter().cloned());
        }
    }
}

/// Keeps an image. Errors are in words for the operator; after one, nothing of that step may be there, or all of it.
pub trait Disk: Send {
    fn read(&mut self) -> Result<Image, String>;
    /// Returns when the step is durable.
    fn write(&mut self, write: &Write) -> Result<(), String>;
}

/// A disk that keeps an image in memory, for simulations, and for servers that are no voters and have no folder.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk(pub Image);

impl Disk for MemoryDisk {
    fn read(&mut self) -> Result<Image, String> {
        Ok(self.0.clone())
    }

    fn write(&mut self, write: &Write) -> Result<(), String> {
        self.0.apply(write);
        Ok(())
    }
}
