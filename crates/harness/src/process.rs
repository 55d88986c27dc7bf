//! Child processes: starting, signalling and waiting for them.

use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;

/// Interval between checks whether a process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A child process that is killed when dropped.
pub struct Process {
    /// First line of its standard output, which names its listen addresses.
    pub first_line: String,
    /// File that receives its standard error.
    pub log: PathBuf,
    child: Child,
}

impl Process {
    /// Starts a program of this workspace and waits for its first line of output.
    pub fn start(program: &str, arguments: &[&str], log: &Path) -> io::Result<Process> {
        let path = program_path(program)?;
        let mut child = Command::new(&path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(File::create(log)?)
            .spawn()
            .map_err(|it| io::Error::other(format!("{}: {it}; run cargo build", path.display())))?;
        let mut first_line = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout).read_line(&mut first_line)?;
        }
        if first_line.is_empty() {
            let output = std::fs::read_to_string(log).unwrap_or_default();
            return Err(io::Error::other(format!("{program} exited at startup: {output}")));
        }
        Ok(Process { first_line, log: log.to_owned(), child })
    }

    /// Returns the process identifier.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        kill(Pid::from_raw(self.child.id() as i32), signal).map_err(io::Error::from)
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) -> io::Result<ExitStatus> {
        self.child.kill()?;
        self.child.wait()
    }

    /// Waits for the exit of the process. Returns `None` if it still runs after
    /// `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> io::Result<Option<ExitStatus>> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(Some(status));
            }
            if Instant::now() >= deadline {
                return Ok(None);
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a program built by Cargo. Programs are in the folder of
/// the running executable, or in the parent folder if that is a test or an
/// example.
fn program_path(program: &str) -> io::Result<PathBuf> {
    let mut folder = std::env::current_exe()?;
    folder.pop();
    if folder.ends_with("deps") || folder.ends_with("examples") {
        folder.pop();
    }
    Ok(folder.join(program))
}
