//! Announcements of a stand-in server to the instances.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use serde_json::json;

use crate::{Result, cut::Way, server::Server};

/// Period of announcements (design, "Server interface").
const PERIOD: Duration = Duration::from_secs(1);
/// Longest wait for the answer to an announcement.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Announces the server to the instance at `address` every second, whatever it answers.
///
/// # Errors
/// None; it runs until it is dropped.
pub async fn run(server: Arc<Server>, address: SocketAddr) -> Result<()> {
    let config = ureq::Agent::config_builder().timeout_global(Some(TIMEOUT)).build();
    let agent = ureq::Agent::new_with_config(config);
    let url = format!("http://{address}/v1/announce");
    let bearer = format!("Bearer {}", server.secret);
    loop {
        if !server.cuts.blocked(address.ip(), Way::Out) {
            let (agent, url, bearer) = (agent.clone(), url.clone(), bearer.clone());
            let body = body(&server);
            let post = move || agent.post(&url).header("authorization", &bearer).send_json(&body);
            // An instance that is down or refuses the announcement hears the next one.
            let _ = tokio::task::spawn_blocking(post).await;
        }
        tokio::time::sleep(PERIOD).await;
    }
}

/// The announcement.
pub fn body(server: &Server) -> serde_json::Value {
    let options = &server.options;
    let (term, primary) = {
        let node = server.node();
        (node.term, node.primary)
    };
    json!({
        "server": options.name,
        "domain": options.domain,
        "group": options.group,
        "incarnation": server.incarnation,
        "term": term,
        "role": if primary { "primary" } else { "replica" },
        "address": options.listen,
        "slots": options.slots,
        "connections": options.connections,
        "draining": server.draining.load(Ordering::Relaxed),
    })
}
