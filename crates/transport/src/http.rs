//! The HTTP listener: health, metrics, announcements, operators.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use auburnlug_protocol::announce::Announcement;
use auburnlug_state::Server;
use axum::{
    Router,
    extract::{DefaultBodyLimit, State as Shared},
    http::{HeaderMap, StatusCode, header::AUTHORIZATION},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;

use crate::{
    control::{AnnouncementResult, Handle},
    event::{Event, log},
    metrics::Metrics,
    operator,
    view::Control,
};

/// Large enough for a template with thousands of client accounts.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Bearer secrets that the listener accepts.
#[derive(Clone)]
pub struct Secrets {
    /// Secret of operators.
    pub operator: String,
    /// Secret of announcing servers.
    pub announce: String,
}

/// State that the handlers share.
#[derive(Clone)]
pub struct State {
    pub(crate) control: Arc<Handle>,
    pub(crate) metrics: Arc<Metrics>,
    secrets: Arc<Secrets>,
    stopping: Arc<AtomicBool>,
}

impl State {
    /// State of a running instance.
    pub fn new(control: Arc<Handle>, metrics: Arc<Metrics>, secrets: Secrets) -> State {
        State { control, metrics, secrets: Arc::new(secrets), stopping: Arc::default() }
    }

    /// Makes the instance report that it is not ready.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Whether the request carries the operators' secret.
    pub(crate) fn is_operator(&self, headers: &HeaderMap) -> bool {
        let valid = has_bearer_secret(headers, &self.secrets.operator);
        if !valid {
            log(Event::OperatorRefused, format_args!("missing or wrong bearer secret"));
        }
        valid
    }
}

/// Serves until the process ends.
pub async fn serve(listener: TcpListener, state: State) {
    let router = Router::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(ready))
        .route("/metrics", get(metrics))
        .route("/v1/announce", post(announce))
        .merge(operator::routes())
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(state);
    let _ = axum::serve(listener, router).await;
}

async fn ready(Shared(state): Shared<State>) -> Response {
    if state.stopping.load(Ordering::Acquire) {
        return (StatusCode::SERVICE_UNAVAILABLE, "stopping\n").into_response();
    }
    if state.control.now() >= state.control.lease() {
        return (StatusCode::SERVICE_UNAVAILABLE, "no lease\n").into_response();
    }
    "ready\n".into_response()
}

async fn metrics(Shared(state): Shared<State>) -> Response {
    state.metrics.text().into_response()
}

async fn announce(Shared(state): Shared<State>, headers: HeaderMap, body: String) -> Response {
    if !has_bearer_secret(&headers, &state.secrets.announce) {
        return (StatusCode::UNAUTHORIZED, "missing or wrong bearer secret\n").into_response();
    }
    let server = match serde_json::from_str::<Announcement>(&body) {
        Ok(raw) => Server::try_from(raw).map_err(|e| e.to_string()),
        Err(e) => Err(e.to_string()),
    };
    match server {
        Err(reason) => {
            log(Event::AnnouncementRefused, format_args!("{reason}"));
            (StatusCode::UNPROCESSABLE_ENTITY, format!("{reason}\n")).into_response()
        }
        Ok(server) => match state.control.announce(server).await {
            AnnouncementResult::Accepted => StatusCode::NO_CONTENT.into_response(),
            AnnouncementResult::Refused(reason) => {
                (StatusCode::CONFLICT, format!("{reason}\n")).into_response()
            }
        },
    }
}

fn has_bearer_secret(headers: &HeaderMap, secret: &str) -> bool {
    let token = headers.get(AUTHORIZATION).map(|value| value.as_bytes());
    let token = token.and_then(|value| value.strip_prefix(b"Bearer "));
    token.is_some_and(|token| token.ct_eq(secret.as_bytes()).into())
}
