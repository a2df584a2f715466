//! How an HTTP/1.1 response marks the end of its body.

use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::TRANSFER_ENCODING;

/// What ends the body of a response; logged under these names in kebab case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum BodyFraming {
    /// Its `Content-Length`. hyper reports a body that is shorter as an error.
    Length,
    /// The last chunk. hyper reports a body without it as an error.
    Chunks,
    /// The end of the connection. A peer that crashes may end a connection in the same way.
    Connection,
}

impl BodyFraming {
    /// Returns the framing of a response whose body is unread.
    pub fn of(response: &Response<Incoming>) -> Self {
        if response.headers().contains_key(TRANSFER_ENCODING) {
            Self::Chunks
        } else if response.body().size_hint().exact().is_some() {
            Self::Length
        } else {
            Self::Connection
        }
    }
}
