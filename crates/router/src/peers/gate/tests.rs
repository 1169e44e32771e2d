use std::sync::Barrier;

use super::Gate;

// Symptom: a caller is told "not run" and the call runs.
// Sequence: the connection's task takes the bytes at the moment at which the failing side decides.
// Cause: two checks of a flag with time between them; one exchange leaves no such time.
#[test]
fn verify_bytes_never_leave_through_a_gate_that_was_shut() {
    for _ in 0..2_000 {
        let gate = Gate::default();
        let barrier = Barrier::new(2);
        let (left, shut) = std::thread::scope(|scope| {
            let task = scope.spawn(|| {
                barrier.wait();
                gate.open()
            });
            barrier.wait();
            let shut = gate.shut();
            (task.join().expect("it ends"), shut)
        });
        assert_ne!(left, shut);
        assert_eq!(gate.open(), left);
        assert_eq!(gate.shut(), shut);
    }
}
