//! Stand-in for a plain service; not for production.

use std::process::ExitCode;

use wagtailarch_standin::log::start_logger;
use wagtailarch_standin::serve::{ServeError, handle_help_and_version, reject_unknown_args};
use wagtailarch_standin::service::{SERVICE_HELP, ServiceSettings, run_service};

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin-service: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), ServeError> {
    let mut args = pico_args::Arguments::from_env();
    if handle_help_and_version(&mut args, "standin-service", SERVICE_HELP) {
        return Ok(());
    }
    let settings = ServiceSettings::from_args(&mut args)?;
    reject_unknown_args(args)?;
    run_service(settings, start_logger("standin-service")).await
}
