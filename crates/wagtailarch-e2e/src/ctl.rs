//! Calls of the command-line program `wagtailctl`.

use std::process::Stdio;

use tokio::process::{Child, Command};

use crate::HarnessError;
use crate::ports::lock_probes;
use crate::process::program_path;

/// Exit code and output of a call of `wagtailctl`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CtlOutput {
    /// Exit code; `wagtailctl --help` lists the codes.
    pub code: i32,
    /// Standard output, followed by standard error.
    pub text: String,
}

impl CtlOutput {
    /// Fails unless the exit code is 0.
    pub fn check(&self) -> Result<(), HarnessError> {
        if self.code == 0 {
            return Ok(());
        }
        Err(HarnessError::Call(format!(
            "wagtailctl: exit code {}: {}",
            self.code, self.text
        )))
    }
}

/// Runs `wagtailctl` and waits until it exits.
pub(crate) async fn run_ctl(args: &[&str]) -> Result<CtlOutput, HarnessError> {
    let output = start_ctl(args)?.wait_with_output().await?;
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    Ok(CtlOutput {
        code: output.status.code().unwrap_or(-1),
        text,
    })
}

fn start_ctl(args: &[&str]) -> Result<Child, HarnessError> {
    let mut command = Command::new(program_path("wagtailctl")?);
    command
        .args(args)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .kill_on_drop(true);
    let _guard = lock_probes();
    Ok(command.spawn()?)
}
