//! Completions: the calls of model services.

mod api;
mod cancel;
mod generation;
mod handler;
mod render;

pub use api::Api;
use generation::Done;
pub use handler::{complete, models};
