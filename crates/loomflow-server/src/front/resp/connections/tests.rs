use super::*;
use loomflow_protocol::gateway::MOST_OPEN;

fn opened(gateways: &mut Gateways) -> Arc<Outbox> {
    let outbox = Arc::new(Outbox::new(Some(MOST_OPEN)));
    gateways.opened(1, outbox.clone(), 0.0);
    outbox
}

fn roomy() -> Gateways {
    Gateways::new(0.0, usize::MAX, usize::MAX)
}

impl Gateways {
    fn spoken(&mut self, id: ConnectionId) {
        self.connections.get_mut(&id).unwrap().spoke = true;
    }
}

#[test]
fn where_room_is_short_silent_connections_go_first_and_then_the_longest_idle() {
    let mut gateways = Gateways::new(0.0, 2, usize::MAX);
    let all: Vec<Arc<Outbox>> = (1..=5)
        .map(|id| {
            let outbox = Arc::new(Outbox::new(Some(MOST_OPEN)));
            gateways.opened(id, outbox.clone(), id as f64);
            outbox
        })
        .collect();
    // 1 and 4 idle, 2 busy, 3 and 5 silent.
    for id in [1, 2, 4] {
        gateways.spoken(id);
    }
    assert_eq!(gateways.opens(2, 7), Tag::Opened);
    gateways.sweep(50.0);
    assert!(all.iter().all(|o| !o.is_ending()), "a new connection has a moment to speak");
    // The longest idle is asked before it is closed.
    assert!(all[0].added() > 0 && all[3].added() == 0);
    gateways.sweep(50.0 + AFTER_BYE_CROWDED - 1.0);
    assert!(!all[0].is_ending());
    gateways.sweep(200.0);
    let ending: Vec<bool> = all.iter().map(|o| o.is_ending()).collect();
    assert_eq!(ending, [true, false, true, false, true]);
}

#[test]
fn who_reads_least_is_broken_off_when_too_many_answers_wait() {
    let mut gateways = Gateways::new(0.0, usize::MAX, 10_000);
    let all: Vec<Arc<Outbox>> = [4_000, 5_000, 900]
        .into_iter()
        .zip(1..)
        .map(|(size, id)| {
            let outbox = Arc::new(Outbox::new(Some(MOST_OPEN)));
            gateways.opened(id, outbox.clone(), 0.0);
            gateways.spoken(id);
            outbox.add(|out| out.resize(size, 0));
            outbox
        })
        .collect();
    gateways.sweep(1.0);
    assert!(all.iter().all(|o| !o.is_ending()));
    all[2].add(|out| out.resize(out.len() + 200, 0));
    gateways.sweep(2.0);
    let ending: Vec<bool> = all.iter().map(|o| o.is_ending()).collect();
    assert_eq!(ending, [false, true, false]);
    assert!(all[1].all_written());
}

#[test]
fn a_stopped_connection_whose_peer_does_not_read_is_broken_off() {
    let mut gateways = roomy();
    let outbox = opened(&mut gateways);
    assert_eq!(gateways.opens(1, 7), Tag::Opened);
    outbox.taken();
    assert_eq!(gateways.stop(1, Ending::Malformed("x"), 0.0), [7]);
    gateways.answer(1, 7, Word::Failed, Advice::default(), &[], 0.0);
    gateways.sweep(UNREAD - 1.0);
    assert!(!outbox.all_written());
    gateways.sweep(UNREAD);
    assert!(outbox.all_written() && outbox.is_ending());
    // An answer after that is no longer counted as owed.
    outbox.answer(|_| {});
    assert!(outbox.all_written());
}

#[test]
fn a_connection_that_never_says_anything_is_closed() {
    let mut gateways = roomy();
    let outbox = opened(&mut gateways);
    gateways.sweep(SILENT - 1.0);
    assert!(!outbox.is_ending());
    gateways.sweep(SILENT);
    assert!(outbox.is_ending());
}

#[test]
fn idle_connections_are_told_bye_and_ended_a_while_after_where_that_was_asked_for() {
    let mut gateways = roomy();
    let outbox = opened(&mut gateways);
    gateways.spoken(1);
    gateways.sweep(1e6);
    assert_eq!(outbox.added(), 0);
    gateways.close_idle_after = Some(50.0);
    gateways.sweep(1e6);
    let bye = outbox.added();
    assert!(bye > 0 && !outbox.is_ending());
    gateways.sweep(1e6 + AFTER_BYE - 1.0);
    assert!(!outbox.is_ending());
    gateways.sweep(1e6 + AFTER_BYE);
    assert!(outbox.is_ending());
    assert_eq!(outbox.added(), bye);
}

#[test]
fn a_connection_with_a_request_open_is_not_idle() {
    let mut gateways = roomy();
    let outbox = opened(&mut gateways);
    gateways.close_idle_after = Some(50.0);
    assert_eq!(gateways.opens(1, 7), Tag::Opened);
    gateways.sweep(1e6);
    assert_eq!(outbox.added(), 0);
}

#[test]
fn every_answer_carries_the_free_value_once_there_is_one() {
    let mut gateways = roomy();
    let outbox = opened(&mut gateways);
    let answered = |gateways: &mut Gateways, tag| {
        let before = outbox.added();
        assert_eq!(gateways.opens(1, tag), Tag::Opened);
        outbox.taken();
        gateways.answer(1, tag, Word::Up, Advice::default(), &[], 0.0);
        outbox.added() - before
    };
    let without = answered(&mut gateways, 1);
    gateways.signal = Some(0.25);
    assert_eq!(answered(&mut gateways, 2), without + "signal=0.2500".len() as u64 + 1);
}

