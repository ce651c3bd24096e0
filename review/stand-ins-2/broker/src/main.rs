//! The project's test servers with one difference: the queue `jobs` has dead-lettering of its own, to the queue `dead`, and the
//! options name no `dead_letter`. `review-2-broker DIRECTORY` reads commands from standard input.

use std::io::BufRead;
use std::path::Path;
use std::time::Duration;

use loomflow_test_servers::broker::{Broker, Message, message};
use loomflow_test_servers::{AutonomousEngine, ServerFixture, site};

fn print_message(message: &Message) {
    let reason = message.header_text("x-loomflow-reason").unwrap_or_default();
    println!(
        "{} {} {} body={:?}",
        message.correlation(),
        message.kind(),
        reason,
        String::from_utf8_lossy(&message.body)
    );
}

fn main() {
    let directory = std::env::args().nth(1).expect("usage: review-2-broker DIRECTORY");
    let directory = Path::new(&directory);
    std::fs::create_dir_all(directory).expect("the directory is created");
    let engine = AutonomousEngine::start(4, Duration::from_millis(10));
    // No heartbeats, as the test broker sends none.
    let broker = Broker::with_limits(0, 128 * 1024, 2047);
    broker.declare("replies");
    broker.declare("dead");
    broker.with_state(|state| state.declare("jobs", Some(("", "dead"))));
    let mut fixture = ServerFixture::new(site(10_000.0));
    fixture.config["engine"] = engine.address.to_string().into();
    let write = |name: &str, text: String| {
        std::fs::write(directory.join(name), text).expect("the file is written");
    };
    write("config.json", format!("{:#}\n", fixture.config));
    write("credentials.yaml", "user: guest\npassword: guest\n".into());
    write(
        "options.yaml",
        format!(
            "amqp:\n  brokers: [\"{}\"]\n  credentials: credentials.yaml\n  heartbeat_s: 0\n  queues:\n    - name: jobs\n      class: book\n      \
             tenant: acme\n",
            broker.address
        ),
    );
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["publish", id, body] => {
                broker.publish(message("jobs", id, body.as_bytes()).reply_to("replies", id));
            }
            [queue @ ("replies" | "dead")] => broker.take(queue).iter().for_each(print_message),
            ["queues"] => println!("{}", broker.with_state(|state| state.to_string())),
            ["nack", count] => broker.faults(|faults| faults.nack = count.parse().unwrap_or(0)),
            ["runs"] => println!("{} runs", engine.run_count()),
            _ => {}
        }
    }
}
