use super::*;

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

// Guards against a process that was paused after a request was admitted, and sends it although its
// deadline has passed, or its upstream may have left meanwhile.
#[test]
fn an_admission_does_not_outlast_a_pause() {
    assert_eq!(expired(at(0), at(5000), at(3)), None);
    assert_eq!(expired(at(0), at(5000), at(1000)), None);
    assert_eq!(expired(at(0), at(5000), at(1001)), Some(Cause::Internal));
    assert_eq!(expired(at(0), at(500), at(600)), Some(Cause::Deadline));
}
