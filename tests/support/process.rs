//! Child processes that are steered by signals and lines.

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

/// Longest wait for a line of a process.
const LINE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for a process to end after it was asked to.
const EXIT_TIMEOUT: Duration = Duration::from_secs(40);
/// Pause between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Variable that names a directory for the processes' logs.
const LOG_DIRECTORY_VARIABLE: &str = "FAULTS_LOGS";

/// Start of a log line of a node.
const LOG_LINE_PREFIX: &str = "{\"at\":";

/// Runs by request id, over all backend servers and their restarts.
pub type RunsByRequest = Arc<Mutex<BTreeMap<String, u32>>>;

/// Child process that ends with its handle.
pub struct Process {
    child: Child,
    stdin: Option<ChildStdin>,
    lines: Receiver<String>,
    reader_thread: Option<JoinHandle<()>>,
}

impl Process {
    /// Starts a process; what it prints as `run ID` is tallied.
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

    /// Next line that is not a run.
    pub fn next_line(&self) -> String {
        self.lines.recv_timeout(LINE_TIMEOUT).unwrap()
    }

    /// Sends a steering line and waits until it is in force.
    pub fn send_command(&mut self, line: &str) {
        let stdin = self.stdin.as_mut().unwrap();
        writeln!(stdin, "{line}").unwrap();
        assert_eq!(self.next_line(), "ok");
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(status.unwrap().success());
    }

    /// Whether the process ended by itself.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    /// Waits for the process to end by itself.
    pub async fn wait_for_exit(&mut self) -> Option<i32> {
        let deadline = Instant::now() + EXIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(Instant::now() < deadline, "process does not end");
            ntex::time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for Process {
    /// Kills the process and reads what it has printed to the end.
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(reader) = self.reader_thread.take() {
            let _ = reader.join();
        }
    }
}

/// File in the directory for logs, if there is one.
fn open_log_file(name: &str) -> Option<File> {
    let directory = env::var(LOG_DIRECTORY_VARIABLE).ok()?;
    let file = File::options()
        .append(true)
        .create(true)
        .open(Path::new(&directory).join(name));
    Some(file.unwrap())
}

/// Where a process's panics go: beside its logs, if they are kept.
fn stderr_target(name: &str) -> Stdio {
    match open_log_file(&format!("{name}.err")) {
        Some(file) => file.into(),
        None => Stdio::null(),
    }
}

/// Whether logs are kept.
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
            // Nobody may be waiting for the line.
            None => drop(line_sender.send(line)),
        }
    }
}
