//! The link between a server and the rest of its fleet is cut while the server drains for its maintenance.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::base::{
    self, BROKEN, HELD, NOT_PLAYED, Process, config, folder, free_address, has_trouble, need, note, pause,
    serve, settings, wait,
};
use crate::engine::Engine;
use crate::relay::Relay;

const REQUESTS: u64 = 3;
const WORK: Duration = Duration::from_secs(14);
const TIMEOUT_MS: u32 = 24_000;
const STOP_MS: u32 = 24_000;
/// How long the link is cut.
const CUT_MS: u64 = 6_000;

struct Member {
    process: Process,
    listen: SocketAddr,
    options: std::path::PathBuf,
}

fn command(member: &Member, arguments: &[&str]) -> (i32, String) {
    let output = Command::new("target/release/loomflow")
        .arg("fleet")
        .args(arguments)
        .env("LOOMFLOW_OPTIONS", &member.options)
        .stdin(Stdio::null())
        .output()
        .expect("the command starts");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
}

/// Sends a request on a connection of its own; the receiver gets the answer, or an empty text if the connection ends without.
fn send(to: SocketAddr, id: u64, body: &str) -> Receiver<String> {
    let (sender, answer) = channel();
    let body = body.to_owned();
    let mut stream = TcpStream::connect(to).unwrap_or_else(|_| base::end(NOT_PLAYED));
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is past 1970").as_millis();
    let fields = format!("req={id:016x},ts={now},via=4,owner=acme,ms=100.00,need=24.5,level=0.5000");
    let mut bytes = b"*5\r\n".to_vec();
    for element in ["RPC.CALL", "1", "read", &fields, &body] {
        bytes.extend_from_slice(format!("${}\r\n{element}\r\n", element.len()).as_bytes());
    }
    let _ = stream.write_all(&bytes);
    std::thread::spawn(move || {
        let (mut text, mut part) = (String::new(), [0; 4096]);
        loop {
            match stream.read(&mut part) {
                Ok(count @ 1..) => text.push_str(&String::from_utf8_lossy(&part[..count])),
                _ => {
                    let _ = sender.send(String::new());
                    return;
                }
            }
            // An answer is an array of four strings. The notice `0 BYE`, an array of two, may come before it.
            let answer = text.find("*4\r\n").map_or("", |start| &text[start..]);
            let elements: Vec<&str> = answer.split("\r\n").collect();
            if elements.len() >= 10 {
                let _ = sender.send(format!("{} {}", elements[4], elements[8]));
                return;
            }
        }
    });
    answer
}

