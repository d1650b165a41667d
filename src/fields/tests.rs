use super::*;

#[test]
fn hop_by_hop_fields_and_those_named_by_connection_are_removed() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "close, X-Local"),
        ("x-local", "1"),
        ("transfer-encoding", "chunked"),
        ("content-length", "7"),
        ("x-kept", "yes"),
    ] {
        let name = HeaderName::from_bytes(name.as_bytes()).unwrap();
        headers.append(name, HeaderValue::from_str(value).unwrap());
    }
    let fields = end_to_end_fields(&headers);
    let names: Vec<&str> = fields.iter().map(|field| field.name.as_str()).collect();
    assert_eq!(names, ["x-kept"]);
    assert_eq!(stated_length(&headers), Some(7));
}
