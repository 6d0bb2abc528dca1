//! Numbered log events.
//!
//! Every line of the log belongs to one [`Event`]; its code and meaning are listed in
//! `docs/events.md`, which a test compares with [`Event::ALL`].

use std::{fmt, sync::Arc};

use spdlog::{
    Level, LevelFilter, Logger,
    formatter::{FullFormatter, JsonFormatter},
    sink::StdStreamSink,
};

macro_rules! events {
    ($($name:ident = $code:literal, $level:ident, $text:literal;)*) => {
        /// A kind of log line.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Event {
            $(#[doc = $text] $name = $code,)*
        }

        impl Event {
            /// All events, by code.
            pub const ALL: &'static [Event] = &[$(Event::$name,)*];

            /// Meaning, without the details of one occurrence.
            pub fn text(self) -> &'static str {
                match self {
                    $(Event::$name => $text,)*
                }
            }

            fn level(self) -> Level {
                match self {
                    $(Event::$name => Level::$level,)*
                }
            }
        }
    };
}

events! {
    Started = 100, Info, "instance started";
    Stopping = 101, Info, "instance is stopping";
    Stopped = 102, Info, "instance stopped";
    SettingsInvalid = 110, Error, "settings are not valid";
    ListenFailed = 111, Error, "listener cannot be opened";
    DiskOpened = 200, Info, "data folder opened";
    DiskFailed = 201, Critical, "data folder failed; the member stops";
    Formed = 202, Info, "control group formed";
    JoinRequested = 203, Warn, "member without its data asks to join under a new identity";
    MembersChanged = 204, Info, "control membership changed";
    LeaderElected = 210, Info, "this member leads the control group";
    LeaderLost = 211, Warn, "this member no longer leads the control group";
    LeaseLost = 220, Error, "lease ended: requests are refused until it is renewed";
    LeaseGained = 221, Info, "lease granted";
    ConfigApplied = 230, Info, "configuration in force";
    ChangeRefused = 231, Warn, "change of the configuration refused";
    OperatorRefused = 232, Warn, "operator request without a valid secret refused";
    InstanceRegistered = 240, Info, "instance registered";
    InstanceRemoved = 241, Warn, "instance removed";
    ShardAssigned = 242, Info, "shard assigned";
    AnnouncementRefused = 250, Warn, "server announcement refused";
    ServerRecorded = 251, Info, "server recorded";
    GroupOwned = 300, Info, "this instance owns the database group";
    GroupReleased = 301, Info, "this instance no longer owns the database group";
    PrimarySuspected = 310, Warn, "primary suspected";
    TermRecorded = 311, Info, "new term of the database group recorded";
    PrimaryPromoted = 312, Info, "primary promoted";
    FailoverEnded = 313, Info, "failover ended";
    GroupResigned = 314, Warn, "no majority of the database group is reachable; ownership is given up";
    CallerRefused = 400, Warn, "caller refused at start-up";
    CallerMalformed = 401, Warn, "caller sent a malformed message";
    KeyWithdrawn = 402, Info, "connection closed: its key was withdrawn";
    CallerOversized = 403, Warn, "caller sent a message above the size limit";
    ServerConnectFailed = 500, Warn, "connection to a database server failed";
    AnswerMismatched = 501, Error, "database server broke the order of answers; connection closed";
}

impl Event {
    /// Number that the log and the catalogue show.
    pub fn code(self) -> u16 {
        self as u16
    }
}

/// Writes an event with the details of this occurrence.
pub fn log(event: Event, detail: fmt::Arguments<'_>) {
    spdlog::log!(event.level(), "AL{:04} {}: {}", event.code(), event.text(), detail);
}

/// Sends the log to standard error, as text or as JSON lines.
///
/// A logger that cannot be built leaves the default one in place.
pub fn start(json: bool, level: &str) {
    let filter = match level {
        "error" => LevelFilter::MoreSevereEqual(Level::Error),
        "warn" => LevelFilter::MoreSevereEqual(Level::Warn),
        "debug" => LevelFilter::MoreSevereEqual(Level::Debug),
        _ => LevelFilter::MoreSevereEqual(Level::Info),
    };
    let builder = StdStreamSink::builder().stderr();
    let sink = if json {
        builder.formatter(JsonFormatter::new()).build_arc()
    } else {
        builder.formatter(FullFormatter::new()).build_arc()
    };
    let Ok(sink) = sink else { return };
    let logger = Logger::builder().sink(sink).level_filter(filter).build();
    if let Ok(logger) = logger {
        spdlog::set_default_logger(Arc::new(logger));
    }
}
