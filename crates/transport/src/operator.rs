//! Operator interface: changes, status and the configuration in force.

use auburnlug_coordination::redundancy::Redundancy;
use auburnlug_protocol::operator::{
    ActiveConfig, Answer, CHANGE_PATH, CONFIG_PATH, LossStatus, Request, STATUS_PATH, Status,
};
use auburnlug_state::{Command, Machine, Millis, Name};
use axum::{
    Json, Router,
    body::Bytes,
    extract::State as Shared,
    http::{HeaderMap, StatusCode},
    response::{IntoResponse, Response},
    routing::{get, post},
};

use crate::{http::State, view::Control};

/// Routes of the operator interface.
pub(crate) fn routes() -> Router<State> {
    Router::new()
        .route(CHANGE_PATH, post(change))
        .route(STATUS_PATH, get(status))
        .route(CONFIG_PATH, get(config))
}

async fn change(Shared(state): Shared<State>, headers: HeaderMap, body: Bytes) -> Response {
    if !state.is_operator(&headers) {
        return respond(&Answer::Denied);
    }
    match Request::decode(&body) {
        Err(error) => respond(&Answer::from(&error)),
        Ok(request) => {
            let command = Command::Configure(request.into());
            respond(&Answer::from(state.control.propose(command).await))
        }
    }
}

async fn status(Shared(state): Shared<State>, headers: HeaderMap) -> Response {
    if !state.is_operator(&headers) {
        return respond(&Answer::Denied);
    }
    let view = state.control.view().borrow().clone();
    let leader = leader(&state, &view.machine);
    let status = Status::new(&view.instance, leader, &view.machine, config_age(&state));
    let losses = state.control.status().redundancy;
    let losses =
        losses.map(|Redundancy { tolerated, configured }| LossStatus { tolerated, configured });
    Json(Status { losses, ..status }).into_response()
}

async fn config(Shared(state): Shared<State>, headers: HeaderMap) -> Response {
    if !state.is_operator(&headers) {
        return respond(&Answer::Denied);
    }
    let view = state.control.view().borrow().clone();
    Json(ActiveConfig::new(&view.machine, config_age(&state))).into_response()
}

fn respond(answer: &Answer) -> Response {
    let status = StatusCode::from_u16(answer.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    (status, Json(answer)).into_response()
}

/// Time since the version in force was last confirmed, in milliseconds.
fn config_age(state: &State) -> Millis {
    state.control.now().saturating_sub(state.control.status().confirmed)
}

fn leader(state: &State, machine: &Machine) -> Option<std::net::SocketAddr> {
    let name: Name = state.control.status().leader?;
    machine.instances.get(&name).map(|instance| instance.http)
}
