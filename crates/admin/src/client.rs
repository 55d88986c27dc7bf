//! Client of the administration API.

use std::time::Duration;

use ureq::Agent;

use crate::PATH_PREFIX;
use crate::error::Code;
use crate::error::Error;

/// Timeout of a whole call.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Client of the administration API of one daemon.
#[derive(Clone, Debug)]
pub struct Client {
    base_url: String,
    token: String,
    agent: Agent,
}

impl Client {
    /// Creates a client of the daemon whose operators' port is `address`.
    pub fn new(address: &str, token: &str) -> Client {
        let settings = Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .http_status_as_error(false)
            .build();
        let base_url = format!("http://{address}{PATH_PREFIX}");
        Client { base_url, token: token.to_owned(), agent: settings.into() }
    }

    /// Calls a method with a JSON body and returns the JSON response.
    ///
    /// Fails with [`Code::Unknown`] if there is no complete response or an error
    /// response can't be decoded, otherwise with the error of the daemon.
    pub fn call_raw(&self, method: &str, body: &[u8]) -> Result<String, Error> {
        let no_response = |it: ureq::Error| {
            let msg = format!("no answer ({it}); read the object again before repeating a change");
            Error::new(Code::Unknown, msg)
        };
        let mut response = self
            .agent
            .post(format!("{}{method}", self.base_url))
            .header("authorization", format!("Bearer {}", self.token))
            .content_type("application/json")
            .send(body)
            .map_err(no_response)?;
        let status = response.status().as_u16();
        let text = response.body_mut().read_to_string().map_err(no_response)?;
        if status == 200 {
            return Ok(text);
        }
        Err(serde_json::from_str(&text).unwrap_or_else(|_| Error::new(Code::Unknown, text)))
    }
}
