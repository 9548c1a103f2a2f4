//! Output and exit status of the commands, mostly compared with snapshots.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

use std::{
    fs,
    io::{
        ErrorKind,
        Read,
        Write, //
    },
    net::TcpListener,
    path::Path,
};

use chicorycroft_border::prelude::*;
use chicorycroft_cli::{
    CommandOutcome,
    report,
    write_outcome, //
};

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");

fn run(arguments: &[&str]) -> CommandOutcome {
    let arguments: Vec<String> = arguments.iter().map(|&text| text.to_owned()).collect();
    chicorycroft_cli::run(&arguments)
}

/// Creates an empty directory for one test.
fn empty_directory(name: &str) -> std::path::PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).unwrap();
    path
}

/// Guards against examples that are not valid configurations.
#[test]
fn check_accepts_examples() {
    let mut text = String::new();
    for example in ["trust", "pourwise"] {
        let file = |name: &str| format!("{EXAMPLES}/{example}/{name}.yaml");
        let (inventory, rules) = (file("inventory"), file("rules"));
        let outcome = run(&["check", &inventory, &rules, "--settings", &file("settings")]);
        assert_eq!(
            (outcome.status, &*outcome.errors),
            (0, ""),
            "{}",
            outcome.output
        );
        text.push_str(&outcome.output);
    }
    insta::assert_snapshot!(text);
}

/// Guards against findings without file, line and column, and against a success status despite findings.
#[test]
fn check_reports_each_file_with_place() {
    let directory = empty_directory("check");
    let write = |name: &str, text: &[u8]| {
        let path = directory.join(name);
        fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    };
    let zones = write("zones.yaml", b"zones: [{id: a, region: r, colour: red}]\n");
    let bytes = write("bytes.yaml", b"zones: []\n\xff\n");
    let good = write("good.yaml", b"rules: {host_bound: 1}\n");
    let settings = write(
        "settings.yaml",
        b"host: e\nzone: b\nplatform: 127.0.0.1:1\n",
    );
    let outcomes = [
        run(&["check", &zones, &bytes, "/nonexistent/file.yaml"]),
        run(&["check", &good, "--settings", &settings]),
    ];
    let text: String = outcomes.iter().map(|outcome| &*outcome.output).collect();
    assert!(outcomes.iter().all(|outcome| outcome.status == 1));
    let root = format!("{}/", directory.to_str().unwrap());
    insta::assert_snapshot!(text.replace(&root, ""));
}

/// Guards against a diff that omits a change or its time, or that shows a whole digest.
#[test]
fn diff_shows_changes_with_their_time() {
    let directory = empty_directory("diff");
    let old = |name: &str| format!("{EXAMPLES}/trust/{name}.yaml");
    let edit = |name: &str, edits: &[(&str, &str)]| {
        let mut text = fs::read_to_string(old(name)).unwrap();
        for (from, to) in edits {
            assert!(text.contains(from), "{from}");
            text = text.replacen(from, to, 1);
        }
        let path = directory.join(name);
        fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    };
    let text = fs::read_to_string(old("inventory")).unwrap();
    let digest = text.split("key_digests: [").nth(1).unwrap()[..64].to_owned();
    let other = "0123456789abcdef".repeat(4);
    let inventory = edit(
        "inventory",
        &[
            (&digest, &other),
            ("rate: 180", "rate: 200"),
            ("floor: 0.7", "floor: 0.8"),
            (
                "{id: rate-3, service: rate, zone: muscat-3,",
                "{id: rate-3, service: rate, zone: muscat-1,",
            ),
            (
                "  - {id: rate-30, service: rate",
                "  - {id: rate-31, service: rate",
            ),
            (
                "methods: [GET, HEAD], service: rate, access: open",
                "service: rate",
            ),
            ("  - id: masirah-mail", "  - id: masirah-post"),
        ],
    );
    let rules = edit(
        "rules",
        &[
            ("host_bound: 52", "host_bound: 60"),
            ("2027-01-09T23:30:00Z", "2027-01-10T01:30:00Z"),
            ("id: rate-7-memory-swap", "id: rate-8-memory-swap"),
        ],
    );
    let outcome = run(&[
        "diff",
        &old("inventory"),
        &old("rules"),
        "--",
        &inventory,
        &rules,
    ]);
    assert_eq!(outcome.status, 0, "{outcome:?}");
    assert!(!outcome.output.contains(&other) && !outcome.output.contains(&digest));
    insta::assert_snapshot!(outcome.output);
    let same = run(&[
        "diff",
        &old("inventory"),
        &old("rules"),
        "--",
        &old("inventory"),
        &old("rules"),
    ]);
    assert_eq!(same.output, "no changes\n");
}

