//! Requests of callers.

use std::io::Result;

use crate::{
    http::{Connection, Message},
    record::Record,
};

/// Host name of the routes.
pub const HOST: &str = "rates.example";

/// A request of a caller without a body.
pub struct CallerRequest<'a> {
    /// Method and path.
    pub line: &'a str,
    pub id: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
}

impl CallerRequest<'_> {
    pub fn text(&self) -> String {
        let Self {
            line,
            id,
            key,
            deadline_ms,
        } = self;
        format!(
            "{line} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\nx-deadline-ms: {deadline_ms}\r\n\
             authorization: Bearer {key}\r\ncontent-length: 0\r\n\r\n"
        )
    }

    /// Sends the request and reads its answer; `None` if the connection ends first.
    pub fn exchange(
        &self,
        connection: &mut Connection,
        record: &Record,
    ) -> Result<Option<Message>> {
        record.add(&format!(
            "sent      id={} key={} line={:?}",
            self.id, self.key, self.line
        ));
        connection.write(self.text().as_bytes())?;
        let answer = connection.read()?;
        record_answer(record, self.id, answer.as_ref());
        Ok(answer)
    }
}

/// Records the answer to a request, or the end of its connection.
pub fn record_answer(record: &Record, id: &str, answer: Option<&Message>) {
    record.add(&match answer {
        Some(answer) => format!(
            "answered  id={id} status={} to={}",
            answer.status(),
            answer.field("x-request-id").unwrap_or("-")
        ),
        None => format!("closed    id={id} without an answer"),
    });
}
