//! Reload of a server process's configuration by SIGHUP: new addresses and settings take effect at once, no open request is
//! lost, and an invalid file changes nothing.

mod common;

use common::*;
use loomflow_test_servers::*;
use serde_json::{Value, json};

/// Writes a configuration with new addresses of the peers and requests a reload; returns the former peers.
fn reload_with_new_peers(fixture: &mut ServerFixture) -> (ScriptedEngine, Ledger, Control) {
    let former = fixture.move_peers();
    fixture.signal("HUP");
    former
}

#[test]
fn a_reload_moves_engine_ledger_and_control_plane_with_runs_and_calls_open() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let former_ledger = fixture.ledger.open();
    let OpenRequests { mut gateway, running, calling, call } =
        start_open_requests(&fixture, &engine, &former_ledger, "pay");
    let former_peers = reload_with_new_peers(&mut fixture);
    // The new connection continues where the former one was.
    let moved = fixture.engine.link();
    moved.accept_attach_replaying("ATTACH 1", &[(format!("DONE 2 {running} fine 5"), b"A")]);
    assert_eq!(gateway.response().body, b"A");
    // An open call ends where it was made; its reply and all later calls go to the new peers.
    call.send_with_body(&format!("{calling} posted"), b"ok");
    assert_eq!(moved.expect("FEED").word(1), calling);
    let ledger = fixture.ledger.open();
    moved.send_need(3, &calling, b"second");
    ledger.link().expect("post");
    former_ledger.expect_no_link();
    expect_ready_report(&fixture.control);
    // Nothing more is sent on the former connection, and it is closed.
    engine.expect_closed();
    drop(former_peers);
    assert!(fixture.is_running());
}

#[test]
fn commands_sent_just_before_a_move_are_not_lost() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    let _former_peers = fixture.move_peers();
    let id = start_run(&mut gateway, &engine, 1, "read");
    fixture.signal("HUP");
    let moved = attach(&fixture, "ATTACH 0");
    // The command is repeated: a run that the engine has already is not started twice.
    assert_eq!(expect_run(&moved), id);
    finish_run(&mut gateway, &moved, 1, &id);
}

#[test]
fn an_invalid_file_changes_nothing_and_its_key_is_logged() {
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
    for (number, (text, fault)) in (1..).zip(cases) {
        match text {
            Some(text) => fixture.write(&text),
            None => fixture.remove_file(),
        }
        fixture.signal("HUP");
        fixture.wait_for_log(fault);
        serve_request(&mut gateway, &engine, number, "read", number);
    }
    // Keys that only a start can change are logged.
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
fn a_move_during_shutdown_still_answers_all_open_requests() {
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

/// Sends a request of a tenant.
fn call_for(gateway: &mut Gateway, tag: u64, tenant: &str) {
    let fields = fields(&next_attempt_id()).replace("owner=acme", &format!("owner={tenant}"));
    gateway.send(&call(tag, "read", &fields, b"x"));
}

/// Sends a request of a tenant, which has to be run and answered.
fn serve_tenant(gateway: &mut Gateway, engine: &PeerConnection, tag: u64, tenant: &str, number: u64) {
    call_for(gateway, tag, tenant);
    let id = expect_run(engine);
    finish_run(gateway, engine, number, &id);
}

#[test]
fn reloadable_settings_take_effect_and_a_violation_changes_nothing() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    call_for(&mut gateway, 1, "newcomer");
    expect_status(&mut gateway, 1, "FAILED");
    // A new tenant, at the head of the list, and a new latency objective take effect.
    let mut new = fixture.config.clone();
    let tenants = new["settings"]["Orgs"].as_array_mut().unwrap();
    tenants.insert(0, json!({"Name": "newcomer", "QuotaPerS": 5.0}));
    new["settings"]["Classes"][0]["OnTime"] = 100.0.into();
    reload(&fixture, &new, "live=\"settings.Classes[read].OnTime, settings.Orgs[newcomer]\"");
    serve_tenant(&mut gateway, &engine, 2, "newcomer", 1);
    // A file that breaks rules is rejected as a whole, with its new address.
    let mut bad = new.clone();
    bad["settings"]["Classes"][2]["Effect"] = "safe".into();
    bad["settings"]["Rules"]["DrainGrace"] = 3000.0.into();
    bad["engine"] = fixture.ledger.address.to_string().into();
    reload(
        &fixture,
        &bad,
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

/// A change of a configuration that makes it that of another server or site, and the key that the log names.
type ForeignConfiguration = (fn(&mut Value), &'static str);

const FOREIGN_CONFIGURATIONS: [ForeignConfiguration; 4] = [
    (|file| file["name"] = "n4".into(), "key=\"name\" value=\"n4\""),
    (|file| file["listen"] = "127.0.0.1:7".into(), "key=\"listen\" value=\"127.0.0.1:7\""),
    (
        |file| file["settings"]["Classes"] = json!([class("scan", "safe", LONG_TIMEOUT)]),
        "key=\"settings.Classes\" value=\"scan\"",
    ),
    // Server and classes have the same names, but the tenants are others.
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
    // The server's own file is accepted after that, and an open request keeps its class.
    let mut gateway = fixture.gateway();
    let id = start_run(&mut gateway, &engine, 1, "pay");
    let _former_peers = reload_with_new_peers(&mut fixture);
    let moved = attach(&fixture, "ATTACH 0");
    finish_run(&mut gateway, &moved, 1, &id);
}

#[test]
fn no_configuration_file_blocks_a_shutdown_request() {
    let (mut fixture, _engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    fixture.write(&format!("{{\"x\": \"{}\"}}", "y".repeat(8 * 1024 * 1024)));
    fixture.signal("HUP");
    fixture.wait_for_log("longer than 4 MiB");
    // A pipe without a writer.
    fixture.remove_file();
    fixture.make_pipe();
    fixture.signal("HUP");
    fixture.wait_for_log("not a regular file");
    fixture.terminate();
    assert_eq!(fixture.exit_code(), Some(0));
}

#[test]
fn a_simultaneous_reload_and_shutdown_are_both_handled() {
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
