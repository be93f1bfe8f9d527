//! Completion calls, which are served by the engines of model services.

mod api;
mod cancel;
mod generation;
mod handler;
mod render;

pub use api::Api;
use generation::GenerationSummary;
pub use handler::{complete, models};
