//! Runs each binary as a process and checks its arguments, output and exit code.

#![allow(clippy::unwrap_used)] // A missing binary should fail the test.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpListener;
use std::process::{Command, Output, Stdio};

const BINARIES: [&str; 7] = [
    env!("CARGO_BIN_EXE_currantlift-ctl"),
    env!("CARGO_BIN_EXE_currantlift-decisions"),
    env!("CARGO_BIN_EXE_currantlift-node"),
    env!("CARGO_BIN_EXE_currantlift-replay"),
    env!("CARGO_BIN_EXE_standin-backend"),
    env!("CARGO_BIN_EXE_standin-relay"),
    env!("CARGO_BIN_EXE_standin-store"),
];
const NODE_BINARY: &str = env!("CARGO_BIN_EXE_currantlift-node");
const CTL_BINARY: &str = env!("CARGO_BIN_EXE_currantlift-ctl");
const REPLAY_BINARY: &str = env!("CARGO_BIN_EXE_currantlift-replay");
const BACKEND_BINARY: &str = env!("CARGO_BIN_EXE_standin-backend");

fn run(binary: &str, arguments: &[&str], variables: &[(&str, &str)]) -> Output {
    let mut command = Command::new(binary);
    command.args(arguments).env_clear();
    command.envs(variables.iter().copied());
    command.output().unwrap()
}

/// Expects exit code 2 with one line on standard error, and returns that line.
fn usage_error(binary: &str, arguments: &[&str], variables: &[(&str, &str)]) -> String {
    let output = run(binary, arguments, variables);
    let line = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{arguments:?}: {line}");
    assert_eq!(line.lines().count(), 1, "{arguments:?}: {line}");
    assert!(output.stdout.is_empty(), "{arguments:?}");
    line
}

#[test]
fn help_and_version_print_to_stdout() {
    for binary in BINARIES {
        let name = binary.rsplit('/').next().unwrap();
        let help = run(binary, &["--help"], &[]);
        assert_eq!(help.status.code(), Some(0), "{name}");
        let text = String::from_utf8(help.stdout).unwrap();
        assert!(text.contains(&format!("Usage: {name}")), "{text}");
        let version = run(binary, &["--version"], &[]);
        let text = String::from_utf8(version.stdout).unwrap();
        assert_eq!(text, format!("{name} {}\n", env!("CARGO_PKG_VERSION")));
    }
}

#[test]
fn every_binary_exits_with_2_on_an_unknown_flag() {
    for binary in BINARIES {
        let line = usage_error(binary, &["--bogus"], &[]);
        assert!(
            line.contains("--bogus: unknown argument, expected --"),
            "{line}"
        );
    }
}

#[test]
fn missing_setting_is_named() {
    let cases: [(&str, &[&str], &str); 5] = [
        (NODE_BINARY, &[], "--node-id (CURRANTLIFT_NODE_ID): missing"),
        (
            CTL_BINARY,
            &[],
            "COMMAND: '' is not allowed, expected submit,",
        ),
        (
            CTL_BINARY,
            &["status"],
            "--admin (CURRANTLIFT_ADMIN): missing",
        ),
        (REPLAY_BINARY, &[], "--rate (CURRANTLIFT_RATE): missing"),
        (BACKEND_BINARY, &[], "--id (CURRANTLIFT_ID): missing"),
    ];
    for (binary, arguments, expected) in cases {
        let line = usage_error(binary, arguments, &[]);
        assert!(line.contains(expected), "{line}");
    }
}

#[test]
fn invalid_value_is_named_with_the_allowed_range() {
    let cases: [(&str, &[&str], &str); 7] = [
        (
            NODE_BINARY,
            &["--threads", "0"],
            "--threads: '0' is not allowed, expected 1 to 64",
        ),
        (
            NODE_BINARY,
            &["--listen", "localhost"],
            "--listen: 'localhost' is not allowed, expected IP:PORT",
        ),
        (
            NODE_BINARY,
            &["--peer", "10.0.0.1:0"],
            "--peer: '10.0.0.1:0' is not allowed",
        ),
        (
            CTL_BINARY,
            &["show", "0"],
            "NUMBER: '0' is not allowed, expected a whole number from 1",
        ),
        (
            CTL_BINARY,
            &["explain", "x"],
            "CALL_ID: 'x' is not allowed, expected a call id",
        ),
        (
            REPLAY_BINARY,
            &["--trace", "t", "--ingress", "a"],
            "--ingress: 'a' is not allowed, expected NAME=",
        ),
        (
            BACKEND_BINARY,
            &["--work-ms", "-1"],
            "--work-ms: '-1' is not allowed, expected 0 to 3600000",
        ),
    ];
    let node_settings = [
        ("CURRANTLIFT_NODE_ID", "a"),
        ("CURRANTLIFT_REGION", "r"),
        ("CURRANTLIFT_ZONE", "z"),
        ("CURRANTLIFT_LISTEN", "127.0.0.1:0"),
        ("CURRANTLIFT_PEER_LISTEN", "127.0.0.1:0"),
        ("CURRANTLIFT_ADMIN_LISTEN", "127.0.0.1:0"),
    ];
    for (binary, arguments, expected) in cases {
        let line = usage_error(binary, arguments, &node_settings);
        assert!(line.contains(expected), "{line}");
    }
    let variables = [("CURRANTLIFT_THREADS", "many")];
    let line = usage_error(
        NODE_BINARY,
        &[],
        &[&node_settings[..], &variables[..]].concat(),
    );
    assert!(
        line.contains("CURRANTLIFT_THREADS: 'many' is not allowed"),
        "{line}"
    );
}

