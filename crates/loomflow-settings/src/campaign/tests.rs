use super::*;

#[test]
fn campaign_errors_contain_line_and_key() {
    let good = "tickets:\n  - {server: n1, reason: kernel, lasts: 20m, window: 30m..4h}\n";
    let file = std::env::temp_dir().join(format!("loomflow-campaign-{}.yaml", std::process::id()));
    let load = |text: &str| {
        std::fs::write(&file, text).unwrap();
        Campaign::load(&file)
    };
    let ticket = load(good).unwrap().tickets.remove(0);
    assert_eq!(parse_duration(&ticket.lasts), Ok(Duration::from_secs(1200)));
    assert_eq!(parse_window(&ticket.window.unwrap()).unwrap().1, Duration::from_secs(4 * 3600));
    let cases = [
        (good.replace("20m", "soon"), "lasts"),
        (good.replace("..", "-"), "window"),
        (good.replace("n1", "''"), "server"),
    ];
    for (text, key) in cases {
        let error = load(&text).unwrap_err().to_string();
        assert!(error.contains("line 2") && error.contains(key), "{key}: {error}");
    }
    let _ = std::fs::remove_file(&file);
}
