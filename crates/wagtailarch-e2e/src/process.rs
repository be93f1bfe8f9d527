//! Processes that the harness starts.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::HarnessError;
use crate::ports::lock_probes;

/// Timeout for a process to print its address.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a process is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running program of the workspace with its output files; the process is killed on drop.
#[derive(Debug)]
pub struct ServerProcess {
    name: String,
    child: Child,
    /// File with the standard error of all processes started under this name.
    log: PathBuf,
    /// File with the standard output of this process.
    output: PathBuf,
}

impl ServerProcess {
    /// Starts a program of the workspace; its output goes to files in `dir`.
    pub fn start(
        dir: &Path,
        name: &str,
        program: &str,
        args: &[String],
    ) -> Result<Self, HarnessError> {
        let log = dir.join(format!("{name}.log"));
        let output = dir.join(format!("{name}.out"));
        let append = |path: &Path| File::options().create(true).append(true).open(path);
        let mut command = Command::new(program_path(program)?);
        command
            .args(args)
            .stdin(Stdio::null())
            .stdout(File::create(&output)?)
            .stderr(append(&log)?);
        let child = spawn(&mut command).map_err(|error| start_error(program, &error))?;
        Ok(Self {
            name: name.to_owned(),
            child,
            log,
            output,
        })
    }

    /// Waits until the process has printed the address that it listens on.
    pub async fn address(&mut self) -> Result<SocketAddr, HarnessError> {
        let start = Instant::now();
        loop {
            let text = std::fs::read_to_string(&self.output)?;
            let address = text
                .lines()
                .find_map(|line| line.strip_prefix("listening address="));
            if let Some(address) = address.and_then(|text| text.parse().ok()) {
                return Ok(address);
            }
            self.check_running()?;
            if start.elapsed() > START_TIMEOUT {
                return Err(HarnessError::Timeout {
                    awaited: format!("the address of {}", self.name),
                    timeout_s: START_TIMEOUT.as_secs(),
                });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the name of the process.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the standard output of this process, followed by the standard error of all processes
    /// started under this name.
    pub fn log(&self) -> String {
        let read = |path: &Path| std::fs::read(path).unwrap_or_default();
        let text = [read(&self.output), read(&self.log)].concat();
        String::from_utf8_lossy(&text).into_owned()
    }

    /// Fails if the process has exited.
    pub fn check_running(&mut self) -> Result<(), HarnessError> {
        match self.child.try_wait()? {
            None => Ok(()),
            Some(_) => Err(HarnessError::ProcessExited {
                name: self.name.clone(),
                log: self.log(),
            }),
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        // Sending fails if the process has already exited.
        let _ = pid.map(|pid| kill_process(pid, signal));
    }

    /// Waits until the process exits; fails after `timeout`.
    pub async fn wait(&mut self, timeout: Duration) -> Result<ExitStatus, HarnessError> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if start.elapsed() > timeout {
                let awaited = format!("the exit of {}", self.name);
                return Err(HarnessError::Timeout {
                    awaited,
                    timeout_s: timeout.as_secs(),
                });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends SIGTERM and waits until the process exits; fails after `timeout`.
    pub async fn stop(&mut self, timeout: Duration) -> Result<ExitStatus, HarnessError> {
        self.signal(Signal::TERM);
        self.wait(timeout).await
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        // Both calls fail only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a process that inherits no socket of [`Ports::allocate`](crate::Ports::allocate).
///
/// Returns the error of the operating system if the process cannot be started.
pub fn spawn(command: &mut Command) -> std::io::Result<Child> {
    let _guard = lock_probes();
    command.spawn()
}

/// Returns the path of a program in the target directory from which the current program runs.
pub fn program_path(program: &str) -> Result<PathBuf, HarnessError> {
    let executable = std::env::current_exe()?;
    let mut dir = executable.parent().unwrap_or(Path::new(".")).to_owned();
    if dir.ends_with("deps") {
        dir.pop();
    }
    let path = dir.join(program);
    if path.is_file() {
        return Ok(path);
    }
    let missing = std::io::Error::from(std::io::ErrorKind::NotFound);
    Err(start_error(program, &missing))
}

fn start_error(program: &str, cause: &std::io::Error) -> HarnessError {
    HarnessError::Start {
        program: program.to_owned(),
        cause: cause.to_string(),
    }
}
