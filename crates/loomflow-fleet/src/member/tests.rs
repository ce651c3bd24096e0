use super::*;

fn identity(incarnation: Incarnation, renewals: u16) -> MemberIdentity {
    MemberIdentity {
        renewals,
        ..MemberIdentity::new("a".into(), "z".into(), ([127, 0, 0, 1], 1).into(), incarnation)
    }
}

#[test]
fn a_later_start_wins_over_any_renewal_of_a_former_one() {
    assert!(identity(2, 0).win_addr_conflict(&identity(1, 9)));
    assert!(!identity(1, 9).win_addr_conflict(&identity(2, 0)));
    assert!(!identity(1, 1).win_addr_conflict(&identity(1, 1)));
    let again = identity(1, 1).renew().unwrap();
    assert!(again.win_addr_conflict(&identity(1, 1)));
    assert_eq!(identity(1, u16::MAX).renew(), None);
}

#[test]
fn an_identity_is_the_same_after_it_was_sent() {
    let told = postcard::to_stdvec(&identity(3, 2)).unwrap();
    let heard: MemberIdentity = postcard::from_bytes(&told).unwrap();
    assert_eq!((heard.addr(), heard), (identity(3, 2).addr(), identity(3, 2)));
    let other = MemberIdentity::new("b".into(), "z".into(), identity(3, 2).address, 3);
    assert_ne!(other.addr(), identity(3, 2).addr());
}

#[test]
fn a_load_report_with_impossible_figures_is_invalid() {
    let good = LoadReport { share: 1.0, ..LoadReport::default() };
    assert!(good.is_valid());
    for bad in [f32::NAN, f32::INFINITY, -1.0] {
        assert!(!LoadReport { running: bad, ..good }.is_valid());
    }
    assert!(!LoadReport { share: 1.5, ..good }.is_valid());
}
