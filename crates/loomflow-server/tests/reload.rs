//! Configuration reload of a server process by SIGHUP: new addresses and settings take effect at once, no open request is
//! lost, and an invalid file changes nothing.

mod common;

use common::*;
use loomflow_test_servers::*;
use serde_json::{Value, json};

/// Writes a configuration with new peers at new addresses and sends SIGHUP; returns the former peers.
fn reload_with_new_peers(fixture: &mut ServerFixture) -> (ScriptedEngine, Ledger, Control) {
    let former = fixture.move_peers();
    fixture.signal("HUP");
    former
}

#[test]
fn reload_moves_all_peers_with_open_runs_and_calls() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let former_ledger = fixture.ledger.open();
    let OpenRequests { mut gateway, running, calling, call } =
        start_open_requests(&fixture, &engine, &former_ledger, "pay");
    let former_peers = reload_with_new_peers(&mut fixture);
    // The new connection continues after the last notice that was read from the former one.
    let moved = fixture.engine.link();
    moved.accept_attach_replaying("ATTACH 1", &[(format!("DONE 2 {running} fine 5"), b"A")]);
    assert_eq!(gateway.response().body, b"A");
    // An open call is completed by the former ledger; its reply is fed to the new engine, and later calls go to the new
    // ledger.
    call.send_with_body(&format!("{calling} posted"), b"ok");
    assert_eq!(moved.expect("FEED").word(1), calling);
    let ledger = fixture.ledger.open();
    moved.send_need(3, &calling, b"second");
    ledger.link().expect("post");
    former_ledger.expect_no_link();
    expect_ready_report(&fixture.control);
    // The former connection is closed without further commands.
    engine.expect_closed();
    drop(former_peers);
    assert!(fixture.is_running());
}

#[test]
fn commands_sent_before_a_move_are_resent() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    let _former_peers = fixture.move_peers();
    let id = start_run(&mut gateway, &engine, 1, "read");
    fixture.signal("HUP");
    let moved = attach(&fixture, "ATTACH 0");
    // The `RUN` command is sent again; an engine that already has the run does not start it twice.
    assert_eq!(expect_run(&moved), id);
    finish_run(&mut gateway, &moved, 1, &id);
}

#[test]
fn an_invalid_file_is_logged_and_changes_nothing() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    let valid = fixture.config.clone();
    let mut invalid = valid.clone();
    invalid["ledger"] = "nowhere".into();
    let cases = [
        (Some(invalid.to_string()), "ledger: not an address"),
        (Some(valid.to_string()[..200].to_owned()), "not JSON"),
        (Some("[".repeat(100_000)), "not JSON"),
        (Some(String::new()), "not JSON: EOF"),
        (None, "cannot be read"),
    ];
    for (number, (text, error)) in (1..).zip(cases) {
        match text {
            Some(text) => fixture.write(&text),
            None => fixture.remove_file(),
        }
        fixture.signal("HUP");
        fixture.wait_for_log(error);
        serve_request(&mut gateway, &engine, number, "read", number);
    }
    // Changed keys that need a restart are logged.
    let mut other = valid;
    other["seed"] = "1".into();
    other["limits"]["sockets"] = 99.into();
    reload(&fixture, &other, "these keys take effect at the next start keys=\"limits.sockets, seed\"");
    engine.expect_quiet();
    assert!(fixture.is_running());
}

#[test]
fn consecutive_moves_end_at_the_last_address() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    engine.disconnect();
    let first = reload_with_new_peers(&mut fixture);
    let second = reload_with_new_peers(&mut fixture);
    let engine = attach(&fixture, "ATTACH 0");
    serve_request(&mut gateway, &engine, 1, "pay", 1);
    drop((first, second));
}

#[test]
fn a_move_during_shutdown_answers_open_requests() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    let id = start_run(&mut gateway, &engine, 1, "pay");
    let _former_peers = fixture.move_peers();
    shut_down(&fixture, &mut gateway);
    fixture.signal("HUP");
    let moved = attach(&fixture, "ATTACH 0");
    finish_run(&mut gateway, &moved, 1, &id);
    expect_exit(&mut fixture, gateway);
}

/// Sends a `read` request of `tenant`.
fn call_for(gateway: &mut Gateway, tag: u64, tenant: &str) {
    let fields = fields(&next_attempt_id()).replace("owner=acme", &format!("owner={tenant}"));
    gateway.send(&call(tag, "read", &fields, b"x"));
}

/// Sends a `read` request of `tenant`, which must be run and answered.
fn serve_tenant(gateway: &mut Gateway, engine: &PeerConnection, tag: u64, tenant: &str, number: u64) {
    call_for(gateway, tag, tenant);
    let id = expect_run(engine);
    finish_run(gateway, engine, number, &id);
}

