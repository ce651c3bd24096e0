use super::*;

fn identity(incarnation: Incarnation, renewals: u16) -> MemberIdentity {
    MemberIdentity {
        renewals,
        ..MemberIdentity::new("a".into(), "z".into(), ([127, 0, 0, 1], 1).into(), incarnation)
    }
}

#[test]
fn a_later_start_wins_over_any_renewal_of_an_earlier_one() {
    assert!(identity(2, 0).win_addr_conflict(&identity(1, 9)));
    assert!(!identity(1, 9).win_addr_conflict(&identity(2, 0)));
    assert!(!identity(1, 1).win_addr_conflict(&identity(1, 1)));
    let renewed = identity(1, 1).renew().unwrap();
    assert!(renewed.win_addr_conflict(&identity(1, 1)));
    assert_eq!(identity(1, u16::MAX).renew(), None);
}

#[test]
fn an_identity_is_equal_after_encoding_and_decoding() {
    let encoded = postcard::to_stdvec(&identity(3, 2)).unwrap();
    let decoded: MemberIdentity = postcard::from_bytes(&encoded).unwrap();
    assert_eq!((decoded.addr(), decoded), (identity(3, 2).addr(), identity(3, 2)));
    let other = MemberIdentity::new("b".into(), "z".into(), identity(3, 2).address, 3);
    assert_ne!(other.addr(), identity(3, 2).addr());
}

#[test]
fn a_load_report_with_impossible_figures_is_invalid() {
    let valid = LoadReport { share: 1.0, ..LoadReport::default() };
    assert!(valid.is_valid());
    for figure in [f32::NAN, f32::INFINITY, -1.0] {
        assert!(!LoadReport { running: figure, ..valid }.is_valid());
    }
    assert!(!LoadReport { share: 1.5, ..valid }.is_valid());
}
