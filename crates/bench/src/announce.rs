//! Periodic announcements from a stand-in server to the proxy instances.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use serde_json::json;

use crate::{Result, cut::Direction, server::Server};

/// Interval that the design prescribes for servers ("Server interface").
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(1);
/// Timeout of one announcement request.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Announces the server to the instance at `address` every second, regardless of the response.
///
/// # Errors
/// Never returns an error; the future runs until it is dropped.
pub async fn send_announcements(server: Arc<Server>, address: SocketAddr) -> Result<()> {
    let config = ureq::Agent::config_builder().timeout_global(Some(ANNOUNCE_TIMEOUT)).build();
    let agent = ureq::Agent::new_with_config(config);
    let url = format!("http://{address}/v1/announce");
    let bearer = format!("Bearer {}", server.secret);
    loop {
        if !server.cuts.is_blocked(address.ip(), Direction::Outbound) {
            let (agent, url, bearer) = (agent.clone(), url.clone(), bearer.clone());
            let body = announcement(&server);
            let post = move || agent.post(&url).header("authorization", &bearer).send_json(&body);
            // A failed announcement is not retried, because the next one follows within a second.
            let _ = tokio::task::spawn_blocking(post).await;
        }
        tokio::time::sleep(ANNOUNCE_PERIOD).await;
    }
}

/// Builds the JSON body of an announcement.
pub fn announcement(server: &Server) -> serde_json::Value {
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
