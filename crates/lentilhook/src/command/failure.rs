//! Failure of a command, with its exit code.

use std::fmt;
use std::process::ExitCode;

use admin::error::Code;
use admin::error::Error;

/// Exit code of a valid command that failed.
const FAILED: u8 = 1;
/// Exit code for an invalid command line, settings file or request.
pub const USAGE: u8 = 2;
/// Exit code for a change that conflicted with a concurrent one.
const CONFLICT: u8 = 3;
/// Exit code when the daemon didn't respond, so that the outcome is unknown.
const NO_RESPONSE: u8 = 4;

/// A failure of a command.
#[derive(Debug)]
pub struct Failure {
    code: u8,
    message: String,
}

impl Failure {
    /// Creates the failure of a valid command.
    pub fn failed(message: impl fmt::Display) -> Failure {
        Failure { code: FAILED, message: message.to_string() }
    }

    /// Creates a failure that is due to an invalid argument, file or value.
    pub fn usage(message: impl fmt::Display) -> Failure {
        Failure { code: USAGE, message: message.to_string() }
    }

    /// Returns the exit code of the process.
    pub fn code(&self) -> ExitCode {
        ExitCode::from(self.code)
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Failure {
        let code = match error.code {
            Code::InvalidArgument | Code::NotFound => USAGE,
            Code::Aborted => CONFLICT,
            Code::Unknown => NO_RESPONSE,
            Code::Unauthenticated | Code::Unavailable => FAILED,
        };
        Failure { code, message: error.to_string() }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}
