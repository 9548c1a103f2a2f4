//! One gateway process and its signals.

use std::{
    fs::File,
    path::{
        Path,
        PathBuf, //
    },
    process::{
        ExitStatus,
        Stdio, //
    },
};

use rustix::process::{
    Pid,
    Signal,
    kill_process, //
};
use tokio::process::{
    Child,
    Command, //
};

/// The program of one host and its files.
#[derive(Clone, Debug)]
pub struct ProcessFiles {
    /// Path of the gateway program.
    pub program: PathBuf,
    /// Path of its settings file.
    pub settings: PathBuf,
    /// Path of the log file that its output is appended to.
    pub log: PathBuf,
}

/// A running gateway process. It is killed when it is dropped.
#[derive(Debug)]
pub struct GatewayProcess {
    child: Child,
    id: Pid,
}

fn log_file(path: &Path) -> std::io::Result<File> {
    File::options().create(true).append(true).open(path)
}

impl GatewayProcess {
    /// Starts the program. `peer_address` is the address at which other hosts reach it.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be opened or the program cannot be started.
    pub fn start(files: &ProcessFiles, peer_address: &str) -> std::io::Result<Self> {
        let log = log_file(&files.log)?;
        let child = Command::new(&files.program)
            .arg("--settings")
            .arg(&files.settings)
            .arg("--peer-address")
            .arg(peer_address)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        let id = child.id().and_then(|id| Pid::from_raw(id.cast_signed()));
        let id = id.ok_or_else(|| {
            std::io::Error::other("the gateway process has no id: it ended at once")
        })?;
        Ok(Self { child, id })
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn signal(&self, signal: Signal) -> std::io::Result<()> {
        Ok(kill_process(self.id, signal)?)
    }

    /// Returns the exit status if the process has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the system cannot report the state of the process.
    pub fn exit_status(&mut self) -> std::io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Waits until the process has ended and returns its exit status.
    ///
    /// # Errors
    ///
    /// Returns an error if the system cannot report the state of the process.
    pub async fn wait(&mut self) -> std::io::Result<ExitStatus> {
        self.child.wait().await
    }
}
