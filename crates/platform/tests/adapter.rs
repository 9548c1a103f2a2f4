//! The client against a platform that answers incorrectly, slowly or not at all.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_platform::prelude::*;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    time::Instant,
};

/// Starts a server that passes each connection, once its request head has been read, to a closure along
/// with the number of the connection.
async fn raw_platform<F>(on_request: impl Fn(usize, TcpStream) -> F + Send + 'static) -> SocketAddr
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for number in 0.. {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = Vec::new();
            while !request.ends_with(b"\r\n\r\n") {
                request.push(stream.read_u8().await.unwrap());
            }
            tokio::spawn(on_request(number, stream));
        }
    });
    address
}

async fn platform_with(answer: Vec<u8>) -> PlatformClient {
    let answer = Arc::new(answer);
    let address = raw_platform(move |_, mut stream| {
        let answer = answer.clone();
        async move {
            // The client may close the connection before it has read everything.
            let _ = stream.write_all(&answer).await;
        }
    });
    http_client(address.await)
}

fn value(version: &str, content: &str) -> Vec<u8> {
    let length = content.len();
    format!("HTTP/1.1 200 OK\r\n{version}content-length: {length}\r\n\r\n{content}").into()
}

/// Guards against an invalid answer that is accepted as a value, causes a panic or uses unbounded
/// memory.
#[tokio::test]
async fn invalid_answers_return_typed_errors() {
    let endless = [
        b"HTTP/1.1 200 OK\r\nx-version: 1\r\ntransfer-encoding: chunked\r\n\r\n".to_vec(),
        [b"20000\r\n".to_vec(), vec![b'a'; 0x20000], b"\r\n".to_vec()]
            .concat()
            .repeat(9),
    ];
    let bad = [
        ("no HTTP", b"hello\r\n\r\n".to_vec()),
        ("no version", value("", "a")),
        (
            "two versions",
            value("x-version: 1\r\nx-version: 2\r\n", "a"),
        ),
        ("negative version", value("x-version: -1\r\n", "a")),
        ("above 1 MB", endless.concat()),
        (
            "huge head",
            value(&format!("x-a: {}\r\n", "a".repeat(64 << 10)), "a"),
        ),
        (
            "redirect",
            b"HTTP/1.1 302 Found\r\ncontent-length: 0\r\n\r\n".to_vec(),
        ),
    ];
    for (name, answer) in bad {
        let error = platform_with(answer).await.read("index").await.unwrap_err();
        assert!(
            matches!(error, PlatformError::BadAnswer { .. }),
            "{name}: {error}"
        );
    }
    let truncated = b"HTTP/1.1 200 OK\r\nx-version: 1\r\ncontent-length: 9\r\n\r\nab".to_vec();
    let unavailable = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n".to_vec();
    for answer in [truncated, unavailable, Vec::new()] {
        let error = platform_with(answer).await.read("index").await.unwrap_err();
        assert!(
            matches!(error, PlatformError::Unreachable { .. }),
            "{error}"
        );
    }
    let missing = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n".to_vec();
    let error = platform_with(missing)
        .await
        .read("index")
        .await
        .unwrap_err();
    assert!(matches!(error, PlatformError::Missing { .. }), "{error}");
    let client = platform_with(value("x-version: 1\r\n", "a")).await;
    assert_eq!(client.read("targets/rate/1").await.unwrap().content, "a");
    for name in ["", "a b", "a?newer_than=1", "a\r\nx: y"] {
        let error = client.read(name).await.unwrap_err();
        assert!(matches!(error, PlatformError::BadName { .. }), "{error}");
    }
}

/// Guards against a busy loop when a stale platform answers a watch with a version that is not newer.
#[tokio::test]
async fn watch_is_never_answered_with_an_older_version() {
    let client = platform_with(value("x-version: 4\r\n", "a")).await;
    for known in [4, 5] {
        let answer = client.wait_newer("index", ConfigVersion::new(known)).await;
        let error = answer.unwrap_err();
        assert!(matches!(error, PlatformError::BadAnswer { .. }), "{error}");
    }
    let answer = client.wait_newer("index", ConfigVersion::new(3)).await;
    assert_eq!(answer.unwrap().unwrap().version, ConfigVersion::new(4));
}

/// Guards against accepting a list of hosts with a duplicate host, an invalid address or malformed JSON.
#[tokio::test]
async fn invalid_host_lists_are_refused() {
    let host = r#"{"id":"entry-1","zone":"a","address":"192.0.2.1:1"}"#;
    let good = platform_with(value("", &format!("[{host}]"))).await;
    assert_eq!(good.list_hosts().await.unwrap().len(), 1);
    let lists = [
        format!("[{host},{host}]"),
        "[{\"id\":\"entry-1\",\"zone\":\"a\",\"address\":\"nowhere\"}]".to_owned(),
        "[".repeat(200_000),
        "{}".to_owned(),
    ];
    for list in lists {
        let error = platform_with(value("", &list))
            .await
            .list_hosts()
            .await
            .unwrap_err();
        assert!(matches!(error, PlatformError::BadAnswer { .. }), "{error}");
    }
}