#[test]
fn reloadable_settings_apply_and_violations_change_nothing() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    call_for(&mut gateway, 1, "newcomer");
    expect_status(&mut gateway, 1, "FAILED");
    // A new tenant at the head of the list and a new latency objective (`OnTime`) take effect.
    let mut new = fixture.config.clone();
    let tenants = new["settings"]["Orgs"].as_array_mut().unwrap();
    tenants.insert(0, json!({"Name": "newcomer", "QuotaPerS": 5.0}));
    new["settings"]["Classes"][0]["OnTime"] = 100.0.into();
    reload(&fixture, &new, "live=\"settings.Classes[read].OnTime, settings.Orgs[newcomer]\"");
    serve_tenant(&mut gateway, &engine, 2, "newcomer", 1);
    // A file that violates rules is rejected as a whole, including its new engine address.
    let mut invalid = new.clone();
    invalid["settings"]["Classes"][2]["Effect"] = "safe".into();
    invalid["settings"]["Rules"]["DrainGrace"] = 3000.0.into();
    invalid["engine"] = fixture.ledger.address.to_string().into();
    reload(
        &fixture,
        &invalid,
        "key=\"settings.Classes[book].Effect\" value=\"safe\" rule=\"requests that have run could run again\"",
    );
    fixture.wait_for_log("settings.Rules.DrainGrace");
    serve_tenant(&mut gateway, &engine, 3, "acme", 2);
    // A class in use cannot be removed.
    let mut without_class = new;
    without_class["settings"]["Classes"].as_array_mut().unwrap().remove(1);
    start_run(&mut gateway, &engine, 4, "pay");
    reload(&fixture, &without_class, "settings.Classes[pay]");
}

/// A change that turns a configuration into that of another server or site, and the log text that names its key.
type ForeignConfiguration = (fn(&mut Value), &'static str);

const FOREIGN_CONFIGURATIONS: [ForeignConfiguration; 4] = [
    (|file| file["name"] = "n4".into(), "key=\"name\" value=\"n4\""),
    (|file| file["listen"] = "127.0.0.1:7".into(), "key=\"listen\" value=\"127.0.0.1:7\""),
    (
        |file| file["settings"]["Classes"] = json!([class("scan", "safe", LONG_TIMEOUT)]),
        "key=\"settings.Classes\" value=\"scan\"",
    ),
    // Same server name and classes, but different tenants.
    (
        |file| {
            file["settings"]["Orgs"] = json!([{"Name": "stranger", "QuotaPerS": 1.0}]);
            file["settings"]["Classes"][0]["OnTime"] = 1.0.into();
        },
        "key=\"settings.Orgs\" value=\"stranger\"",
    ),
];

#[test]
fn the_file_of_another_server_or_site_is_rejected() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let own = fixture.config.clone();
    let foreign_engine = ScriptedEngine::start();
    for (change, key) in FOREIGN_CONFIGURATIONS {
        let mut file = own.clone();
        change(&mut file);
        file["engine"] = foreign_engine.address.to_string().into();
        reload(&fixture, &file, key);
    }
    foreign_engine.expect_no_link();
    // After these rejected files the server still accepts its own, and an open request keeps its class.
    let mut gateway = fixture.gateway();
    let id = start_run(&mut gateway, &engine, 1, "pay");
    let _former_peers = reload_with_new_peers(&mut fixture);
    let moved = attach(&fixture, "ATTACH 0");
    finish_run(&mut gateway, &moved, 1, &id);
}

#[test]
fn an_unreadable_configuration_does_not_block_shutdown() {
    let (mut fixture, _engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    fixture.write(&format!("{{\"x\": \"{}\"}}", "y".repeat(8 * 1024 * 1024)));
    fixture.signal("HUP");
    fixture.wait_for_log("longer than 4 MiB");
    // Opening a pipe that has no writer blocks.
    fixture.remove_file();
    fixture.make_pipe();
    fixture.signal("HUP");
    fixture.wait_for_log("not a regular file");
    fixture.terminate();
    assert_eq!(fixture.exit_code(), Some(0));
}

#[test]
fn simultaneous_reload_and_shutdown_are_both_handled() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    let id = start_run(&mut gateway, &engine, 1, "pay");
    let _former_peers = reload_with_new_peers(&mut fixture);
    fixture.terminate();
    let moved = attach(&fixture, "ATTACH 0");
    moved.send_done(1, &id, b"y");
    let mut statuses = [gateway.response().status, gateway.response().status];
    statuses.sort();
    assert_eq!(statuses, ["BYE", "OK"]);
    expect_exit(&mut fixture, gateway);
}
