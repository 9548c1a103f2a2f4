//! Stand-ins of the platform's store, of backends and of clients, and the processes of a small deployment.
//!
//! Only the standard library is used. Every address is a loopback address.

use std::{
    collections::BTreeMap,
    fs::File,
    io::{Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Period in which a backend writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Longest time in which the gateways have to become ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time for which a backend keeps an idle connection, in seconds.
const KEEP_ALIVE_S: u64 = 10;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |time| time.as_millis() as u64)
}

/// The record of what was sent, answered and run, and the clock of the case.
pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    pub fn new(folder: &str) -> std::io::Result<Arc<Self>> {
        Ok(Arc::new(Self {
            file: Mutex::new(File::create(format!("{folder}/record.txt"))?),
            started_at: Instant::now(),
        }))
    }

    pub fn seconds(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.seconds());
        let _ = lock(&self.file).write_all(line.as_bytes());
    }

    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let value = part
            .iter()
            .fold(0u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - part.len()));
        for place in 0..4 {
            let digit = DIGITS[(value >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= part.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}

/// One change of the store.
struct Change {
    revision: u64,
    key: String,
    value: Option<String>,
}

#[derive(Default)]
struct StoreState {
    changes: Vec<Change>,
    items: BTreeMap<String, (u64, u64, String)>,
}

impl StoreState {
    fn revision(&self) -> u64 {
        self.changes.last().map_or(1, |change| change.revision)
    }
}

/// The platform's store: reads are linearizable and answered at once.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
    record: Arc<Record>,
}

impl Store {
    pub fn start(ip: IpAddr, record: &Arc<Record>) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            state: Mutex::default(),
            changed: Condvar::new(),
            record: record.clone(),
        });
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an item, or removes it. The return is the acknowledgement.
    pub fn write(&self, key: &str, value: Option<String>) -> Instant {
        let mut state = lock(&self.state);
        let revision = state.revision() + 1;
        match &value {
            Some(text) => {
                let created = state.items.get(key).map_or(revision, |item| item.1);
                state
                    .items
                    .insert(key.to_owned(), (revision, created, text.clone()));
            }
            None => {
                state.items.remove(key);
            }
        }
        state.changes.push(Change {
            revision,
            key: key.to_owned(),
            value: value.clone(),
        });
        drop(state);
        self.changed.notify_all();
        if !key.starts_with("servers/") || value.is_none() {
            self.record.line(&format!(
                "store acknowledged revision {revision} of {key} ({})",
                if value.is_some() {
                    "written"
                } else {
                    "removed"
                }
            ));
        }
        Instant::now()
    }

    /// Returns the present value of an item.
    pub fn value(&self, key: &str) -> Option<String> {
        lock(&self.state).items.get(key).map(|item| item.2.clone())
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut buffer) {
            let target = head.split(' ').nth(1).unwrap_or_default().to_owned();
            let (status, body) = self.answer(&target);
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\n{}: 1\r\nContent-Length: {}\r\n\r\n{body}",
                wire("era"),
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .filter(|(key, _)| *key == name)
                .map(|(_, value)| decode(value))
                .next()
        };
        let number = |name: &str| field(name).and_then(|text| text.parse::<u64>().ok());
        let prefix = field("prefix").unwrap_or_default();
        match path {
            _ if path == wire("range") => {
                let after = field("after").unwrap_or_default();
                let state = lock(&self.state);
                let found = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = found
                    .map(|(key, (revision, created, value))| {
                        item_text(key, *revision, *created, value)
                    })
                    .collect();
                (
                    "200 OK",
                    format!(
                        "{{\"items\":[{}],\"hasMore\":false,\"asOf\":{}}}",
                        items.join(","),
                        state.revision()
                    ),
                )
            }
            _ if path == wire("watch") => {
                let after = number("after").unwrap_or(0);
                let end = Instant::now()
                    + Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
                let mut state = lock(&self.state);
                loop {
                    let events: Vec<String> = state
                        .changes
                        .iter()
                        .filter(|change| change.revision > after && change.key.starts_with(&prefix))
                        .map(|change| match &change.value {
                            Some(value) => {
                                item_text(&change.key, change.revision, change.revision, value)
                            }
                            None => format!(
                                "{{\"key\":\"{}\",\"revision\":{},\"tombstone\":true}}",
                                change.key, change.revision
                            ),
                        })
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        return (
                            "200 OK",
                            format!(
                                "{{\"events\":[{}],\"asOf\":{}}}",
                                events.join(","),
                                state.revision()
                            ),
                        );
                    }
                    let waited = self.changed.wait_timeout(state, left);
                    state = waited.unwrap_or_else(PoisonError::into_inner).0;
                }
            }
            _ if path == wire("item") => {
                let key = field("key").unwrap_or_default();
                let state = lock(&self.state);
                match state.items.get(&key) {
                    Some((revision, created, value)) => {
                        ("200 OK", item_text(&key, *revision, *created, value))
                    }
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }
}

