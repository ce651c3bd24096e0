use super::*;
use crate::fixtures::ticket_request;

/// A running campaign of three tickets in batches of two, and the state that its tickets are created in.
fn started_campaign() -> (Campaigns, MaintenanceState) {
    let (mut campaigns, mut maintenance) = (Campaigns::default(), MaintenanceState::default());
    let requests = ["a", "b", "c"].map(ticket_request).to_vec();
    let start = CampaignCommand::Start { name: "kernel".into(), requests, batch_size: 2 };
    assert_eq!(campaigns.apply(&mut maintenance, 1, "ops", &start), Ok(vec![]));
    (campaigns, maintenance)
}

fn next_batch(from_index: u32) -> CampaignCommand {
    CampaignCommand::Next { name: "kernel".into(), from_index, share_before: 0.9, token: 1 }
}

/// A running campaign after its first batch, whose servers had a mean share of 0.9 before.
fn view_after_batch(last_batch: &[(&str, Option<TicketStage>)], share_now: Option<f32>) -> CampaignView {
    CampaignView {
        name: "kernel".into(),
        requested_by: "ops".into(),
        status: CampaignStatus::Running,
        next_index: 2,
        total: 3,
        last_batch: last_batch.iter().map(|(name, stage)| (name.to_string(), *stage)).collect(),
        share_before: 0.9,
        share_now,
        next_batch_share: Some(0.8),
    }
}

#[test]
fn repeated_batch_is_rejected_and_the_next_continues_after_it() {
    let (mut campaigns, mut maintenance) = started_campaign();
    assert_eq!(campaigns.apply(&mut maintenance, 2, "n1", &next_batch(0)), Ok(vec![1, 2]));
    assert!(
        campaigns.apply(&mut maintenance, 3, "n2", &next_batch(0)).is_err(),
        "a new owner repeats the first batch from outdated progress"
    );
    assert_eq!(maintenance.open().len(), 2);
    assert_eq!(campaigns.apply(&mut maintenance, 4, "n2", &next_batch(2)), Ok(vec![3]));
    assert_eq!(campaigns.apply(&mut maintenance, 5, "n2", &next_batch(3)), Ok(vec![]));
    assert!(!campaigns.is_any_running());
}

#[test]
fn campaign_halts_when_share_drops_or_a_ticket_fails() {
    let done = Some(TicketStage::Done);
    let batch = |a, b| [("a", a), ("b", b)];
    assert_eq!(
        next_step(&view_after_batch(&batch(done, Some(TicketStage::Offline)), Some(0.9))),
        None,
        "a ticket of the batch is still open"
    );
    let continues = Some(CampaignStep::Next { from_index: 2, share_before: 0.8 });
    assert_eq!(next_step(&view_after_batch(&batch(done, done), Some(0.85))), continues);
    assert_eq!(
        next_step(&view_after_batch(&batch(done, done), None)),
        None,
        "a server of the batch has no load report"
    );
    assert_eq!(
        next_step(&view_after_batch(&[], None)),
        continues,
        "there is no last batch: the first batch, or after a resume"
    );
    for (last_batch, share_now) in [
        (batch(done, done), Some(0.7)),
        (batch(done, Some(TicketStage::Overdue)), Some(0.9)),
        (batch(Some(TicketStage::Lapsed), Some(TicketStage::Offline)), Some(0.9)),
    ] {
        assert!(
            matches!(
                next_step(&view_after_batch(&last_batch, share_now)),
                Some(CampaignStep::Halt { from_index: 2, .. })
            ),
            "{last_batch:?}"
        );
    }
    let halted = CampaignView {
        status: CampaignStatus::Halted(String::new()),
        ..view_after_batch(&batch(done, done), Some(0.9))
    };
    assert_eq!(next_step(&halted), None);
}

#[test]
fn halted_campaign_continues_only_after_resume() {
    let (mut campaigns, mut maintenance) = started_campaign();
    campaigns.apply(&mut maintenance, 2, "n1", &next_batch(0)).unwrap();
    let halt =
        CampaignCommand::Halt { name: "kernel".into(), from_index: 2, reason: "worse".into(), token: 1 };
    assert_eq!(campaigns.apply(&mut maintenance, 3, "n1", &halt), Ok(vec![]));
    assert!(campaigns.apply(&mut maintenance, 4, "n1", &next_batch(2)).is_err());
    assert_eq!(
        campaigns.apply(&mut maintenance, 5, "ops", &CampaignCommand::Resume("kernel".into())),
        Ok(vec![])
    );
    assert_eq!(campaigns.apply(&mut maintenance, 6, "n1", &next_batch(2)), Ok(vec![3]));
    assert!(campaigns.apply(&mut maintenance, 7, "ops", &CampaignCommand::Drop("other".into())).is_err());
}

#[test]
fn invalid_campaign_is_rejected_with_the_limit() {
    let start = |name: &str, batch_size| {
        let requests = vec![ticket_request("a")];
        let command = CampaignCommand::Start { name: name.into(), requests, batch_size };
        let result = Campaigns::default().apply(&mut MaintenanceState::default(), 1, "ops", &command);
        result.map_err(|rejection| rejection.to_string())
    };
    assert_eq!(start("kernel", 1), Ok(vec![]));
    assert_eq!(start("", 1), Err("campaign \"\": a name has 1 to 64 bytes".into()));
    let expected = "campaign \"kernel\": a batch of one at least, and 1 to 10,000 tickets";
    assert_eq!(start("kernel", 0), Err(expected.into()));
}

#[test]
fn thousands_are_grouped_by_commas() {
    assert_eq!([0, 999, 1_000, 10_005].map(group_thousands), ["0", "999", "1,000", "10,005"]);
}
