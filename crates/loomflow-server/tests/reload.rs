//! SIGHUP: new addresses count at once, nothing in hand is lost, and a bad file changes nothing.

mod common;

use common::{attach, finish_run, start_run};
use loomflow_test_servers::*;

const LONG: f64 = 20_000.0;

/// Reloads a configuration, and waits for a line of the log.
fn reload(fixture: &ServerFixture, config: &serde_json::Value, line: &str) {
    fixture.write(&config.to_string());
    fixture.signal("HUP");
    fixture.wait_for_log(line);
}

#[test]
fn a_reload_moves_engine_ledger_and_control_plane_with_runs_and_calls_open() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG));
    let old_ledger = fixture.ledger.open();
    let mut gateway = fixture.gateway();
    let running = gateway.call(1, "pay", b"a");
    engine.expect("RUN");
    let calling = gateway.call(2, "pay", b"b");
    engine.expect("RUN");
    engine.send_need(1, &calling, b"call");
    let old_call = old_ledger.link();
    old_call.expect("post");
    let held = fixture.move_peers();
    fixture.signal("HUP");
    // The new link goes on where the old one was.
    let moved = fixture.engine.link();
    moved.accept_attach_replaying("ATTACH 1", &[(format!("DONE 2 {running} fine 5"), b"A")]);
    assert_eq!(gateway.response().body, b"A");
    // A call in hand is finished where it was made; its reply and all later calls go the new way.
    old_call.send_with_body(&format!("{calling} posted"), b"ok");
    assert_eq!(moved.expect("FEED").word(1), calling);
    let ledger = fixture.ledger.open();
    moved.send_need(3, &calling, b"second");
    ledger.link().expect("post");
    old_ledger.has_no_link();
    assert!(fixture.control.report().ends_with("{\"condition\":\"Ready\"}"));
    // The old link takes nothing more, and ends.
    engine.expect_closed();
    drop(held);
    assert!(fixture.is_running());
}

#[test]
fn commands_sent_just_before_a_move_are_not_lost() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG));
    let mut gateway = fixture.gateway();
    let _old = fixture.move_peers();
    let id = start_run(&mut gateway, &engine, 1, "read");
    fixture.signal("HUP");
    let moved = attach(&fixture, "ATTACH 0");
    // A second RUN of what runs already does nothing, and this one has no effect.
    assert_eq!(moved.expect("RUN").word(1), id);
    finish_run(&mut gateway, &moved, 1, &id);
}

#[test]
fn an_invalid_file_changes_nothing_and_its_key_is_logged() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG));
    let mut gateway = fixture.gateway();
    let good = fixture.config.clone();
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
            Some(text) => fixture.write(&text),
            None => fixture.remove_file(),
        }
        fixture.signal("HUP");
        fixture.wait_for_log(why);
        let id = start_run(&mut gateway, &engine, number, "read");
        finish_run(&mut gateway, &engine, number, &id);
    }
    // The same file again disturbs nothing; what cannot change is named.
    let mut other = good;
    other["seed"] = "1".into();
    other["limits"]["sockets"] = 99.into();
    reload(&fixture, &other, "these keys take effect at the next start keys=\"limits.sockets, seed\"");
    engine.expect_quiet();
    assert!(fixture.is_running());
}

#[test]
fn consecutive_moves_end_at_the_last_address() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG));
    let mut gateway = fixture.gateway();
    engine.disconnect();
    let first = fixture.move_peers();
    fixture.signal("HUP");
    let second = fixture.move_peers();
    fixture.signal("HUP");
    let engine = attach(&fixture, "ATTACH 0");
    let id = start_run(&mut gateway, &engine, 1, "pay");
    finish_run(&mut gateway, &engine, 1, &id);
    drop((first, second));
}

#[test]
fn a_move_during_shutdown_still_answers_all_open_requests() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG));
    let mut gateway = fixture.gateway();
    let id = start_run(&mut gateway, &engine, 1, "pay");
    let _old = fixture.move_peers();
    fixture.terminate();
    assert_eq!(gateway.response().status, "BYE");
    fixture.signal("HUP");
    let moved = attach(&fixture, "ATTACH 0");
    finish_run(&mut gateway, &moved, 1, &id);
    drop(gateway);
    assert_eq!(fixture.exit_code(), Some(0));
}

