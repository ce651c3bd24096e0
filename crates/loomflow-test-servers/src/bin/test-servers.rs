//! Test servers for trying out a loomflow server by hand: `test-servers DIRECTORY` starts an engine, a control plane and a
//! broker on loopback, writes the files that a server needs to the directory, and executes commands from standard input
//! until `quit` or the end of the input.

use std::io::BufRead;
use std::path::Path;
use std::time::Duration;

use loomflow_test_servers::broker::{Broker, Message, message};
use loomflow_test_servers::{AutonomousEngine, ServerFixture, site};

const HELP: &str = "\
publish ID [BODY]   publish a message to the queue jobs, with replies as its reply-to; BODY defaults to ID
fill N              publish N messages with new ids in the same way
queues              print the message and consumer counts of each queue
replies, dead       take all messages from the queue replies or dead and print them
hold, go            keep all runs of the engine from ending, or let them end again
slow MS             set the duration of new runs
fail N              make the next N runs that end report a fault
cut                 close every broker connection without notice
close               close the channels that consume from jobs, with reply code 541
nack N              reject the next N publishes with basic.nack
lose N              break the connection at the next N methods that settle a message, unhandled
block, unblock      announce that publishing is blocked or unblocked
runs                print the number of runs and the number of bodies that ran more than once
quit                end the program
";

fn main() {
    let Some(directory) = std::env::args().nth(1) else {
        eprintln!("usage: test-servers DIRECTORY");
        std::process::exit(2);
    };
    let directory = Path::new(&directory);
    std::fs::create_dir_all(directory).expect("the directory is created");
    let mut test_servers = TestServers {
        engine: AutonomousEngine::start(4, Duration::from_millis(10)),
        broker: Broker::with_jobs(),
        fixture: ServerFixture::new(site(10_000.0)),
        filled_messages: 0,
    };
    test_servers.write_files(directory);
    println!(
        "engine, control plane and broker are running; the server's files are in {}",
        directory.display()
    );
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let words: Vec<&str> = line.split_whitespace().collect();
        if words.first() == Some(&"quit") {
            return;
        }
        test_servers.run_command(&words);
    }
}

struct TestServers {
    engine: AutonomousEngine,
    broker: Broker,
    /// Provides the configuration and the control plane. Its server process is not started.
    fixture: ServerFixture,
    /// Number of messages that `fill` has published; the next message id is derived from it.
    filled_messages: usize,
}

impl TestServers {
    /// Writes the configuration, options and credentials that a server needs.
    fn write_files(&mut self, directory: &Path) {
        self.fixture.config["engine"] = self.engine.address.to_string().into();
        let write = |name: &str, text: String| {
            std::fs::write(directory.join(name), text).expect("the file is written");
        };
        write("config.json", format!("{:#}\n", self.fixture.config));
        write("credentials.yaml", "user: guest\npassword: guest\n".into());
        write(
            "options.yaml",
            format!(
                "amqp:\n  brokers: [\"{}\"]\n  credentials: credentials.yaml\n  dead_letter: {{routing_key: dead}}\n  \
                 queues:\n    - name: jobs\n      class: book\n      tenant: acme\n",
                self.broker.address
            ),
        );
    }

    /// Executes a command line, split into words; prints the help for an unknown command.
    fn run_command(&mut self, words: &[&str]) {
        let (engine, broker) = (&self.engine, &self.broker);
        let number = |index: usize| words.get(index).and_then(|word| word.parse::<usize>().ok()).unwrap_or(1);
        match words.first().copied().unwrap_or_default() {
            "" => {}
            "publish" => {
                let id = words.get(1).copied().unwrap_or("one");
                let body = words.get(2).copied().unwrap_or(id);
                broker.publish(message("jobs", id, body.as_bytes()).reply_to("replies", id));
            }
            "fill" => {
                for _ in 0..number(1) {
                    self.filled_messages += 1;
                    let id = format!("f{}", self.filled_messages);
                    broker.publish(message("jobs", &id, id.as_bytes()).reply_to("replies", &id));
                }
            }
            "queues" => println!("{}", broker.with_state(|state| state.to_string())),
            queue @ ("replies" | "dead") => broker.take(queue).iter().for_each(print_message),
            "hold" => engine.set_held(true),
            "go" => engine.set_held(false),
            "slow" => engine.set_run_duration(Duration::from_millis(number(1) as u64)),
            "fail" => engine.fail_next(number(1)),
            "cut" => broker.disconnect_all(),
            "close" => broker.with_state(|state| state.close_channels("jobs", 541)),
            "nack" => broker.faults(|faults| faults.nack = number(1)),
            "lose" => broker.faults(|faults| faults.lose_settlements = number(1)),
            "block" => broker.with_state(|state| state.block(true)),
            "unblock" => broker.with_state(|state| state.block(false)),
            "runs" => {
                let repeated = engine.run_counts().values().filter(|count| **count > 1).count();
                println!("{} runs, {repeated} bodies ran more than once", engine.run_count());
            }
            _ => print!("{HELP}"),
        }
    }
}

/// Prints correlation id, type, headers and body of a message.
fn print_message(message: &Message) {
    let header =
        |name: &str| message.header_text(name).map_or(String::new(), |value| format!(" {name}={value}"));
    println!(
        "{} {}{}{}{} body={:?}",
        message.correlation(),
        message.kind(),
        header("x-loomflow-reason"),
        header("x-loomflow-ran"),
        header("x-loomflow-holdoff"),
        String::from_utf8_lossy(&message.body)
    );
}
