//! Child processes of the integration tests.
//!
//! A test controls a process by signals and by command lines on its standard
//! input, and reads its standard output: addresses and replies as lines, runs
//! of backend servers as counts by request id, log lines into files if
//! `FAULTS_LOGS` names a directory for them.

use std::collections::BTreeMap;
use std::env;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Longest wait for the next line of output.
const LINE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for a process to exit after it was told to stop.
const EXIT_TIMEOUT: Duration = Duration::from_secs(40);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Environment variable with the directory for logs; without it none are kept.
const LOG_DIRECTORY_VARIABLE: &str = "FAULTS_LOGS";

/// Start of every log line of a node, by which it is told from other output.
const LOG_LINE_PREFIX: &str = "{\"at\":";

/// Number of runs by request id, summed over all backend servers and their
/// restarts.
pub type RunsByRequest = Arc<Mutex<BTreeMap<String, u32>>>;

/// Child process that is killed when its handle is dropped.
pub struct Process {
    child: Child,
    stdin: Option<ChildStdin>,
    lines: Receiver<String>,
    reader_thread: Option<JoinHandle<()>>,
}

impl Process {
    /// Starts a process and counts each line `run ID` of its output in `runs`.
    pub fn start(name: &str, command: &mut Command, runs: &RunsByRequest) -> Self {
        let mut child = command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(stderr_target(name))
            .spawn()
            .unwrap();
        let output = child.stdout.take().unwrap();
        let stdin = child.stdin.take();
        let (line_sender, lines) = channel();
        let runs = Arc::clone(runs);
        let log_file = open_log_file(&format!("{name}-{}.log", child.id()));
        let reader_thread =
            std::thread::spawn(move || read_output(output, &line_sender, &runs, log_file));
        Self {
            child,
            stdin,
            lines,
            reader_thread: Some(reader_thread),
        }
    }

    /// Waits for the next line of output that is neither a run nor a log line.
    pub fn next_line(&self) -> String {
        self.lines.recv_timeout(LINE_TIMEOUT).unwrap()
    }

    /// Sends a command line and waits for the reply `ok`, which means that the
    /// command has taken effect.
    pub fn send_command(&mut self, line: &str) {
        let stdin = self.stdin.as_mut().unwrap();
        writeln!(stdin, "{line}").unwrap();
        assert_eq!(self.next_line(), "ok");
    }

    /// Sends a signal by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(status.unwrap().success());
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    /// Peak of the memory that it takes, since its start.
    pub fn peak_memory_bytes(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let kilobytes = line.unwrap().split_whitespace().nth(1).unwrap();
        kilobytes.parse::<u64>().unwrap() * 1024
    }

    /// Number of file descriptors that it has open.
    pub fn open_descriptors(&self) -> usize {
        let entries = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        entries.unwrap().count()
    }

    /// Waits for the process to exit; `None` if a signal ended it.
    pub async fn wait_for_exit(&mut self) -> Option<i32> {
        let deadline = Instant::now() + EXIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(Instant::now() < deadline, "process did not exit in time");
            ntex::time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for Process {
    /// Kills the process and reads the rest of its output, so that every run is
    /// counted.
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(reader) = self.reader_thread.take() {
            let _ = reader.join();
        }
    }
}

/// Opens a file in the directory for logs; `None` if logs aren't kept.
fn open_log_file(name: &str) -> Option<File> {
    let directory = env::var(LOG_DIRECTORY_VARIABLE).ok()?;
    let file = File::options()
        .append(true)
        .create(true)
        .open(Path::new(&directory).join(name));
    Some(file.unwrap())
}

/// Returns where standard error, and with it panics, goes: to a file beside the
/// logs, if they are kept.
fn stderr_target(name: &str) -> Stdio {
    match open_log_file(&format!("{name}.err")) {
        Some(file) => file.into(),
        None => Stdio::null(),
    }
}

pub fn logs_are_kept() -> bool {
    env::var(LOG_DIRECTORY_VARIABLE).is_ok()
}

fn read_output(
    output: ChildStdout,
    line_sender: &Sender<String>,
    runs: &RunsByRequest,
    mut log_file: Option<File>,
) {
    for line in BufReader::new(output).lines().map_while(Result::ok) {
        if line.starts_with(LOG_LINE_PREFIX) {
            if let Some(file) = &mut log_file {
                writeln!(file, "{line}").unwrap();
            }
            continue;
        }
        match line.strip_prefix("run ") {
            Some(id) => *runs.lock().unwrap().entry(id.to_string()).or_default() += 1,
            // Sending fails if the receiver is dropped; the line isn't needed then.
            None => drop(line_sender.send(line)),
        }
    }
}
