//! Program that creates the keys and certificates for connections between instances.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use pico_args::Arguments;
use wagtailarch_entry::{PeerIdentity, create_authority, create_instance_certificate};

const HELP: &str = "\
wagtail-keys: creates the keys for connections between entry instances

USAGE:
  wagtail-keys authority DIR
  wagtail-keys instance DIR --instance NAME --zone ZONE

`authority` writes ca.pem and ca.key to DIR. `instance` writes NAME.pem and NAME.key, signed by
the authority in DIR, for the settings cert_file and key_file; the setting ca_file is ca.pem.
Existing files are never overwritten. Do not copy ca.key to the instances.

OPTIONS:
  --until YYYY-MM-DD  end of the validity; the default is 2036-01-01
  --help              print this text
  --version           print the version
";

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if arguments.contains("--version") {
        println!("wagtail-keys {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

/// Runs the command that the arguments name.
fn run(mut arguments: Arguments) -> Result<(), Box<dyn std::error::Error>> {
    let command = arguments.subcommand()?;
    let until = arguments
        .opt_value_from_fn("--until", parse_date)?
        .unwrap_or((2036, 1, 1));
    match command.as_deref() {
        Some("authority") => {
            let directory = directory(arguments)?;
            Ok(create_authority(&directory, until)?)
        }
        Some("instance") => {
            let instance: String = arguments.value_from_str("--instance")?;
            let zone: String = arguments.value_from_str("--zone")?;
            let identity = PeerIdentity {
                instance: instance.into(),
                zone: zone.into(),
            };
            Ok(create_instance_certificate(
                &directory(arguments)?,
                &identity,
                until,
            )?)
        }
        _ => Err("expected the command authority or instance; see --help".into()),
    }
}

/// Returns the directory argument; fails if there are further arguments.
fn directory(mut arguments: Arguments) -> Result<PathBuf, Box<dyn std::error::Error>> {
    let directory: PathBuf = arguments.free_from_str()?;
    if let Some(unexpected) = arguments.finish().first() {
        return Err(format!("unexpected argument {unexpected:?}").into());
    }
    if !Path::new(&directory).is_dir() {
        return Err(format!("{} is not a directory", directory.display()).into());
    }
    Ok(directory)
}

/// Parses a date as year, month and day; accepts days up to 28, which every month has.
fn parse_date(text: &str) -> Result<(i32, u8, u8), String> {
    let parts: Vec<_> = text.split('-').collect();
    let date = match parts.as_slice() {
        [year, month, day] => (year.parse(), month.parse(), day.parse()),
        _ => return Err(format!("{text:?} is no date")),
    };
    match date {
        (Ok(year @ 2026..=9999), Ok(month @ 1..=12), Ok(day @ 1..=28)) => Ok((year, month, day)),
        _ => Err(format!(
            "{text:?} is no date from 2026 on with a day up to 28"
        )),
    }
}
