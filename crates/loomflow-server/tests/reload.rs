//! SIGHUP: new addresses count at once, nothing in hand is lost, and a bad file changes nothing.

use loomflow_standins::*;

const LONG: f64 = 20_000.0;

#[test]
fn engine_ledger_and_control_plane_move_with_runs_and_calls_in_hand() {
    let (mut world, engine) = World::serving(site(LONG));
    let old_ledger = world.ledger.open();
    let mut gateway = world.gateway();
    let running = gateway.call(1, "pay", b"a");
    engine.expect("RUN");
    let calling = gateway.call(2, "pay", b"b");
    engine.expect("RUN");
    engine.need(1, &calling, b"call");
    let old_call = old_ledger.link();
    old_call.expect("post");
    let held = world.moved();
    world.signal("HUP");
    // The new link goes on where the old one was.
    let moved = world.engine.link();
    moved.hello_replaying("ATTACH 1", &[(format!("DONE 2 {running} fine 5"), b"A")]);
    assert_eq!(gateway.answer().body, b"A");
    // A call in hand is finished where it was made; its reply and all later calls go the new way.
    old_call.say_body(&format!("{calling} posted"), b"ok");
    assert_eq!(moved.expect("FEED").word(1), calling);
    let ledger = world.ledger.open();
    moved.need(3, &calling, b"second");
    ledger.link().expect("post");
    old_ledger.has_no_link();
    assert!(world.control.report().ends_with("{\"condition\":\"Ready\"}"));
    // The old link takes nothing more, and ends.
    engine.is_closed();
    drop(held);
    assert!(world.is_running());
}

#[test]
fn commands_said_just_before_a_move_are_not_lost() {
    let (mut world, engine) = World::serving(site(LONG));
    let mut gateway = world.gateway();
    let _old = world.moved();
    let id = gateway.call(1, "read", b"x");
    engine.expect("RUN");
    world.signal("HUP");
    let moved = world.engine.link();
    moved.hello("ATTACH 0");
    // A second RUN of what runs already does nothing, and this one has no effect.
    assert_eq!(moved.expect("RUN").word(1), id);
    moved.done(1, &id, b"y");
    assert_eq!(gateway.answer().word, "OK");
}

#[test]
fn a_file_that_cannot_be_used_changes_nothing_and_one_line_names_the_key() {
    let (mut world, engine) = World::serving(site(LONG));
    let mut gateway = world.gateway();
    let good = world.config.clone();
    let mut wrong = good.clone();
    wrong["ledger"] = "nowhere".into();
    let cases = [
        (Some(wrong.to_string()), "ledger: not an address"),
        (Some(good.to_string()[..200].to_owned()), "not JSON"),
        (Some("[".repeat(100_000)), "not JSON"),
        (Some(String::new()), "not JSON: EOF"),
        (None, "cannot be read"),
    ];
    for (number, (text, why)) in (1..).zip(cases) {
        match text {
            Some(text) => world.write(&text),
            None => world.remove_file(),
        }
        world.signal("HUP");
        world.wait_for_log(why);
        let id = gateway.call(number, "read", b"x");
        engine.expect("RUN");
        engine.done(number, &id, b"y");
        assert_eq!(gateway.answer().word, "OK");
    }
    // The same file again disturbs nothing; what cannot change is named.
    let mut other = good;
    other["seed"] = "1".into();
    other["limits"]["sockets"] = 99.into();
    world.write(&other.to_string());
    world.signal("HUP");
    world.wait_for_log("these keys take effect at the next start keys=\"limits.sockets, seed\"");
    engine.is_quiet();
    assert!(world.is_running());
}

#[test]
fn two_moves_at_once_and_one_while_the_link_is_down_end_at_the_last_address() {
    let (mut world, engine) = World::serving(site(LONG));
    let mut gateway = world.gateway();
    engine.cut();
    let first = world.moved();
    world.signal("HUP");
    let second = world.moved();
    world.signal("HUP");
    let engine = world.engine.link();
    engine.hello("ATTACH 0");
    let id = gateway.call(1, "pay", b"x");
    assert_eq!(engine.expect("RUN").word(1), id);
    engine.done(1, &id, b"y");
    assert_eq!(gateway.answer().word, "OK");
    drop((first, second));
}

#[test]
fn a_move_while_leaving_still_answers_all_that_is_held() {
    let (mut world, engine) = World::serving(site(LONG));
    let mut gateway = world.gateway();
    let id = gateway.call(1, "pay", b"x");
    engine.expect("RUN");
    let _old = world.moved();
    world.terminate();
    assert_eq!(gateway.answer().word, "BYE");
    world.signal("HUP");
    let moved = world.engine.link();
    moved.hello("ATTACH 0");
    moved.done(1, &id, b"y");
    assert_eq!(gateway.answer().word, "OK");
    drop(gateway);
    assert_eq!(world.exit_code(), Some(0));
}

