//! The command line: invalid input is reported in one line, and a simulation is reproducible by its seed.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_fleet-lab")).args(arguments).output().expect("failed to run fleet-lab")
}

/// Creates a temporary directory for one test.
fn directory(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("fleet-lab-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&path).expect("failed to create a temporary directory");
    path
}

fn text(path: &Path) -> &str {
    path.to_str().expect("the path is UTF-8")
}

#[test]
fn invalid_input_gets_one_line_and_exit_code_2() {
    let directory = directory("invalid");
    let file = |name: &str, content: &str| {
        let path = directory.join(name);
        std::fs::write(&path, content).expect("failed to write an experiment file");
        path
    };
    let [broken, unknown, zero] = [
        file("broken.toml", "[fleet\n"),
        file("unknown.toml", "[fleet]\nno_such_key = 3\n"),
        file("zero.toml", "[nodes]\nprocesses = 0\n"),
    ];
    let cases: [&[&str]; 7] = [
        &[],
        &["no-such-command"],
        &["slope", "--seed", "many"],
        &["slope", "--experiment", "no/such/file.toml"],
        &["slope", "--experiment", text(&broken)],
        &["fleet", "--experiment", text(&unknown)],
        &["nodes", "--experiment", text(&zero)],
    ];
    for arguments in cases {
        let output = lab(arguments);
        let error = String::from_utf8(output.stderr).expect("standard error is UTF-8");
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {error}");
        assert_eq!(error.trim_end().lines().count(), 1, "{arguments:?}: {error}");
    }
    std::fs::remove_dir_all(directory).expect("failed to remove the temporary directory");
}

#[test]
fn fleet_results_are_equal_for_equal_seeds_and_differ_between_seeds() {
    let directory = directory("fleet");
    let experiment = directory.join("small.toml");
    let sizes = "[fleet]\ngateways = 20\nservers = 1100\nseconds = 12.0\nrate_per_server = 0.4\n\
                 balance_gateways = 8\nbalance_servers = 1100\nbalance_rate = 5.0\n";
    std::fs::write(&experiment, sizes).expect("failed to write an experiment file");
    let run = |name: &str, seed: &str| {
        let out = directory.join(name);
        let output = lab(&[
            "fleet",
            "--short",
            "--seed",
            seed,
            "--experiment",
            text(&experiment),
            "--out",
            text(&out),
        ]);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        std::fs::read_to_string(out.join(format!("fleet-{seed}-short.json")))
            .expect("failed to read the result file")
    };
    let [first, again, other] = [run("first", "1"), run("again", "1"), run("other", "2")];
    assert_eq!(first, again);
    assert_ne!(first, other);
    std::fs::remove_dir_all(directory).expect("failed to remove the temporary directory");
}
