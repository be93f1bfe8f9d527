//! Stand-in for the platform's load balancer; not for production.

use std::process::ExitCode;

use wagtailarch_standin::balancer::{BALANCER_HELP, BalancerSettings, run_balancer};
use wagtailarch_standin::log::start_logger;
use wagtailarch_standin::serve::{ServeError, handle_help_and_version, reject_unknown_args};

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin-balancer: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), ServeError> {
    let mut args = pico_args::Arguments::from_env();
    if handle_help_and_version(&mut args, "standin-balancer", BALANCER_HELP) {
        return Ok(());
    }
    let settings = BalancerSettings::from_args(&mut args)?;
    reject_unknown_args(args)?;
    run_balancer(settings, start_logger("standin-balancer")).await
}
