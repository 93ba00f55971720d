//! Effects of injected faults on a process.

use fault_injection::{errno, Faults, InjectionPoint};
use std::process::Command;
use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the Unix time in seconds that the program `date` prints under the faults.
fn unix_time_under(faults: &Faults) -> i64 {
    let mut command = Command::new("date");
    faults.apply(&mut command);
    let output = command.arg("+%s").output().expect("failed to run date");
    String::from_utf8_lossy(&output.stdout).trim().parse().expect("date printed no number")
}

#[test]
fn wall_clock_steps_forward_and_back() {
    let faults = Faults::new().expect("failed to create the fault control file");
    for ahead in [0, 3_600, -3_600] {
        faults.set_wall_clock_offset(ahead * 1_000).expect("failed to set the wall clock");
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("system clock is before 1970").as_secs()
            as i64;
        assert!((unix_time_under(&faults) - now - ahead).abs() <= 2, "offset of {ahead} s");
    }
}

#[test]
fn calls_fail_at_the_set_rate_and_are_counted() {
    let faults = Faults::new().expect("failed to create the fault control file");
    let read_succeeds = || {
        let mut command = Command::new("head");
        faults.apply(&mut command);
        command
            .args(["-c", "1", file!()])
            .current_dir(env!("CARGO_MANIFEST_DIR").trim_end_matches("lab/fault-injection"));
        command.output().expect("failed to run head").status.success()
    };
    assert!(read_succeeds());
    faults.fail_next(InjectionPoint::Read, 1, errno::EIO).expect("failed to set the fault");
    assert!(!read_succeeds());
    assert_eq!(faults.injected_count(InjectionPoint::Read).expect("failed to read the fault count"), 1);
    assert!(read_succeeds());
    faults.set_failure_rate(InjectionPoint::Read, 1_000, errno::EIO).expect("failed to set the fault");
    assert!(!read_succeeds() && !read_succeeds());
    faults.clear_failures().expect("failed to clear the faults");
    assert!(read_succeeds());
    assert_eq!(faults.injected_count(InjectionPoint::Read).expect("failed to read the fault count"), 3);
}