fn item_text(key: &str, revision: u64, created: u64, value: &str) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{created},\"lease\":0}}",
        base64(value.as_bytes())
    )
}

fn decode(text: &str) -> String {
    let (bytes, mut decoded, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
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

/// Reads a head from a stream. `buffer` holds what was read beyond it.
pub fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    let mut space = [0; 16384];
    loop {
        if let Some(at) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..at + 2]).into_owned();
            buffer.drain(..at + 4);
            return Some(head);
        }
        match stream.read(&mut space) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&space[..count]),
        }
    }
}

/// Reads exactly `length` bytes of a body.
pub fn read_exact(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> Option<Vec<u8>> {
    let mut space = [0; 16384];
    while buffer.len() < length {
        match stream.read(&mut space) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&space[..count]),
        }
    }
    Some(buffer.drain(..length).collect())
}

pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    let mut lines = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
    lines.next().map(|(_, value)| value.trim())
}

/// What a backend does with a request.
pub enum Action {
    /// Runs it and answers 200.
    Run,
    /// Runs it and writes these bytes instead of an answer.
    Write(Vec<u8>),
    /// Crashes: all its connections break, and no further one is served.
    Crash,
}

/// A request as a backend got it.
#[derive(Clone)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub was_run: bool,
}

/// State of a backend that its handler sees.
pub struct Backend {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: usize,
    pub work: Mutex<Duration>,
    pub born: AtomicU64,
    seq: AtomicU64,
    busy: Mutex<usize>,
    has_crashed: AtomicBool,
    /// Whether the heartbeat writes the entry.
    pub is_registered: AtomicBool,
    pub state: Mutex<&'static str>,
    /// End of the cold time.
    pub cold_until: Mutex<Option<Instant>>,
    pub arrivals: Mutex<Vec<Arrival>>,
    record: Arc<Record>,
}

type Handler = dyn Fn(&Backend, &str) -> Action + Send + Sync;

