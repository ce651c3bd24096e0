//! SIGTERM: everything read is answered before the exit, and nothing late is run.

use std::io::{Read, Write};

use loomflow_standins::*;

const LONG: f64 = 20_000.0;

fn bye(gateway: &mut Gateway) {
    let said = gateway.answer();
    assert_eq!((said.tag, said.word.as_str()), (0, "BYE"));
}

/// A gateway that has spoken, and rests.
fn resting(world: &World) -> Gateway {
    let mut gateway = world.gateway();
    gateway.send(&health(1, false));
    assert_eq!(gateway.answer().word, "UP");
    gateway
}

#[test]
fn an_idle_server_says_bye_and_ends() {
    let (mut world, _engine) = World::serving(site(LONG));
    let mut gateway = resting(&world);
    world.terminate();
    bye(&mut gateway);
    drop(gateway);
    assert_eq!(world.exit_code(), Some(0));
}

#[test]
fn until_the_grace_is_over_new_connections_and_requests_are_served() {
    let (mut world, engine) = World::serving(site(LONG));
    let old = resting(&world);
    world.terminate();
    let mut both = [old, world.gateway()];
    for (gateway, number) in both.iter_mut().zip(1..) {
        let id = gateway.call(2, "pay", b"x");
        assert_eq!(engine.expect("RUN").word(1), id);
        engine.done(number, &id, b"y");
        assert_eq!(gateway.answer().word, "OK");
    }
    for gateway in &mut both {
        bye(gateway);
        // A request that comes later never runs; its stamp is in whole ms.
        std::thread::sleep(std::time::Duration::from_millis(5));
        gateway.call(3, "pay", b"x");
        assert_eq!(gateway.answer().word, "BUSY");
    }
    drop(both);
    engine.is_closed();
    assert_eq!(world.exit_code(), Some(0));
}

#[test]
fn a_gateway_that_does_not_close_is_not_waited_for() {
    let (mut world, _engine) = World::serving(site(LONG));
    let mut gateway = world.gateway();
    world.terminate();
    bye(&mut gateway);
    assert_eq!(world.exit_code(), Some(0));
}

#[test]
fn what_runs_is_waited_for_and_answered_before_the_end() {
    let (mut world, engine) = World::serving(site(LONG));
    let ledger = world.ledger.open();
    let mut gateway = world.gateway();
    let a = gateway.call(1, "read", b"a");
    engine.expect("RUN");
    let b = gateway.call(2, "pay", b"b");
    engine.expect("RUN");
    engine.need(1, &b, b"call");
    let below = ledger.link();
    below.expect("post");
    world.terminate();
    bye(&mut gateway);
    assert!(world.is_running());
    below.say_body(&format!("{b} posted"), b"ok");
    engine.expect("FEED");
    engine.done(2, &b, b"B");
    assert_eq!(gateway.answer().body, b"B");
    engine.done(3, &a, &[9; 4096]);
    assert_eq!(gateway.answer().body, [9; 4096]);
    drop(gateway);
    assert_eq!(world.exit_code(), Some(0));
}

#[test]
fn what_does_not_end_is_answered_before_the_server_would_be_killed() {
    let (mut world, engine) = World::serving(site(LONG));
    let mut gateway = world.gateway();
    for tag in 1..=3 {
        gateway.call(tag, ["read", "pay", "book"][tag as usize - 1], b"x");
    }
    engine.expect("RUN");
    // Neither a result nor a link: all the same everything is answered.
    engine.cut();
    let start = std::time::Instant::now();
    world.terminate();
    bye(&mut gateway);
    let mut tags: Vec<u64> = (0..3).map(|_| gateway.answer().tag).collect();
    tags.sort_unstable();
    assert_eq!(tags, [1, 2, 3]);
    drop(gateway);
    assert_eq!(world.exit_code(), Some(0));
    assert!(start.elapsed() < PATIENCE / 2);
}

#[test]
fn a_second_notice_to_leave_changes_nothing() {
    let (mut world, engine) = World::serving(site(LONG));
    let mut gateway = world.gateway();
    let id = gateway.call(1, "read", b"x");
    engine.expect("RUN");
    world.terminate();
    bye(&mut gateway);
    world.terminate();
    gateway.is_quiet();
    engine.done(1, &id, b"y");
    assert_eq!(gateway.answer().body, b"y");
    drop(gateway);
    assert_eq!(world.exit_code(), Some(0));
}

#[test]
fn the_notice_may_come_before_the_engine_is_up() {
    let mut world = World::new(site(LONG));
    world.start("exec \"$0\" serve");
    let _engine = world.engine.link();
    let mut gateway = resting(&world);
    world.terminate();
    bye(&mut gateway);
    drop(gateway);
    assert_eq!(world.exit_code(), Some(0));
}

