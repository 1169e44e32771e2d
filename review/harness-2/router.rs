//! The routers under review: the program of the deploy file, as separate processes.

use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Channel;

/// Time within which a router must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// `Router` is a router's process. Dropping it kills the process.
pub struct Router {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub child: Child,
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Gets a free loopback address.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    listener.local_addr().expect("an address")
}

/// Reads the command of the router's role from the deploy file.
fn command(root: &Path) -> Result<Vec<String>, String> {
    let text = fs::read_to_string(root.join("deploy/system.toml")).map_err(|e| e.to_string())?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = "));
    let line = line.ok_or("deploy/system.toml names no command")?;
    Ok(line
        .trim()
        .trim_matches('"')
        .split(' ')
        .map(str::to_owned)
        .collect())
}

/// Starts routers that know each other, with the bounds of a small deployment; waits until they are ready.
pub fn start(
    root: &Path,
    folder: &Path,
    store: SocketAddr,
    count: usize,
) -> Result<Vec<Router>, String> {
    let command = command(root)?;
    let addresses: Vec<[SocketAddr; 3]> = (0..count)
        .map(|_| [free_address(), free_address(), free_address()])
        .collect();
    let seeds: Vec<String> = addresses.iter().map(|a| format!("\"{}\"", a[2])).collect();
    let mut routers = Vec::new();
    for (index, [callers, ready, peers]) in addresses.into_iter().enumerate() {
        let settings = format!(
            "{{\"id\":\"front-{index}\",\"data_center\":\"hall-a\",\
             \"listen\":{{\"callers\":\"{callers}\",\"ready\":\"{ready}\",\"peers\":\"{peers}\"}},\
             \"registry\":\"{store}\",\"seeds\":[{}],\"first_start\":true,\
             \"bounds\":{{\"config_ms\":2000,\"revoke_ms\":5000,\"leaving_ms\":2000,\"memory_mb\":260,\
             \"max_descriptors\":4100,\"stop_s\":8,\"lapse_s\":2,\"skew\":2,\"retry_share\":0.2,\
             \"retry_extra\":54,\"retry_window_s\":10}}}}",
            seeds.join(",")
        );
        let path: PathBuf = folder.join(format!("router-{index}.json"));
        fs::write(&path, settings).map_err(|e| e.to_string())?;
        let log =
            File::create(folder.join(format!("router-{index}.log"))).map_err(|e| e.to_string())?;
        let child = Command::new(root.join(&command[0]))
            .args(&command[1..])
            .current_dir(root)
            .env_clear()
            .env("TOUCANTURN_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(|e| e.to_string())?)
            .stdout(log)
            .spawn()
            .map_err(|e| format!("{}: {e}", command[0]))?;
        note_process(folder, &child).map_err(|e| e.to_string())?;
        routers.push(Router {
            callers,
            ready,
            child,
        });
    }
    let until = Instant::now() + READY_TIMEOUT;
    for router in &routers {
        while !is_ready(router.ready) {
            if Instant::now() >= until {
                return Err("a router is not ready".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
    Ok(routers)
}

/// Notes the ID of a process, for the script that ends what is left.
fn note_process(folder: &Path, child: &Child) -> std::io::Result<()> {
    let mut file = OpenOptions::new()
        .create(true)
        .append(true)
        .open(folder.join("processes"))?;
    writeln!(file, "{}", child.id())
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let mut channel = Channel::new(stream);
    channel.write("GET /v1/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
        && channel.read_head().is_some_and(|head| head.status() == 200)
}
