//! Log lines of committed changes.

use auburnlug_coordination::raft::{Entry, Payload};
use auburnlug_state::{Applied, Command, fleet::FleetChange};
use auburnlug_transport::event::{Event, log};

/// Whether a log entry registers or removes entries of the fleet.
pub(crate) fn records_entries(entry: &Entry) -> bool {
    matches!(&entry.payload, Payload::Command(Command::Fleet(FleetChange::Entries { .. })))
}

/// Whether a log entry adds or replaces a server.
pub(crate) fn records_backend(entry: &Entry) -> bool {
    matches!(&entry.payload, Payload::Command(Command::Fleet(FleetChange::Record(_))))
}

/// Whether a log entry records a promotion to order.
pub(crate) fn records_promotion(entry: &Entry) -> bool {
    matches!(&entry.payload, Payload::Command(Command::Fleet(FleetChange::Order { .. })))
}

/// Logs a committed change and its outcome.
pub(crate) fn log_applied(change: &FleetChange, applied: Option<&Applied>) {
    let outcome = applied.map_or("none", |applied| match applied {
        Applied::Done => "in_force",
        _ => "superseded",
    });
    match change {
        FleetChange::Deploy { plan, .. } => {
            log(Event::ConfigApplied, format_args!("version={} outcome={outcome}", plan.version))
        }
        FleetChange::Lead { group, after, lead } => log(
            Event::GroupPrimaryChanged,
            format_args!(
                "group={group} after={after} term={} primary={} former={} outcome={outcome}",
                lead.term,
                lead.primary.as_deref().unwrap_or("none"),
                lead.former.as_deref().unwrap_or("none")
            ),
        ),
        FleetChange::Entries { joined, left } => {
            log(Event::EntriesRecorded, format_args!("joined={} left={}", joined.len(), left.len()))
        }
        FleetChange::Order { group, after, ordered, .. } => log(
            Event::PromotionRecorded,
            format_args!(
                "group={group} after={after} server={} outcome={outcome}",
                ordered.as_ref().map_or("none", |ordered| &*ordered.server)
            ),
        ),
        FleetChange::Cover { group, id, run, end } => log(
            Event::DepartureCovered,
            format_args!(
                "group={group} server={id} run={} end={}.{} outcome={outcome}",
                run.0, end.term, end.offset
            ),
        ),
        FleetChange::Evacuate { domain, begin } => {
            log(Event::EvacuationChanged, format_args!("domain={domain} begin={begin}"))
        }
        FleetChange::Record(_) | FleetChange::Forget { .. } => {}
    }
}
