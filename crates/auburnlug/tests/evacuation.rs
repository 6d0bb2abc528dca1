//! An acknowledged evacuation outlives the loss of every process and of a disk: real processes.

// The setting for tests in clippy.toml does not reach helper functions in test files.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::{path::Path, time::Duration};

use auburnlug_bench::{
    line_client::call_http,
    line_processes::{CONTROL_HOSTS, LineProcesses, OPERATOR_PORT},
};

/// Time within which the deployment answers once all processes are back.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Sends a call to the control members until one of them accepts it.
fn call_leader(deployment: &LineProcesses, method: &str, path: &str) {
    let accepts = |d: &LineProcesses| {
        let call = |host| call_http(d.address(host, OPERATOR_PORT), method, path, "").0;
        CONTROL_HOSTS.into_iter().any(|host| call(host) == 200)
    };
    deployment.within(RECOVERY_TIME, "a control member accepts the call", accepts).unwrap();
}

/// Evacuated domains as the control leader lists them.
fn listed(deployment: &LineProcesses) -> Option<String> {
    let call =
        |host| call_http(deployment.address(host, OPERATOR_PORT), "GET", "/-/evacuations", "");
    CONTROL_HOSTS.into_iter().map(call).find(|(status, _)| *status == 200).map(|(_, body)| body)
}

/// All servers are in the evacuated domain, so every write is refused until the evacuation is taken
/// back.
#[test]
fn evacuation_outlives_the_loss_of_every_process_and_of_a_disk() {
    let id = std::process::id();
    let net = [100 + (id % 100) as u8, 250];
    let folder = std::env::temp_dir().join(format!("auburnlug-evacuation-{id}"));
    let program = Path::new(env!("CARGO_BIN_EXE_auburnlug"));
    let mut deployment = LineProcesses::start(program, &folder, net, 1).unwrap();
    deployment.eventually("a write is served", |d| d.try_write(0, "before")).unwrap();
    call_leader(&deployment, "POST", "/-/evacuations/d1");
    assert!(!deployment.try_write(0, "evacuated"));
    let hosts = deployment.kill_all().unwrap();
    deployment.lose_disk(CONTROL_HOSTS[0]).unwrap();
    for host in hosts {
        deployment.spawn(host, false).unwrap();
    }
    let is_listed = |d: &LineProcesses| listed(d).is_some_and(|body| body.contains("\"d1\""));
    deployment.within(RECOVERY_TIME, "the evacuation is listed", is_listed).unwrap();
    for _ in 0..20 {
        assert!(!deployment.try_write(0, "restarted"));
        std::thread::sleep(Duration::from_millis(100));
    }
    call_leader(&deployment, "DELETE", "/-/evacuations/d1");
    deployment.within(RECOVERY_TIME, "a write is served", |d| d.try_write(0, "after")).unwrap();
}
