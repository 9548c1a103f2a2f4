//! Bounded lines of key=value pairs.
//!
//! Lines go through a queue to one thread, so that a request never waits for standard output. When the
//! queue is full, lines of level `info` are counted in place of being written, and the count follows
//! with the next line; warnings wait for a place in a second queue of their own.

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

/// Lines that wait for standard output: a second of a busy host.
const QUEUE_LINES: usize = 2048;

/// Lines of level `warn` and above that may wait beyond those.
const WARN_LINES: usize = 512;

/// Time for which lines are collected before they are written together.
const COLLECT_TIME: Duration = Duration::from_millis(200);

/// Takes lines and hands them to the writing thread.
#[derive(Clone, Debug)]
pub struct EventLog {
    lines: SyncSender<String>,
    warnings: SyncSender<String>,
    left_out: Arc<AtomicU64>,
}

impl EventLog {
    /// Starts the thread that writes lines to `output`.
    ///
    /// # Errors
    ///
    /// Fails when the system gives no thread.
    pub fn new(output: impl Write + Send + 'static) -> Result<Self> {
        let (lines, line_queue) = sync_channel(QUEUE_LINES);
        let (warnings, warning_queue) = sync_channel(WARN_LINES);
        let left_out = Arc::new(AtomicU64::new(0));
        let count = left_out.clone();
        std::thread::Builder::new()
            .name("event-log".to_owned())
            .stack_size(64 << 10)
            .spawn(move || write_lines(output, &line_queue, &warning_queue, &count))
            .wrap_err("the log thread cannot be started")?;
        Ok(Self {
            lines,
            warnings,
            left_out,
        })
    }

    /// Takes a line without waiting.
    pub fn push(&self, line: String, is_warning: bool) {
        let refused = match self.lines.try_send(line) {
            Ok(()) => return,
            Err(error) => error,
        };
        let line = match refused {
            std::sync::mpsc::TrySendError::Full(line)
            | std::sync::mpsc::TrySendError::Disconnected(line) => line,
        };
        if !is_warning || self.warnings.try_send(line).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of lines that were left out and not yet told of.
    pub fn left_out(&self) -> u64 {
        self.left_out.load(Ordering::Relaxed)
    }

    /// Makes this the log of the process.
    ///
    /// # Errors
    ///
    /// Fails when there is a log already.
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
            .wrap_err("the log cannot be started")
    }
}

/// Writes lines until all senders are gone. Several lines are written in one call.
fn write_lines(
    mut output: impl Write,
    lines: &Receiver<String>,
    warnings: &Receiver<String>,
    left_out: &AtomicU64,
) {
    while let Ok(first) = lines.recv() {
        std::thread::sleep(COLLECT_TIME);
        let mut text = first;
        for line in lines.try_iter().take(QUEUE_LINES) {
            text.push_str(&line);
        }
        for line in warnings.try_iter() {
            text.push_str(&line);
        }
        let count = left_out.swap(0, Ordering::Relaxed);
        if count > 0 {
            text.push_str(&format!("event=lines_left_out count={count}\n"));
        }
        // Nobody is left to tell when standard output is closed; the process goes on without a log.
        if output
            .write_all(text.as_bytes())
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
    }
}
