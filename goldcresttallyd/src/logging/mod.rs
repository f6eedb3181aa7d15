//! Configures the logger.

pub mod pipe;

use log::LevelFilter;
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::pattern::PatternEncoder;

use crate::settings::LogSettings;
use pipe::PipeAppender;

/// The line format: UTC time, level and message.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";

/// Installs the logger, which writes to the file in the settings or to standard output.
///
/// # Errors
///
/// Returns a message if the file cannot be opened or a logger is already installed.
pub fn init(settings: &LogSettings) -> Result<(), String> {
    let encoder = || Box::new(PatternEncoder::new(PATTERN));
    let appender = if let Some(path) = &settings.file {
        let file = FileAppender::builder().encoder(encoder()).build(&**path);
        let file = file.map_err(|e| format!("log.file {path}: {e}"))?;
        Appender::builder().build("main", Box::new(file))
    } else {
        let appender = PipeAppender::new(std::io::stdout(), encoder());
        Appender::builder().build("main", Box::new(appender))
    };
    let level: LevelFilter = settings.level.into();
    let config = Config::builder()
        .appender(appender)
        .logger(Logger::builder().build("goldcresttally", level))
        .build(Root::builder().appender("main").build(LevelFilter::Warn.min(level)));
    let config = config.map_err(|e| e.to_string())?;
    log4rs::init_config(config).map_err(|e| e.to_string())?;
    Ok(())
}
