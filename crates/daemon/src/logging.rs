//! Structured logging to standard error, to rotating files or to the decision log.

use crate::settings::LogSettings;
use flexi_logger::writers::LogWriter;
use flexi_logger::{
    Cleanup, Criterion, DeferredNow, FileSpec, FlexiLoggerError, Logger, LoggerHandle, Naming,
};
use log::kv::{Error, Key, Value, VisitSource};
use log::Record;
use silversail_decisions::{DecisionLog, Event, LogLimits};
use std::io::{self, Write};

/// Starts logging, which continues until the handle is dropped. If decisions are written, log
/// lines go to the decision log, whose writer doesn't block the components that log.
///
/// # Errors
/// If the level is invalid or the log files can't be opened.
pub fn start(
    settings: &LogSettings,
    node: &str,
    decisions: &DecisionLog,
) -> Result<LoggerHandle, FlexiLoggerError> {
    let logger = Logger::try_with_str(&settings.level)?.format(write_line);
    let logger = match &settings.folder {
        None if settings.decisions => {
            logger.log_to_writer(Box::new(DecisionLogWriter(decisions.clone())))
        }
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

/// Starts the decision log if the settings enable it.
///
/// # Errors
/// If the writer thread can't be started.
pub fn start_decisions(settings: &LogSettings, node: &str) -> io::Result<DecisionLog> {
    if !settings.decisions {
        return Ok(DecisionLog::disabled());
    }
    DecisionLog::start(node, LogLimits::default(), io::stdout())
}

/// Writes log records to the decision log.
struct DecisionLogWriter(DecisionLog);

impl LogWriter for DecisionLogWriter {
    fn write(&self, _now: &mut DeferredNow, record: &Record) -> io::Result<()> {
        let mut fields = RecordFields::default();
        record
            .key_values()
            .visit(&mut fields)
            .map_err(io::Error::other)?;
        self.0.record(Event::Note {
            level: record.level().as_str().to_ascii_lowercase(),
            name: fields.name,
            inputs: fields.inputs,
            message: record.args().to_string(),
        });
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

#[derive(Default)]
struct RecordFields {
    name: String,
    inputs: Vec<String>,
}

impl<'kvs> VisitSource<'kvs> for RecordFields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        match key.as_str() {
            "event" => self.name = value.to_string(),
            _ => self.inputs.push(format!("{key}={value}")),
        }
        Ok(())
    }
}

fn write_line(out: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
    let time = now.now_utc_owned().format("%Y-%m-%dT%H:%M:%S%.3fZ");
    write!(out, "time={time} level={}", record.level())?;
    let mut fields = KeyValueWriter { out };
    record
        .key_values()
        .visit(&mut fields)
        .map_err(io::Error::other)?;
    write!(out, " message={:?}", record.args().to_string())
}

struct KeyValueWriter<'a> {
    out: &'a mut dyn Write,
}

impl<'kvs> VisitSource<'kvs> for KeyValueWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.out, " {key}={value}").map_err(Error::from)
    }
}