impl Backend {
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        (ip, slots, work): (IpAddr, usize, Duration),
        record: &Arc<Record>,
        handler: Arc<Handler>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let backend = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            slots,
            work: Mutex::new(work),
            born: AtomicU64::new(unix_millis()),
            seq: AtomicU64::new(0),
            busy: Mutex::new(0),
            has_crashed: AtomicBool::new(false),
            is_registered: AtomicBool::new(false),
            state: Mutex::new("ready"),
            cold_until: Mutex::new(None),
            arrivals: Mutex::default(),
            record: record.clone(),
        });
        let server = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, handler) = (server.clone(), handler.clone());
                thread::spawn(move || server.serve(stream, &*handler));
            }
        });
        Ok(backend)
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    pub fn has_crashed(&self) -> bool {
        self.has_crashed.load(Ordering::Relaxed)
    }

    /// Breaks all connections and serves no further one, or serves again.
    pub fn set_down(&self, is_down: bool) {
        self.has_crashed.store(is_down, Ordering::Relaxed);
    }

    pub fn cold_left(&self) -> Duration {
        let until = *lock(&self.cold_until);
        until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }

    /// Returns the next text of the entry.
    pub fn next_entry(&self) -> String {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        self.entry(self.born.load(Ordering::Relaxed), seq)
    }

    pub fn entry(&self, born: u64, seq: u64) -> String {
        let values = [
            ("SERVICE", self.service.clone()),
            ("ADDRESS", self.address.to_string()),
            ("ZONE", self.zone.clone()),
            ("SLOTS", self.slots.to_string()),
            ("STATE", (*lock(&self.state)).to_owned()),
            (
                "COLD_LEFT",
                format!("{:.3}", self.cold_left().as_secs_f64()),
            ),
            ("SEQ", seq.to_string()),
            ("BORN", born.to_string()),
        ];
        fill(include_str!("wire/entry.json"), &values)
    }

    /// Starts anew under the same id: the counts begin again.
    pub fn be_reborn(&self) {
        self.born.store(unix_millis(), Ordering::Relaxed);
        self.seq.store(0, Ordering::Relaxed);
    }

    /// Writes the entry. It changes only if more than `seq` does; otherwise the write renews it, and no watch hears of it.
    pub fn write_entry(&self, store: &Store) {
        let entry = self.next_entry();
        let without_seq = |text: &str| {
            text.split("\"seq\":")
                .map(|part| {
                    part.trim_start_matches(|digit: char| digit.is_ascii_digit())
                        .to_owned()
                })
                .collect::<String>()
        };
        let is_renewal = store
            .value(&self.key())
            .is_some_and(|known| without_seq(&known) == without_seq(&entry));
        self.record.line(&format!(
            "{} {} {entry}",
            self.id,
            if is_renewal { "renews" } else { "writes" }
        ));
        if !is_renewal {
            store.write(&self.key(), Some(entry));
        }
    }

    /// Registers, and renews the entry from then on.
    pub fn register(self: &Arc<Self>, store: &Arc<Store>) {
        self.is_registered.store(true, Ordering::Relaxed);
        self.write_entry(store);
        let (backend, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            loop {
                sleep(HEARTBEAT);
                if backend.is_registered.load(Ordering::Relaxed) {
                    backend.write_entry(&store);
                }
            }
        });
    }

    fn serve(&self, mut stream: TcpStream, handler: &Handler) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(KEEP_ALIVE_S)));
        let mut buffer = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut buffer).filter(|_| !self.has_crashed()) {
            let id = header(&head, "x-request-id").unwrap_or_default().to_owned();
            let length = header(&head, "content-length")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            let line = head.lines().next().unwrap_or_default().to_owned();
            let tenant = header(&head, wire("tenant")).unwrap_or("-").to_owned();
            let is_mine = header(&head, wire("target")).is_none_or(|target| target == self.id);
            let arrived = |was_run: bool, note: &str| {
                lock(&self.arrivals).push(Arrival {
                    at: Instant::now(),
                    id: id.clone(),
                    was_run,
                });
                self.record.line(&format!(
                    "{} gets {id} \"{line}\" tenant {tenant}: {note}",
                    self.id
                ));
            };
            if !is_mine {
                let _ = read_exact(&mut stream, &mut buffer, length);
                arrived(false, "421");
                if answer(
                    &mut stream,
                    "421 Misdirected Request",
                    &id,
                    &format!("{}: 1\r\n", wire("not-run")),
                    "not mine",
                )
                .is_err()
                {
                    return;
                }
                continue;
            }
            match handler(self, &head) {
                Action::Write(bytes) => {
                    if read_exact(&mut stream, &mut buffer, length).is_none() {
                        return;
                    }
                    arrived(true, "runs, and gets other bytes than an answer");
                    if stream.write_all(&bytes).is_err() {
                        return;
                    }
                }
                Action::Crash => {
                    if !self.has_crashed.swap(true, Ordering::Relaxed) {
                        self.record.line(&format!(
                            "{} crashes: too many requests while it is cold",
                            self.id
                        ));
                    }
                    return;
                }
                Action::Run => {
                    if read_exact(&mut stream, &mut buffer, length).is_none() {
                        return;
                    }
                    let has_slot = {
                        let mut busy = lock(&self.busy);
                        let has_slot = *busy < self.slots;
                        *busy += usize::from(has_slot);
                        has_slot
                    };
                    if !has_slot {
                        arrived(false, "503, full");
                        if answer(
                            &mut stream,
                            "503 Service Unavailable",
                            &id,
                            &format!("{}: 1\r\n", wire("not-run")),
                            "full",
                        )
                        .is_err()
                        {
                            return;
                        }
                        continue;
                    }
                    arrived(true, "runs");
                    let work = *lock(&self.work);
                    sleep(work);
                    *lock(&self.busy) -= 1;
                    if self.has_crashed() {
                        self.record
                            .line(&format!("{} had begun {id} and is gone", self.id));
                        return;
                    }
                    let text = format!("{} ran {id}", self.id);
                    if answer(&mut stream, "200 OK", &id, &signature(), &text).is_err() {
                        return;
                    }
                }
            }
        }
    }
}

