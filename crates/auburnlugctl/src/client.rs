//! Requests to the control instances.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use auburnlug_protocol::operator::{
    Answer, CHANGE, CONFIG, InForce, MAX_BODY, Request, STATUS, Status,
};
use auburnlug_state::Index;
use ureq::{Agent, Body, http::Response};

use crate::error::{Error, Result};

/// Time for all attempts at one request. Longer than a change of the control leader takes.
const TOTAL: Duration = Duration::from_secs(10);

/// Time for one attempt.
const ATTEMPT: Duration = Duration::from_secs(3);

/// Time for a connect. A cut-off instance must not use up the time of the others.
const CONNECT: Duration = Duration::from_millis(500);

/// Pause after all instances were tried.
const PAUSE: Duration = Duration::from_millis(200);

/// Client of the operator interface.
pub struct Client {
    agent: Agent,
    control: Vec<SocketAddr>,
    secret: String,
}

impl Client {
    /// Makes a client that tries the addresses in turn.
    pub fn new(control: Vec<SocketAddr>, secret: String) -> Client {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            // A proxy from the environment would see the secret.
            .proxy(None)
            .timeout_connect(Some(CONNECT))
            .timeout_global(Some(ATTEMPT));
        Client { agent: config.build().new_agent(), control, secret }
    }

    /// Sends a change until there is a definite answer; each attempt has the same id, so that it
    /// is made once.
    ///
    /// # Errors
    ///
    /// A refusal, or no definite answer in time.
    pub fn change(&self, request: &Request) -> Result<Index> {
        let body = request.encode()?;
        let mut sent = false;
        let mut last = String::from("no address");
        let start = Instant::now();
        while start.elapsed() < TOTAL {
            let mut addresses = self.control.clone();
            // The list grows by one redirection for each listed instance at most.
            let mut next = 0;
            while let Some(address) = addresses.get(next).copied() {
                next += 1;
                match self.post(address, &body) {
                    Ok(Answer::Changed { version }) => return Ok(version),
                    Ok(Answer::Redirect { leader }) => {
                        last = format!("{address} does not lead");
                        let new = leader.filter(|l| !addresses[next..].contains(l));
                        if let Some(leader) = new.filter(|_| next <= self.control.len()) {
                            addresses.insert(next, leader);
                        }
                    }
                    Ok(Answer::Unknown) => {
                        sent = true;
                        last = format!("{address} could not confirm it");
                    }
                    Ok(answer) => return Err(refusal(&answer)),
                    Err(fault) => {
                        sent |= fault.sent;
                        last = format!("{address}: {}", fault.text);
                    }
                }
            }
            thread::sleep(PAUSE);
        }
        let change = request.change();
        let (id, base) = (&change.id, change.base);
        let again = format!("{last}; change {id} with base {base} may be in force");
        Err(if sent { Error::Unknown(again) } else { Error::Unreachable(last) })
    }

    /// Configuration in force, from the first instance that answers.
    ///
    /// # Errors
    ///
    /// No answer in time, or a wrong secret.
    pub fn config(&self) -> Result<InForce> {
        self.get(CONFIG)
    }

    /// State of the system, from the leader if it can be reached.
    ///
    /// # Errors
    ///
    /// No answer in time, or a wrong secret.
    pub fn status(&self) -> Result<Status> {
        let status: Status = self.get(STATUS)?;
        let leader = status.leader.map(|leader| self.get_from(leader, STATUS));
        Ok(leader.and_then(|r| r.ok()).unwrap_or(status))
    }

    fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> Result<T> {
        let mut last = String::from("no address");
        let start = Instant::now();
        while start.elapsed() < TOTAL {
            for address in &self.control {
                match self.get_from(*address, path) {
                    Ok(value) => return Ok(value),
                    Err(Error::Unreachable(text)) => last = text,
                    Err(e) => return Err(e),
                }
            }
            thread::sleep(PAUSE);
        }
        Err(Error::Unreachable(last))
    }

    fn get_from<T: serde::de::DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T> {
        let request = self.agent.get(format!("http://{address}{path}"));
        let fault = |text: String| Error::Unreachable(format!("{address}: {text}"));
        let request = request.header("authorization", format!("Bearer {}", self.secret));
        let mut response = request.call().map_err(|e| fault(e.to_string()))?;
        match response.status().as_u16() {
            200 => {}
            401 => return Err(refusal(&Answer::Denied)),
            status => return Err(fault(format!("status {status}"))),
        }
        let body = read(&mut response).map_err(|e| fault(e.to_string()))?;
        serde_json::from_slice(&body).map_err(|e| fault(e.to_string()))
    }

    fn post(&self, address: SocketAddr, body: &[u8]) -> std::result::Result<Answer, Lost> {
        let request = self.agent.post(format!("http://{address}{CHANGE}"));
        let request = request
            .header("authorization", format!("Bearer {}", self.secret))
            .content_type("application/json");
        let mut response = request.send(body).map_err(Lost::from)?;
        let status = response.status().as_u16();
        let lost = |text: String| Lost { text, sent: true };
        let body = read(&mut response).map_err(|e| lost(e.to_string()))?;
        Answer::decode(status, &body).map_err(|e| lost(e.to_string()))
    }
}

/// An attempt without a definite answer.
struct Lost {
    text: String,
    /// Whether the change may have arrived.
    sent: bool,
}

impl From<ureq::Error> for Lost {
    fn from(error: ureq::Error) -> Lost {
        let sent = match &error {
            ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect) => false,
            ureq::Error::Io(e) => e.kind() != std::io::ErrorKind::ConnectionRefused,
            _ => true,
        };
        Lost { text: error.to_string(), sent }
    }
}

fn read(response: &mut Response<Body>) -> std::result::Result<Vec<u8>, ureq::Error> {
    response.body_mut().with_config().limit(MAX_BODY as u64).read_to_vec()
}

fn refusal(answer: &Answer) -> Error {
    match answer {
        Answer::Conflict { version, operator, id } => {
            Error::Conflict(*version, operator.to_string(), id.to_string())
        }
        Answer::Invalid { reason } => Error::Refused(reason.clone()),
        Answer::Denied => Error::Refused("the operator secret is missing or wrong".into()),
        other => Error::Refused(format!("{other:?}")),
    }
}
