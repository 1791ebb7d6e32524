//! Gateways, started with the command of the deploy file and settings laid out by its template.

use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Line;

/// The command of the deploy file.
const COMMAND: [&str; 2] = ["target/release/lanedeck", "gateway"];

/// A gateway process, which is killed when dropped.
pub struct Gateway {
    pub child: Child,
    pub front: SocketAddr,
    ready: SocketAddr,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Ports that no outgoing connection takes before a gateway binds them.
const PORTS: std::ops::Range<u32> = 10_000..30_000;

/// A free loopback address, another one at each call.
pub fn free_address() -> io::Result<SocketAddr> {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let count = PORTS.end - PORTS.start;
    // Scripts that run at the same time begin at different ports.
    let begin = std::process::id().wrapping_mul(97) % count;
    for _ in 0..count {
        let number = TAKEN.fetch_add(1, Ordering::SeqCst);
        let port = PORTS.start + (begin + number) % count;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener.local_addr();
        }
    }
    Err(io::Error::other("no port is free"))
}

/// A temporary folder, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

impl Gateway {
    /// Starts a gateway with settings of a small deployment.
    pub fn start(name: &str, store: SocketAddr, folder: &Path) -> io::Result<Self> {
        let template = fs::read_to_string("deploy/settings.env")?;
        let (front, ready) = (free_address()?, free_address()?);
        let metrics = free_address()?;
        let gaps = [
            ("nodeName", name.to_owned()),
            ("zone", "hall-nacka".to_owned()),
            ("listen.front", front.to_string()),
            ("listen.ready", ready.to_string()),
            ("listen.directory", free_address()?.to_string()),
            ("listen.control", free_address()?.to_string()),
            ("platform.address", store.to_string()),
            ("heartbeatMs", "1200".to_owned()),
            ("bounds.graceS", "8".to_owned()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.budgetWindowS", "10".to_owned()),
            ("bounds.budgetExtra", "54".to_owned()),
            ("limits.memoryMb", "260".to_owned()),
            ("platform.parts", "24".to_owned()),
        ];
        let mut settings = template.replace("{{ip}}:7349", &metrics.to_string());
        settings = settings.replace("{{ip}}:{{portRange.0}}", &free_address()?.to_string());
        settings = fill_section(&settings, "bounds.exposeShare", None);
        settings = fill_section(&settings, "bounds.exposeSlack", None);
        settings = fill_section(&settings, "limits.cpuShare", Some("0.25"));
        settings = fill_section(&settings, "limits.linkMbps", Some("1000"));
        for (gap, value) in gaps {
            settings = settings.replace(&format!("{{{{{gap}}}}}"), &value);
        }
        let path = folder.join(format!("{name}.env"));
        fs::write(&path, settings)?;
        let log = File::create(folder.join(format!("{name}.log")))?;
        let mut command = Command::new(COMMAND[0]);
        command
            .args(&COMMAND[1..])
            .env_clear()
            .env("LANEDECK_CONFIG", &path);
        let child = command
            .stdout(log.try_clone()?)
            .stderr(Stdio::from(log))
            .spawn()?;
        Ok(Self {
            child,
            front,
            ready,
        })
    }

    /// Waits until the gateway says that it is ready.
    pub fn wait_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if let Ok(mut line) = Line::open(self.ready, Duration::from_secs(1)) {
                line.write(b"GET /api/readyz HTTP/1.1\r\nHost: node\r\n\r\n")?;
                let answer = line.read(true)?;
                if answer.is_some_and(|answer| answer.status() == 200) {
                    return Ok(());
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(io::Error::other("the gateway does not become ready"))
    }
}

/// Fills or removes a section of the template.
fn fill_section(text: &str, name: &str, value: Option<&str>) -> String {
    let (begin, end) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
    let Some((before, rest)) = text.split_once(&begin) else {
        return text.to_owned();
    };
    let Some((inside, after)) = rest.split_once(&end) else {
        return text.to_owned();
    };
    let filled = value.map_or(String::new(), |value| inside.replace("{{.}}", value));
    format!("{before}{filled}{after}")
}
