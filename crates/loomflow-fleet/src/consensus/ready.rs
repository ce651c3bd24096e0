//! Processes the `Ready` states of the Raft library: write, send, apply, in that order.

use raft::eraftpb::{ConfChangeV2, Entry, EntryType, Message, MessageType};
use raft::{Ready, SnapshotStatus};

use super::storage::WriteBatch;
use super::{Consensus, ConsensusError, StateMachine, decode, encode};
use crate::member::ServerName;

/// Applied entries between two snapshots: bounds the entries that a restart replays.
const SNAPSHOT_EVERY_ENTRIES: u64 = 512;

impl<M: StateMachine> Consensus<M> {
    /// Processes `Ready` states until the library has none left, then stores a snapshot if one is due.
    pub(super) fn process_ready(&mut self) {
        while self.raft_node.as_ref().is_some_and(raft::RawNode::has_ready) {
            if let Err(error) = self.process_one_ready() {
                return self.stop_on_error(error);
            }
        }
        self.set_election_timeout();
        if let Some(node) = &self.raft_node
            && self.applied_index >= node.store().snapshot_index() + SNAPSHOT_EVERY_ENTRIES
        {
            self.store_snapshot();
        }
    }

    fn process_one_ready(&mut self) -> Result<(), ConsensusError> {
        let Some(node) = &mut self.raft_node else { return Ok(()) };
        let mut ready = node.ready();
        let messages = ready.take_messages();
        let batch = write_batch(&ready)?;
        if !batch.is_empty() {
            self.storage.write(&batch)?;
        }
        self.update_log(&ready)?;
        let messages_after_write = ready.take_persisted_messages();
        let committed = ready.take_committed_entries();
        self.queue_messages(messages);
        self.queue_messages(messages_after_write);
        self.apply(committed)?;
        let Some(node) = &mut self.raft_node else { return Ok(()) };
        let mut light_ready = node.advance(ready);
        if let Some(commit) = light_ready.commit_index() {
            node.mut_store().set_commit(commit);
        }
        self.queue_messages(light_ready.take_messages());
        self.apply(light_ready.take_committed_entries())?;
        if let Some(node) = &mut self.raft_node {
            node.advance_apply();
        }
        Ok(())
    }

    /// Applies the written step to the log in memory.
    fn update_log(&mut self, ready: &Ready) -> Result<(), ConsensusError> {
        let Some(node) = &mut self.raft_node else { return Ok(()) };
        let snapshot = ready.snapshot();
        let snapshot_index = snapshot.get_metadata().index;
        if snapshot_index > 0 {
            node.mut_store().restore_snapshot(snapshot.clone())?;
            self.load_snapshot(snapshot)?;
            self.applied_index = snapshot_index;
        }
        let Some(node) = &mut self.raft_node else { return Ok(()) };
        let log = node.mut_store();
        log.append(ready.entries())?;
        if let Some(hard_state) = ready.hs() {
            log.set_hard_state(hard_state.clone());
        }
        Ok(())
    }

    fn queue_messages(&mut self, messages: Vec<Message>) {
        for message in messages {
            let to = self.replicas.get(&message.to).or_else(|| self.unconfirmed_replicas.get(&message.to));
            if let (Some(to), Ok(bytes)) = (to, encode(&message)) {
                self.outgoing.push((to.clone(), bytes));
            } else if message.get_msg_type() == MessageType::MsgSnapshot
                && let Some(node) = &mut self.raft_node
            {
                node.report_snapshot(message.to, SnapshotStatus::Failure);
            }
        }
    }

    fn apply(&mut self, entries: Vec<Entry>) -> Result<(), ConsensusError> {
        for entry in entries {
            self.applied_index = entry.index;
            match entry.get_entry_type() {
                // A new leader proposes an empty entry first.
                EntryType::EntryNormal if entry.data.is_empty() => {}
                EntryType::EntryNormal => self.outputs.extend(self.machine.apply(&entry.data)),
                EntryType::EntryConfChange => return Err(ConsensusError::UnsupportedConfigurationChange),
                EntryType::EntryConfChangeV2 => {
                    let change: ConfChangeV2 = decode(&entry.data)?;
                    self.apply_configuration_change(&change, &entry.context)?;
                }
            }
        }
        Ok(())
    }

    /// Applies a configuration change and stores a snapshot, because a replica that joins rejects a snapshot
    /// whose configuration does not contain it. `context` holds the id and the name of the replica that the
    /// change concerns.
    fn apply_configuration_change(
        &mut self,
        change: &ConfChangeV2,
        context: &[u8],
    ) -> Result<(), ConsensusError> {
        let Some(node) = &mut self.raft_node else { return Ok(()) };
        let configuration = node.apply_conf_change(change)?;
        node.mut_store().set_configuration(configuration.clone());
        if let Ok((id, name)) = postcard::from_bytes::<(u64, ServerName)>(context) {
            self.replicas.insert(id, name);
        }
        let parts = [
            &configuration.voters,
            &configuration.learners,
            &configuration.voters_outgoing,
            &configuration.learners_next,
        ];
        self.replicas.retain(|id, _| parts.iter().any(|part| part.contains(id)));
        self.update_machine_voters();
        self.store_snapshot();
        Ok(())
    }

    /// Passes the names of the voters to the state machine.
    pub(super) fn update_machine_voters(&mut self) {
        let mut voters = self.voters();
        // The library returns the names in no defined order, and the state must be equal on all voters.
        voters.sort();
        if !voters.is_empty() {
            self.machine.set_voters(voters);
        }
    }
}

/// The part of `ready` that must be durable before its messages are sent and its entries applied.
fn write_batch(ready: &Ready) -> Result<WriteBatch, ConsensusError> {
    let mut batch = WriteBatch::default();
    let snapshot_index = ready.snapshot().get_metadata().index;
    if snapshot_index > 0 {
        batch.snapshot = Some((snapshot_index, encode(ready.snapshot())?));
        batch.clears_log = true;
    }
    for entry in ready.entries() {
        batch.entries.push((entry.index, encode(entry)?));
    }
    if let Some(hard_state) = ready.hs() {
        batch.hard_state = Some(encode(hard_state)?);
    }
    Ok(batch)
}
