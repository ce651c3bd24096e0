//! Output and exit codes of the program, compared byte for byte with the first release, as operators and scripts parse
//! them.

use std::path::PathBuf;
use std::process::{Command, Output};

use loomflow_test_servers::{ServerFixture, site};
use serde_json::{Value, json};

/// A temporary directory for one test, deleted on drop.
struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new(name: &str) -> TempDirectory {
        let path = std::env::temp_dir().join(format!("loomflow-printed-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the directory is created");
        TempDirectory(path)
    }

    fn write(&self, name: &str, config: &Value) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, config.to_string()).expect("the file is written");
        path.to_str().expect("the path is UTF-8").to_owned()
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn loomflow(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_loomflow"));
    command.args(args).env_remove("PROXY_CONFIG").env_remove("LOOMFLOW_OPTIONS");
    command.output().expect("the program starts")
}

/// Standard output, standard error and exit code.
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
fn check_config_lists_changes_and_when_they_apply() {
    let directory = TempDirectory::new("changes");
    let old = config();
    let mut new = old.clone();
    new["seed"] = json!("0000000000000001");
    new["engine"] = json!("127.0.0.1:9");
    new["settings"]["Classes"][0]["Points"] = json!(4.5);
    new["settings"]["Classes"][0]["Effect"] = json!("keyed");
    new["settings"]["Orgs"] = json!([{"Name": "a", "QuotaPerS": 7}, {"Name": "c"}]);
    new["settings"]["Domain"]["Cpus"] = json!(9);
    let (old_file, new_file) = (directory.write("old.json", &old), directory.write("new.json", &new));
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
    let directory = TempDirectory::new("faults");
    let old = config();
    let mut new = old.clone();
    new["name"] = json!("n4");
    new["settings"]["Classes"][0] = json!({"Name": "read", "Effect": "safe", "OnTime": 4000.0, "HardLimit": 3000.0,
        "Points": 1.0});
    new["settings"]["Classes"][1]["Effect"] = json!("unsafe");
    new["settings"]["Rules"]["DrainGrace"] = json!(99000.0);
    let (old_file, new_file) = (directory.write("old.json", &old), directory.write("new.json", &new));
    let output = loomflow(&["check-config", "--config", &new_file, "--against", &old_file]);
    let violations = [
        "name: n4 is rejected: it is the configuration of another server",
        "settings.Classes[pay].Effect: unsafe is rejected: requests that have run could run again",
        "settings.Classes[read].OnTime: 4000 is rejected: a response would be on time after the caller's timeout \
         (HardLimit)",
        "settings.Rules.DrainGrace: 99000 is rejected: the server is killed before it ends (stop_ms)",
    ];
    let lines: Vec<String> = violations.iter().map(|violation| format!("{new_file}: {violation}")).collect();
    assert_eq!(printed(&output), (String::new(), format!("loomflow: {}\n", lines.join("\n")), Some(1)));
}

#[test]
fn check_config_names_the_rejected_effect() {
    let directory = TempDirectory::new("effects");
    for (before, after) in [("keyed", "safe"), ("unsafe", "keyed"), ("keyed", "unsafe")] {
        let (mut old, mut new) = (config(), Value::Null);
        old["settings"]["Classes"][1]["Effect"] = json!(before);
        new.clone_from(&old);
        new["settings"]["Classes"][1]["Effect"] = json!(after);
        let (old_file, new_file) = (directory.write("old.json", &old), directory.write("new.json", &new));
        let output = loomflow(&["check-config", "--config", &new_file, "--against", &old_file]);
        let (_, errors, code) = printed(&output);
        assert_eq!(code, Some(1));
        let violation = format!("settings.Classes[pay].Effect: {after} is rejected: ");
        assert!(errors.contains(&violation), "{errors}");
    }
}

#[test]
fn version_prints_name_and_version() {
    let output = loomflow(&["version"]);
    assert_eq!(printed(&output), ("loomflow 0.1.0\n".into(), String::new(), Some(0)));
}

#[test]
fn schema_prints_the_published_file() {
    let published = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/options.schema.json");
    let published = std::fs::read_to_string(published).expect("deploy/options.schema.json is readable");
    assert_eq!(printed(&loomflow(&["schema"])), (published, String::new(), Some(0)));
}
