//! Memory and processor time of this process, from `/proc`.

use goldcresttally_proxy::workers::THREAD_NAME;

/// Returns the resident set size of this process, in megabytes; 0 if it cannot be read.
pub fn rss_mb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|n| n.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4096.0 / 1e6
}

/// Returns the processor time of all node worker threads, in seconds; 0 if it cannot be read.
pub fn node_cpu_s() -> f64 {
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else { return 0.0 };
    let mut total_ns = 0;
    for task in tasks.flatten() {
        let read = |name| std::fs::read_to_string(task.path().join(name)).unwrap_or_default();
        if read("comm").trim() == THREAD_NAME {
            let text = read("schedstat");
            total_ns += text.split_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(0u64);
        }
    }
    total_ns as f64 / 1e9
}