pub fn play() -> i32 {
    let addresses: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
    // One relay for each direction of each link of n2.
    let to_n2 = [Relay::start(addresses[1]), Relay::start(addresses[1])];
    let from_n2 = [Relay::start(addresses[0]), Relay::start(addresses[2])];
    let voters: String = addresses
        .iter()
        .enumerate()
        .map(|(index, address)| format!("    - {{name: n{}, address: \"{address}\"}}\n", index + 1))
        .collect();
    let engine = Engine::start(WORK);
    let members: Vec<Member> = (0..3)
        .map(|index| {
            let name = format!("n{}", index + 1);
            let listen = free_address();
            let engine = if index == 1 { engine.clone() } else { Engine::start(Duration::from_millis(20)) };
            let text = config(&name, listen, engine.address, STOP_MS, &settings(5000, TIMEOUT_MS));
            let config = base::write(&format!("{name}.json"), &text);
            let via = match index {
                0 => format!("    n2: \"{}\"\n", to_n2[0].address),
                1 => format!("    n1: \"{}\"\n    n3: \"{}\"\n", from_n2[0].address, from_n2[1].address),
                _ => format!("    n2: \"{}\"\n", to_n2[1].address),
            };
            let options = format!(
                "fleet:\n  name: review-{}\n  zone: z{}\n  listen: {}\n  state: {}\n  warm_for_s: 2\n  voters:\n{voters}  via:\n{via}",
                std::process::id(),
                index + 1,
                addresses[index],
                folder().join(&name).display(),
            );
            let options = base::write(&format!("{name}.yaml"), &options);
            let process = serve(&name, &config, Some(&options));
            Member { process, listen, options }
        })
        .collect();
    need("a server founds the fleet", Duration::from_secs(15), || command(&members[0], &["found"]).0 == 0);
    need("three members serve", Duration::from_secs(30), || {
        let (_, status) = command(&members[0], &["status", "--json"]);
        status.matches("\"Serving\"").count() >= 3
    });
    note("the fleet of n1, n2, n3 is founded, and all serve");
    pause(4000);
    let answers: Vec<Receiver<String>> =
        (1..=REQUESTS).map(|id| send(members[1].listen, 0x7100 + id, &format!("request {id}"))).collect();
    need("the engine runs the requests", Duration::from_secs(5), || engine.runs().len() as u64 == REQUESTS);
    note(&format!("{REQUESTS} requests run on n2; each takes {} s", WORK.as_secs()));
    let (code, text) =
        command(&members[0], &["work", "ask", "--server", "n2", "--reason", "kernel", "--for", "10m"]);
    note(&format!("operator on n1: fleet work ask --server n2: exit code {code}, {}", text.trim()));
    let asked_at = Instant::now();
    let (sender, waited) = channel();
    let mut command_line = Command::new("target/release/loomflow");
    command_line
        .args(["fleet", "work", "wait", "--server", "n2", "--timeout", "1m"])
        .env("LOOMFLOW_OPTIONS", &members[0].options)
        .stdin(Stdio::null())
        .stdout(Stdio::piped());
    let waiting = Process::spawn(&mut command_line);
    std::thread::spawn(move || {
        let mut text = String::new();
        let _ = waiting.stdout().read_to_string(&mut text);
        let _ = sender.send((waiting.code(), text.trim().to_owned()));
    });
    need("n2 drains", Duration::from_secs(20), || base::log_of("n2").contains("draining this server"));
    note("n2 drains for its ticket");
    pause(300);
    if has_trouble() {
        to_n2.iter().chain(&from_n2).for_each(|relay| relay.cut(true));
        note("the links between n2 and the other members are cut");
        let links: Vec<Relay> = to_n2.iter().chain(&from_n2).cloned().collect();
        std::thread::spawn(move || {
            pause(CUT_MS);
            links.iter().for_each(|relay| relay.cut(false));
            note("the links are whole again");
        });
    }
    let Ok((code, text)) = waited.recv_timeout(Duration::from_secs(60)) else { return NOT_PLAYED };
    // What n2 has written by then is read.
    pause(300);
    let answers: Vec<Option<String>> = answers.iter().map(|answer| answer.try_recv().ok()).collect();
    note(&format!("answers so far: {answers:?}"));
    let answered = answers.iter().flatten().filter(|answer| answer.starts_with("OK")).count();
    note(&format!(
        "operator on n1: fleet work wait --server n2, {:.1} s after the request: exit code {code:?}, {text:?}; {answered} of \
         {REQUESTS} requests have their answer, the process of n2 runs: {}",
        asked_at.elapsed().as_secs_f64(),
        members[1].process.runs()
    ));
    if code != Some(0) {
        return NOT_PLAYED;
    }
    let is_broken = answered < REQUESTS as usize;
    if is_broken {
        note("operator: reboot of n2, as the page has it after `work wait`");
        members[1].process.kill();
    }
    wait(Duration::from_secs(1), || false);
    note(&format!("n1 and n3 run: {} {}", members[0].process.runs(), members[2].process.runs()));
    note(&format!("requests that n2 had accepted and that got no answer: {}", REQUESTS as usize - answered));
    for line in command(&members[0], &["work", "history"]).1.lines() {
        note(&format!("fleet work history: {line}"));
    }
    if is_broken { BROKEN } else { HELD }
}
