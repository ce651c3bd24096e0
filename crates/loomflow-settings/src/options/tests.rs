use super::*;
use crate::amqp::Credentials;
use crate::json::JsonObject;

const GOOD: &str = "
amqp:
  brokers: [\"127.0.0.1:5672\"]
  credentials: secret.yaml
  queues:
    - name: archive
      class: book
      tenant: acme
";

fn site() -> Site {
    let text = r#"{"Classes": [{"Name": "book", "Effect": "keyed", "HardLimit": 9, "OnTime": 3, "Points": 1}],
            "Orgs": [{"Name": "acme", "QuotaPerS": 1}],
            "Domain": {"Cpus": 2, "HeapKb": 100, "RunMemFactor": 8}, "Rules": {"FallMultiple": 5}}"#;
    let value = serde_json::from_str(text).unwrap();
    Site::parse(&JsonObject::new("", &value).unwrap()).unwrap()
}

#[test]
fn features_are_off_by_default() {
    for text in ["", "\n", "{}", "log: {}"] {
        assert!(Options::parse(text).unwrap().amqp.is_none());
    }
    let options = Options::parse(GOOD).unwrap();
    assert_eq!(options.check(&site(), "n1"), Ok(()));
    assert_eq!(options.amqp.unwrap().vhost, "/");
}

#[test]
fn errors_contain_line_and_key() {
    let cases = [
        (GOOD.replace("vhost", "x").replace("name:", "nam:"), "line 6", "nam"),
        (GOOD.replace("  queues", "  rounds: -1\n  queues"), "line 5", "u32"),
        (GOOD.replace("  queues", "  max_unconfirmed: 0\n  queues"), "line 5", "max_unconfirmed"),
        (GOOD.replace("127.0.0.1:5672", "broker"), "line 3", "address"),
        (GOOD.replace("  credentials: secret.yaml\n", ""), "line", "credentials"),
        (GOOD.replace("tenant: acme", "tenant: acme\n      rank: 1"), "line 9", "rank"),
    ];
    for (text, line, key) in cases {
        let error = Options::parse(&text).unwrap_err().to_string();
        assert!(error.contains(line) && error.contains(key), "{error}");
    }
}

#[test]
fn names_must_be_defined_in_the_settings() {
    let cases = [
        (GOOD.replace("book", "bok"), "line 7 column 14: amqp.queues[0].class"),
        (GOOD.replace("      tenant: acme\n", ""), "amqp.queues[0].tenant: missing"),
        (
            GOOD.replace("class: book", "class: book\n      class_header: x"),
            "class and class_header exclude each other",
        ),
    ];
    for (text, part) in cases {
        let error = Options::parse(&text).unwrap().check(&site(), "n1").unwrap_err().to_string();
        assert!(error.contains(part), "{error}");
    }
}

#[test]
fn example_is_valid_and_published_schema_is_current() {
    let deploy = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/");
    let example = Options::load(Path::new(&format!("{deploy}amqp.example.yaml"))).unwrap();
    assert_eq!(example.check(&site(), "n1"), Ok(()));
    let published = std::fs::read_to_string(format!("{deploy}options.schema.json")).unwrap();
    assert_eq!(published.trim(), Options::schema(), "loomflow schema > deploy/options.schema.json");
}

#[test]
fn credential_errors_do_not_contain_the_password() {
    let path = std::env::temp_dir().join(format!("loomflow-credentials-{}", std::process::id()));
    std::fs::write(&path, "user: me\npassword: [s3cret]\n").unwrap();
    let error = Credentials::load(&path).err().unwrap().to_string();
    let _ = std::fs::remove_file(&path);
    assert!(!error.contains("s3cret"), "{error}");
}
