//! HTTP client of the operator interface of control instances.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use auburnlug_protocol::operator::{
    ActiveConfig, Answer, CHANGE_PATH, CONFIG_PATH, MAX_OPERATOR_BODY_BYTES, Request, STATUS_PATH,
    Status,
};
use auburnlug_state::Index;
use ureq::{Agent, Body, http::Response};

use crate::error::{Error, Result};

/// Bounds all attempts at one request. Longer than a change of the control leader takes.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);

/// An unreachable instance must not use up the time for the other ones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before the next round, after all instances were attempted.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Client of the operator interface.
pub struct Client {
    agent: Agent,
    control: Vec<SocketAddr>,
    secret: String,
}

impl Client {
    /// Creates a client that tries the addresses `control` in turn.
    pub fn new(control: Vec<SocketAddr>, secret: String) -> Client {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            // A proxy from the environment would see the secret.
            .proxy(None)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(ATTEMPT_TIMEOUT));
        Client { agent: config.build().new_agent(), control, secret }
    }

    /// Sends a change until there is a definite answer, and returns the new version. All attempts
    /// have the same id, so the change is applied once.
    ///
    /// # Errors
    ///
    /// The change was refused, or there was no definite answer in time.
    pub fn change(&self, request: &Request) -> Result<Index> {
        let body = request.encode()?;
        let mut sent = false;
        let mut last_error = String::from("no address");
        let start = Instant::now();
        while start.elapsed() < REQUEST_TIMEOUT {
            let mut addresses = self.control.clone();
            // Follows one redirect per listed instance at most.
            let mut attempted = 0;
            while let Some(address) = addresses.get(attempted).copied() {
                attempted += 1;
                match self.post(address, &body) {
                    Ok(Answer::Changed { version }) => return Ok(version),
                    Ok(Answer::Redirect { leader }) => {
                        last_error = format!("{address} does not lead");
                        let new_leader = leader.filter(|l| !addresses[attempted..].contains(l));
                        if let Some(leader) = new_leader.filter(|_| attempted <= self.control.len())
                        {
                            addresses.insert(attempted, leader);
                        }
                    }
                    Ok(Answer::Unknown) => {
                        sent = true;
                        last_error = format!("{address} could not confirm it");
                    }
                    Ok(answer) => return Err(refusal_error(&answer)),
                    Err(error) => {
                        sent |= error.sent;
                        last_error = format!("{address}: {}", error.text);
                    }
                }
            }
            thread::sleep(RETRY_DELAY);
        }
        let change = request.change();
        let (id, base) = (&change.id, change.base);
        let detail = format!("{last_error}; change {id} with base {base} may be in force");
        Err(if sent { Error::EffectUnknown(detail) } else { Error::Unreachable(last_error) })
    }

    /// Reads the configuration in force from the first instance that answers.
    ///
    /// # Errors
    ///
    /// No instance answered in time, or the secret is wrong.
    pub fn config(&self) -> Result<ActiveConfig> {
        self.get(CONFIG_PATH)
    }

    /// Reads the state of the system, from the control leader if it can be reached.
    ///
    /// # Errors
    ///
    /// No instance answered in time, or the secret is wrong.
    pub fn status(&self) -> Result<Status> {
        let status: Status = self.get(STATUS_PATH)?;
        let leader = status.leader.map(|leader| self.get_from(leader, STATUS_PATH));
        Ok(leader.and_then(|r| r.ok()).unwrap_or(status))
    }

    fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> Result<T> {
        let mut last_error = String::from("no address");
        let start = Instant::now();
        while start.elapsed() < REQUEST_TIMEOUT {
            for address in &self.control {
                match self.get_from(*address, path) {
                    Ok(value) => return Ok(value),
                    Err(Error::Unreachable(text)) => last_error = text,
                    Err(e) => return Err(e),
                }
            }
            thread::sleep(RETRY_DELAY);
        }
        Err(Error::Unreachable(last_error))
    }

    fn get_from<T: serde::de::DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T> {
        let request = self.agent.get(format!("http://{address}{path}"));
        let unreachable = |text: String| Error::Unreachable(format!("{address}: {text}"));
        let request = request.header("authorization", format!("Bearer {}", self.secret));
        let mut response = request.call().map_err(|e| unreachable(e.to_string()))?;
        match response.status().as_u16() {
            200 => {}
            401 => return Err(refusal_error(&Answer::Denied)),
            status => return Err(unreachable(format!("status {status}"))),
        }
        let body = read_body(&mut response).map_err(|e| unreachable(e.to_string()))?;
        serde_json::from_slice(&body).map_err(|e| unreachable(e.to_string()))
    }

    fn post(&self, address: SocketAddr, body: &[u8]) -> std::result::Result<Answer, AttemptError> {
        let request = self.agent.post(format!("http://{address}{CHANGE_PATH}"));
        let request = request
            .header("authorization", format!("Bearer {}", self.secret))
            .content_type("application/json");
        let mut response = request.send(body).map_err(AttemptError::from)?;
        let status = response.status().as_u16();
        let attempt_error = |text: String| AttemptError { text, sent: true };
        let body = read_body(&mut response).map_err(|e| attempt_error(e.to_string()))?;
        Answer::decode(status, &body).map_err(|e| attempt_error(e.to_string()))
    }
}

/// Error of an attempt without a definite answer.
struct AttemptError {
    text: String,
    /// Whether the request may have reached the instance.
    sent: bool,
}

impl From<ureq::Error> for AttemptError {
    fn from(error: ureq::Error) -> AttemptError {
        let sent = match &error {
            ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect) => false,
            ureq::Error::Io(e) => e.kind() != std::io::ErrorKind::ConnectionRefused,
            _ => true,
        };
        AttemptError { text: error.to_string(), sent }
    }
}

fn read_body(response: &mut Response<Body>) -> std::result::Result<Vec<u8>, ureq::Error> {
    response.body_mut().with_config().limit(MAX_OPERATOR_BODY_BYTES as u64).read_to_vec()
}

fn refusal_error(answer: &Answer) -> Error {
    match answer {
        Answer::Conflict { version, operator, id } => {
            Error::Conflict(*version, operator.to_string(), id.to_string())
        }
        Answer::Invalid { reason } => Error::Refused(reason.clone()),
        Answer::Denied => Error::Refused("the operator secret is missing or wrong".into()),
        other => Error::Refused(format!("{other:?}")),
    }
}
