//! A process started by the harness.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::HarnessError;

/// Time for a process to print its address.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Pause between two looks at a process.
const POLL: Duration = Duration::from_millis(10);

/// A process with its log; it is killed when dropped.
#[derive(Debug)]
pub struct ServerProcess {
    name: String,
    child: Child,
    log: PathBuf,
    output: PathBuf,
}

impl ServerProcess {
    /// Starts a program of the workspace; output and log go to files in `dir`.
    pub fn start(
        dir: &Path,
        name: &str,
        program: &str,
        args: &[String],
    ) -> Result<Self, HarnessError> {
        let log = dir.join(format!("{name}.log"));
        let output = dir.join(format!("{name}.out"));
        let append = |path: &Path| File::options().create(true).append(true).open(path);
        let child = Command::new(program_path(program)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(File::create(&output)?)
            .stderr(append(&log)?)
            .spawn()
            .map_err(|error| start_error(program, &error))?;
        Ok(Self {
            name: name.to_owned(),
            child,
            log,
            output,
        })
    }

    /// Waits until the process has printed its address.
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
            if start.elapsed() > START_LIMIT {
                return Err(HarnessError::Timeout {
                    what: format!("start of {}", self.name),
                    limit_s: START_LIMIT.as_secs(),
                });
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns what the process has written: standard output of this start, standard error of all.
    pub fn log(&self) -> String {
        let read = |path: &Path| std::fs::read(path).unwrap_or_default();
        let text = [read(&self.output), read(&self.log)].concat();
        String::from_utf8_lossy(&text).into_owned()
    }

    /// Fails if the process has ended.
    pub fn check_running(&mut self) -> Result<(), HarnessError> {
        match self.child.try_wait()? {
            None => Ok(()),
            Some(_) => Err(HarnessError::Ended {
                name: self.name.clone(),
                log: self.log(),
            }),
        }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        // A process that has ended already needs no signal.
        let _ = pid.map(|pid| kill_process(pid, signal));
    }

    /// Waits for the end of the process.
    pub async fn wait(&mut self, limit: Duration) -> Result<ExitStatus, HarnessError> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if start.elapsed() > limit {
                let what = format!("end of {}", self.name);
                return Err(HarnessError::Timeout {
                    what,
                    limit_s: limit.as_secs(),
                });
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Asks the process to stop and waits for its end.
    pub async fn stop(&mut self, limit: Duration) -> Result<ExitStatus, HarnessError> {
        self.signal(Signal::TERM);
        self.wait(limit).await
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        // Both fail only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Finds a program beside the running one: in the target directory of the same profile.
pub fn program_path(program: &str) -> Result<PathBuf, HarnessError> {
    let own = std::env::current_exe()?;
    let mut dir = own.parent().unwrap_or(Path::new(".")).to_owned();
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
