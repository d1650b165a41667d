use super::*;

#[test]
fn names_reject_what_needs_quoting() {
    for text in ["", "a b", "a/b", "é", &"x".repeat(65)] {
        assert!(text.parse::<NodeId>().is_err(), "{text}");
    }
    assert_eq!(
        "oyo-town-b".parse::<ZoneName>().unwrap().as_str(),
        "oyo-town-b"
    );
}

#[test]
fn numbers_reject_zero_and_overflow() {
    assert!("0".parse::<SlotCount>().is_err());
    assert!("4294967296".parse::<SlotCount>().is_err());
    assert!("-1".parse::<TicketNumber>().is_err());
    assert_eq!("6".parse::<SlotCount>().unwrap().get(), 6);
}

#[test]
fn call_id_round_trips_through_text() {
    let id = CallId {
        ingress_incarnation: 0xfeed,
        sequence: 26,
    };
    assert_eq!(id.to_string().parse::<CallId>(), Ok(id));
    assert!("12".parse::<CallId>().is_err());
}
