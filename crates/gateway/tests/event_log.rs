//! Writing log lines must not block a request.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test helpers may panic"
)]

use std::{
    io::{
        self,
        Write, //
    },
    sync::{
        Arc,
        Mutex,
        mpsc, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use chicorycroft_gateway::prelude::*;

/// An output whose writes block until the sender of a channel is dropped.
struct BlockedOutput {
    unblocked: mpsc::Receiver<()>,
    text: Arc<Mutex<String>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Returns an error as soon as the sender is dropped.
        let _ = self.unblocked.recv();
        let text = String::from_utf8_lossy(bytes);
        self.text.lock().unwrap().push_str(&text);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against requests that block on standard output, and against lines that are dropped without being
/// counted. The output blocks while 20,000 lines are pushed and is then released.
#[test]
fn dropped_lines_are_counted_while_output_blocks() {
    let (unblock, unblocked) = mpsc::channel();
    let text = Arc::new(Mutex::new(String::new()));
    let output = BlockedOutput {
        unblocked,
        text: text.clone(),
    };
    let log = EventLog::new(output).unwrap();
    log.push("event=first\n".to_owned(), false);
    std::thread::sleep(Duration::from_millis(400));
    let start = Instant::now();
    for number in 0..20_000 {
        log.push(format!("event=line number={number}\n"), false);
    }
    log.push("event=warning\n".to_owned(), true);
    assert!(
        start.elapsed() < Duration::from_secs(1),
        "push blocked on the output"
    );
    let dropped = log.dropped_count();
    assert!(dropped > 10_000, "only {dropped} lines were dropped");
    drop(unblock);
    let end = Instant::now() + Duration::from_secs(10);
    let events = ["event=first", "event=warning", "event=lines_left_out"];
    while !events
        .iter()
        .all(|event| text.lock().unwrap().contains(event))
    {
        assert!(
            Instant::now() < end,
            "queued lines were not written after the output was released"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(text.lock().unwrap().contains(&format!("count={dropped}")));
}
