//! Taking over changes of the settings file.

use std::{fs, io, path::PathBuf, rc::Rc, time::Duration, time::SystemTime};

use displaydoc::Display;
use slog::{info, warn};
use tokio::{signal::unix::Signal, time::sleep};

use crate::{
    gateway::Gateway,
    settings::{Settings, SettingsError, parse_settings},
};

/// Interval at which the file is looked at, since it may change without a signal.
const LOOK_INTERVAL: Duration = Duration::from_secs(2);

/// A settings file that is followed while the process runs.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    /// When the file that was read last had been changed; absent if that could not be told.
    changed: Option<SystemTime>,
}

/// Why a settings file has not been taken over.
#[derive(Debug, Display)]
enum ReloadError {
    /// cannot read the file: {0}
    Read(io::Error),
    /// {0}
    Settings(SettingsError),
}

impl SettingsFile {
    /// Follows the file at `path`, whose present content is known.
    pub fn new(path: PathBuf) -> Self {
        let changed = modified(&path);
        Self { path, changed }
    }

    /// Takes over changes after each SIGHUP, and within `LOOK_INTERVAL` without one.
    pub async fn follow(mut self, gateway: Rc<Gateway>, mut hangup: Signal) {
        loop {
            let signalled = tokio::select! {
                signal = hangup.recv() => signal.is_some(),
                () = sleep(LOOK_INTERVAL) => false,
            };
            let changed = modified(&self.path);
            if !signalled && changed == self.changed {
                continue;
            }
            self.changed = changed;
            match self.read() {
                Ok(settings) => take_over(&gateway, &settings),
                Err(error) => warn!(gateway.log, "settings ignored";
                    "path" => %self.path.display(), "cause" => %error),
            }
        }
    }

    fn read(&self) -> Result<Settings, ReloadError> {
        let text = fs::read_to_string(&self.path).map_err(ReloadError::Read)?;
        parse_settings(&text).map_err(ReloadError::Settings)
    }
}

fn take_over(gateway: &Gateway, settings: &Settings) {
    let running = settings.running();
    if gateway.settings.needs_restart(settings) {
        warn!(gateway.log, "settings need a restart";
            "hint" => "names and addresses take effect at the next start");
    }
    if !gateway.set_running_settings(running) {
        info!(gateway.log, "settings unchanged");
        return;
    }
    info!(gateway.log, "settings taken over"; "grace_ms" => running.grace.as_millis() as u64,
        "retry_ratio" => running.retry_ratio, "retry_slack" => running.retry_slack,
        "retry_window_ms" => running.retry_window.as_millis() as u64);
}

/// Returns when a file was changed; a missing file is reported when it is read.
fn modified(path: &PathBuf) -> Option<SystemTime> {
    fs::metadata(path).and_then(|data| data.modified()).ok()
}
