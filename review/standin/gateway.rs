//! The gateway processes of a run.

use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{http::Connection, wire};

/// Time in which a gateway must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Command of the deploy file.
const PROGRAM: &str = "target/release/chicorycroft-gateway";
const ARGUMENTS: [&str; 2] = ["--metrics-port", "9464"];

/// Ports of a gateway for callers, readiness checks and other gateways.
const PORTS: [u16; 3] = [8405, 8406, 8407];

/// A gateway process, killed on drop.
pub struct Gateway {
    child: Child,
    pub ip: String,
}

/// The gateways of a run, one in each zone.
pub struct Fleet {
    pub gateways: Vec<Gateway>,
    dir: PathBuf,
}

fn settings(
    (name, ip, zone): (&str, &str, &str),
    (zones, seeds): (&[&str], &[String]),
    store: SocketAddr,
) -> String {
    let zones: String = zones
        .iter()
        .map(|zone| format!("{zone} = \"muscat\"\n"))
        .collect();
    let seeds: Vec<_> = seeds
        .iter()
        .map(|ip| format!("\"{ip}:{}\"", PORTS[2]))
        .collect();
    let [front, ready, control] = PORTS.map(|port| format!("{ip}:{port}"));
    let values = [
        ("name", name),
        ("ip", ip),
        ("zone", zone),
        ("seeds", &seeds.join(", ")),
        ("zones", &zones),
        ("front", &front),
        ("ready", &ready),
        ("control", &control),
        ("store", &store.to_string()),
    ];
    wire::fill(wire::SETTINGS, &values)
}

fn start_process(
    (name, ip, zone): (&str, &str, &str),
    lists: (&[&str], &[String]),
    dir: &Path,
    store: SocketAddr,
) -> io::Result<Gateway> {
    let path = dir.join(format!("{name}.toml"));
    fs::write(&path, settings((name, ip, zone), lists, store))?;
    let log = File::create(dir.join(format!("{name}.log")))?;
    let child = Command::new(PROGRAM)
        .args(ARGUMENTS)
        .env(wire::name("settings-variable"), &path)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    Ok(Gateway {
        child,
        ip: ip.to_owned(),
    })
}

impl Gateway {
    pub fn connect(&self) -> io::Result<Connection> {
        let stream = TcpStream::connect((self.ip.as_str(), PORTS[0]))?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        Ok(Connection::new(stream))
    }

    fn is_ready(&self) -> bool {
        let probe = || {
            let stream = TcpStream::connect((self.ip.as_str(), PORTS[1]))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            let mut connection = Connection::new(stream);
            connection.write(b"GET /readyz HTTP/1.1\r\nhost: ready\r\n\r\n")?;
            connection.read()
        };
        matches!(probe(), Ok(Some(answer)) if answer.status() == 200)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Fleet {
    /// Starts `per_zone` gateways for each zone at the addresses `NET.11`, `NET.12` and so on, and waits until all are
    /// ready. Their seeds are the first three of them or, if `has_stale_seeds` is set, three addresses without a process.
    pub fn start(
        (net, zones, store): (&str, &[&str], SocketAddr),
        per_zone: usize,
        has_stale_seeds: bool,
    ) -> io::Result<Self> {
        let dir = std::env::temp_dir().join(format!("chicorycroft-review-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let first = if has_stale_seeds { 201 } else { 11 };
        let seeds: Vec<String> = (first..first + 3)
            .map(|host| format!("{net}.{host}"))
            .collect();
        let mut fleet = Self {
            gateways: Vec::new(),
            dir,
        };
        for (number, zone) in zones
            .iter()
            .cycle()
            .take(zones.len() * per_zone)
            .enumerate()
        {
            let (name, ip) = (
                format!("edge-{zone}-{}", 1 + number / zones.len()),
                format!("{net}.{}", 11 + number),
            );
            let gateway = start_process((&name, &ip, zone), (zones, &seeds), &fleet.dir, store)?;
            fleet.gateways.push(gateway);
        }
        let end = Instant::now() + READY_TIMEOUT;
        while !fleet.gateways.iter().all(Gateway::is_ready) {
            if Instant::now() > end {
                return Err(io::Error::other("a gateway is not ready"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        Ok(fleet)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.gateways.clear();
        match std::env::var_os("KEEP_LOGS") {
            Some(_) => println!("logs of the gateways: {}", self.dir.display()),
            // A folder that cannot be removed does not change the result.
            None => drop(fs::remove_dir_all(&self.dir)),
        }
    }
}
