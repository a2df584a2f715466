//! Length-delimited frames with one prost message each.

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

/// Largest frame that is read or written.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
const MAX_BATCH_MESSAGES: usize = 64;

/// Why a frame could not be read.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection failed, or a frame was too long.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    /// A frame does not hold the expected message.
    #[error("malformed frame: {0}")]
    Malformed(#[from] prost::DecodeError),
}

/// Reads messages from one direction of a connection.
#[derive(Debug)]
pub struct FrameReader {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
}

/// Writes messages to the other direction.
#[derive(Debug)]
pub struct FrameWriter {
    frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
}

/// Splits a connection into a reader and a writer of frames.
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

/// Decodes the body of one frame.
///
/// # Errors
/// The bytes are not the expected message.
pub fn decode<M: Message + Default>(frame: &[u8]) -> Result<M, FrameError> {
    Ok(M::decode(frame)?)
}

impl FrameReader {
    /// The next message, or `None` at the end of the connection.
    ///
    /// # Errors
    /// The connection failed or the frame is malformed.
    pub async fn read<M: Message + Default>(&mut self) -> Result<Option<M>, FrameError> {
        let Some(frame) = self.frames.next().await else { return Ok(None) };
        Ok(Some(decode(&frame?)?))
    }
}

impl FrameWriter {
    /// Sends messages until the channel closes or the connection fails.
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
