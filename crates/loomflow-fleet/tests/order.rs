//! The order's machine under generated entries, in any order and of any sense: what must hold does.

use loomflow_fleet::agreement::Machine;
use loomflow_fleet::order::rules::{Amount, Rules};
use loomflow_fleet::order::state::{MOST_EVENTS, MOST_OPEN, MOST_OVER, Order};
use loomflow_fleet::order::ticket::{Move, Refusal, Stage, Urgency, Wanted};
use loomflow_fleet::order::{Answer, By, Census, Command, Entry};
use proptest::prelude::*;

const SERVERS: usize = 6;

fn wanted(server: usize) -> Wanted {
    Wanted {
        server: format!("n{server}"),
        zone: format!("z{}", server % 2),
        reason: "test".into(),
        urgency: Urgency::Routine,
        lasts: 20_000,
        window: (server == 5).then_some((1_000, 30_000)),
    }
}

fn census(away: &[usize]) -> Census {
    let zone = |server: usize| format!("z{}", server % 2);
    Census {
        zones: vec![("z0".into(), 3), ("z1".into(), 3)],
        away: away.iter().map(|server| (format!("n{server}"), zone(*server))).collect(),
    }
}

fn by() -> impl Strategy<Value = By> {
    prop_oneof![
        Just(By::Leader),
        Just(By::Operator("ops".into())),
        (0..SERVERS, 1u64..4).prop_map(|(n, incarnation)| By::Server { name: format!("n{n}"), incarnation }),
    ]
}

fn command() -> impl Strategy<Value = Command> {
    let moves = (1u64..12, proptest::sample::select(Move::ALL.to_vec()), 0u64..12, 1u64..4);
    let away = proptest::collection::vec(0..SERVERS, 0..2);
    prop_oneof![
        2 => (0..SERVERS).prop_map(|n| Command::Ask(vec![wanted(n)])),
        8 => moves.prop_map(|(ticket, by, grant, incarnation)| Command::Move { ticket, by, grant, incarnation }),
        4 => (1u64..12, 1u64..4, away).prop_map(|(ticket, incarnation, away)| {
            Command::Grant { ticket, incarnation, census: census(&away) }
        }),
        1 => Just(Command::Clock),
        1 => prop_oneof![Just(Command::Pause("x".into())), Just(Command::Resume)],
    ]
}

fn put(order: &mut Order, entry: &Entry) -> Option<Answer> {
    order.apply(&postcard::to_stdvec(entry).unwrap()).map(|(_, answer)| answer)
}

/// A machine with voters and room for two, one of them in each zone.
fn machine() -> Order {
    let mut order = Order::default();
    order.voters(vec!["n0".into(), "n1".into(), "n2".into()]);
    let rules = Rules { out: Amount::Count(2), zone_out: Some(Amount::Count(1)), ..Rules::default() };
    put(&mut order, &Entry { id: u128::MAX, at: 0, by: By::Leader, command: Command::Rules(rules) });
    order
}

proptest! {
    #[test]
    fn no_entries_break_the_budget_or_what_is_kept(
        entries in proptest::collection::vec((by(), command(), 0u64..8_000), 1..120),
    ) {
        let (mut order, mut at) = (machine(), 0);
        for (number, (by, command, passed)) in entries.into_iter().enumerate() {
            at += passed;
            let time = order.time();
            let entry = Entry { id: number as u128, at, by, command };
            let answer = put(&mut order, &entry);
            prop_assert!(order.time() >= time, "time goes on");
            // Each server holds at most one place; of each zone at most one is out, of the voters at most one.
            let holders: Vec<&str> = order.holders().keys().map(String::as_str).collect();
            prop_assert!(holders.len() <= 2, "{holders:?}");
            let held = order.open().values().filter(|ticket| ticket.stage.holds_place()).count();
            prop_assert_eq!(held, holders.len());
            for zone in ["z0", "z1"] {
                let here = order.holders().values().filter(|id| order.open()[*id].wanted.zone == zone).count();
                prop_assert!(here <= 1, "{zone}");
            }
            let voters = holders.iter().filter(|name| ["n0", "n1", "n2"].contains(name)).count();
            prop_assert!(voters <= 1, "{holders:?}");
            // A repeat gets the same and does nothing.
            if !matches!(entry.by, By::Leader) {
                let before = order.save();
                prop_assert_eq!(put(&mut order, &entry), answer);
                prop_assert_eq!(before, order.save());
            }
            // What is read back is the same, and goes on the same.
            let mut back = Order::load(&order.save()).unwrap();
            prop_assert_eq!(back.holders(), order.holders());
            prop_assert_eq!(back.next_due(), order.next_due());
            let later = Entry { id: 1 << 100, at: at + 50_000, by: By::Leader, command: Command::Clock };
            put(&mut back, &later);
            let mut same = order.clone();
            put(&mut same, &later);
            prop_assert_eq!(back.save(), same.save());
        }
    }

    #[test]
    fn no_bytes_make_it_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut order = machine();
        let _ = order.apply(&bytes);
        let _ = Order::load(&bytes);
    }
}

#[test]
fn ten_thousand_asked_at_once_are_taken_and_what_is_beyond_the_bound_is_refused_whole() {
    let many = |from: usize, count: usize| Command::Ask((from..from + count).map(wanted).collect());
    let ask = |id, command| Entry { id, at: 0, by: By::Operator("ops".into()), command };
    let mut order = machine();
    match put(&mut order, &ask(1, many(0, 10_000))) {
        Some(Answer::Done(tickets)) => assert_eq!(tickets.len(), 10_000),
        other => panic!("{other:?}"),
    }
    let refused = put(&mut order, &ask(2, many(20_000, 3_000)));
    assert_eq!(refused, Some(Answer::Refused(Refusal::TooMany(10_000))));
    assert_eq!(order.open().len(), 10_000);
    assert!(order.events().count() <= MOST_EVENTS && MOST_OPEN >= 10_000);
    let back = Order::load(&order.save()).unwrap();
    assert_eq!(back.open(), order.open());
    // All withdrawn: the history is bounded.
    for id in 1..=10_000u64 {
        let withdraw = Command::Move { ticket: id, by: Move::Withdraw, grant: 0, incarnation: 0 };
        put(&mut order, &ask(u128::from(id) + 10, withdraw));
    }
    assert_eq!((order.open().len(), order.over().count()), (0, MOST_OVER));
    assert!(order.over().all(|ticket| ticket.stage == Stage::Withdrawn));
    assert!(order.save().len() < 1 << 20, "{}", order.save().len());
}
