//! Tests of what an instance that lags is sent after large changes of the configuration.

mod control_group;

use std::time::Duration;

use auburnlug_protocol::peer::{ControlMessage, LeaseRenewal};
use auburnlug_state::{Applied, Change, Edit, Instance, limits};
use tokio::time::timeout;

use control_group::{Cluster, TEMPLATE, name, propose};

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

const TEMPLATE_BYTES: usize = 300_000;

/// Guards against an update that sends up to 4,096 published templates to an instance that lags,
/// where the whole state is smaller.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_lags_by_large_changes_is_sent_the_state() {
    let mut cluster = Cluster::new(1);
    let node = cluster.start_all().remove(0);
    let mut versions = vec![0];
    for n in 0..8 {
        let edit = Edit::Publish(format!("; {}\n{TEMPLATE}", "c".repeat(TEMPLATE_BYTES)));
        let (id, operator) = (name(&format!("change-{n}")), name("ana"));
        let change = Change { id, operator, base: versions[n], edit };
        let applied = propose(&node.handle, change).await;
        let Applied::Changed(version) = applied else { unreachable!("{applied:?}") };
        versions.push(version);
    }
    let within = limits::MIN_RETAINED_BYTES / TEMPLATE_BYTES;
    let mut link = cluster.dial("e1", &cluster.names[0]).await;
    for (missed, sends_commands) in [(8, false), (within + 1, false), (within, true), (1, true)] {
        let address = "127.0.63.1:1".parse().expect("address");
        let instance = Instance {
            name: name("e1"),
            incarnation: 1,
            peer: address,
            http: address,
            region: name("r"),
            domain: name("d"),
            entry: true,
        };
        let (index, heard) = (versions[8 - missed], Vec::new());
        let renewal = LeaseRenewal { instance, sent: 1, index, heard };
        link.out.send(ControlMessage::Renew(renewal)).await.expect("the link is open");
        let commands = loop {
            match timeout(WAIT_TIMEOUT, link.inbox.recv()).await.expect("an answer in time") {
                Some(ControlMessage::Update { after, commands, .. }) if after == index => {
                    break Some(commands.len());
                }
                Some(ControlMessage::Snapshot(_)) => break None,
                Some(_) => {}
                None => unreachable!("the link is open"),
            }
        };
        assert_eq!(commands.is_some(), sends_commands, "{missed} changes missed: {commands:?}");
    }
}
