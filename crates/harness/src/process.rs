//! Processes that this one starts, signals and ends.

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

/// Time between two looks at whether a process has ended.
const POLL: Duration = Duration::from_millis(10);

/// A running process; killed when dropped.
pub struct Process {
    /// First line that it printed: where it listens.
    pub greeting: String,
    /// File with what it wrote to standard error.
    pub log: PathBuf,
    child: Child,
}

impl Process {
    /// Starts a program of this workspace and waits for its first line.
    pub fn start(program: &str, arguments: &[&str], log: &Path) -> io::Result<Process> {
        let path = program_path(program)?;
        let mut child = Command::new(&path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(File::create(log)?)
            .spawn()
            .map_err(|it| io::Error::other(format!("{}: {it}; run cargo build", path.display())))?;
        let mut greeting = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout).read_line(&mut greeting)?;
        }
        if greeting.is_empty() {
            let told = std::fs::read_to_string(log).unwrap_or_default();
            return Err(io::Error::other(format!("{program} ended at once: {told}")));
        }
        Ok(Process { greeting, log: log.to_owned(), child })
    }

    /// Process identifier.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        kill(Pid::from_raw(self.child.id() as i32), signal).map_err(io::Error::from)
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) -> io::Result<ExitStatus> {
        self.child.kill()?;
        self.child.wait()
    }

    /// Waits for its end; `None` when it still runs after `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> io::Result<Option<ExitStatus>> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(Some(status));
            }
            if Instant::now() >= deadline {
                return Ok(None);
            }
            thread::sleep(POLL);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Programs are built into the folder of this one, or above a test's.
fn program_path(program: &str) -> io::Result<PathBuf> {
    let mut folder = std::env::current_exe()?;
    folder.pop();
    if folder.ends_with("deps") || folder.ends_with("examples") {
        folder.pop();
    }
    Ok(folder.join(program))
}
