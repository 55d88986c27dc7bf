//! Client of the administration API.

use std::time::Duration;

use ureq::Agent;

use crate::PATH_PREFIX;
use crate::error::Code;
use crate::error::Error;

/// Longest time of a call.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Client of one daemon.
#[derive(Clone, Debug)]
pub struct Client {
    base: String,
    token: String,
    agent: Agent,
}

impl Client {
    /// Client of the daemon whose operators' port is `address`.
    pub fn new(address: &str, token: &str) -> Client {
        let settings = Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .http_status_as_error(false)
            .build();
        let base = format!("http://{address}{PATH_PREFIX}");
        Client { base, token: token.to_owned(), agent: settings.into() }
    }

    /// Calls a method with a JSON body; gives the JSON answer.
    pub fn call_raw(&self, method: &str, body: &[u8]) -> Result<String, Error> {
        let unknown = |it: ureq::Error| {
            let msg = format!("no answer ({it}); read the object again before repeating a change");
            Error::new(Code::Unknown, msg)
        };
        let mut response = self
            .agent
            .post(format!("{}{method}", self.base))
            .header("authorization", format!("Bearer {}", self.token))
            .content_type("application/json")
            .send(body)
            .map_err(unknown)?;
        let status = response.status().as_u16();
        let text = response.body_mut().read_to_string().map_err(unknown)?;
        if status == 200 {
            return Ok(text);
        }
        Err(serde_json::from_str(&text).unwrap_or_else(|_| Error::new(Code::Unknown, text)))
    }
}
