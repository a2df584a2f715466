//! Lines of a decode stream, checked to be the next tokens of the run.

use bytes::BytesMut;
use serde::Deserialize;

/// Longest line of a decode stream that is accepted, in bytes without its end.
pub const MAX_TOKEN_LINE_BYTES: usize = 16 << 10;

/// Token as the engine writes it.
#[derive(Debug, Deserialize)]
pub(super) struct Token {
    /// Index of the token in the whole response, from 0.
    pub(super) index: u32,
    /// Text of the token.
    pub(super) text: String,
    /// Why the response ended; set on the last token only.
    #[serde(default)]
    pub(super) finish_reason: Option<String>,
}

/// Why a line is not the next token of the run.
#[derive(Debug, thiserror::Error)]
pub(super) enum TokenError {
    /// The line is too long, whether or not its end was received.
    #[error("line of more than {MAX_TOKEN_LINE_BYTES} bytes")]
    TooLong,
    /// The line is not the JSON of a token.
    #[error("line of {bytes} bytes is no token, at column {column}")]
    Malformed {
        /// Length of the line.
        bytes: usize,
        /// Column at which it ceases to be a token.
        column: usize,
    },
    /// The token is an earlier or a later one.
    #[error("token {index} in place of token {expected}")]
    OutOfOrder {
        /// Index that was received.
        index: u32,
        /// Index of the next token of the run.
        expected: u32,
    },
    /// The token is the last one that the limit allows, but does not end the response.
    #[error("token {index} does not end a response of at most {max_tokens} tokens")]
    BeyondLimit {
        /// Index that was received.
        index: u32,
        /// Limit on the tokens of the response.
        max_tokens: u32,
    },
}

/// Splits the bytes of a decode stream into its tokens.
#[derive(Debug)]
pub(super) struct TokenLines {
    next_index: u32,
    max_tokens: u32,
    pending: BytesMut,
}

impl TokenLines {
    /// Expects the tokens from `next_index` on, of a response of at most `max_tokens`; 0 is no
    /// limit.
    pub(super) fn new(next_index: u32, max_tokens: u32) -> Self {
        Self { next_index, max_tokens, pending: BytesMut::new() }
    }

    /// Adds received bytes. Before more are added, all tokens are to be taken out.
    pub(super) fn push(&mut self, data: &[u8]) {
        self.pending.extend_from_slice(data);
    }

    /// Takes out the next token; returns `None` if its line is not complete.
    ///
    /// # Errors
    /// Returns [`TokenError`] if the next line is not the next token of the run.
    pub(super) fn next_token(&mut self) -> Result<Option<Token>, TokenError> {
        let end = self.pending.iter().position(|&byte| byte == b'\n');
        if end.unwrap_or(self.pending.len()) > MAX_TOKEN_LINE_BYTES {
            return Err(TokenError::TooLong);
        }
        let Some(end) = end else { return Ok(None) };
        let line = self.pending.split_to(end + 1);
        let token = serde_json::from_slice(&line[..end])
            .map_err(|error| TokenError::Malformed { bytes: end, column: error.column() })?;
        self.check(&token)?;
        self.next_index = self.next_index.saturating_add(1);
        Ok(Some(token))
    }

    fn check(&self, token: &Token) -> Result<(), TokenError> {
        let (index, expected, max_tokens) = (token.index, self.next_index, self.max_tokens);
        if index != expected {
            return Err(TokenError::OutOfOrder { index, expected });
        }
        let is_limit = max_tokens > 0 && index >= max_tokens - 1;
        if is_limit && token.finish_reason.is_none() {
            return Err(TokenError::BeyondLimit { index, max_tokens });
        }
        Ok(())
    }
}
