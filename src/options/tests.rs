use std::collections::BTreeMap;
use std::ffi::OsString;
use std::time::Duration;

use assert_matches::assert_matches;

use super::{
    EXIT_MARGIN, NODE_COMMAND, NodeOptions, ParsedCommand, SecretToken, SettingError, parse_command,
};

const REQUIRED_FLAGS: &[&str] = &[
    "--node-id=a1",
    "--region=oyo-west",
    "--zone=iseyin-c",
    "--listen=127.0.0.1:0",
    "--peer-listen=127.0.0.1:0",
    "--admin-listen=127.0.0.1:0",
];

fn parse_node_options(
    extra_flags: &[&str],
    variables: &[(&str, &str)],
) -> Result<NodeOptions, SettingError> {
    let all_arguments = ["currantlift-node"]
        .iter()
        .chain(REQUIRED_FLAGS)
        .chain(extra_flags);
    let arguments: Vec<OsString> = all_arguments.map(OsString::from).collect();
    let variables: BTreeMap<&str, OsString> = variables
        .iter()
        .map(|(name, value)| (*name, OsString::from(value)))
        .collect();
    let parsed = parse_command(&NODE_COMMAND, arguments, |name| {
        variables.get(name).cloned()
    })?;
    match parsed {
        ParsedCommand::Run(raw) => NodeOptions::try_from(raw),
        other => panic!("expected settings, got {other:?}"),
    }
}

#[test]
fn flag_overrides_variable_and_variable_overrides_default() {
    let variables = [
        ("CURRANTLIFT_THREADS", "7"),
        ("CURRANTLIFT_DRAIN_SECONDS", "9"),
    ];
    let options = parse_node_options(&["--threads", "3"], &variables).unwrap();
    assert_eq!(options.thread_count.get(), 3);
    assert_eq!(options.drain_limit.as_secs(), 9);
    assert_eq!(options.log_level, log::LevelFilter::Info);
    assert_eq!(options.store_url, None);
}

#[test]
fn drain_limit_follows_from_the_grace_time_if_that_is_set() {
    let drain = ["--drain-seconds", "9"];
    let limit = |flags: &[&str]| parse_node_options(flags, &[]).unwrap().drain_limit;
    assert_eq!(limit(&drain), Duration::from_secs(9));
    let grace = ["--stop-grace-seconds", "6.5"];
    let expected = Duration::from_secs_f64(6.5) - EXIT_MARGIN;
    assert_eq!(limit(&grace), expected);
    assert_eq!(limit(&[&drain[..], &grace[..]].concat()), expected);
    assert!(parse_node_options(&["--stop-grace-seconds", "0.5"], &[]).is_err());
}

#[test]
fn peers_are_read_from_repeated_flags_and_from_a_comma_separated_variable() {
    let from_flags =
        parse_node_options(&["--peer", "10.0.0.1:1", "--peer", "10.0.0.2:2"], &[]).unwrap();
    let variables = [("CURRANTLIFT_PEER", "10.0.0.1:1, 10.0.0.2:2")];
    let from_variable = parse_node_options(&[], &variables).unwrap();
    assert_eq!(from_flags.peers.len(), 2);
    assert_eq!(from_flags.peers, from_variable.peers);
}

#[test]
fn error_names_the_setting_the_value_and_the_allowed_values() {
    let cases = [
        (
            "--threads=0",
            "--threads: '0' is not allowed, expected 1 to 64",
        ),
        ("--threads=65", "--threads: '65' is not allowed"),
        ("--store=ftp://x:1", "--store: 'ftp://x:1' is not allowed"),
        ("--store=http://x:1/p", "--store: 'http://x:1/p' is not"),
        ("--peer=10.0.0.1:0", "--peer: '10.0.0.1:0' is not allowed"),
        (
            "--peer-advertise=0.0.0.0:5",
            "--peer-advertise: '0.0.0.0:5'",
        ),
        ("--admin-token=a b", "--admin-token: 'a b' is not allowed"),
        ("--log-level=x\ny", "--log-level: 'x\\ny' is not allowed"),
        ("--node-id=b", "--node-id: given twice with 'b'"),
        ("--bogus", "--bogus: unknown argument, expected --node-id,"),
        ("-x", "-x: unknown argument"),
        ("stray", "stray: unknown argument"),
        ("--peer", "--peer: has no value, expected IP:PORT"),
    ];
    for (argument, expected) in cases {
        let text = parse_node_options(&[argument], &[])
            .unwrap_err()
            .to_string();
        assert!(text.starts_with(expected), "{argument}: {text}");
        assert_eq!(text.lines().count(), 1);
    }
}

#[test]
fn error_names_an_invalid_variable_and_an_empty_variable_is_ignored() {
    let error = parse_node_options(&[], &[("CURRANTLIFT_THREADS", "many")]).unwrap_err();
    assert_matches!(error, SettingError::BadValue { setting, .. } if setting == "CURRANTLIFT_THREADS");
    let options = parse_node_options(&[], &[("CURRANTLIFT_THREADS", "")]).unwrap();
    assert_eq!(options.thread_count.get(), 2);
}

#[test]
fn error_for_a_missing_setting_names_flag_and_variable() {
    let arguments = ["currantlift-node"].map(OsString::from);
    let parsed = parse_command(&NODE_COMMAND, arguments, |_| None).unwrap();
    let ParsedCommand::Run(raw) = parsed else {
        panic!("expected settings");
    };
    let text = NodeOptions::try_from(raw).unwrap_err().to_string();
    assert!(
        text.starts_with("--node-id (CURRANTLIFT_NODE_ID): missing"),
        "{text}"
    );
}

#[test]
fn defaults_are_valid_and_help_lists_every_flag() {
    let help = NODE_COMMAND.help_text();
    for flag in NODE_COMMAND.flags {
        assert!(help.contains(&format!("--{}", flag.name)));
    }
    parse_node_options(&[], &[]).unwrap();
}

#[test]
fn token_matches_only_itself_and_debug_output_hides_it() {
    let token: SecretToken = "s3cret-token".parse().unwrap();
    assert!(token.matches("s3cret-token"));
    assert!(!token.matches("s3cret-tokem"));
    assert!(!token.matches(""));
    assert!(!format!("{token:?}").contains("s3cret"));
}
