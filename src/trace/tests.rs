use assert_matches::assert_matches;

use super::*;

const TRACE: &str = r#"{"at_ms":0,"kind":"service","service":"tillpost","rule":{"attempts":2}}
{"at_ms":0,"kind":"upstream","node":"t1","region":"oyo-west","zone":"iseyin-c","service":"tillpost","slots":6,"connections":260}
{"at_ms":0,"kind":"delay","within_zone_us":100,"between_zones_us":500,"between_regions_us":9000,"client_us":1000}
{"at_ms":0,"kind":"outcome","min_answered_percent":99.5}
{"at_ms":1.25,"kind":"request","id":1,"service":"tillpost","region":"oyo-west","zone":"iseyin-c","method":"POST","path":"/orders","body_bytes":120,"work_us":4000,"depth":2}
{"at_ms":2,"kind":"speed","node":"t1","factor":20}
{"at_ms":3,"kind":"fail_fast","node":"t1"}
"#;

fn read(text: &str) -> Result<RecordedTrace, TraceError> {
    RecordedTrace::read(text.as_bytes())
}

#[test]
fn written_trace_reads_back_unchanged() {
    let trace = read(TRACE).unwrap();
    let mut written = Vec::new();
    trace.write(&mut written).unwrap();
    assert_eq!(RecordedTrace::read(written.as_slice()).unwrap(), trace);
    assert_eq!(trace.events.len(), 7);
    assert_eq!(trace.outcome.min_answered_percent, Some(99.5));
}

#[test]
fn error_names_line_and_field() {
    let cases = [
        ("\"factor\":20", "\"factor\":0", 6, "factor"),
        ("\"work_us\":4000,", "", 5, "work_us"),
        ("\"slots\":6", "\"slots\":0", 2, "slots"),
        ("\"slots\":6", "\"slots\":6,\"slot\":1", 2, "slot"),
        ("\"at_ms\":3", "\"at_ms\":1", 7, "at_ms"),
        ("\"kind\":\"fail_fast\"", "\"kind\":\"fail\"", 7, "kind"),
        (
            "\"fail_fast\",\"node\":\"t1\"",
            "\"fail_fast\",\"node\":\"t2\"",
            7,
            "node",
        ),
        ("POST\",\"path\"", "POST\",\"Path\"", 5, "path"),
        ("\"attempts\":2", "\"attempt\":2", 1, "rule"),
    ];
    for (from, to, line, field) in cases {
        let text = TRACE.replacen(from, to, 1);
        assert_ne!(text, TRACE);
        assert_matches!(read(&text), Err(TraceError::InvalidField { line: actual_line, field: actual_field, .. }) => {
            assert_eq!((actual_line, actual_field.as_str()), (line, field), "{to}");
        });
    }
    assert_matches!(read("{"), Err(TraceError::InvalidJson { line: 1, .. }));
    assert_matches!(read(""), Err(TraceError::MissingOutcome));
}
