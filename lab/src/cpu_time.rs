//! CPU time of processes and threads, read from `/proc`.

use std::io;
use std::time::Duration;

/// Clock ticks per second in `/proc` (`USER_HZ`, which is 100 on all common architectures).
const TICKS_PER_SECOND: f64 = 100.0;
/// Number of fields in `/proc/PID/stat` between the process name and the user time.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// User and system time that a process has used, in seconds.
pub fn of_process(pid: u32) -> io::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The process name, in parentheses, may itself contain spaces and parentheses.
    let fields = stat.rsplit(") ").next().unwrap_or_default().split(' ');
    let user_and_system = fields.skip(FIELDS_BEFORE_USER_TIME).take(2);
    let ticks: Vec<f64> = user_and_system.filter_map(|field| field.parse().ok()).collect();
    if ticks.len() != 2 {
        return Err(io::Error::other(format!("no CPU time in /proc/{pid}/stat")));
    }
    Ok(ticks.iter().sum::<f64>() / TICKS_PER_SECOND)
}

/// CPU time that the current thread has used.
pub fn of_this_thread() -> io::Result<Duration> {
    let schedstat = std::fs::read_to_string("/proc/thread-self/schedstat")?;
    let nanoseconds = schedstat.split_whitespace().next().and_then(|field| field.parse().ok());
    nanoseconds
        .map(Duration::from_nanos)
        .ok_or_else(|| io::Error::other("no CPU time in /proc/thread-self/schedstat"))
}