#[test]
fn terms_count_at_once_and_what_would_break_a_rule_changes_nothing() {
    let (world, engine) = World::serving(site(LONG));
    let mut gateway = world.gateway();
    let ask = |gateway: &mut Gateway, tag, owner: &str| {
        let fields = fields(&fresh_id()).replace("owner=acme", &format!("owner={owner}"));
        gateway.send(&call(tag, "read", &fields, b"x"));
    };
    ask(&mut gateway, 1, "newcomer");
    assert_eq!(gateway.answer().word, "FAILED");
    // A new tenant, and an aim: taken up. The order of the lists does not matter.
    let mut new = world.config.clone();
    let tenants = new["settings"]["Orgs"].as_array_mut().unwrap();
    tenants.insert(0, serde_json::json!({"Name": "newcomer", "QuotaPerS": 5.0}));
    new["settings"]["Classes"][0]["OnTime"] = 100.0.into();
    world.write(&new.to_string());
    world.signal("HUP");
    world.wait_for_log("live=\"settings.Classes[read].OnTime, settings.Orgs[newcomer]\"");
    ask(&mut gateway, 2, "newcomer");
    let run = engine.expect("RUN");
    engine.done(1, run.word(1), b"y");
    assert_eq!(gateway.answer().word, "OK");
    // One that would break rules is turned down whole: its address does not count either.
    let mut bad = new.clone();
    bad["settings"]["Classes"][2]["Effect"] = "safe".into();
    bad["settings"]["Rules"]["DrainGrace"] = 3000.0.into();
    bad["engine"] = world.ledger.address.to_string().into();
    world.write(&bad.to_string());
    world.signal("HUP");
    world.wait_for_log(
        "key=\"settings.Classes[book].Effect\" value=\"safe\" rule=\"what has run could be run again\"",
    );
    world.wait_for_log("settings.Rules.DrainGrace");
    ask(&mut gateway, 3, "acme");
    let run = engine.expect("RUN");
    engine.done(2, run.word(1), b"y");
    assert_eq!(gateway.answer().word, "OK");
    // A class in use stays.
    let mut gone = new;
    gone["settings"]["Classes"].as_array_mut().unwrap().remove(1);
    gateway.send(&call(4, "pay", &fields(&fresh_id()), b"x"));
    engine.expect("RUN");
    world.write(&gone.to_string());
    world.signal("HUP");
    world.wait_for_log("settings.Classes[pay]");
}

#[test]
fn another_servers_file_and_another_customers_change_nothing() {
    let (mut world, engine) = World::serving(site(LONG));
    let mine = world.config.clone();
    // No server has been told of it.
    let stranger = Engine::start();
    let other = |change: &dyn Fn(&mut serde_json::Value)| {
        let mut file = mine.clone();
        change(&mut file);
        file["engine"] = stranger.address.to_string().into();
        file
    };
    let others = [
        (other(&|file| file["name"] = "n4".into()), "key=\"name\" value=\"n4\""),
        (other(&|file| file["listen"] = "127.0.0.1:7".into()), "key=\"listen\" value=\"127.0.0.1:7\""),
        (
            other(&|file| file["settings"]["Classes"] = serde_json::json!([class("scan", "safe", LONG)])),
            "key=\"settings.Classes\" value=\"scan\"",
        ),
        // Its classes bear the same names, and so does it.
        (
            other(&|file| {
                file["settings"]["Orgs"] = serde_json::json!([{"Name": "stranger", "QuotaPerS": 1.0}]);
                file["settings"]["Classes"][0]["OnTime"] = 1.0.into();
            }),
            "key=\"settings.Orgs\" value=\"stranger\"",
        ),
    ];
    for (file, why) in others {
        world.write(&file.to_string());
        world.signal("HUP");
        world.wait_for_log(why);
    }
    stranger.has_no_link();
    // What is its own is taken up after that as before, and what waits in the mailbox keeps its class.
    let mut gateway = world.gateway();
    let id = gateway.call(1, "pay", b"x");
    assert_eq!(engine.expect("RUN").word(1), id);
    let _old = world.moved();
    world.signal("HUP");
    let moved = world.engine.link();
    moved.hello("ATTACH 0");
    moved.done(1, &id, b"y");
    assert_eq!(gateway.answer().body, b"y");
}

#[test]
fn a_file_of_any_size_or_kind_keeps_nobody_from_hearing_the_notice_to_leave() {
    let (mut world, _engine) = World::serving(site(LONG));
    world.write(&format!("{{\"x\": \"{}\"}}", "y".repeat(8 * 1024 * 1024)));
    world.signal("HUP");
    world.wait_for_log("longer than 4 MiB");
    // A pipe that nobody writes to.
    world.remove_file();
    world.make_pipe();
    world.signal("HUP");
    world.wait_for_log("not a file");
    world.terminate();
    assert_eq!(world.exit_code(), Some(0));
}

#[test]
fn the_notice_to_leave_and_a_new_configuration_at_once_are_both_heard() {
    let (mut world, engine) = World::serving(site(LONG));
    let mut gateway = world.gateway();
    let id = gateway.call(1, "pay", b"x");
    engine.expect("RUN");
    let _old = world.moved();
    world.signal("HUP");
    world.terminate();
    let moved = world.engine.link();
    moved.hello("ATTACH 0");
    moved.done(1, &id, b"y");
    let mut words = [gateway.answer().word, gateway.answer().word];
    words.sort();
    assert_eq!(words, ["BYE", "OK"]);
    drop(gateway);
    assert_eq!(world.exit_code(), Some(0));
}
