//! Threads of one role.

use std::fs;

use error_stack::ResultExt as _;

use crate::bench_error;

/// A runtime of its own for a role, so that the role can be killed and its processor time
/// can be told from that of others.
#[derive(Debug)]
pub(crate) struct RequestsRole {
    name: String,
    runtime: Option<tokio::runtime::Runtime>,
}

impl RequestsRole {
    /// Starts `threads` worker threads. `name` has at most 15 bytes, the limit of the system.
    pub(crate) fn start(
        name: &str,
        threads: usize,
    ) -> Result<Self, error_stack::Report<bench_error::BenchError>> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(threads)
            .thread_name(name)
            .enable_all()
            .build()
            .change_context(bench_error::BenchError::Start)?;
        Ok(Self {
            name: String::from(name),
            runtime: Some(runtime),
        })
    }

    /// Runs `task` on the threads of the role and waits for it.
    pub(crate) async fn run<T: Send + 'static>(
        &self,
        task: impl Future<Output = T> + Send + 'static,
    ) -> Result<T, error_stack::Report<bench_error::BenchError>> {
        let Some(runtime) = &self.runtime else {
            return Err(error_stack::Report::new(bench_error::BenchError::Start));
        };
        let spawned = runtime.spawn(task);
        spawned.await.change_context(bench_error::BenchError::Start)
    }

    /// Spawns tasks on the threads of the role.
    pub(crate) fn handle(&self) -> Option<tokio::runtime::Handle> {
        let runtime = self.runtime.as_ref();
        runtime.map(|runtime| runtime.handle().clone())
    }

    /// Ends all tasks at once, as a failure of the host does.
    pub(crate) fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Processor time that live threads of the role have used, in microseconds.
    pub(crate) fn cpu_us(&self) -> u64 {
        let Ok(threads) = fs::read_dir("/proc/self/task") else {
            return 0;
        };
        let of_role = threads.flatten().filter(|thread| {
            let name = fs::read_to_string(thread.path().join("comm"));
            name.is_ok_and(|name| name.trim() == self.name)
        });
        let used = of_role.filter_map(|thread| {
            let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
            let nanoseconds: u64 = text.split_whitespace().next()?.parse().ok()?;
            Some(nanoseconds / 1_000)
        });
        used.sum()
    }
}

impl Drop for RequestsRole {
    fn drop(&mut self) {
        self.kill();
    }
}