#[test]
fn unreadable_file_is_a_usage_error() {
    let admin_arguments = ["--admin", "http://127.0.0.1:1"];
    let line = usage_error(
        CTL_BINARY,
        &[&admin_arguments[..], &["submit", "/no/such/file", "1"][..]].concat(),
        &[],
    );
    assert!(line.contains("/no/such/file: "), "{line}");
    let trace_arguments = [
        "--trace",
        "/no/such/file",
        "--ingress",
        "z=http://127.0.0.1:1",
    ];
    let standin_arguments = ["--standin", "n=http://127.0.0.1:1"];
    let line = usage_error(
        REPLAY_BINARY,
        &[&trace_arguments[..], &standin_arguments[..]].concat(),
        &[],
    );
    assert!(line.contains("/no/such/file: "), "{line}");
}

#[test]
fn ctl_exits_with_4_if_the_node_is_unreachable() {
    // The listener is dropped at once, so nothing listens on the port.
    let address = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let admin = format!("http://{address}");
    let output = run(CTL_BINARY, &["--admin", &admin, "status"], &[]);
    assert_eq!(output.status.code(), Some(4));
}

#[test]
fn node_exits_with_1_if_a_port_is_in_use() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let arguments = [
        "--node-id=a",
        "--region=r",
        "--zone=z",
        "--listen=127.0.0.1:0",
        "--peer-listen=127.0.0.1:0",
        "--admin-listen",
        &address,
    ];
    assert_eq!(run(NODE_BINARY, &arguments, &[]).status.code(), Some(1));
}

/// Guards against ERROR log lines, which alert operators, on each planned stop.
#[test]
fn planned_stop_logs_no_error_and_ends_with_node_stopped() {
    let ports = ["--listen", "--peer-listen", "--admin-listen"];
    let ports = ports.iter().flat_map(|flag| [*flag, "127.0.0.1:0"]);
    let identity = ["--node-id", "n1", "--region", "r", "--zone", "z"];
    let mut node = Command::new(NODE_BINARY)
        .args(identity)
        .args(ports)
        .args(["--store", "http://127.0.0.1:1"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut output = BufReader::new(node.stdout.take().unwrap());
    let mut line = String::new();
    while !line.contains("node started") {
        line.clear();
        assert_ne!(output.read_line(&mut line).unwrap(), 0);
    }
    let pid = node.id().to_string();
    let status = Command::new("kill").args(["-s", "TERM", &pid]).status();
    assert!(status.unwrap().success());
    let mut log = String::new();
    output.read_to_string(&mut log).unwrap();
    assert_eq!(node.wait().unwrap().code(), Some(0));
    assert!(!log.contains("\"level\":\"ERROR\""), "{log}");
    assert!(log.trim_end().ends_with("\"node stopped\"}"), "{log}");
}

/// Node starts, each stopped as soon as the node has printed its addresses.
const EARLY_STOP_RUNS: usize = 10;

#[test]
fn node_stopped_right_after_start_exits_with_0() {
    for _ in 0..EARLY_STOP_RUNS {
        let mut command = Command::new(NODE_BINARY);
        command
            .args(["--node-id", "node-1", "--region", "r", "--zone", "z"])
            .args(["--store", "http://127.0.0.1:1", "--log-level", "off"])
            .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"])
            .args(["--admin-listen", "127.0.0.1:0", "--leave-seconds", "1"])
            .stdout(Stdio::piped());
        let mut node = command.spawn().unwrap();
        let mut output = BufReader::new(node.stdout.take().unwrap());
        let mut line = String::new();
        output.read_line(&mut line).unwrap();
        let pid = node.id().to_string();
        let sent = Command::new("kill").args(["-s", "TERM", &pid]).status();
        assert!(sent.unwrap().success());
        assert_eq!(node.wait().unwrap().code(), Some(0), "{line}");
    }
}