/// Guards against parts that cannot be read back, and against a version that does not increase.
#[test]
fn parts_are_written_with_index() {
    let directory = empty_directory("parts");
    let out = directory.to_str().unwrap();
    let file = |name: &str| format!("{EXAMPLES}/pourwise/{name}.yaml");
    let (inventory, rules) = (file("inventory"), file("rules"));
    let outcome = run(&["parts", &inventory, &rules, "--out", out]);
    assert_eq!(outcome.status, 0, "{outcome:?}");
    let index = fs::read_to_string(directory.join("index")).unwrap();
    let index = ConfigIndex::new(&index).unwrap();
    let read = |part: &chicorycroft_border::index::IndexPart| {
        let text = fs::read_to_string(directory.join(&*part.name)).unwrap();
        read_document(&part.name, &text).unwrap()
    };
    let documents: Vec<_> = index.parts().iter().map(read).collect();
    let snapshot = build_snapshot(index.version(), &documents).unwrap();
    assert_eq!(snapshot.targets().count(), 26);

    let previous = directory.join("index");
    let previous = previous.to_str().unwrap();
    let base = [
        "parts",
        &*inventory,
        &*rules,
        "--out",
        out,
        "--previous",
        previous,
    ];
    assert_eq!(run(&[&base[..], &["--version", "1"]].concat()).status, 1);
    assert_eq!(run(&base).status, 0);
    let index = fs::read_to_string(previous).unwrap();
    assert!(index.starts_with("{\"version\":2,"), "{index}");
    assert!(!index.contains("\"version\":2,\"digest\"") && !index.contains("\"version\":2}"));
}

/// Starts a server that responds to one request with a body. Returns its address, and a thread that returns the
/// received head.
fn serve_once(body: &str) -> (String, std::thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let response = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let thread = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = [0; 4096];
        let length = stream.read(&mut head).unwrap();
        stream.write_all(response.as_bytes()).unwrap();
        String::from_utf8_lossy(&head[..length]).into_owned()
    });
    (address, thread)
}

const STATUS: &str = r#"{"host":"entry-1","zone":"north-1","ready":true,"reason":"ready",
"stopping":false,"time":"2026-12-04T12:00:00Z","version":7,"refused":"teams/3:4:11: no",
"targets":[{"id":"rate-1","service":"rate","zone":"north-1","in":true,"reason":"in use",
"owner":"entry-1","in_use":1,"limit":2,"waiting":0},{"id":"rate-2","service":"rate",
"zone":"north-2","in":false,"reason":"zone taken out by a booking"}],
"teams":[{"id":"lusail","rate":"20","burst":"10","admitted":5,"refused":1}],
"bookings":[{"id":"work","action":"zone_out north-2","start":"2026-12-04T00:00:00Z","in_force":true}],
"peers":[{"id":"entry-2","zone":"north-1","state":"live"}]}"#;

/// Guards against tables that omit the status from a target's owner or that count a team's requests twice.
#[test]
fn status_joins_hosts_in_tables() {
    let (address, server) = serve_once(STATUS);
    let other = STATUS
        .replace("entry-1", "entry-3")
        .replace("\"version\":7,", "");
    let other = other.replace("\"reason\":\"in use\"", "\"reason\":\"ejected: slow\"");
    let other = other.replace("\"owner\":\"entry-3\"", "\"owner\":\"entry-1\"");
    let (second, second_server) = serve_once(&other);
    let outcome = run(&["status", "--admin", &second, "--admin", &address]);
    assert!(server.join().unwrap().starts_with("GET /status "));
    second_server.join().unwrap();
    assert_eq!((outcome.status, &*outcome.errors), (0, ""));
    insta::assert_snapshot!(outcome.output);
}

/// Guards against arguments that change the structure of the query.
#[test]
fn explain_encodes_its_query() {
    let body = r#"{"method":"GET","path":"/rates?a=b&team=x","decision":"refuse",
"reason":"the team is suspended by a booking","route":"lookups","service":"rate",
"access":"any team with a valid key","team":"lusail","rate":"20","burst":"10","idempotent":true,
"deadline_ms":3000,"targets":[{"id":"rate-1","zone":"north-1","in":true,"reason":"in use","owner":"entry-1"}]}"#;
    let (address, server) = serve_once(body);
    let path = "/rates?a=b&team=x";
    let outcome = run(&[
        "explain", "--admin", &address, "GET", path, "--team", "lusail",
    ]);
    let head = server.join().unwrap();
    let target = head.split_whitespace().nth(1).unwrap();
    assert_eq!(
        target,
        "/explain?method=GET&path=/rates%3Fa%3Db%26team%3Dx&team=lusail"
    );
    assert_eq!(outcome.status, 0);
    insta::assert_snapshot!(outcome.output);
}

