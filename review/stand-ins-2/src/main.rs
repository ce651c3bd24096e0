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
        "drained" => cases::drained::play(),
        "reply-refused" => cases::reply_refused::play(),
        "start-again" => cases::start_again::play(),
        "stuck" => cases::stuck::play(),
        "two-owners" => cases::two_owners::play(),
        // Not a case: shown in the report alone.
        "outage" => cases::outage::play(),
        _ => base::NOT_PLAYED,
    };
    base::end(code);
}