#[test]
fn a_notice_that_comes_before_the_engine_is_up_still_holds_when_it_comes_up() {
    let mut world = World::new(site(LONG));
    world.start("exec \"$0\" serve");
    let engine = world.engine.link();
    let mut gateway = world.gateway();
    gateway.send(&health(1, true));
    assert_eq!(gateway.answer().tag, 1);
    world.terminate();
    world.wait_for_log("shutdown requested");
    engine.hello("ATTACH 0");
    engine.is_quiet();
    gateway.call(2, "pay", b"x");
    assert_eq!(gateway.answer().word, "BUSY");
    gateway.send(&health(3, false));
    assert_eq!(gateway.answer().word, "DOWN");
    engine.is_quiet();
    drop(gateway);
    assert_eq!(world.exit_code(), Some(0));
}

#[test]
fn the_notice_to_leave_is_heard_while_the_address_is_still_in_use() {
    let mut world = World::new(site(LONG));
    let _former = std::net::TcpListener::bind(world.listen).expect("the address");
    world.start("exec \"$0\" serve");
    world.wait_for_log("the address is in use");
    world.terminate();
    assert_eq!(world.exit_code(), Some(0));
}

#[test]
fn an_address_that_is_in_use_for_longer_than_a_second_is_waited_for() {
    let mut world = World::new(site(LONG));
    let former = std::net::TcpListener::bind(world.listen).expect("the address");
    world.start("exec \"$0\" serve");
    world.wait_for_log("the address is in use");
    std::thread::sleep(std::time::Duration::from_millis(1_500));
    assert!(world.is_running());
    drop(former);
    world.engine.link().hello("ATTACH 0");
    world.wait_for_service();
}

/// Connections over the bound stand in the listen queue, where the system has accepted them: what was sent on them is
/// received.
#[test]
fn who_stands_in_the_listen_queue_as_the_server_closes_it_is_answered() {
    let mut world = World::new(site(LONG));
    // Half of them are for gateways.
    world.config["limits"]["sockets"] = 50.into();
    world.start("exec \"$0\" serve");
    let engine = world.engine.link();
    engine.hello("ATTACH 0");
    world.wait_for_service();
    let mut inside: Vec<Gateway> = Vec::new();
    for _ in 0..25 {
        let mut gateway = world.gateway();
        gateway.call(1, "pay", b"x");
        inside.push(gateway);
    }
    let mut outside = world.gateway();
    outside.call(7, "pay", b"x");
    outside.is_quiet();
    world.terminate();
    for gateway in &mut inside {
        bye(gateway);
    }
    // No room comes at once. Then those inside close, and the last of all hears, too, that it is not served.
    outside.is_quiet();
    drop(inside);
    let answer = loop {
        let answer = outside.answer();
        if answer.tag == 7 {
            break answer;
        }
        assert_eq!(answer.word, "BYE");
    };
    assert_eq!(answer.word, "BUSY");
    drop(outside);
    assert_eq!(world.exit_code(), Some(0));
}

/// A process that exits over unread bytes takes back what its peer has not read yet.
#[test]
fn a_gateway_that_rests_until_the_end_and_writes_just_then_reads_all_to_the_end() {
    let (mut world, _engine) = World::serving(site(LONG));
    let mut gateway = resting(&world);
    world.terminate();
    bye(&mut gateway);
    let over = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let (mut writer, told) = (gateway.stream.try_clone().expect("a clone"), over.clone());
    let _ = gateway
        .stream
        .try_clone()
        .expect("a clone")
        .write_all(b"*4\r\n$8\r\nRPC.CALL\r\n$4\r\n1234\r\n$1000\r\n");
    // A word of a thousand bytes that comes byte by byte, for as long as its reader has not seen the end.
    let writes = std::thread::spawn(move || {
        while !told.load(std::sync::atomic::Ordering::SeqCst) {
            let _ = writer.write(b"x");
            std::thread::sleep(std::time::Duration::from_millis(2));
        }
    });
    let mut bytes = [0; 256];
    gateway.stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    let end = loop {
        match gateway.stream.read(&mut bytes) {
            Ok(0) => break Ok(()),
            Ok(_) => {}
            Err(error) => break Err(error),
        }
    };
    over.store(true, std::sync::atomic::Ordering::SeqCst);
    writes.join().expect("the writer ends");
    assert!(end.is_ok(), "{end:?}");
    drop(gateway);
    assert_eq!(world.exit_code(), Some(0));
}

/// However little time there is until the kill: what was read is answered, and the process ends by itself.
#[test]
fn a_server_with_very_little_time_answers_what_it_has_and_ends() {
    for stop_ms in [200.0, 400.0, 800.0] {
        let mut world = World::new(site(LONG));
        world.config["stop_ms"] = stop_ms.into();
        world.start("exec \"$0\" serve");
        let engine = world.engine.link();
        engine.hello("ATTACH 0");
        world.wait_for_service();
        let (mut asks, mut rests) = (world.gateway(), resting(&world));
        for tag in 1..=8 {
            asks.call(tag, "pay", b"x");
        }
        engine.expect("RUN");
        world.terminate();
        let mut tags: Vec<u64> =
            (0..9).map(|_| asks.answer()).filter(|answer| answer.word != "BYE").map(|a| a.tag).collect();
        tags.sort_unstable();
        assert_eq!(tags, (1..=8).collect::<Vec<u64>>(), "stop_ms {stop_ms}");
        bye(&mut rests);
        assert_eq!(world.exit_code(), Some(0));
        rests.is_closed();
    }
}
