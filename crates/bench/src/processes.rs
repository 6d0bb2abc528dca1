//! Real processes of one program, by host, each with a settings file, a data folder and a log in
//! the same folder.

use std::{
    collections::BTreeMap,
    fs, io,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};

/// Interval at which a condition is checked.
pub const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Processes that end with this value.
#[derive(Debug)]
pub struct Processes {
    program: PathBuf,
    folder: PathBuf,
    children: BTreeMap<u8, Child>,
    keeps_logs: bool,
}

impl Processes {
    /// Prepares `folder` for processes of `program`.
    ///
    /// # Errors
    ///
    /// The folder cannot be created.
    pub fn new(program: &Path, folder: &Path) -> io::Result<Processes> {
        fs::create_dir_all(folder)?;
        Ok(Processes {
            program: program.to_owned(),
            folder: folder.to_owned(),
            children: BTreeMap::new(),
            keeps_logs: false,
        })
    }

    /// Folder of all files.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Data folder of a host.
    pub fn data_folder(&self, host: u8) -> PathBuf {
        self.folder.join(format!("data-{host}"))
    }

    /// Starts the process of a host unless it runs.
    ///
    /// # Errors
    ///
    /// The settings cannot be written, or the process cannot be started.
    pub fn spawn(&mut self, host: u8, command: &str, settings: &str) -> io::Result<()> {
        if let Some(child) = self.children.get_mut(&host)
            && child.try_wait()?.is_none()
        {
            return Ok(());
        }
        let file = self.folder.join(format!("settings-{host}.ini"));
        fs::write(&file, settings)?;
        let log = fs::OpenOptions::new().create(true).append(true).open(self.log_file(host))?;
        let child = Command::new(&self.program)
            .arg(command)
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.children.insert(host, child);
        Ok(())
    }

    /// Ends the process of a host without warning.
    ///
    /// # Errors
    ///
    /// The process has been waited for already.
    pub fn kill(&mut self, host: u8) -> io::Result<()> {
        let Some(mut child) = self.children.remove(&host) else { return Ok(()) };
        child.kill()?;
        child.wait().map(drop)
    }

    /// Ends all processes at the same moment; returns the hosts on which one ran.
    ///
    /// # Errors
    ///
    /// A process has been waited for already.
    pub fn kill_all(&mut self) -> io::Result<Vec<u8>> {
        for child in self.children.values_mut() {
            child.kill()?;
        }
        let hosts: Vec<u8> = self.hosts().collect();
        for host in &hosts {
            self.kill(*host)?;
        }
        Ok(hosts)
    }

    /// Ends the process of a host, and removes its data.
    ///
    /// # Errors
    ///
    /// The process has been waited for already, or the data cannot be removed.
    pub fn lose_disk(&mut self, host: u8) -> io::Result<()> {
        self.kill(host)?;
        match fs::remove_dir_all(self.data_folder(host)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    /// Waits until the process of a host has ended; `false` if it still runs after `limit`.
    ///
    /// # Errors
    ///
    /// The process cannot be waited for.
    pub fn wait(&mut self, host: u8, limit: Duration) -> io::Result<bool> {
        let Some(child) = self.children.get_mut(&host) else { return Ok(true) };
        let started = Instant::now();
        while child.try_wait()?.is_none() {
            if started.elapsed() > limit {
                return Ok(false);
            }
            thread::sleep(POLL_INTERVAL);
        }
        self.children.remove(&host);
        Ok(true)
    }

    /// Hosts whose process was started and not killed.
    pub fn hosts(&self) -> impl Iterator<Item = u8> {
        self.children.keys().copied()
    }

    /// Process id of a host whose process was started and not killed.
    pub fn pid(&self, host: u8) -> Option<u32> {
        self.children.get(&host).map(Child::id)
    }

    /// Sends a signal to the process of a host.
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub fn signal(&self, host: u8, signal: Signal) -> io::Result<()> {
        let pid = self.pid(host).and_then(|pid| Pid::from_raw(pid as i32));
        kill_process(pid.ok_or(io::ErrorKind::NotFound)?, signal)?;
        Ok(())
    }

    /// Lines that a host has logged for the event `code` since its first start.
    pub fn logged(&self, host: u8, code: &str) -> Vec<String> {
        let text = fs::read_to_string(self.log_file(host)).unwrap_or_default();
        text.lines().filter(|line| line.contains(code)).map(str::to_owned).collect()
    }

    /// Keeps the logs once the processes end.
    pub fn keep_logs(&mut self) {
        self.keeps_logs = true;
    }

    fn log_file(&self, host: u8) -> PathBuf {
        self.folder.join(format!("node-{host}.log"))
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if !thread::panicking() && !self.keeps_logs {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
