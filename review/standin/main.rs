//! Stand-ins and scripts of the review's cases. Usage: standin CASE FOLDER
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod crashing_caller;
mod crashing_request;
mod deployment;
mod http;
mod json;
mod many_changes;
mod missed_change;
mod store;

use crashing_caller::Guilt;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = arguments.next().unwrap_or_else(|| ".".to_owned());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = match case.as_str() {
        "missed-change" => missed_change::run(&folder, trouble),
        "crashing-request" => crashing_request::run(&folder, trouble),
        "many-changes" => many_changes::run(&folder, trouble),
        "crashing-caller" => crashing_caller::run(&folder, trouble, Guilt::AlikeOthers),
        "crashing-answer" => crashing_caller::run(&folder, trouble, Guilt::InAnswer),
        _ => None,
    };
    std::process::exit(match outcome {
        Some(true) => 1,
        Some(false) => 0,
        None => 2,
    });
}
