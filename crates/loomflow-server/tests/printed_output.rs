//! What the program prints and returns, byte for byte as it was first released: operators and scripts read it.

use std::path::PathBuf;
use std::process::{Command, Output};

use loomflow_test_servers::{ServerFixture, site};
use serde_json::{Value, json};

/// A folder of its own for the files of one test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("loomflow-printed-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    fn write(&self, name: &str, config: &Value) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, config.to_string()).expect("a file");
        path.to_str().expect("a path").to_owned()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn loomflow(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_loomflow"));
    command.args(args).env_remove("PROXY_CONFIG").env_remove("LOOMFLOW_OPTIONS");
    command.output().expect("the program starts")
}

fn printed(output: &Output) -> (String, String, Option<i32>) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (text(&output.stdout), text(&output.stderr), output.status.code())
}

fn config() -> Value {
    let mut config = ServerFixture::new(site(1000.0)).config.clone();
    let settings = &mut config["settings"];
    settings["Classes"] = json!([
        {"Name": "read", "Effect": "safe", "OnTime": 1000.0, "HardLimit": 3000.0, "Points": 1.0},
        {"Name": "pay", "Effect": "keyed", "OnTime": 1000.0, "HardLimit": 3000.0, "Points": 2.0, "Window": 9000.0},
    ]);
    settings["Orgs"] = json!([{"Name": "a", "QuotaPerS": 5.0}, {"Name": "b", "QuotaPerS": 6.0}]);
    config
}

#[test]
fn check_config_lists_each_change_with_when_it_takes_effect() {
    let folder = Folder::new("changes");
    let old = config();
    let mut new = old.clone();
    new["seed"] = json!("0000000000000001");
    new["engine"] = json!("127.0.0.1:9");
    new["settings"]["Classes"][0]["Points"] = json!(4.5);
    new["settings"]["Classes"][0]["Effect"] = json!("keyed");
    new["settings"]["Orgs"] = json!([{"Name": "a", "QuotaPerS": 7}, {"Name": "c"}]);
    new["settings"]["Domain"]["Cpus"] = json!(9);
    let (old_file, new_file) = (folder.write("old.json", &old), folder.write("new.json", &new));
    let output = loomflow(&["check-config", "--config", &new_file, "--against", &old_file]);
    let cpus = old["settings"]["Domain"]["Cpus"].to_string();
    let expected = format!(
        "engine: {} to \"127.0.0.1:9\", at once\n\
         seed: {} to \"0000000000000001\", from the next start on\n\
         settings.Classes[read].Effect: \"safe\" to \"keyed\", from the next start on\n\
         settings.Classes[read].Points: 1.0 to 4.5, at once\n\
         settings.Domain.Cpus: {cpus} to 9, from the next start on\n\
         settings.Orgs[a].QuotaPerS: 5.0 to 7, at once\n\
         settings.Orgs[b]: {{\"Name\":\"b\",\"QuotaPerS\":6.0}} to null, from the next start on\n\
         settings.Orgs[c]: null to {{\"Name\":\"c\"}}, at once\n\
         n3: good\n",
        old["engine"], old["seed"]
    );
    assert_eq!(printed(&output), (expected, String::new(), Some(0)));
}

#[test]
fn check_config_names_each_rule_violation() {
    let folder = Folder::new("faults");
    let old = config();
    let mut new = old.clone();
    new["name"] = json!("n4");
    new["settings"]["Classes"][0] = json!({"Name": "read", "Effect": "safe", "OnTime": 4000.0, "HardLimit": 3000.0,
        "Points": 1.0});
    new["settings"]["Classes"][1]["Effect"] = json!("unsafe");
    new["settings"]["Rules"]["DrainGrace"] = json!(99000.0);
    let (old_file, new_file) = (folder.write("old.json", &old), folder.write("new.json", &new));
    let output = loomflow(&["check-config", "--config", &new_file, "--against", &old_file]);
    let faults = [
        "name: n4 is rejected: it is the configuration of another server",
        "settings.Classes[pay].Effect: unsafe is rejected: requests that have run could run again",
        "settings.Classes[read].OnTime: 4000 is rejected: a response would be on time after the caller's timeout \
         (HardLimit)",
        "settings.Rules.DrainGrace: 99000 is rejected: the server is killed before it ends (stop_ms)",
    ];
    let lines: Vec<String> = faults.iter().map(|fault| format!("{new_file}: {fault}")).collect();
    assert_eq!(printed(&output), (String::new(), format!("loomflow: {}\n", lines.join("\n")), Some(1)));
}

#[test]
fn every_idempotency_has_its_name() {
    let folder = Folder::new("effects");
    for (before, after) in [("keyed", "safe"), ("unsafe", "keyed"), ("keyed", "unsafe")] {
        let (mut old, mut new) = (config(), Value::Null);
        old["settings"]["Classes"][1]["Effect"] = json!(before);
        new.clone_from(&old);
        new["settings"]["Classes"][1]["Effect"] = json!(after);
        let (old_file, new_file) = (folder.write("old.json", &old), folder.write("new.json", &new));
        let output = loomflow(&["check-config", "--config", &new_file, "--against", &old_file]);
        let (_, errors, code) = printed(&output);
        assert_eq!(code, Some(1));
        let fault = format!("settings.Classes[pay].Effect: {after} is rejected: ");
        assert!(errors.contains(&fault), "{errors}");
    }
}

#[test]
fn version_prints_the_program_and_its_version() {
    let output = loomflow(&["version"]);
    assert_eq!(printed(&output), ("loomflow 0.1.0\n".into(), String::new(), Some(0)));
}

#[test]
fn the_published_schema_is_printed() {
    let published = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/options.schema.json");
    let published = std::fs::read_to_string(published).expect("the published schema");
    assert_eq!(printed(&loomflow(&["schema"])), (published, String::new(), Some(0)));
}
