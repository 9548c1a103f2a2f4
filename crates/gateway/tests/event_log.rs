//! Log lines never hold up a request.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "helpers of tests may panic"
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

/// An output that nobody reads until a sender lets go.
struct StuckOutput {
    gate: mpsc::Receiver<()>,
    text: Arc<Mutex<String>>,
}

impl Write for StuckOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // The gate opens when its sender is dropped.
        let _ = self.gate.recv();
        let text = String::from_utf8_lossy(bytes);
        self.text.lock().unwrap().push_str(&text);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against requests that wait for standard output, and against lines that vanish without a count: nobody
/// reads while 20,000 lines come, and then somebody does.
#[test]
fn lines_are_counted_while_nobody_reads() {
    let (opener, gate) = mpsc::channel();
    let text = Arc::new(Mutex::new(String::new()));
    let output = StuckOutput {
        gate,
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
        "pushing does not wait"
    );
    let left_out = log.left_out();
    assert!(left_out > 10_000, "{left_out} lines left out");
    drop(opener);
    let end = Instant::now() + Duration::from_secs(10);
    let marks = ["event=first", "event=warning", "event=lines_left_out"];
    while !marks.iter().all(|mark| text.lock().unwrap().contains(mark)) {
        assert!(
            Instant::now() < end,
            "the lines are written once somebody reads"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(text.lock().unwrap().contains(&format!("count={left_out}")));
}