/// Returns the header line with a backend's signature.
pub fn signature() -> String {
    format!("{}: 3e1b.07\r\n", wire("signature"))
}

fn answer(
    stream: &mut TcpStream,
    status: &str,
    id: &str,
    fields: &str,
    body: &str,
) -> std::io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nKeep-Alive: timeout={KEEP_ALIVE_S}\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}

/// How an answer ended for a client.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The status; 0 without an answer.
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the framing says that the body is whole.
    pub is_whole: bool,
}

/// A request of a client.
pub struct Ask<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub key: Option<&'a str>,
    pub body: &'a [u8],
    pub deadline: Duration,
}

/// A connection of a client.
pub struct Client {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            buffer: Vec::new(),
        })
    }

    /// Sends a request and reads its answer. An error is an answer without status.
    pub fn ask(&mut self, ask: &Ask<'_>, record: &Record) -> Answer {
        let authorization = ask
            .key
            .map(|key| format!("Authorization: Bearer {key}\r\n"))
            .unwrap_or_default();
        let length = match ask.method {
            "GET" => String::new(),
            _ => format!("Content-Length: {}\r\n", ask.body.len()),
        };
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {}\r\nX-Deadline-Ms: {}\r\n{authorization}{length}\r\n",
            ask.method,
            ask.path,
            ask.id,
            ask.deadline.as_millis()
        );
        record.line(&format!(
            "client sends {} {} {} ({} bytes)",
            ask.id,
            ask.method,
            ask.path,
            ask.body.len()
        ));
        let _ = self
            .stream
            .set_read_timeout(Some(ask.deadline + Duration::from_millis(500)));
        let _ = self.stream.set_write_timeout(Some(ask.deadline));
        let sent = self
            .stream
            .write_all(head.as_bytes())
            .and_then(|()| self.stream.write_all(ask.body));
        // An answer may have come although the body could not be sent.
        let answer = self.read_answer();
        record.line(&format!(
            "client gets {}: status {} whole {} bytes {} signature {}{}",
            ask.id,
            answer.status,
            answer.is_whole,
            answer.body.len(),
            header(&answer.head, wire("signature")).unwrap_or("none"),
            if sent.is_err() {
                " (its body could not be sent)"
            } else {
                ""
            }
        ));
        answer
    }

    fn read_answer(&mut self) -> Answer {
        let Some(head) = read_head(&mut self.stream, &mut self.buffer) else {
            return Answer::default();
        };
        let status = head
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let chunked = header(&head, "transfer-encoding")
            .is_some_and(|text| text.eq_ignore_ascii_case("chunked"));
        let length = header(&head, "content-length").and_then(|text| text.parse::<usize>().ok());
        let (mut body, mut is_whole) = (Vec::new(), true);
        if (100..200).contains(&status) || status == 204 || status == 304 {
        } else if chunked {
            loop {
                let mut line = Vec::new();
                while !line.ends_with(b"\r\n") {
                    match read_exact(&mut self.stream, &mut self.buffer, 1) {
                        Some(byte) => line.extend(byte),
                        None => break,
                    }
                }
                let text = String::from_utf8_lossy(&line);
                let Ok(size) = usize::from_str_radix(text.trim(), 16) else {
                    is_whole = false;
                    break;
                };
                let Some(part) = read_exact(&mut self.stream, &mut self.buffer, size + 2) else {
                    is_whole = false;
                    break;
                };
                body.extend_from_slice(&part[..size]);
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = length {
            match read_exact(&mut self.stream, &mut self.buffer, length) {
                Some(bytes) => body = bytes,
                None => {
                    body = std::mem::take(&mut self.buffer);
                    is_whole = false;
                }
            }
        } else {
            let mut rest = std::mem::take(&mut self.buffer);
            is_whole = self.stream.read_to_end(&mut rest).is_ok();
            body = rest;
        }
        Answer {
            status,
            head,
            body,
            is_whole,
        }
    }
}

/// A gateway process, killed when it is dropped.
pub struct Gateway {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
}

impl Gateway {
    pub fn spawn(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        // The command of the deploy file.
        let child = Command::new("target/release/chicorycroft-gateway")
            .args(["--metrics-port", "9464"])
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env(wire("settings"), &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal to the process by its id.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill")
            .args(["-s", name, &self.pid().to_string()])
            .status();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns `true` if the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300))
        else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let _ =
            stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        text.starts_with("HTTP/1.1 200")
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A small deployment: the store, and gateways in one zone.
pub struct World {
    pub folder: PathBuf,
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub gateways: Vec<Gateway>,
    net: (u8, u8),
}

impl World {
    /// Starts the store. Each run has loopback addresses of its own.
    pub fn new(case: &str) -> std::io::Result<Self> {
        let record = Record::new(case)?;
        let pid = std::process::id();
        let net = ((pid % 200 + 20) as u8, (pid / 200 % 250) as u8);
        let folder = std::env::temp_dir().join(format!("chicorycroft-review-{pid}"));
        std::fs::create_dir_all(&folder)?;
        let store = Store::start(IpAddr::V4(Ipv4Addr::new(127, net.0, net.1, 250)), &record)?;
        Ok(Self {
            folder,
            record,
            store,
            gateways: Vec::new(),
            net,
        })
    }

    pub fn ip(&self, last: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net.0, self.net.1, last))
    }

    /// Starts gateways in one zone, and waits until all are ready.
    pub fn start_gateways(&mut self, count: u8) -> Result<(), String> {
        let seeds: Vec<String> = (1..=count.min(3))
            .map(|n| format!("\"{}:8407\"", self.ip(n)))
            .collect();
        for n in 1..=count {
            let ip = self.ip(n);
            let text = settings_text(
                &format!("edge-{n}"),
                ip,
                &seeds.join(","),
                self.store.address,
            );
            let settings = self.folder.join(format!("boot-{n}.toml"));
            std::fs::write(&settings, text).map_err(|error| error.to_string())?;
            let mut gateway = Gateway {
                front: SocketAddr::new(ip, 8405),
                ready: SocketAddr::new(ip, 8406),
                child: None,
                settings,
                log: self.folder.join(format!("gateway-{n}.log")),
            };
            gateway
                .spawn()
                .map_err(|error| format!("cannot start the gateway: {error}"))?;
            self.record
                .line(&format!("gateway {n} starts, process {}", gateway.pid()));
            self.gateways.push(gateway);
        }
        let end = Instant::now() + READY_LIMIT;
        while !self.gateways.iter().all(Gateway::is_ready) {
            if Instant::now() > end {
                return Err("the gateways did not become ready".to_owned());
            }
            sleep(Duration::from_millis(50));
        }
        self.record.line("all gateways are ready");
        Ok(())
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.gateways.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("logs in {}", self.folder.display());
        }
    }
}

