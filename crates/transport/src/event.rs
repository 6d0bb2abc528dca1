//! Numbered log events.
//!
//! Every log line belongs to one [`Event`]. `docs/events.md` lists the number and the text of each
//! event, and a test compares it with [`Event::ALL`].

use std::{
    fmt,
    sync::{Arc, OnceLock},
};

use spdlog::{
    Level, LevelFilter, Logger,
    formatter::{FullFormatter, JsonFormatter},
    sink::{StdStreamSink, WriteSink},
};

use crate::log_writer::LogWriter;

macro_rules! events {
    ($($name:ident = $code:literal, $level:ident, $text:literal;)*) => {
        /// A kind of log line.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Event {
            $(#[doc = $text] $name = $code,)*
        }

        impl Event {
            /// All events, ordered by number.
            pub const ALL: &'static [Event] = &[$(Event::$name,)*];

            /// Text of the event, without the details of one occurrence.
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
    ControlGroupFormed = 202, Info, "control group formed";
    JoinRequested = 203, Warn, "member without its data asks to join under a new identity";
    MembersChanged = 204, Info, "control membership changed";
    LossesReduced = 205, Warn, "control group tolerates fewer disk losses than configured";
    LossesRestored = 206, Info, "control group tolerates the configured disk losses again";
    MembershipProposed = 207, Info, "step of the control membership proposed";
    MembershipRefused = 208, Info, "step of the control membership not possible yet";
    JoinReceived = 209, Info, "control member asks to join";
    LeaderElected = 210, Info, "this member leads the control group";
    LeaderLost = 211, Warn, "this member no longer leads the control group";
    KnownLeaderChanged = 212, Info, "known control leader changed";
    MemberUnlisted = 213, Warn, "control member is not listed by its group and asks to join again";
    LeaderMissed = 214, Warn, "control group has no leader";
    DisksLost = 215, Critical, "control group has lost more disks than it tolerates";
    LossProven = 216, Warn, "control member has lost its disk for good";
    LeadsAlone = 217, Warn, "this member leads as the only one with the data; it waits for a second one";
    LeadsNoLongerAlone = 218, Info, "this member no longer leads alone";
    LogCompacted = 219, Info, "log replaced by a snapshot";
    LeaseLost = 220, Error, "lease ended: requests are refused until it is renewed";
    LeaseGained = 221, Info, "lease granted";
    StepDelayed = 222, Warn, "step of the control thread took long";
    SnapshotPostponed = 223, Error, "disk has no space for a snapshot; the log grows";
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
    ClientRefused = 404, Warn, "client refused or closed to bound what clients hold";
    ServerConnectFailed = 500, Warn, "connection to a database server failed";
    AnswerMismatched = 501, Error, "database server broke the order of answers; connection closed";
    RequestServed = 600, Info, "request answered by a server";
    RequestRefused = 601, Info, "request refused without being run";
    RequestFailed = 602, Warn, "request ended with an error of the server or an unknown outcome";
    RequestRetried = 603, Info, "request sent to another server";
    SessionRefused = 604, Info, "session refused at its opening";
    SessionEnded = 605, Info, "session ended by this instance";
    TransactionAborted = 606, Info, "transaction rolled back by this instance";
    MessageMalformed = 607, Warn, "message that cannot be decoded refused";
    HomeRefused = 608, Info, "request refused: no server in its home regions can run it";
    ServerLost = 610, Warn, "connections to a server fail";
    ServerRegained = 611, Info, "server answers again";
    ConnectionOwnerLost = 612, Warn, "link to an entry that holds connections is lost";
    ConnectionOwnerRegained = 613, Info, "link to an entry that holds connections is open";
    ViewChanged = 620, Info, "view of the fleet changed";
    LeaderFound = 621, Info, "control leader found";
    LeaderMissing = 622, Warn, "no control leader answers";
    UpdateMismatched = 623, Warn, "update does not fit the configuration that is held";
    SettingsReloaded = 630, Info, "settings read again";
    DeploymentAccepted = 700, Info, "configuration accepted";
    DeploymentRefused = 701, Warn, "configuration refused";
    HeartbeatRefused = 702, Warn, "server heartbeat refused";
    BackendChanged = 703, Info, "server recorded";
    BackendRemoved = 704, Info, "server removed";
    BackendUnresponsive = 705, Warn, "server sends no heartbeats";
    EntryChanged = 706, Info, "entry joined or left";
    ConnectionOwnersChanged = 707, Info, "holders of a group changed";
    ExternalFailoverStarted = 710, Warn, "primary is to be replaced";
    ExternalFailoverStep = 711, Info, "step of a replacement";
    PromotionAnswered = 712, Info, "order of promotion answered";
    GroupPrimaryChanged = 713, Info, "leader of a group recorded";
    EntriesRecorded = 714, Info, "entries that may hold leases recorded";
    RegionalLimitersChanged = 715, Info, "delegates for rates changed";
    ExternalFailoverDeferred = 716, Warn, "replacement of a primary deferred";
    DepartureCovered = 717, Info, "commits of a departed replica covered";
    PromotionRecorded = 718, Info, "promotion to order recorded";
    OrderUnbounded = 719, Warn, "order may outlast the leader lease";
    MemberLinkLost = 720, Warn, "link to a control member is lost";
    MemberLinkOpen = 721, Info, "link to a control member is open";
    ConfigRead = 722, Info, "configuration read by an operator";
    EvacuationChanged = 723, Info, "evacuation of a failure domain recorded";
    EvacuationAcknowledged = 724, Info, "evacuation of a failure domain acknowledged";
    EvacuationRefused = 725, Warn, "evacuation of a failure domain refused";
    HeartbeatUnused = 726, Warn, "heartbeat not used";
}

impl Event {
    /// Number of the event in the log and in `docs/events.md`.
    pub fn code(self) -> u16 {
        self as u16
    }
}

/// Writes an event with the details of this occurrence.
pub fn log(event: Event, detail: fmt::Arguments<'_>) {
    spdlog::log!(event.level(), "AL{:04} {}: {}", event.code(), event.text(), detail);
}

/// Writer that [`start_bounded`] sends the log to.
static WRITER: OnceLock<LogWriter> = OnceLock::new();

/// Sends the log to standard output through a bounded buffer, without ever blocking the caller.
///
/// If the logger cannot be built, the default one stays in place.
pub fn start_bounded() {
    let Ok(writer) = LogWriter::start() else { return };
    let _ = WRITER.set(writer.clone());
    let Ok(sink) = WriteSink::builder().target(writer).build_arc() else { return };
    let filter = LevelFilter::MoreSevereEqual(Level::Info);
    if let Ok(logger) = Logger::builder().sink(sink).level_filter(filter).build() {
        spdlog::set_default_logger(Arc::new(logger));
    }
}

/// Writes the lines that [`start_bounded`] still buffers; called before the process ends.
pub fn flush() {
    if let Some(writer) = WRITER.get() {
        writer.drain();
    }
}

/// Sends the log to standard error, as text or as JSON lines.
///
/// If the logger cannot be built, the default one stays in place.
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
