//! How a command failed and its exit code.

use std::fmt;
use std::process::ExitCode;

use admin::error::Code;
use admin::error::Error;

/// Exit code of a command that failed.
const FAILED: u8 = 1;
/// Exit code for a wrong command line, wrong settings or a wrong request.
pub const USAGE: u8 = 2;
/// Exit code for a change that raced with another.
const RACED: u8 = 3;
/// Exit code when the daemon gave no answer, so that nothing is known.
const NO_ANSWER: u8 = 4;

/// How a command failed.
#[derive(Debug)]
pub struct Failure {
    code: u8,
    message: String,
}

impl Failure {
    /// The command was right and failed.
    pub fn failed(message: impl fmt::Display) -> Failure {
        Failure { code: FAILED, message: message.to_string() }
    }

    /// The command, a file or a value was wrong.
    pub fn usage(message: impl fmt::Display) -> Failure {
        Failure { code: USAGE, message: message.to_string() }
    }

    /// Exit code.
    pub fn code(&self) -> ExitCode {
        ExitCode::from(self.code)
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Failure {
        let code = match error.code {
            Code::InvalidArgument | Code::NotFound => USAGE,
            Code::Aborted => RACED,
            Code::Unknown => NO_ANSWER,
            Code::Unauthenticated | Code::Unavailable => FAILED,
        };
        Failure { code, message: error.to_string() }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&self.message)
    }
}