fn settings_text(name: &str, ip: IpAddr, seeds: &str, store: SocketAddr) -> String {
    let values = [
        ("NAME", name.to_owned()),
        ("IP", ip.to_string()),
        ("SEEDS", seeds.to_owned()),
        ("STORE", store.to_string()),
    ];
    fill(include_str!("wire/boot.toml"), &values)
}

/// Returns a template with its placeholders replaced.
fn fill(template: &str, values: &[(&str, String)]) -> String {
    let fill_one =
        |text: String, (name, value): &(&str, String)| text.replace(&format!("${name}"), value);
    values.iter().fold(template.trim_end().to_owned(), fill_one)
}

/// Returns a name of the platform's protocol.
pub fn wire(name: &str) -> &'static str {
    let mut lines = include_str!("wire/names.txt")
        .lines()
        .filter_map(|line| line.split_once(' '));
    let found = lines.find(|(key, _)| *key == name);
    found.map_or_else(|| panic!("no name {name}"), |(_, value)| value)
}

/// A configuration with a safe route `/look/`, an unsafe route `/buy/` and an upload route `/load/` of one service.
pub fn config(version: u64, tenants: &str) -> String {
    let values = [
        ("VERSION", version.to_string()),
        ("TENANTS", tenants.trim().to_owned()),
    ];
    fill(include_str!("wire/config.json"), &values)
}
