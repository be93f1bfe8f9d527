//! Stand-in for a model engine.

mod batch;
mod cache;
mod server;
pub(crate) mod settings;
mod state;

pub use batch::{Batch, Sequence, StepOutcome};
pub use cache::PrefixCache;
pub use server::run_engine;
pub use settings::{ENGINE_HELP, EngineSettings};
pub use state::{EngineCounters, EngineState, KvEntry, REPORT_PERIOD};