/// Guards against a call that lasts as long as the platform keeps sending its answer in small pieces.
#[tokio::test]
async fn slow_answer_times_out() {
    let address = raw_platform(|_, mut stream| async move {
        tokio::time::pause();
        let head = b"HTTP/1.1 200 OK\r\nx-version: 1\r\ncontent-length: 1000000\r\n\r\n";
        stream.write_all(head).await.unwrap();
        while stream.write_all(b"a").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
    let client = http_client(address.await);
    let started_at = Instant::now();
    let error = client.read("index").await.unwrap_err();
    assert!(
        matches!(error, PlatformError::Unreachable { .. }),
        "{error}"
    );
    assert!(started_at.elapsed() < Duration::from_secs(5));
}

/// Guards against missing a change because the watch waits on a dead connection.
#[tokio::test]
async fn watch_on_a_dead_connection_is_followed_by_a_read() {
    let address = raw_platform(|number, mut stream| async move {
        if number == 0 {
            tokio::time::pause();
            tokio::time::advance(Duration::from_secs(8)).await;
            tokio::time::resume();
            std::future::pending::<()>().await;
        }
        stream
            .write_all(&value("x-version: 7\r\n", "new"))
            .await
            .unwrap();
    });
    let client = http_client(address.await);
    let started_at = Instant::now();
    let answer = client.wait_newer("index", ConfigVersion::new(6)).await;
    assert_eq!(answer.unwrap().unwrap().content, "new");
    assert!(started_at.elapsed() < Duration::from_secs(19));
}

/// Guards against reporting a platform that accepts connections but never answers as reachable without
/// changes.
#[tokio::test]
async fn unresponsive_platform_is_unreachable() {
    let address = raw_platform(|number, stream| async move {
        if number == 0 {
            tokio::time::pause();
        }
        std::future::pending::<()>().await;
        drop(stream);
    });
    let client = http_client(address.await);
    let answer = client.wait_newer("index", ConfigVersion::new(6)).await;
    let error = answer.unwrap_err();
    assert!(
        matches!(error, PlatformError::Unreachable { .. }),
        "{error}"
    );
}

/// Guards against exceeding the fleet's call budget when all hosts read at the same time.
#[tokio::test(start_paused = true)]
async fn calls_of_the_whole_fleet_stay_in_the_budget() {
    for (callers, seconds) in [(6, 10_u64), (20, 10), (1700, 100)] {
        let calls = Arc::new(AtomicUsize::new(0));
        let counter = calls.clone();
        let client = PlatformClient::new(
            move |name| {
                counter.fetch_add(1, Ordering::Relaxed);
                Box::pin(async move { Err(PlatformError::Missing { name }) })
            },
            |_, _| Box::pin(async { Ok(None) }),
            || Box::pin(async { Ok(Vec::new()) }),
        );
        let client = client.with_budget(Arc::new(CallBudget::new(callers)));
        let call_repeatedly = async {
            loop {
                let _ = client.read("index").await;
            }
        };
        let limit = Duration::from_secs(seconds);
        assert!(tokio::time::timeout(limit, call_repeatedly).await.is_err());
        let calls = calls.load(Ordering::Relaxed) as u64;
        // A host may make a burst of ten calls before its rate applies.
        let fleet = (calls - 10) * callers as u64 / seconds;
        println!(
            "callers={callers} calls={calls} seconds={seconds} fleet_calls_per_second={fleet}"
        );
        assert!((100..=1000).contains(&fleet), "{callers}: {fleet}");
    }
}

/// Guards against a call that waits longer for the budget than its caller can use.
#[tokio::test(start_paused = true)]
async fn call_far_over_the_budget_fails() {
    let client = PlatformClient::new(
        |name| Box::pin(async { Err(PlatformError::Missing { name }) }),
        |_, _| Box::pin(async { Ok(None) }),
        || Box::pin(async { Ok(Vec::new()) }),
    );
    let client = client.with_budget(Arc::new(CallBudget::new(20_000)));
    for _ in 0..10 {
        client.list_hosts().await.unwrap();
    }
    let error = client.list_hosts().await.unwrap_err();
    assert!(matches!(error, PlatformError::OverBudget { .. }), "{error}");
}

/// Guards against hosts that all call at the same time when the platform recovers, and against pauses
/// without an upper limit.
#[test]
fn pauses_double_up_to_a_limit_and_vary() {
    let pauses = |jitter| {
        let mut backoff = RetryBackoff::new();
        std::array::from_fn::<u128, 8, _>(|_| backoff.on_failure(jitter).as_millis())
    };
    assert_eq!(pauses(0), [125, 250, 500, 1000, 2000, 4000, 4000, 4000]);
    assert_eq!(
        pauses(u16::MAX),
        [250, 500, 1000, 2000, 4000, 8000, 8000, 8000]
    );
    let mut backoff = RetryBackoff::new();
    backoff.on_failure(0);
    backoff.on_success();
    assert_eq!(backoff.on_failure(0), Duration::from_millis(125));
}
