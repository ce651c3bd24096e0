use super::*;

fn identity(incarnation: Incarnation, renewals: u16) -> MemberIdentity {
    MemberIdentity {
        renewals,
        ..MemberIdentity::new("a".into(), "z".into(), ([127, 0, 0, 1], 1).into(), incarnation)
    }
}

#[test]
fn a_later_start_wins_over_any_life_of_the_former() {
    assert!(identity(2, 0).win_addr_conflict(&identity(1, 9)));
    assert!(!identity(1, 9).win_addr_conflict(&identity(2, 0)));
    assert!(!identity(1, 1).win_addr_conflict(&identity(1, 1)));
    let again = identity(1, 1).renew().unwrap();
    assert!(again.win_addr_conflict(&identity(1, 1)));
    assert_eq!(identity(1, u16::MAX).renew(), None);
}

#[test]
fn what_is_told_of_a_member_makes_the_same_member() {
    let told = postcard::to_stdvec(&identity(3, 2)).unwrap();
    let heard: MemberIdentity = postcard::from_bytes(&told).unwrap();
    assert_eq!((heard.addr(), heard), (identity(3, 2).addr(), identity(3, 2)));
    let other = MemberIdentity::new("b".into(), "z".into(), identity(3, 2).address, 3);
    assert_ne!(other.addr(), identity(3, 2).addr());
}

#[test]
fn figures_that_no_module_has_are_not_sound() {
    let good = LoadReport { share: 1.0, ..LoadReport::default() };
    assert!(good.is_valid());
    for bad in [f32::NAN, f32::INFINITY, -1.0] {
        assert!(!LoadReport { running: bad, ..good }.is_valid());
    }
    assert!(!LoadReport { share: 1.5, ..good }.is_valid());
}
