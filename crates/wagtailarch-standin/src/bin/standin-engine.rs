//! Stand-in for a model engine; not for production.

use std::process::ExitCode;

use wagtailarch_standin::engine::{ENGINE_HELP, EngineSettings, run_engine};
use wagtailarch_standin::log::start_logger;
use wagtailarch_standin::serve::{ServeError, handle_help_and_version, reject_unknown_args};

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin-engine: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), ServeError> {
    let mut args = pico_args::Arguments::from_env();
    if handle_help_and_version(&mut args, "standin-engine", ENGINE_HELP) {
        return Ok(());
    }
    let settings = EngineSettings::from_args(&mut args)?;
    reject_unknown_args(args)?;
    run_engine(settings, start_logger("standin-engine")).await
}
