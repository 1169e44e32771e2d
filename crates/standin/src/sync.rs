//! Locking that outlives a panic in another task.

use std::sync::{
    Mutex,
    MutexGuard,
    PoisonError, //
};

/// Locks `mutex`, also after a panic elsewhere: every critical section here leaves whole state.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
