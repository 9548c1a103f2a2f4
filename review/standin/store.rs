//! A stand-in of the platform's store with its read calls.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{http::Connection, wire};

/// Maximum number of items of a page.
const PAGE_ITEMS_MAX: usize = 500;

#[derive(Clone)]
struct Change {
    key: String,
    revision: u64,
    created: u64,
    value: Option<String>,
}

#[derive(Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Change>,
    history: Vec<Change>,
}

/// A store that a case writes to and the gateways read.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    contents: Arc<(Mutex<Contents>, Condvar)>,
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let number = (0..3).fold(0, |sum, at| {
            sum << 8 | u32::from(*part.get(at).unwrap_or(&0))
        });
        for at in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * at) & 63) as usize];
            text.push(if at <= part.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .and_then(|code| u8::from_str_radix(code, 16).ok());
        match code.filter(|_| bytes[at] == b'%') {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn parameter(path: &str, name: &str) -> Option<String> {
    let (_, query) = path.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(key, _)| *key == name)
        .map(|(_, value)| percent_decode(value))
}

fn to_json(change: &Change) -> String {
    let Change {
        key,
        revision,
        created,
        value,
    } = change;
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{created},\"lease\":0}}",
            base64(value.as_bytes())
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"),
    }
}

fn to_list<'a>(changes: impl Iterator<Item = &'a Change>) -> String {
    changes.map(to_json).collect::<Vec<_>>().join(",")
}

impl Store {
    pub fn start(ip: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self {
            address: listener.local_addr()?,
            contents: Arc::default(),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an item, or removes it, and wakes the watches. The return is the acknowledgement.
    pub fn write(&self, key: &str, value: Option<&str>) {
        let (contents, changed) = &*self.contents;
        let mut contents = contents.lock().unwrap();
        contents.revision += 1;
        let revision = contents.revision;
        let created = contents
            .items
            .get(key)
            .map_or(revision, |item| item.created);
        let value = value.map(str::to_owned);
        let change = Change {
            key: key.to_owned(),
            revision,
            created,
            value,
        };
        match change.value {
            Some(_) => contents.items.insert(key.to_owned(), change.clone()),
            None => contents.items.remove(key),
        };
        contents.history.push(change);
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read() {
            let (status, body) = self.answer(request.word());
            let answer = format!(
                "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            if connection.write(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, path: &str) -> (&'static str, String) {
        let prefix = parameter(path, "prefix").unwrap_or_default();
        let after = parameter(path, "after").unwrap_or_default();
        match path.split('?').next().unwrap_or_default() {
            path if path == wire::name("range-path") => ("200 OK", self.range(&prefix, &after)),
            path if path == wire::name("watch-path") => {
                let wait = parameter(path, "waitMs").and_then(|text| text.parse().ok());
                let wait = Duration::from_millis(wait.unwrap_or(0));
                (
                    "200 OK",
                    self.watch(&prefix, after.parse().unwrap_or(0), wait),
                )
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let contents = self.contents.0.lock().unwrap();
        let is_listed = |key: &str| key.starts_with(prefix) && (after.is_empty() || key > after);
        let items: Vec<_> = contents
            .items
            .values()
            .filter(|item| is_listed(&item.key))
            .collect();
        let has_more = items.len() > PAGE_ITEMS_MAX;
        let list = to_list(items.into_iter().take(PAGE_ITEMS_MAX));
        format!(
            "{{\"items\":[{list}],\"hasMore\":{has_more},\"asOf\":{}}}",
            contents.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let (contents, changed) = &*self.contents;
        let mut contents = contents.lock().unwrap();
        loop {
            let is_new =
                |change: &&Change| change.revision > after && change.key.starts_with(prefix);
            let list = to_list(contents.history.iter().filter(is_new));
            let left = end.saturating_duration_since(Instant::now());
            if !list.is_empty() || left.is_zero() {
                return format!("{{\"events\":[{list}],\"asOf\":{}}}", contents.revision);
            }
            contents = changed.wait_timeout(contents, left).unwrap().0;
        }
    }
}
