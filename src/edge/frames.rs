//! Framing of the connections between entries and agents: each frame is a length
//! prefix and one protobuf message.

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::SinkExt;
use futures_util::StreamExt;
use prost::Message;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_util::codec::FramedRead;
use tokio_util::codec::FramedWrite;
use tokio_util::codec::LengthDelimitedCodec;

/// Largest frame that is read or written, in bytes without the length prefix.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
/// Most queued messages that are written between two flushes.
const MAX_BATCH_MESSAGES: usize = 64;

/// Error of reading a frame.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection failed, or a frame was too long.
    #[error("reading a frame from the connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The bytes of a frame are not a valid message of the expected type.
    #[error("frame does not hold a valid message: {0}")]
    Malformed(#[from] prost::DecodeError),
}

/// Reads messages from the receiving half of a connection.
#[derive(Debug)]
pub struct FrameReader {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
}

/// Writes messages to the sending half of a connection.
#[derive(Debug)]
pub struct FrameWriter {
    frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
}

/// Splits a connection into a reader and a writer of frames and disables Nagle's
/// algorithm on it.
pub fn split(stream: TcpStream) -> (FrameReader, FrameWriter) {
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let reader = FrameReader { frames: FramedRead::new(read, codec()) };
    let writer = FrameWriter { frames: FramedWrite::new(write, codec()) };
    (reader, writer)
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Decodes the message in one frame, given without its length prefix.
///
/// # Errors
/// Returns [`FrameError::Malformed`] if the bytes are not a valid message.
pub fn decode<M: Message + Default>(frame: &[u8]) -> Result<M, FrameError> {
    Ok(M::decode(frame)?)
}

impl FrameReader {
    /// Reads the next message; returns `None` when the peer closed the connection.
    ///
    /// # Errors
    /// Returns [`FrameError`] if the connection failed, the frame was too long or its
    /// message is malformed.
    pub async fn read<M: Message + Default>(&mut self) -> Result<Option<M>, FrameError> {
        let Some(frame) = self.frames.next().await else { return Ok(None) };
        Ok(Some(decode(&frame?)?))
    }
}

impl FrameWriter {
    /// Writes messages until the channel closes, then closes the connection. Returns
    /// early, with messages left in the channel, if the connection fails.
    pub async fn write_all<M: Message>(mut self, mut messages: UnboundedReceiver<M>) {
        let mut batch = Vec::with_capacity(MAX_BATCH_MESSAGES);
        while messages.recv_many(&mut batch, MAX_BATCH_MESSAGES).await > 0 {
            for message in batch.drain(..) {
                if self.frames.feed(encode(&message)).await.is_err() {
                    return;
                }
            }
            if SinkExt::<Bytes>::flush(&mut self.frames).await.is_err() {
                return;
            }
        }
        let _ = SinkExt::<Bytes>::close(&mut self.frames).await;
    }
}

fn encode(message: &impl Message) -> Bytes {
    let mut buffer = BytesMut::with_capacity(message.encoded_len());
    message.encode(&mut buffer).expect("the buffer grows as needed");
    buffer.freeze()
}
