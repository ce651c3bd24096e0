use super::*;
use crate::fixtures::ticket_request;

fn started() -> (Campaigns, MaintenanceState) {
    let (mut campaigns, mut maintenance) = (Campaigns::default(), MaintenanceState::default());
    let requests = ["a", "b", "c"].map(ticket_request).to_vec();
    let start = CampaignCommand::Start { name: "kernel".into(), requests, batch_size: 2 };
    assert_eq!(campaigns.apply(&mut maintenance, 1, "ops", &start), Ok(vec![]));
    (campaigns, maintenance)
}

fn next(from_index: u32) -> CampaignCommand {
    CampaignCommand::Next { name: "kernel".into(), from_index, share_before: 0.9, token: 1 }
}

fn view(last: &[(&str, Option<TicketStage>)], now: Option<f32>) -> CampaignView {
    CampaignView {
        name: "kernel".into(),
        requested_by: "ops".into(),
        status: CampaignStatus::Running,
        next_index: 2,
        total: 3,
        last_batch: last.iter().map(|(name, stage)| (name.to_string(), *stage)).collect(),
        share_before: 0.9,
        share_now: now,
        next_batch_share: Some(0.8),
    }
}

#[test]
fn a_batch_that_is_requested_twice_is_rejected_and_the_next_continues_after_it() {
    let (mut campaigns, mut maintenance) = started();
    assert_eq!(campaigns.apply(&mut maintenance, 2, "n1", &next(0)), Ok(vec![1, 2]));
    assert!(
        campaigns.apply(&mut maintenance, 3, "n2", &next(0)).is_err(),
        "by another owner, from what it knew"
    );
    assert_eq!(maintenance.open().len(), 2);
    assert_eq!(campaigns.apply(&mut maintenance, 4, "n2", &next(2)), Ok(vec![3]));
    assert_eq!(campaigns.apply(&mut maintenance, 5, "n2", &next(3)), Ok(vec![]));
    assert!(!campaigns.is_any_running());
}

#[test]
fn a_campaign_halts_when_a_batch_comes_back_worse_or_not_at_all() {
    let done = Some(TicketStage::Done);
    let both = |a, b| [("a", a), ("b", b)];
    assert_eq!(next_step(&view(&both(done, Some(TicketStage::Out)), Some(0.9))), None, "one is still out");
    let on = Some(CampaignStep::Next { from_index: 2, share_before: 0.8 });
    assert_eq!(next_step(&view(&both(done, done), Some(0.85))), on);
    assert_eq!(next_step(&view(&both(done, done), None)), None, "nothing is known of them");
    assert_eq!(next_step(&view(&[], None)), on, "resumed, or the first");
    for (last, now) in [
        (both(done, done), Some(0.7)),
        (both(done, Some(TicketStage::Overdue)), Some(0.9)),
        (both(Some(TicketStage::Lapsed), Some(TicketStage::Out)), Some(0.9)),
    ] {
        assert!(
            matches!(next_step(&view(&last, now)), Some(CampaignStep::Halt { from_index: 2, .. })),
            "{last:?}"
        );
    }
    let halted =
        CampaignView { status: CampaignStatus::Halted(String::new()), ..view(&both(done, done), Some(0.9)) };
    assert_eq!(next_step(&halted), None);
}

#[test]
fn a_halted_campaign_continues_only_when_it_is_resumed() {
    let (mut campaigns, mut maintenance) = started();
    campaigns.apply(&mut maintenance, 2, "n1", &next(0)).unwrap();
    let halt =
        CampaignCommand::Halt { name: "kernel".into(), from_index: 2, reason: "worse".into(), token: 1 };
    assert_eq!(campaigns.apply(&mut maintenance, 3, "n1", &halt), Ok(vec![]));
    assert!(campaigns.apply(&mut maintenance, 4, "n1", &next(2)).is_err());
    assert_eq!(
        campaigns.apply(&mut maintenance, 5, "ops", &CampaignCommand::Resume("kernel".into())),
        Ok(vec![])
    );
    assert_eq!(campaigns.apply(&mut maintenance, 6, "n1", &next(2)), Ok(vec![3]));
    assert!(campaigns.apply(&mut maintenance, 7, "ops", &CampaignCommand::Drop("other".into())).is_err());
}

#[test]
fn a_campaign_beyond_a_limit_is_rejected_with_the_limit() {
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
fn thousands_are_separated_by_a_comma() {
    assert_eq!([0, 999, 1_000, 10_005].map(group_thousands), ["0", "999", "1,000", "10,005"]);
}
