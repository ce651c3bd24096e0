//! Command line and configuration check: each error is reported on one line with its exit code, and startup waits for an
//! address that is in use.

mod common;

use std::process::{Command, Output};

use common::{SERVE, idle_gateway};
use loomflow_test_servers::*;
use serde_json::{Value, json};

fn loomflow(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_loomflow"));
    command.args(args).env_remove("PROXY_CONFIG").output().expect("the program starts")
}

fn errors(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Runs `check-config` on a configuration; returns its standard error and exit code. If the check fails, `serve` must fail
/// in the same way.
fn check(name: &str, text: &str) -> (String, Option<i32>) {
    let file = std::env::temp_dir().join(format!("loomflow-check-{}-{name}.json", std::process::id()));
    std::fs::write(&file, text).expect("the configuration is written");
    let path = file.to_str().expect("the path is UTF-8");
    let output = loomflow(&["check-config", "--config", path]);
    let served = (output.status.code() != Some(0)).then(|| loomflow(&["serve", "--config", path]));
    let _ = std::fs::remove_file(&file);
    if let Some(served) = served {
        assert_eq!((errors(&served), served.status.code()), (errors(&output), output.status.code()));
    }
    (errors(&output), output.status.code())
}

fn valid_config() -> Value {
    ServerFixture::new(site(1000.0)).config.clone()
}

#[test]
fn a_valid_configuration_with_unknown_keys_passes() {
    let mut config = valid_config();
    config["new"] = json!({"a": [1]});
    config["settings"]["Domain"]["New"] = json!(true);
    assert_eq!(check("good", &config.to_string()), (String::new(), Some(0)));
}

#[test]
fn each_error_names_its_key_on_one_line() {
    let with_value = |path: &str, value: Value| {
        let mut config = valid_config();
        *config.pointer_mut(path).expect("the configuration has the key") = value;
        config
    };
    let cases = [
        (with_value("/name", json!(5)), "name"),
        (with_value("/name", json!("a/b")), "name"),
        (with_value("/listen", json!("here")), "listen"),
        (with_value("/engine", Value::Null), "engine"),
        (with_value("/ledger", json!("127.0.0.1")), "ledger"),
        (with_value("/control", json!([])), "control"),
        (with_value("/seed", json!("xyz")), "seed"),
        (with_value("/stop_ms", json!(0)), "stop_ms"),
        (with_value("/limits/sockets", json!(0)), "limits.sockets"),
        (with_value("/limits/memory_mb", json!(0)), "limits.memory_mb"),
        (with_value("/limits/cores", json!(-1)), "limits.cores"),
        (with_value("/settings", json!("none")), "settings"),
        (with_value("/settings/Classes", json!([])), "settings.Classes"),
        (with_value("/settings/Classes/1/Effect", json!("odd")), "settings.Classes[1].Effect"),
        (with_value("/settings/Classes/0/OnTime", json!(-1)), "settings.Classes[0].OnTime"),
        (with_value("/settings/Orgs/1/QuotaPerS", json!("many")), "settings.Orgs[1].QuotaPerS"),
        (with_value("/settings/Domain/Cpus", json!("four")), "settings.Domain.Cpus"),
        (with_value("/settings/Domain/HeapKb", json!(0)), "settings.Domain.HeapKb"),
        (with_value("/settings/Domain/Gauges", json!([1])), "settings.Domain.Gauges"),
        (with_value("/settings/Rules", Value::Null), "settings.Rules"),
    ];
    for (number, (config, key)) in cases.into_iter().enumerate() {
        let (output, code) = check(&format!("fault-{number}"), &config.to_string());
        assert_eq!((output.lines().count(), code), (1, Some(1)), "{key}: {output}");
        assert!(output.contains(&format!("{key}: ")), "{key}: {output}");
    }
}

#[test]
fn a_missing_or_malformed_file_is_named() {
    let output = loomflow(&["check-config", "--config", "/no/such/file.json"]);
    assert_eq!((errors(&output).lines().count(), output.status.code()), (1, Some(1)));
    assert!(errors(&output).contains("/no/such/file.json"));
    let (output, code) = check("text", "{not json");
    assert_eq!((output.lines().count(), code), (1, Some(1)));
    assert!(output.contains("not JSON"), "{output}");
}

#[test]
fn startup_fails_if_the_address_stays_in_use() {
    let mut fixture = ServerFixture::new(site(1000.0));
    let listener = std::net::TcpListener::bind(fixture.listen).expect("the address is free");
    fixture.start(SERVE);
    assert_eq!(fixture.exit_code(), Some(1));
    // The server logs one line when it starts to wait and one when it gives up; both name the address.
    let log = fixture.complete_log();
    let lines: Vec<&str> = log.lines().collect();
    let (waits, gives_up) = ("the address is in use: waiting for it", "listen: cannot bind");
    assert!(lines.len() == 2 && lines[0].contains(waits) && lines[1].contains(gives_up), "{log}");
    assert!(lines.iter().all(|line| line.contains(&fixture.listen.to_string())), "{log}");
    drop(listener);
}

#[test]
fn startup_waits_until_the_address_is_free() {
    let mut fixture = ServerFixture::new(site(1000.0));
    let listener = std::net::TcpListener::bind(fixture.listen).expect("the address is free");
    fixture.start(SERVE);
    std::thread::sleep(QUIET_PERIOD);
    assert!(fixture.is_running());
    release(listener);
    idle_gateway(&fixture);
}

#[test]
fn an_invalid_command_line_prints_usage_and_exits_2() {
    for args in
        [&[][..], &["dance"], &["serve"], &["serve", "--loud"], &["serve", "--config"], &["version", "x"]]
    {
        let output = loomflow(args);
        assert_eq!(output.status.code(), Some(2), "{args:?}");
        assert!(errors(&output).contains("usage: loomflow"), "{args:?}");
    }
}

#[test]
fn version_and_help_need_no_configuration() {
    let version = loomflow(&["version"]);
    assert_eq!(
        String::from_utf8_lossy(&version.stdout).trim(),
        concat!("loomflow ", env!("CARGO_PKG_VERSION"))
    );
    assert!(String::from_utf8_lossy(&loomflow(&["help"]).stdout).starts_with("usage: loomflow"));
    assert!(loomflow(&["--help"]).status.success());
}