#[test]
fn what_was_read_as_its_connection_stopped_is_refused_and_not_dropped() {
    let mut gateways = roomy();
    let outbox = opened(&mut gateways);
    gateways.stop(1, Ending::Malformed("the rest of a message does not come"), 0.0);
    // The driver had read it before it heard so.
    outbox.taken();
    assert_eq!(gateways.opens(1, 7), Tag::Late);
    let before = outbox.added();
    gateways.answer(1, 7, Word::Busy, Advice::default(), &[], 0.0);
    assert!(outbox.added() > before);
    // Of one whose peer has gone nobody hears.
    let mut gateways = roomy();
    let outbox = opened(&mut gateways);
    gateways.stop(1, Ending::PeerClosed, 0.0);
    outbox.taken();
    assert_eq!(gateways.opens(1, 7), Tag::Unheard);
}

#[test]
fn one_that_ends_and_whose_peer_does_not_read_is_broken_off_whoever_made_the_end() {
    let mut gateways = Gateways::new(50.0, usize::MAX, usize::MAX);
    let outbox = opened(&mut gateways);
    gateways.spoken(1);
    gateways.sweep(50.0);
    gateways.sweep(50.0 + AFTER_BYE);
    assert!(outbox.is_ending() && !outbox.all_written());
    gateways.sweep(50.0 + AFTER_BYE + UNREAD - 1.0);
    assert!(!outbox.all_written());
    gateways.sweep(50.0 + AFTER_BYE + UNREAD);
    assert!(outbox.all_written());
}

#[test]
fn a_process_that_leaves_waits_for_every_connection_to_be_closed_in_order() {
    let mut gateways = roomy();
    let outbox = opened(&mut gateways);
    assert!(!gateways.settled(0.0));
    gateways.leave(2_000.0, 2_300.0, 0.0);
    gateways.sweep(AFTER_BYE);
    assert!(outbox.is_ending() && !gateways.settled(AFTER_BYE));
    gateways.ended(1);
    // Its peer may still be reading its last answers.
    assert!(!gateways.settled(AFTER_BYE));
    gateways.closed(1);
    assert!(gateways.settled(AFTER_BYE));
}

#[test]
fn a_peer_that_reads_nothing_does_not_keep_a_process_that_leaves_until_it_is_killed() {
    let mut gateways = roomy();
    let outbox = opened(&mut gateways);
    gateways.leave(700.0, 1_000.0, 400.0);
    // Half of what is left is for the peers to close.
    gateways.sweep(549.0);
    assert!(!outbox.is_ending());
    gateways.sweep(550.0);
    assert!(outbox.is_ending());
    assert!(!gateways.settled(1_000.0 - BEFORE_KILL - 1.0) && gateways.settled(1_000.0 - BEFORE_KILL));
}

#[test]
fn one_that_ends_is_waited_for_while_its_peer_reads_however_slowly_but_not_for_good() {
    let ends = Ends { since: 0.0, written: 0, stands_since: 0.0 };
    let mut stands = ends;
    assert!(!stands.is_unread(0, 0.0, UNREAD - 1.0) && stands.is_unread(0, 0.0, UNREAD));
    let mut reads = ends;
    let mut now = 0.0;
    for written in 1.. {
        now += UNREAD - 1.0;
        if reads.is_unread(written, 0.0, now) {
            break;
        }
    }
    assert!((UNREAD_WHOLE..UNREAD_WHOLE + UNREAD).contains(&now), "{now}");
    // What was owed later has its time from then on.
    assert!(!reads.is_unread(100, now, now + UNREAD - 1.0));
}

#[test]
fn one_whose_peer_had_spoken_before_the_close_is_not_taken_to_be_ending() {
    let mut gateways = Gateways::new(50.0, usize::MAX, usize::MAX);
    let outbox = opened(&mut gateways);
    gateways.spoken(1);
    gateways.sweep(50.0);
    gateways.sweep(50.0 + AFTER_BYE);
    assert!(outbox.is_ending());
    // Its driver found more on it.
    assert!(outbox.resume() && !outbox.resume());
    let at = 50.0 + AFTER_BYE + UNREAD;
    gateways.sweep(at - 1.0);
    assert!(outbox.is_ending() && !outbox.all_written(), "idle again, and its end begins anew");
    gateways.sweep(at);
    assert!(!outbox.all_written(), "not broken off for an end that was taken back");
}

#[test]
fn where_there_is_no_room_left_half_of_all_go_the_longest_idle_first() {
    let sixteen_held = |most: usize| {
        let mut gateways = Gateways::new(0.0, 12, usize::MAX).with_most(most);
        let all: Vec<Arc<Outbox>> = (1..=16)
            .map(|id| {
                let outbox = Arc::new(Outbox::new(Some(MOST_OPEN)));
                gateways.opened(id, outbox.clone(), id as f64);
                gateways.spoken(id);
                outbox
            })
            .collect();
        gateways.sweep(50.0);
        all.iter().map(|outbox| outbox.added() > 0).collect::<Vec<bool>>()
    };
    let first = |count: usize| (0..16).map(|at| at < count).collect::<Vec<bool>>();
    assert_eq!(sixteen_held(17), first(4), "room is short");
    assert_eq!(sixteen_held(16), first(8), "there is none");
}
