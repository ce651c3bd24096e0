use super::*;

#[test]
fn attempts_alternate_between_the_leader_and_the_other_voters() {
    let voters = ["a", "b"].map(ServerName::from);
    let receivers = |leader: Option<&str>| -> Vec<Option<ServerName>> {
        (1..=4).map(|attempts| receiver_of_attempt(attempts, leader.map(ServerName::from), &voters)).collect()
    };
    assert_eq!(receivers(Some("b")), ["b", "b", "b", "a"].map(|name| Some(name.into())));
    assert_eq!(receivers(None), ["a", "b", "b", "a"].map(|name| Some(name.into())));
    assert_eq!(receiver_of_attempt(1, None, &[]), None);
}
