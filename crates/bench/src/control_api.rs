//! HTTP control API of a stand-in server.

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

use crate::{Result, announce, cut::Direction, server::Server};

type Reply = std::result::Result<Json<Value>, BadRequest>;

/// Serves the control API.
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
    let mut value = announce::announcement(&server);
    let node = server.node();
    value["received"] = json!(node.received());
    value["applied"] = json!(node.applied());
    value["last_term"] = json!(node.last_term());
    value["upstream"] = json!(node.upstream);
    value["open"] = json!(server.open_connections.load(Ordering::Relaxed));
    value["excess"] = json!(server.slot_waits.load(Ordering::Relaxed));
    value["refused"] = json!(server.refused_connections.load(Ordering::Relaxed));
    Json(value)
}

/// `/cut?peer=IP&way=in|out`: without `peer` all peers, without `way` both directions.
async fn cut(State(server): State<Arc<Server>>, RawQuery(query): RawQuery) -> Reply {
    let query = parse_query(query.as_deref());
    let peer = peer(&query)?;
    let directions: &[Direction] = match query.get("way").map(String::as_str) {
        Some("in") => &[Direction::Inbound],
        Some("out") => &[Direction::Outbound],
        None | Some("both") => &[Direction::Inbound, Direction::Outbound],
        Some(_) => return Err(bad_request("way must be in, out or both")),
    };
    directions.iter().for_each(|direction| server.cuts.cut(peer, *direction));
    Ok(Json(json!("cut")))
}

async fn heal(State(server): State<Arc<Server>>, RawQuery(query): RawQuery) -> Reply {
    let query = parse_query(query.as_deref());
    server.cuts.heal(peer(&query)?);
    Ok(Json(json!("healed")))
}

async fn lag(State(server): State<Arc<Server>>, RawQuery(query): RawQuery) -> Reply {
    let query = parse_query(query.as_deref());
    let lag = Duration::from_millis(parse_ms(&query)?);
    server.update(|n| n.lag = lag).map_err(|e| bad_request(&e.to_string()))?;
    Ok(Json(json!("set")))
}

async fn slow(State(server): State<Arc<Server>>, RawQuery(query): RawQuery) -> Reply {
    let query = parse_query(query.as_deref());
    server.service_ms.store(parse_ms(&query)?, Ordering::Relaxed);
    Ok(Json(json!("set")))
}

async fn drain(State(server): State<Arc<Server>>) -> Json<Value> {
    server.draining.store(true, Ordering::Relaxed);
    Json(json!("draining"))
}

/// Parses a query string without percent-decoding, which the parameters in use do not need.
pub fn parse_query(query: Option<&str>) -> BTreeMap<String, String> {
    let pairs = query.unwrap_or("").split('&').filter_map(|p| p.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}

fn peer(query: &BTreeMap<String, String>) -> std::result::Result<Option<IpAddr>, BadRequest> {
    let parse = |text: &String| text.parse().map_err(|_| bad_request("peer must be an IP address"));
    query.get("peer").map(parse).transpose()
}

fn parse_ms(query: &BTreeMap<String, String>) -> std::result::Result<u64, BadRequest> {
    let number = query.get("ms").and_then(|t| t.parse().ok());
    number.ok_or_else(|| bad_request("ms must be a number of milliseconds"))
}

/// Status and text of the response to an invalid request.
pub type BadRequest = (StatusCode, String);

/// Creates a response with status 400.
pub fn bad_request(text: &str) -> BadRequest {
    (StatusCode::BAD_REQUEST, text.to_owned())
}
