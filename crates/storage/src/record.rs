//! The framing of records: a header of lengths and checksums, then the content.

use serde::{Deserialize, Serialize};
use silversail_consensus::{Entry, HardState};

/// Bytes of a record's header: content length, content checksum, checksum of
/// these two; each 4 bytes, little endian.
pub const HEADER_BYTES: usize = 12;

/// One record of the log file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// Term and vote.
    HardState(HardState),
    /// An entry; it replaces the one at its index and all that follow.
    Entry(Entry),
}

/// Why no record could be read at a position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The bytes end before the record does.
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

/// Reads the frame at the start of `bytes`: its content.
pub fn read_frame(bytes: &[u8]) -> Result<&[u8], FrameError> {
    let header = bytes.get(..HEADER_BYTES).ok_or(FrameError::Incomplete)?;
    let field = |at: usize| {
        u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
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

/// Whether any valid frame starts in `bytes`. Used to tell a torn tail, which
/// nothing follows, from damage to what was synced.
pub fn contains_frame(bytes: &[u8]) -> bool {
    (0..bytes.len())
        .any(|start| read_frame(&bytes[start..]).is_ok_and(|content| !content.is_empty()))
}
