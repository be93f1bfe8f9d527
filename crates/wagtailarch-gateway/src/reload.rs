//! Reloads the settings file while the process runs.

use std::{fs, io, path::PathBuf, rc::Rc, time::Duration, time::SystemTime};

use displaydoc::Display;
use slog::{info, warn};
use tokio::{signal::unix::Signal, time::sleep};

use crate::{
    gateway::Gateway,
    settings::{Settings, SettingsError, parse_settings},
};

/// Interval between checks of the file, since it may change without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// A settings file that is watched for changes.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    /// Modification time of the file when it was last read; `None` if it is unknown.
    modified_at: Option<SystemTime>,
}

/// Why a settings file could not be reloaded.
#[derive(Debug, Display)]
enum ReloadError {
    /// cannot read the file: {0}
    Read(io::Error),
    /// {0}
    Settings(SettingsError),
}

impl SettingsFile {
    /// Creates a watcher of the file at `path`, whose current content has already been applied.
    pub fn new(path: PathBuf) -> Self {
        let modified_at = modified(&path);
        Self { path, modified_at }
    }

    /// Applies changes after each SIGHUP, and within `CHECK_INTERVAL` without one.
    pub async fn watch(mut self, gateway: Rc<Gateway>, mut hangup: Signal) {
        loop {
            let signalled = tokio::select! {
                signal = hangup.recv() => signal.is_some(),
                () = sleep(CHECK_INTERVAL) => false,
            };
            let modified_at = modified(&self.path);
            if !signalled && modified_at == self.modified_at {
                continue;
            }
            self.modified_at = modified_at;
            match self.read() {
                Ok(settings) => apply(&gateway, &settings),
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

fn apply(gateway: &Gateway, settings: &Settings) {
    let reloadable = settings.reloadable();
    if gateway.settings.needs_restart(settings) {
        warn!(gateway.log, "settings need a restart";
            "hint" => "names and addresses take effect at the next start");
    }
    if !gateway.set_reloadable_settings(reloadable) {
        info!(gateway.log, "settings unchanged");
        return;
    }
    info!(gateway.log, "settings taken over"; "grace_ms" => reloadable.grace.as_millis() as u64,
        "retry_ratio" => reloadable.retry_ratio, "retry_slack" => reloadable.retry_slack,
        "retry_window_ms" => reloadable.retry_window.as_millis() as u64,
        "second_call_share" => reloadable.second_call_share);
}

/// Returns the modification time of a file; a missing file is reported when it is read.
fn modified(path: &PathBuf) -> Option<SystemTime> {
    fs::metadata(path).and_then(|data| data.modified()).ok()
}
