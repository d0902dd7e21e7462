//! Compression of large documents, optionally with a document that the receiver has as
//! dictionary.

use std::io;

/// Zstandard compression level; the default of the library.
const COMPRESSION_LEVEL: i32 = 3;
/// Maximum size of a decompressed document, in bytes. Limits the memory that a small compressed
/// document can require.
const MAX_DECOMPRESSED_BYTES: usize = 64 << 20;

/// Compresses `data`.
///
/// # Errors
/// If the compression library fails.
pub fn compress(data: &[u8]) -> io::Result<Vec<u8>> {
    zstd::bulk::compress(data, COMPRESSION_LEVEL)
}

/// Decompresses the result of [`compress`].
///
/// # Errors
/// If `compressed` is damaged or its decompressed size is unknown or exceeds 64 MiB.
pub fn decompress(compressed: &[u8]) -> io::Result<Vec<u8>> {
    zstd::bulk::decompress(compressed, decompressed_size(compressed)?)
}

/// Compresses `data` with `dictionary` as dictionary, for a receiver that has `dictionary`.
///
/// # Errors
/// If the compression library fails.
pub fn compress_against(dictionary: &[u8], data: &[u8]) -> io::Result<Vec<u8>> {
    let mut compressor = zstd::bulk::Compressor::with_dictionary(COMPRESSION_LEVEL, dictionary)?;
    // Without a checksum, decompression with another dictionary could return wrong data.
    compressor.include_checksum(true)?;
    compressor.compress(data)
}

/// Decompresses the result of [`compress_against`] for the same `dictionary`.
///
/// # Errors
/// As [`decompress`], or if `dictionary` is another document.
pub fn decompress_against(dictionary: &[u8], compressed: &[u8]) -> io::Result<Vec<u8>> {
    let mut decompressor = zstd::bulk::Decompressor::with_dictionary(dictionary)?;
    decompressor.decompress(compressed, decompressed_size(compressed)?)
}

/// Decompressed size according to the header of `compressed`, if it is within the limit.
fn decompressed_size(compressed: &[u8]) -> io::Result<usize> {
    let size = zstd::zstd_safe::get_frame_content_size(compressed);
    let size = size.ok().flatten().unwrap_or(u64::MAX);
    match usize::try_from(size) {
        Ok(size) if size <= MAX_DECOMPRESSED_BYTES => Ok(size),
        _ => Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "compressed data states no decompressed size, or one above 64 MiB",
        )),
    }
}
