//! Control of a stand-in server over HTTP.

use std::{
    collections::BTreeMap,
    net::IpAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use axum::{
    Json, Router,
    extract::{RawQuery, State},
    http::StatusCode,
    routing::get,
};
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::{Result, announce, cut::Way, server::Server};

type Reply = std::result::Result<Json<Value>, Refused>;

/// Serves the control port.
///
/// # Errors
/// The listener fails.
pub async fn serve(server: Arc<Server>, listener: TcpListener) -> Result<()> {
    let router = Router::new()
        .route("/status", get(status).post(status))
        .route("/cut", get(cut).post(cut))
        .route("/heal", get(heal).post(heal))
        .route("/lag", get(lag).post(lag))
        .route("/slow", get(slow).post(slow))
        .route("/drain", get(drain).post(drain))
        .with_state(server);
    Ok(axum::serve(listener, router).await?)
}

async fn status(State(server): State<Arc<Server>>) -> Json<Value> {
    let mut value = announce::body(&server);
    let node = server.node();
    value["received"] = json!(node.received());
    value["applied"] = json!(node.applied());
    value["last_term"] = json!(node.last_term());
    value["upstream"] = json!(node.upstream);
    value["open"] = json!(server.open.load(Ordering::Relaxed));
    value["excess"] = json!(server.excess.load(Ordering::Relaxed));
    value["refused"] = json!(server.refused.load(Ordering::Relaxed));
    Json(value)
}

/// `/cut?peer=IP&way=in|out`: no peer means all peers, no way means both.
async fn cut(State(server): State<Arc<Server>>, RawQuery(query): RawQuery) -> Reply {
    let query = parameters(query.as_deref());
    let peer = peer(&query)?;
    let ways: &[Way] = match query.get("way").map(String::as_str) {
        Some("in") => &[Way::In],
        Some("out") => &[Way::Out],
        None | Some("both") => &[Way::In, Way::Out],
        Some(_) => return Err(bad("way must be in, out or both")),
    };
    ways.iter().for_each(|way| server.cuts.cut(peer, *way));
    Ok(Json(json!("cut")))
}

async fn heal(State(server): State<Arc<Server>>, RawQuery(query): RawQuery) -> Reply {
    let query = parameters(query.as_deref());
    server.cuts.heal(peer(&query)?);
    Ok(Json(json!("healed")))
}

async fn lag(State(server): State<Arc<Server>>, RawQuery(query): RawQuery) -> Reply {
    let query = parameters(query.as_deref());
    let lag = Duration::from_millis(number(&query)?);
    server.update(|n| n.lag = lag).map_err(|e| bad(&e.to_string()))?;
    Ok(Json(json!("set")))
}

async fn slow(State(server): State<Arc<Server>>, RawQuery(query): RawQuery) -> Reply {
    let query = parameters(query.as_deref());
    server.service.store(number(&query)?, Ordering::Relaxed);
    Ok(Json(json!("set")))
}

async fn drain(State(server): State<Arc<Server>>) -> Json<Value> {
    server.draining.store(true, Ordering::Relaxed);
    Json(json!("draining"))
}

/// Parameters of a query; the values in use need no escapes.
fn parameters(query: Option<&str>) -> BTreeMap<String, String> {
    let pairs = query.unwrap_or("").split('&').filter_map(|p| p.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}

fn peer(query: &BTreeMap<String, String>) -> std::result::Result<Option<IpAddr>, Refused> {
    let parse = |text: &String| text.parse().map_err(|_| bad("peer must be an IP address"));
    query.get("peer").map(parse).transpose()
}

fn number(query: &BTreeMap<String, String>) -> std::result::Result<u64, Refused> {
    let number = query.get("ms").and_then(|t| t.parse().ok());
    number.ok_or_else(|| bad("ms must be a number of milliseconds"))
}

type Refused = (StatusCode, String);

fn bad(text: &str) -> Refused {
    (StatusCode::BAD_REQUEST, text.to_owned())
}
