//! One structured line an event, to standard error or to rotating files.

use crate::settings::LogSettings;
use flexi_logger::{
    Cleanup, Criterion, DeferredNow, FileSpec, FlexiLoggerError, Logger, LoggerHandle, Naming,
};
use log::kv::{Error, Key, Value, VisitSource};
use log::Record;
use std::io::{self, Write};

/// Starts logging; the handle keeps it going.
pub fn start(settings: &LogSettings, node: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    let logger = Logger::try_with_str(&settings.level)?.format(write_line);
    let logger = match &settings.folder {
        None => logger.log_to_stderr(),
        Some(folder) => logger
            .log_to_file(FileSpec::default().directory(folder).basename(node))
            .rotate(
                Criterion::Size(settings.rotate_bytes),
                Naming::Numbers,
                Cleanup::KeepLogFiles(settings.keep_files),
            ),
    };
    logger.start()
}

fn write_line(out: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
    let time = now.now_utc_owned().format("%Y-%m-%dT%H:%M:%S%.3fZ");
    write!(out, "time={time} level={}", record.level())?;
    let mut fields = FieldWriter { out };
    record
        .key_values()
        .visit(&mut fields)
        .map_err(io::Error::other)?;
    write!(out, " message={:?}", record.args().to_string())
}

struct FieldWriter<'a> {
    out: &'a mut dyn Write,
}

impl<'kvs> VisitSource<'kvs> for FieldWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.out, " {key}={value}").map_err(Error::from)
    }
}
