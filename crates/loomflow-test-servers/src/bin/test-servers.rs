//! Test servers to try a server among, by hand: `test-servers FOLDER` starts an engine, a control plane and a broker on
//! loopback, writes the files that a server needs into the folder, and takes commands until its input ends.

use std::io::BufRead;
use std::path::Path;
use std::time::Duration;

use loomflow_test_servers::broker::{Broker, Message, message};
use loomflow_test_servers::{AutonomousEngine, ServerFixture, site};

const HELP: &str = "\
publish ID [BODY]   one message to the queue jobs, with a reply wanted
fill N              N messages with new ids
queues              what stands in each queue
replies, dead       takes and prints what is in replies or dead
hold, go            no run of the engine ends any more, or they go on
slow MS             each run takes so long
fail N              the next N runs end in a fault
cut                 breaks every connection off
close               closes the channels that consume from jobs
nack N              refuses the next N publishes
block, unblock      takes no publishes, or does again
runs                how many runs there were, and how many bodies ran twice
quit
";

fn main() {
    let Some(folder) = std::env::args().nth(1) else {
        eprintln!("usage: test-servers FOLDER");
        std::process::exit(2);
    };
    let folder = Path::new(&folder);
    std::fs::create_dir_all(folder).expect("the folder");
    let mut test_servers = TestServers {
        worker: AutonomousEngine::start(4, Duration::from_millis(10)),
        broker: Broker::with_jobs(),
        fixture: ServerFixture::new(site(10_000.0)),
        messages_filled: 0,
    };
    test_servers.write_files(folder);
    println!("engine, control plane and broker are up; the files are in {}", folder.display());
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let words: Vec<&str> = line.split_whitespace().collect();
        if words.first() == Some(&"quit") {
            return;
        }
        test_servers.run_command(&words);
    }
}

struct TestServers {
    worker: AutonomousEngine,
    broker: Broker,
    /// Configuration and control plane; its server is not started.
    fixture: ServerFixture,
    /// Messages that `fill` has published.
    messages_filled: usize,
}

impl TestServers {
    /// Writes the files that a server needs.
    fn write_files(&mut self, folder: &Path) {
        self.fixture.config["engine"] = self.worker.address.to_string().into();
        let write =
            |name: &str, text: String| std::fs::write(folder.join(name), text).expect("a file is written");
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

    fn run_command(&mut self, words: &[&str]) {
        let (worker, broker) = (&self.worker, &self.broker);
        let number = |at: usize| words.get(at).and_then(|word| word.parse::<usize>().ok()).unwrap_or(1);
        match words.first().copied().unwrap_or_default() {
            "" => {}
            "publish" => {
                let id = words.get(1).copied().unwrap_or("one");
                let body = words.get(2).copied().unwrap_or(id);
                broker.publish(message("jobs", id, body.as_bytes()).reply_to("replies", id));
            }
            "fill" => {
                for _ in 0..number(1) {
                    self.messages_filled += 1;
                    let id = format!("f{}", self.messages_filled);
                    broker.publish(message("jobs", &id, id.as_bytes()).reply_to("replies", &id));
                }
            }
            "queues" => println!("{}", broker.with_state(|state| state.to_string())),
            queue @ ("replies" | "dead") => broker.take(queue).iter().for_each(print),
            "hold" => worker.set_held(true),
            "go" => worker.set_held(false),
            "slow" => worker.set_run_duration(Duration::from_millis(number(1) as u64)),
            "fail" => worker.fail_next(number(1)),
            "cut" => broker.disconnect_all(),
            "close" => broker.with_state(|state| state.close_channels("jobs", 541)),
            "nack" => broker.faults(|faults| faults.nack = number(1)),
            "block" => broker.with_state(|state| state.block(true)),
            "unblock" => broker.with_state(|state| state.block(false)),
            "runs" => {
                let twice = worker.run_counts().values().filter(|times| **times > 1).count();
                println!("{} runs, {twice} bodies ran twice", worker.run_count());
            }
            _ => print!("{HELP}"),
        }
    }
}

fn print(message: &Message) {
    let sent =
        |name: &str| message.header_text(name).map_or(String::new(), |value| format!(" {name}={value}"));
    println!(
        "{} {}{}{}{} body={:?}",
        message.correlation(),
        message.kind(),
        sent("x-loomflow-reason"),
        sent("x-loomflow-ran"),
        sent("x-loomflow-holdoff"),
        String::from_utf8_lossy(&message.body)
    );
}
