use super::*;
use loomflow_fleet::member::Replica;

/// Random batches, with the file reopened before each, leave the same state on the disk as [`PersistedState::apply`].
#[test]
fn reopened_storage_holds_the_applied_batches() {
    let directory = std::env::temp_dir().join(format!("loomflow-store-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&directory);
    let mut rng = fastrand::Rng::with_seed(7);
    let (mut expected, mut next) = (PersistedState::default(), 1u64);
    for round in 0..60 {
        let mut storage = RedbStorage::new(&directory);
        let first = rng.u64(next.saturating_sub(3).max(1)..=next);
        let count = rng.u64(0..5);
        next = if count > 0 { first + count } else { next };
        let metadata = ReplicaMetadata { incarnation: round, replica: Replica { id: 3, group: round } };
        let batch = WriteBatch {
            metadata: (round % 7 == 0).then_some(metadata),
            hard_state: rng.bool().then(|| vec![round as u8; 9]),
            snapshot: (round % 11 == 10).then(|| (next.saturating_sub(2), vec![1; 40])),
            entries: (first..first + count).map(|at| (at, vec![at as u8; 20])).collect(),
            clears_log: round % 23 == 22,
        };
        storage.write(&batch).unwrap();
        expected.apply(&batch);
        assert_eq!(storage.read().unwrap(), expected, "round {round}");
    }
    let _ = std::fs::remove_dir_all(&directory);
}

#[test]
fn the_error_names_a_directory_that_cannot_be_created() {
    let file = std::env::temp_dir().join(format!("loomflow-no-folder-{}", std::process::id()));
    std::fs::write(&file, "").unwrap();
    let error = RedbStorage::new(&file.join("below")).read().unwrap_err().to_string();
    let _ = std::fs::remove_file(&file);
    assert!(error.contains("below"), "{error}");
}
