//! Plays one case of the review: `review-2 CASE FOLDER`, from the root of the repository.

mod base;
mod cases;
mod engine;
mod fleet;
mod relay;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-2 CASE FOLDER");
        std::process::exit(base::NOT_PLAYED);
    };
    base::begin(Path::new(folder));
    base::note(&format!("case {case}, TROUBLE={}", u8::from(base::has_trouble())));
    let code = match case.as_str() {
        "start-again" => cases::start_again::play(),
        "too-large" => cases::too_large::play(),
        "drained" => cases::drained::play(),
        "finished-run" => cases::finished_run::play(),
        "two-owners" => cases::two_owners::play(),
        "window" => cases::window::play(),
        "outage" => cases::outage::play(),
        _ => base::NOT_PLAYED,
    };
    base::end(code);
}
