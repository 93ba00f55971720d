//! Builds `libfaults.so`, the library for `LD_PRELOAD`, from `src/faults.c`.

use std::path::PathBuf;

fn main() {
    println!("cargo:rerun-if-changed=src/faults.c");
    let out = PathBuf::from(std::env::var_os("OUT_DIR").expect("cargo sets OUT_DIR"));
    let library = out.join("libfaults.so");
    let compiler = cc::Build::new().opt_level(1).warnings(true).get_compiler();
    let status = compiler
        .to_command()
        .args(["-std=gnu11", "-fPIC", "-shared", "-o"])
        .arg(&library)
        .args(["src/faults.c", "-ldl"])
        .status()
        .expect("a C compiler runs");
    assert!(status.success(), "src/faults.c does not compile");
    println!("cargo:rustc-env=FAULTS_LIBRARY={}", library.display());
}
