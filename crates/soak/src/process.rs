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

/// The files and the program of one host.
#[derive(Clone, Debug)]
pub struct ProcessFiles {
    /// The program.
    pub program: PathBuf,
    /// Its settings file.
    pub settings: PathBuf,
    /// File that its output is added to.
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
    /// Starts the program; other hosts reach it at `peer_address`.
    ///
    /// # Errors
    ///
    /// Fails when the program or the log cannot be opened.
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
        let id = id.ok_or_else(|| std::io::Error::other("the process ended at once"))?;
        Ok(Self { child, id })
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn signal(&self, signal: Signal) -> std::io::Result<()> {
        Ok(kill_process(self.id, signal)?)
    }

    /// Returns how the process ended, if it has.
    ///
    /// # Errors
    ///
    /// Fails when the system does not tell.
    pub fn ended(&mut self) -> std::io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Waits for the end.
    ///
    /// # Errors
    ///
    /// Fails when the system does not tell.
    pub async fn wait(&mut self) -> std::io::Result<ExitStatus> {
        self.child.wait().await
    }
}
