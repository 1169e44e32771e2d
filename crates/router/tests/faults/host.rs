//! A router's own single-threaded world, which a test can freeze or kill as a whole.

use std::sync::mpsc;

use tokio::{
    runtime::{
        Builder,
        Runtime, //
    },
    sync::oneshot,
};

/// `Host` is a runtime with one worker thread: what runs in it stops and dies together.
pub(crate) struct Host {
    runtime: Option<Runtime>,
}

/// `Frozen` holds a host still; dropping it wakes the host.
pub(crate) struct Frozen {
    _wake: mpsc::Sender<()>,
}

impl Host {
    pub(crate) fn new() -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime can be had");
        Self {
            runtime: Some(runtime),
        }
    }

    /// Runs a future inside the host.
    pub(crate) async fn run<T: Send + 'static>(
        &self,
        work: impl Future<Output = T> + Send + 'static,
    ) -> T {
        let runtime = self.runtime.as_ref().expect("the host is alive");
        runtime.spawn(work).await.expect("the work did not panic")
    }

    /// Starts a future inside the host.
    pub(crate) fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        let runtime = self.runtime.as_ref().expect("the host is alive");
        runtime.spawn(work);
    }

    /// Stops everything in the host at once, its timers included, as SIGSTOP would. Its sockets
    /// stay open, and its clocks go on.
    pub(crate) async fn freeze(&self) -> Frozen {
        let (wake, woken) = mpsc::channel();
        let (held, is_held) = oneshot::channel();
        let runtime = self.runtime.as_ref().expect("the host is alive");
        runtime.spawn(async move {
            let _ = held.send(());
            // Blocks the only worker on purpose.
            let _: Result<(), _> = woken.recv();
        });
        is_held.await.expect("the host took the task");
        Frozen { _wake: wake }
    }

    /// Ends everything in the host at once; its sockets are closed.
    pub(crate) fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
