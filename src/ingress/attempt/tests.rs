//! Tests of what an attempt makes of a gate's refusal.

use super::*;

/// The address of an upstream that has left is used again by one of another
/// service. Nodes that haven't heard of it yet offer it calls, which it refuses;
/// their callers must not be told that the service doesn't exist.
#[test]
fn a_refusal_by_a_gate_of_another_service_is_no_404() {
    let kind = refusal_kind(ErrorKind::UnknownService.code());
    assert_eq!(u16::from(kind.response().status), 503);
    assert_eq!(
        refusal_kind(ErrorKind::Draining.code()),
        ErrorKind::Draining
    );
}
