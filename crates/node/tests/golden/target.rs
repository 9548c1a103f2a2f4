//! A target that follows a script, down to when it cuts a connection.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
};

use tokio::{
    io::{
        AsyncBufReadExt,
        AsyncReadExt,
        AsyncWriteExt,
        BufStream, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::Notify,
    task::JoinHandle,
};

use crate::transcript::note;

/// What a target does with a request; without a script it answers.
pub(crate) enum TargetAct {
    /// Refuses as not run.
    Shed,
    /// Closes the connection after the head.
    CutAfterHead,
    /// Closes the connection after the whole request.
    CutAfterRequest,
    /// Answers the whole request once told.
    Late(Arc<Notify>),
    /// Answers twice at once.
    Twice,
}

/// The acts for the next requests, whichever target they reach.
#[derive(Clone, Default)]
pub(crate) struct TargetScript(Arc<Mutex<VecDeque<TargetAct>>>);

impl TargetScript {
    /// Adds the act for one more request.
    pub(crate) fn push(&self, act: TargetAct) {
        self.0.lock().unwrap().push_back(act);
    }

    fn next(&self) -> Option<TargetAct> {
        self.0.lock().unwrap().pop_front()
    }
}

/// A listening target. It closes its socket when `task` is aborted.
pub(crate) struct ScriptedTarget {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) task: JoinHandle<()>,
}

impl ScriptedTarget {
    pub(crate) async fn start(name: String, script: TargetScript) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let own_name = name.clone();
        let task = tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let exchange = serve(BufStream::new(stream), own_name.clone(), script.clone());
                tokio::spawn(exchange);
            }
        });
        Self {
            name,
            address,
            task,
        }
    }
}

/// Serves a connection until either side closes it.
async fn serve(mut stream: BufStream<TcpStream>, name: String, script: TargetScript) {
    while let Some(head) = read_head(&mut stream).await {
        let act = script.next();
        if matches!(act, Some(TargetAct::CutAfterHead)) {
            return note(&format!("{name} saw, and cut the connection"), &head);
        }
        let Some(body) = read_body(&mut stream, &head).await else {
            return note(&format!("{name} saw, cut by the proxy"), &head);
        };
        let request = format!("{head}{}", String::from_utf8_lossy(&body));
        let line = head.lines().next().unwrap_or_default();
        let text = format!("{name} answers {line}\n");
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}",
            text.len()
        );
        let answer = match act {
            Some(TargetAct::CutAfterRequest) => {
                return note(&format!("{name} saw, and cut the connection"), &request);
            }
            Some(TargetAct::Shed) => {
                note(&format!("{name} saw, and shed"), &request);
                "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n".to_owned()
            }
            Some(TargetAct::Twice) => {
                note(&format!("{name} saw, and answered twice"), &request);
                let second = answer.replace("answers", "repeats");
                format!("{answer}{second}")
            }
            Some(TargetAct::Late(turn)) => {
                note(&format!("{name} saw"), &request);
                turn.notified().await;
                note(&format!("{name} answers late"), "");
                answer
            }
            Some(TargetAct::CutAfterHead) | None => {
                note(&format!("{name} saw"), &request);
                answer
            }
        };
        // The proxy may have closed the connection by now.
        let _ = stream.write_all(answer.as_bytes()).await;
        let _ = stream.flush().await;
    }
}

/// Reads a head of HTTP/1.1 with its empty line, or nothing at the end of the connection.
pub(crate) async fn read_head(stream: &mut BufStream<TcpStream>) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if stream.read_line(&mut head).await.ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

/// Reads the body that a head announces, or nothing when it is cut.
pub(crate) async fn read_body(stream: &mut BufStream<TcpStream>, head: &str) -> Option<Vec<u8>> {
    let value = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        lines.find(|(key, _)| key.eq_ignore_ascii_case(name))
    };
    let length = value("content-length").map_or(0, |(_, length)| length.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    if value("transfer-encoding").is_none() {
        return Some(body);
    }
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await.ok()?;
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        stream.read_exact(&mut chunk).await.ok()?;
        body.extend_from_slice(&chunk[..size]);
        if size == 0 {
            return Some(body);
        }
    }
}
