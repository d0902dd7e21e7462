//! Compression of large documents, alone or against a document that the other side
//! holds.

use std::io;

/// Level of compression: the library's usual one, about 200 MB/s on a whole core.
const LEVEL: i32 = 3;
/// Largest document that is unpacked, in bytes: a packed one of a few kilobytes could
/// ask for any amount of memory.
const MAX_UNPACKED_BYTES: usize = 64 << 20;

/// Packs `plain`.
///
/// # Errors
/// What the library tells.
pub fn compress(plain: &[u8]) -> io::Result<Vec<u8>> {
    zstd::bulk::compress(plain, LEVEL)
}

/// Unpacks what [`compress`] gave.
///
/// # Errors
/// Where `packed` is damaged, or would take more than 64 MiB.
pub fn decompress(packed: &[u8]) -> io::Result<Vec<u8>> {
    zstd::bulk::decompress(packed, unpacked_size(packed)?)
}

/// Packs `plain` for a receiver that holds `base`: what both have in common takes next
/// to nothing.
pub fn compress_against(base: &[u8], plain: &[u8]) -> io::Result<Vec<u8>> {
    let mut compressor = zstd::bulk::Compressor::with_dictionary(LEVEL, base)?;
    // Against another base the result would be another document, not an error.
    compressor.include_checksum(true)?;
    compressor.compress(plain)
}

/// Unpacks what [`compress_against`] gave for the same `base`.
pub fn decompress_against(base: &[u8], packed: &[u8]) -> io::Result<Vec<u8>> {
    let mut decompressor = zstd::bulk::Decompressor::with_dictionary(base)?;
    decompressor.decompress(packed, unpacked_size(packed)?)
}

/// The size that a packed document says it has, where that is allowed.
fn unpacked_size(packed: &[u8]) -> io::Result<usize> {
    let size = zstd::zstd_safe::get_frame_content_size(packed);
    let size = size.ok().flatten().unwrap_or(u64::MAX);
    match usize::try_from(size) {
        Ok(size) if size <= MAX_UNPACKED_BYTES => Ok(size),
        _ => Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "a packed document of no allowed size",
        )),
    }
}