/// Guards against a success status when a host does not respond or its response is invalid.
#[test]
fn unreachable_host_and_invalid_response_exit_with_69() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let closed = listener.local_addr().unwrap().to_string();
    drop(listener);
    let (invalid, server) = serve_once("[]");
    for command in [
        &["drain", "--admin", &closed][..],
        &["status", "--admin", &closed],
        &["explain", "--admin", &closed, "GET", "/"],
        &["status", "--json", "--admin", &invalid],
    ] {
        let outcome = run(command);
        assert_eq!(outcome.status, 69, "{command:?}: {outcome:?}");
        assert!(outcome.errors.contains("; check "), "{}", outcome.errors);
    }
    server.join().unwrap();
}

/// Guards against missing help, help that exits with an error, and wrong usage that exits with success.
#[test]
fn help_and_usage() {
    let mut text = run(&["--help"]).output;
    for command in ["check", "diff", "parts", "status", "explain", "drain"] {
        let outcome = run(&[command, "--help"]);
        assert_eq!(outcome.status, 0);
        text.push_str(&format!("----\n{}", outcome.output));
    }
    let wrong: &[&[&str]] = &[
        &[],
        &["publish"],
        &["check"],
        &["check", "--color", "x"],
        &["diff", "a"],
        &["diff", "a", "--"],
        &["parts", "a"],
        &["parts", "a", "--out", "b", "--version", "0"],
        &["status"],
        &["status", "--admin", "host"],
        &["explain", "--admin", "127.0.0.1:1", "GET"],
        &["drain"],
    ];
    for arguments in wrong {
        let outcome = run(arguments);
        assert_eq!(outcome.status, 64, "{arguments:?}");
        text.push_str(&outcome.errors);
    }
    insta::assert_snapshot!(text);
}

/// Writer that fails every write with the same kind of error.
struct FailingWriter(ErrorKind);

impl Write for FailingWriter {
    fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
        Err(self.0.into())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Err(self.0.into())
    }
}

/// Guards against an error when `head` closes the pipe, and against a success status when the disk is full.
#[test]
fn closed_pipe_succeeds_and_full_disk_fails() {
    let outcome = CommandOutcome::new("text");
    let status_of = |kind| {
        let mut writer = FailingWriter(kind);
        write_outcome(&outcome, &mut writer, &mut Vec::new())
    };
    assert_eq!(status_of(ErrorKind::BrokenPipe), 0);
    assert_eq!(status_of(ErrorKind::StorageFull), 74);
}

/// Guards against control characters in a document that reach the terminal.
#[test]
fn findings_contain_no_control_characters() {
    let directory = empty_directory("control");
    let path = directory.join("a.yaml");
    fs::write(&path, "\"\\e[31mzones\": []\n").unwrap();
    let outcome = run(&["check", path.to_str().unwrap()]);
    assert_eq!(outcome.status, 1);
    assert!(!outcome.output.contains('\u{1b}'), "{:?}", outcome.output);
}

/// Guards against table headings without rows.
#[test]
fn status_without_hosts_is_empty() {
    assert_eq!(report::status_text(&[]), "");
}

/// Guards against a trace that omits lines of a request in the logs of several hosts, or that reports success for a
/// request without lines.
#[test]
fn trace_joins_the_logs_of_hosts() {
    let dir = std::env::temp_dir().join(format!("chicorycroft-trace-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let write = |name: &str, text: &str| {
        let path = dir.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    };
    let entry = write(
        "edge-1.log",
        "unix_ms=7000 level=INFO event=attempt id=r1 target=t-1 result=good elapsed_ms=30\n\
         unix_ms=7001 level=INFO event=request id=r1 outcome=ok status=200\nunix_ms=7002 lev",
    );
    let dispatcher = write(
        "edge-2.log",
        "unix_ms=9 level=INFO event=permit_granted id=r1 permit=3 target=t-1 trust=proven\n",
    );
    let found = run(&["trace", "r1", &entry, &dispatcher]);
    let json = run(&["trace", "--json", "r1", &entry, &dispatcher]);
    let missing = run(&["trace", "r2", &entry]);
    let unreadable = run(&["trace", "r1", "no-such-file"]);
    std::fs::remove_dir_all(&dir).unwrap();
    assert_eq!((found.status, json.status, missing.status), (0, 0, 1));
    assert_eq!(unreadable.status, 74);
    insta::assert_snapshot!(format!("{}{}{}", found.output, json.output, missing.output));
}
