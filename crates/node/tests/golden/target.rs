//! A target that follows a script, which includes closing its connections.

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

/// Behaviour of a target for one request. Without a script, a target answers normally.
pub(crate) enum TargetBehaviour {
    /// Refuses the request as not run.
    Shed,
    /// Runs the request. Writes an earlier refusal on the same connection once more, if there was one.
    RepeatRefusal,
    /// Closes the connection after the head of the request.
    CutAfterHead,
    /// Closes the connection after the complete request.
    CutAfterRequest,
    /// Answers when notified.
    Late(Arc<Notify>),
    /// Sends the response twice.
    Twice,
}

/// Behaviours for the next requests, regardless of the target that they reach.
#[derive(Clone, Default)]
pub(crate) struct TargetScript(Arc<Mutex<VecDeque<TargetBehaviour>>>);

impl TargetScript {
    /// Adds the behaviour for one more request.
    pub(crate) fn push(&self, behaviour: TargetBehaviour) {
        self.0.lock().unwrap().push_back(behaviour);
    }

    fn next(&self) -> Option<TargetBehaviour> {
        self.0.lock().unwrap().pop_front()
    }
}

/// A listening target. Aborting `task` closes its socket.
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
    let mut refusal = None;
    while let Some(head) = read_head(&mut stream).await {
        let behaviour = script.next();
        if matches!(behaviour, Some(TargetBehaviour::CutAfterHead)) {
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
        let answer = match behaviour {
            Some(TargetBehaviour::CutAfterRequest) => {
                return note(&format!("{name} saw, and cut the connection"), &request);
            }
            Some(TargetBehaviour::Shed) => {
                note(&format!("{name} saw, and shed"), &request);
                let answer = "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
                refusal = Some(answer.to_owned());
                answer.to_owned()
            }
            Some(TargetBehaviour::RepeatRefusal) => {
                note(&format!("{name} saw, and repeats a refusal"), &request);
                refusal.clone().unwrap_or(answer)
            }
            Some(TargetBehaviour::Twice) => {
                note(&format!("{name} saw, and answered twice"), &request);
                let second = answer.replace("answers", "repeats");
                format!("{answer}{second}")
            }
            Some(TargetBehaviour::Late(release)) => {
                note(&format!("{name} saw"), &request);
                release.notified().await;
                note(&format!("{name} answers late"), "");
                answer
            }
            Some(TargetBehaviour::CutAfterHead) | None => {
                note(&format!("{name} saw"), &request);
                answer
            }
        };
        // The proxy may have closed the connection already.
        let _ = stream.write_all(answer.as_bytes()).await;
        let _ = stream.flush().await;
    }
}

/// Reads an HTTP/1.1 head including its empty line, or returns `None` if the connection ends.
pub(crate) async fn read_head(stream: &mut BufStream<TcpStream>) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if stream.read_line(&mut head).await.ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

/// Reads the body that a head describes, or returns `None` if it is truncated.
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
