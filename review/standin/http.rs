//! Reads HTTP/1.1 messages from a blocking connection.

use std::{
    io::{Read, Result, Write},
    net::TcpStream,
};

/// A message: its start line, its header fields in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the start line: the path of a request, or the status of an answer.
    pub fn word(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word().parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        // Without it, small messages wait for acknowledgements.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> Result<usize> {
        let mut space = [0; 16384];
        let count = self.stream.read(&mut space)?;
        self.ahead.extend_from_slice(&space[..count]);
        Ok(count)
    }

    /// Reads a message with a `content-length` or without a body. Returns `None` if the connection ends first.
    pub fn read(&mut self) -> Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.ahead.windows(4).position(|part| part == b"\r\n\r\n") {
                break at + 4;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
        let mut lines = head.lines();
        let mut message = Message {
            start: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for (name, value) in lines.filter_map(|line| line.split_once(':')) {
            let field = (name.to_ascii_lowercase(), value.trim().to_owned());
            message.fields.push(field);
        }
        let length = message
            .field("content-length")
            .and_then(|text| text.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.ahead.len() < end + length {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        message.body = self.ahead[end..end + length].to_vec();
        self.ahead.drain(..end + length);
        Ok(Some(message))
    }
}
