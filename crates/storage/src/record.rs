//! Record framing: a header with length and checksums, followed by the content.

use serde::{Deserialize, Serialize};
use silversail_consensus::{Entry, HardState};

/// Size of a record header in bytes: content length, content checksum and the
/// checksum of these two, each 4 bytes in little-endian order.
pub const HEADER_BYTES: usize = 12;

/// A record of the log file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// Current term and vote, which replace the earlier ones.
    HardState(HardState),
    /// Log entry, which replaces the entry at its index and all later ones.
    Entry(Entry),
}

/// Reason for which no record can be read at a position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The data ends within the record.
    Incomplete,
    /// A checksum does not match.
    Damaged,
}

/// Appends a framed `content` to `buffer`.
pub fn write_frame(buffer: &mut Vec<u8>, content: &[u8]) {
    let length = (content.len() as u32).to_le_bytes();
    let checksum = crc32fast::hash(content).to_le_bytes();
    let mut header = [length, checksum].concat();
    let header_checksum = crc32fast::hash(&header).to_le_bytes();
    header.extend_from_slice(&header_checksum);
    buffer.extend_from_slice(&header);
    buffer.extend_from_slice(content);
}

/// Returns the content of the frame at the start of `bytes`.
pub fn read_frame(bytes: &[u8]) -> Result<&[u8], FrameError> {
    let header = bytes.get(..HEADER_BYTES).ok_or(FrameError::Incomplete)?;
    let field = |offset: usize| {
        u32::from_le_bytes([
            header[offset],
            header[offset + 1],
            header[offset + 2],
            header[offset + 3],
        ])
    };
    if crc32fast::hash(&header[..8]) != field(8) {
        return Err(FrameError::Damaged);
    }
    let end = HEADER_BYTES + field(0) as usize;
    let content = bytes.get(HEADER_BYTES..end).ok_or(FrameError::Incomplete)?;
    if crc32fast::hash(content) != field(4) {
        return Err(FrameError::Damaged);
    }
    Ok(content)
}

/// Whether a valid frame starts anywhere in `bytes`. A torn tail has no valid frame
/// after it, unlike damaged data that was synced.
pub fn contains_frame(bytes: &[u8]) -> bool {
    (0..bytes.len())
        .any(|start| read_frame(&bytes[start..]).is_ok_and(|content| !content.is_empty()))
}
