//! Records the events of a session. Each session runs on one thread, so that a thread-local transcript
//! separates the sessions of several test threads.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    sync::Once, //
};

use log::{
    LevelFilter,
    Log,
    Metadata,
    Record, //
};

thread_local! {
    static TEXT: RefCell<String> = const { RefCell::new(String::new()) };
    static IS_OPEN: Cell<bool> = const { Cell::new(false) };
}

struct SessionLogger;

impl Log for SessionLogger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        if IS_OPEN.get() {
            let level = record.level().as_str().to_lowercase();
            let line = format!("log {level}: {}\n", record.args());
            TEXT.with_borrow_mut(|text| text.push_str(&line));
        }
    }

    fn flush(&self) {}
}

/// Starts recording on this thread.
pub(crate) fn open() {
    static LOGGER: Once = Once::new();
    LOGGER.call_once(|| {
        log::set_logger(&SessionLogger).unwrap();
        // Lines below this level are about connections, which end in no fixed order.
        log::set_max_level(LevelFilter::Info);
    });
    IS_OPEN.set(true);
}

/// Records an event with its text.
pub(crate) fn note(event: &str, text: &str) {
    if !IS_OPEN.get() {
        return;
    }
    let text = text.replace('\r', "");
    let lines = text.lines().map(|line| format!("    {line}\n"));
    let block = format!("{event}\n{}", lines.collect::<String>());
    TEXT.with_borrow_mut(|text| text.push_str(&block));
}

/// Stops recording and returns the transcript.
pub(crate) fn take() -> String {
    IS_OPEN.set(false);
    TEXT.take()
}
