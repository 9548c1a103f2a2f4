//! Non-blocking log of key=value lines.
//!
//! Lines pass through a bounded queue to a writer thread, so a request never waits for standard output.
//! When the queue is full, lines below level `warn` are dropped and counted, and the count is written with
//! the next batch. Warnings that do not fit go to a second queue and are dropped only when that is full
//! too.

use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
        mpsc::{
            Receiver,
            SyncSender,
            sync_channel, //
        },
    },
    time::Duration,
};

use eyre::{
    Result,
    WrapErr, //
};
use log::LevelFilter;

/// Capacity of the main queue, in lines: one second of output on a busy host.
const QUEUE_LINES: usize = 2048;

/// Capacity of the queue for lines of level `warn` and above that do not fit into the main queue.
const WARN_LINES: usize = 512;

/// Time for which lines are collected into one write.
const BATCH_PERIOD: Duration = Duration::from_millis(200);

/// Handle that queues lines for the writer thread.
#[derive(Clone, Debug)]
pub struct EventLog {
    lines: SyncSender<String>,
    warnings: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl EventLog {
    /// Creates a log and starts the thread that writes its lines to `output`.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system cannot start the thread.
    pub fn new(output: impl Write + Send + 'static) -> Result<Self> {
        let (lines, line_queue) = sync_channel(QUEUE_LINES);
        let (warnings, warning_queue) = sync_channel(WARN_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let count = dropped.clone();
        std::thread::Builder::new()
            .name("event-log".to_owned())
            .stack_size(64 << 10)
            .spawn(move || write_lines(output, &line_queue, &warning_queue, &count))
            .wrap_err("cannot start the log writer thread")?;
        Ok(Self {
            lines,
            warnings,
            dropped,
        })
    }

    /// Queues a line without blocking. The line is dropped and counted if the queues for its level are full.
    pub fn push(&self, line: String, is_warning: bool) {
        let error = match self.lines.try_send(line) {
            Ok(()) => return,
            Err(error) => error,
        };
        let line = match error {
            std::sync::mpsc::TrySendError::Full(line)
            | std::sync::mpsc::TrySendError::Disconnected(line) => line,
        };
        if !is_warning || self.warnings.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of dropped lines that the log has not reported yet.
    pub fn dropped_count(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Installs this log as the global logger of the process.
    ///
    /// # Errors
    ///
    /// Returns an error if a global logger is already installed.
    pub fn install(self, level: LevelFilter) -> Result<()> {
        let output = fern::Output::call(move |record| {
            let is_warning = record.level() <= log::Level::Warn;
            self.push(format!("{}\n", record.args()), is_warning);
        });
        fern::Dispatch::new()
            .format(|out, message, record| {
                let since_epoch =
                    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
                let millis = since_epoch.map_or(0, |time| time.as_millis());
                let level = record.level();
                out.finish(format_args!("unix_ms={millis} level={level} {message}"));
            })
            .level(LevelFilter::Warn)
            .level_for("chicorycroft_gateway", level)
            .level_for("chicorycroft_adapter", level)
            .chain(output)
            .apply()
            .wrap_err("cannot install the global logger")
    }
}

/// Writes lines in batches until all senders are dropped.
fn write_lines(
    mut output: impl Write,
    lines: &Receiver<String>,
    warnings: &Receiver<String>,
    dropped: &AtomicU64,
) {
    while let Ok(first) = lines.recv() {
        std::thread::sleep(BATCH_PERIOD);
        let mut text = first;
        for line in lines.try_iter().take(QUEUE_LINES) {
            text.push_str(&line);
        }
        for line in warnings.try_iter() {
            text.push_str(&line);
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            text.push_str(&format!("event=lines_left_out count={count}\n"));
        }
        // Standard output is closed, so the error cannot be reported. The process continues without a log.
        if output
            .write_all(text.as_bytes())
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
    }
}
