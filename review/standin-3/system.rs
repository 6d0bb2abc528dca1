//! Processes of the system on loopback addresses, started with the command of the deploy file and
//! with settings as the platform fills them in. Only processes that were started here are ended.

use std::{
    fs::{self, File},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Instant,
};

use crate::record::Record;

const FRONT_PORT: u16 = 8465;
const READY_PORT: u16 = 8460;
const CONTROL_PORT: u16 = 8462;
const LINK_PORT: u16 = 7560;
pub const SERVER_PORT: u16 = 8080;
const PLATFORM_PORT: u16 = 8466;

/// Zones of the deployment, each in a region of its own.
pub const ZONES: [&str; 3] = ["muscat-a", "sohar-a", "salalah-a"];
const REGIONS: [&str; 3] = ["muscat", "sohar", "salalah"];

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    /// With [`PR_SET_PDEATHSIG`]: ends the process once the thread that started it has ended, also
    /// if the case itself is killed.
    fn prctl(option: i32, signal: u64) -> i32;
}

pub struct System {
    program: PathBuf,
    folder: PathBuf,
    net: [u8; 2],
    record: Record,
    children: Vec<(u8, Child)>,
    /// Memory of an entry machine, in MB.
    memory: u64,
    pub control: Vec<u8>,
    pub entries: Vec<u8>,
}

impl System {
    /// A system without processes, on addresses that are free.
    pub fn new(record: Record, entries: u8, memory: u64) -> io::Result<System> {
        let program = PathBuf::from("target/release/auburnlug").canonicalize()?;
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("auburnlug-review-3-{pid}"));
        fs::create_dir_all(&folder)?;
        let net = (0..50)
            .map(|n| [64 + ((pid + n) % 120) as u8, 1 + ((pid / 120 + n) % 250) as u8])
            .find(|net| is_free(*net))
            .ok_or(io::ErrorKind::AddrInUse)?;
        let (control, entries) = (vec![1, 2, 3], (11..11 + entries).collect());
        Ok(System { program, folder, net, record, children: Vec::new(), memory, control, entries })
    }

    pub fn ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net[0], self.net[1], host))
    }

    pub fn server(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(100 + number), SERVER_PORT)
    }

    pub fn platform(&self) -> SocketAddr {
        SocketAddr::new(self.ip(9), PLATFORM_PORT)
    }

    pub fn front(&self, host: u8) -> SocketAddr {
        SocketAddr::new(self.ip(host), FRONT_PORT)
    }

    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        self.control.iter().map(|host| SocketAddr::new(self.ip(*host), CONTROL_PORT)).collect()
    }

    /// Starts all processes for the first time.
    pub fn start_all(&mut self) -> io::Result<()> {
        for host in self.control.clone().into_iter().chain(self.entries.clone()) {
            self.start(host, true)?;
        }
        Ok(())
    }

    /// Starts the process of a machine.
    pub fn start(&mut self, host: u8, first: bool) -> io::Result<()> {
        let file = self.folder.join(format!("{host}.ini"));
        fs::write(&file, self.settings(host, first))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{host}.log")))?;
        let mut command = Command::new(&self.program);
        command.arg("serve").arg(&file).stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        // SAFETY: prctl is safe to call between fork and exec, and the closure allocates nothing.
        unsafe {
            command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
                0 => Ok(()),
                _ => Err(io::Error::last_os_error()),
            });
        }
        let child = command.spawn()?;
        self.record.line(format!("machine {host} ({}) starts, pid {}", self.ip(host), child.id()));
        self.children.push((host, child));
        Ok(())
    }

    /// The settings that `deploy/settings.ini` yields for a machine.
    fn settings(&self, host: u8, first: bool) -> String {
        let ip = self.ip(host);
        let place = usize::from(host % 10 + 2) % ZONES.len();
        let is_control = self.control.contains(&host);
        let regions: Vec<String> =
            ZONES.iter().zip(REGIONS).map(|(zone, region)| format!("{zone}:{region}")).collect();
        let members: Vec<String> =
            self.operator_addresses().iter().map(SocketAddr::to_string).collect();
        let (callers, ready, operator, data, memory, descriptors) = if is_control {
            let data = self.folder.join(format!("data-{host}"));
            let operator = SocketAddr::new(ip, CONTROL_PORT).to_string();
            let _ = fs::create_dir_all(&data);
            (String::new(), String::new(), operator, data.display().to_string(), 256, 4096)
        } else {
            let callers = SocketAddr::new(ip, FRONT_PORT).to_string();
            let ready = SocketAddr::new(ip, READY_PORT).to_string();
            (callers, ready, String::new(), String::new(), self.memory, 4300)
        };
        format!(
            "[instance]\nname = node-{host}\nip = {ip}\nregion = {}\ndomain = {}\nregions = {}\n\
             evacuation = \ngrace = 6\n\n[listen]\ncallers = {callers}\nready = {ready}\n\
             operator = {operator}\nlinks = {LINK_PORT}\n\n[control]\nmembers = {}\ndata = {data}\n\
             first_start = {first}\nlosses = 1\npromotion = {}\n\n[limits]\nmemory = {memory}\n\
             descriptors = {descriptors}\n",
            REGIONS[place],
            ZONES[place],
            regions.join(","),
            members.join(","),
            self.platform(),
        )
    }

    /// Memory of an entry machine, in MB.
    pub fn limit(&self) -> u64 {
        self.memory
    }

    /// Memory that the process of a machine uses, in bytes; `None` if it has ended.
    pub fn memory(&mut self, host: u8) -> Option<u64> {
        let child = self.child(host)?;
        if !matches!(child.try_wait(), Ok(None)) {
            return None;
        }
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        Some(line.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok()? * 1024)
    }

    /// Ends the process of a machine without warning.
    pub fn kill(&mut self, host: u8) {
        if let Some(at) = self.children.iter().position(|(name, _)| *name == host) {
            let (_, mut child) = self.children.remove(at);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn child(&mut self, host: u8) -> Option<&mut Child> {
        self.children.iter_mut().find(|(name, _)| *name == host).map(|(_, child)| child)
    }

    /// Machines whose processes have ended by themselves.
    pub fn ended(&mut self) -> Vec<u8> {
        let ended = self
            .children
            .iter_mut()
            .filter_map(|(host, child)| (!matches!(child.try_wait(), Ok(None))).then_some(*host));
        ended.collect()
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs are in {}", self.folder.display());
        }
    }
}

fn is_free(net: [u8; 2]) -> bool {
    let mut hosts = [1, 2, 3, 9].into_iter().chain(11..40).chain(100..110);
    let ports = [FRONT_PORT, READY_PORT, CONTROL_PORT, LINK_PORT, SERVER_PORT, PLATFORM_PORT];
    hosts.all(|host| {
        let ip = Ipv4Addr::new(127, net[0], net[1], host);
        ports.into_iter().all(|port| TcpListener::bind((ip, port)).is_ok())
    })
}

/// Waits until `check` holds; `false` if it does not in time.
pub fn wait_for(limit: std::time::Duration, mut check: impl FnMut() -> bool) -> bool {
    let started = Instant::now();
    while !check() {
        if started.elapsed() > limit {
            return false;
        }
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    true
}
