//! The `policy` setting of an instance.

use auburnlug_protocol::{
    Settings,
    settings::{Policy, SettingsFile},
};

fn parse(policy: &str) -> Result<Settings, String> {
    let text = format!(
        "[instance]\nformat = 1\nname = e1\nregion = r\ndomain = d\nroles = entry\n\
         peer = 127.0.0.1:1\nhttp = 127.0.0.1:2\ncallers = 127.0.0.1:3\n\
         [control]\nmembers = c1@127.0.0.1:4\n\
         [secrets]\ncluster = a\noperator = b\nannounce = c\ndatabase_user = d\n\
         database_password = e\n{policy}"
    );
    Settings::try_from(SettingsFile { file: "e1.ini", text: &text }).map_err(|e| e.to_string())
}

/// Guards against a policy that is set but silently not used.
#[test]
fn each_policy_is_parsed_and_others_are_refused() {
    assert_eq!(parse("").unwrap().traffic.policy, Policy::Default);
    for (name, policy) in Policy::ALL {
        let settings = parse(&format!("[traffic]\npolicy = {name}\n")).unwrap();
        assert_eq!(settings.traffic.policy, policy);
    }
    let error = parse("[traffic]\npolicy = lifo\n").unwrap_err();
    let allowed = "allowed: default, primary-only, even-split, fifo, slow-failover";
    assert!(error.contains(allowed) && error.contains("policy"), "{error}");
}
