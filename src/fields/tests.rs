use bytes::Bytes;

use super::*;

#[test]
fn hop_by_hop_and_connection_fields_are_removed() {
    let fields = [
        ("connection", "close, X-Local"),
        ("x-local", "1"),
        ("transfer-encoding", "chunked"),
        ("content-length", "7"),
        ("x-kept", "yes"),
    ];
    let fields = fields.map(|(name, value)| HeaderField {
        name: name.to_string(),
        value: Bytes::from(value),
    });
    let kept = end_to_end_fields(fields.to_vec());
    let names: Vec<&str> = kept.iter().map(|field| field.name.as_str()).collect();
    assert_eq!(names, ["x-kept"]);
}
