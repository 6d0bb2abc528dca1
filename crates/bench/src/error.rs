//! Errors of the test tooling.

use quick_error::quick_error;

/// Result type of the test tooling.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Error type of the test tooling.
    #[derive(Debug)]
    pub enum Error {
        /// Reading or writing failed.
        Io(err: std::io::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// A message of the database protocol is not valid.
        Wire(err: pgwire::error::PgWireError) {
            from()
            source(err)
            display("{err}")
        }
        /// A record or message is not valid JSON.
        Json(err: serde_json::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// The input is not valid, or an operation failed for the reason in the text.
        Input(text: String) {
            display("{text}")
        }
    }
}