/// Sends a request of a tenant.
fn call_for(gateway: &mut Gateway, tag: u64, tenant: &str) {
    let fields = fields(&next_attempt_id()).replace("owner=acme", &format!("owner={tenant}"));
    gateway.send(&call(tag, "read", &fields, b"x"));
}

#[test]
fn reloadable_settings_take_effect_and_a_violation_changes_nothing() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
    let mut gateway = fixture.gateway();
    call_for(&mut gateway, 1, "newcomer");
    assert_eq!(gateway.response().status, "FAILED");
    // A new tenant, and an aim: taken up. The order of the lists does not matter.
    let mut new = fixture.config.clone();
    let tenants = new["settings"]["Orgs"].as_array_mut().unwrap();
    tenants.insert(0, serde_json::json!({"Name": "newcomer", "QuotaPerS": 5.0}));
    new["settings"]["Classes"][0]["OnTime"] = 100.0.into();
    reload(&fixture, &new, "live=\"settings.Classes[read].OnTime, settings.Orgs[newcomer]\"");
    call_for(&mut gateway, 2, "newcomer");
    let run = engine.expect("RUN");
    engine.send_done(1, run.word(1), b"y");
    assert_eq!(gateway.response().status, "OK");
    // One that would break rules is turned down whole: its address does not count either.
    let mut bad = new.clone();
    bad["settings"]["Classes"][2]["Effect"] = "safe".into();
    bad["settings"]["Rules"]["DrainGrace"] = 3000.0.into();
    bad["engine"] = fixture.ledger.address.to_string().into();
    reload(
        &fixture,
        &bad,
        "key=\"settings.Classes[book].Effect\" value=\"safe\" rule=\"what has run could be run again\"",
    );
    fixture.wait_for_log("settings.Rules.DrainGrace");
    call_for(&mut gateway, 3, "acme");
    let run = engine.expect("RUN");
    engine.send_done(2, run.word(1), b"y");
    assert_eq!(gateway.response().status, "OK");
    // A class in use stays.
    let mut gone = new;
    gone["settings"]["Classes"].as_array_mut().unwrap().remove(1);
    gateway.send(&call(4, "pay", &fields(&next_attempt_id()), b"x"));
    engine.expect("RUN");
    reload(&fixture, &gone, "settings.Classes[pay]");
}

#[test]
fn the_file_of_another_server_or_site_is_rejected() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG));
    let mine = fixture.config.clone();
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
        reload(&fixture, &file, why);
    }
    stranger.has_no_link();
    // What is its own is taken up after that as before, and what waits in the mailbox keeps its class.
    let mut gateway = fixture.gateway();
    let id = start_run(&mut gateway, &engine, 1, "pay");
    let _old = fixture.move_peers();
    fixture.signal("HUP");
    let moved = attach(&fixture, "ATTACH 0");
    finish_run(&mut gateway, &moved, 1, &id);
}

#[test]
fn no_configuration_file_blocks_a_shutdown_request() {
    let (mut fixture, _engine) = ServerFixture::start_serving(site(LONG));
    fixture.write(&format!("{{\"x\": \"{}\"}}", "y".repeat(8 * 1024 * 1024)));
    fixture.signal("HUP");
    fixture.wait_for_log("longer than 4 MiB");
    // A pipe that nobody writes to.
    fixture.remove_file();
    fixture.make_pipe();
    fixture.signal("HUP");
    fixture.wait_for_log("not a file");
    fixture.terminate();
    assert_eq!(fixture.exit_code(), Some(0));
}

#[test]
fn a_simultaneous_reload_and_shutdown_are_both_handled() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG));
    let mut gateway = fixture.gateway();
    let id = start_run(&mut gateway, &engine, 1, "pay");
    let _old = fixture.move_peers();
    fixture.signal("HUP");
    fixture.terminate();
    let moved = attach(&fixture, "ATTACH 0");
    moved.send_done(1, &id, b"y");
    let mut words = [gateway.response().status, gateway.response().status];
    words.sort();
    assert_eq!(words, ["BYE", "OK"]);
    drop(gateway);
    assert_eq!(fixture.exit_code(), Some(0));
}
