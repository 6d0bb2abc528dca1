//! Tests each figure on constructed records: one case that must be flagged and one that must not.
#![allow(clippy::unwrap_used, clippy::panic, reason = "helpers of tests fail the test")]

use auburnlug_bench::{
    LogEntry, Write,
    deployment::Account,
    figures, oracle,
    record::{ExecutedStatement, Kind, Mark, Outcome, Request},
    run_records::{GroupRecords, RunRecords},
};

/// One second in the unit of record times, microseconds.
const SECOND: u64 = 1_000_000;

fn request(id: &str, kind: Kind, time: u64, outcome: Outcome) -> Request {
    let table = if matches!(kind, Kind::Read | Kind::Write) { "t" } else { "once" };
    Request {
        id: id.into(),
        account: "a".into(),
        group: "g".into(),
        session: "s".into(),
        kind,
        table: table.into(),
        key: "a:1".into(),
        intended: time,
        sent: time,
        answered: time + 10,
        outcome,
        tries: 1,
        ..Request::default()
    }
}

fn done(id: &str, kind: Kind, time: u64) -> Request {
    request(id, kind, time, Outcome::Done)
}

fn read(id: &str, time: u64, value: &str) -> Request {
    Request { value: value.into(), ..done(id, Kind::Read, time) }
}

fn ran(id: &str, write: bool, time: u64, position: u64) -> ExecutedStatement {
    ExecutedStatement {
        time,
        request: id.into(),
        account: "a".into(),
        write,
        key: "a:1".into(),
        term: 1,
        position,
        primary: write,
        committed: true,
        ..ExecutedStatement::default()
    }
}

fn log(ids: &[&str]) -> Vec<LogEntry> {
    let entry = |(at, id): (usize, &&str)| LogEntry {
        term: 1,
        position: at as u64 + 1,
        writes: vec![Write { table: "t".into(), key: "a:1".into(), value: format!("{id}|a:1") }],
    };
    ids.iter().enumerate().map(entry).collect()
}

/// Records with one client account of rate 10/s, burst 2 and maximum staleness 1 s.
fn evidence(requests: Vec<Request>, ran: Vec<ExecutedStatement>, ids: &[&str]) -> RunRecords {
    let mut evidence = RunRecords { requests, ..RunRecords::default() };
    let account = Account { rate: 10.0, burst: 2.0, age: 1000 };
    evidence.template.accounts.insert("a".into(), account);
    evidence.groups.insert(
        "g".into(),
        GroupRecords { statements: ran, log: log(ids), ..GroupRecords::default() },
    );
    evidence
}

struct FigureCase {
    name: &'static str,
    figure: fn(&RunRecords) -> usize,
    flagged: RunRecords,
    clean: RunRecords,
}

fn check(cases: Vec<FigureCase>) {
    for case in cases {
        assert_eq!((case.figure)(&case.flagged), 1, "{} must be flagged", case.name);
        assert_eq!((case.figure)(&case.clean), 0, "{} must not be flagged", case.name);
    }
}

/// Guards against a checker that misses a lost or repeated write, or flags a write of unknown
/// outcome as lost.
#[test]
fn lost_and_doubled_writes_are_flagged() {
    let w = |outcome| vec![request("w", Kind::Write, 0, outcome)];
    let once = || vec![done("w", Kind::Once, 0)];
    check(vec![
        FigureCase {
            name: "lost_writes: acknowledged, not in the log",
            figure: figures::lost_writes,
            flagged: evidence(w(Outcome::Done), vec![ran("w", true, 0, 1)], &["x"]),
            clean: evidence(w(Outcome::Unknown), vec![ran("w", true, 0, 1)], &["x"]),
        },
        FigureCase {
            name: "doubled: twice in the log",
            figure: figures::doubled,
            flagged: evidence(once(), vec![], &["w", "w"]),
            clean: evidence(w(Outcome::Done), vec![], &["w", "w"]),
        },
        FigureCase {
            name: "doubled: committed by two servers, once in the log",
            figure: figures::doubled,
            flagged: evidence(once(), vec![ran("w", true, 0, 1), ran("w", true, 9, 1)], &["w"]),
            clean: evidence(
                once(),
                vec![
                    ExecutedStatement { committed: false, ..ran("w", true, 0, 1) },
                    ran("w", true, 9, 1),
                ],
                &["w"],
            ),
        },
    ]);
}

/// Guards against a checker that misses a stale read, or flags a read for a write that it need not
/// see.
#[test]
fn stale_reads_are_flagged() {
    let writes = || vec![done("w1", Kind::Write, 0), done("w2", Kind::Write, 100)];
    let with = |r: Request| {
        let mut requests = writes();
        requests.push(r);
        evidence(requests, vec![], &["w1", "w2"])
    };
    let other = |time| Request { session: "other".into(), ..read("r", time, "w1|a:1") };
    let bare = |account: &str| Request {
        session: String::new(),
        account: account.into(),
        ..read("r", 500, "w1|a:1")
    };
    check(vec![
        FigureCase {
            name: "own session: older value",
            figure: figures::stale_reads,
            flagged: with(read("r", 500, "w1|a:1")),
            clean: with(read("r", 500, "w2|a:1")),
        },
        FigureCase {
            name: "own session: nothing read; acknowledged after the read was sent",
            figure: figures::stale_reads,
            flagged: with(read("r", 500, "")),
            clean: with(read("r", 105, "w1|a:1")),
        },
        FigureCase {
            name: "other session: older than the accepted age",
            figure: figures::stale_reads,
            flagged: with(other(SECOND + 200)),
            clean: with(other(SECOND - 200)),
        },
        FigureCase {
            name: "no session: a write of the account; of another account",
            figure: figures::stale_reads,
            flagged: with(bare("a")),
            clean: {
                let mut clean = with(bare("b"));
                let account = clean.template.accounts["a"];
                clean.template.accounts.insert("b".into(), account);
                clean
            },
        },
    ]);
}

/// Guards against a checker that misses a statement under the wrong client account, the value of
/// another key, or a request that ran although it was refused as not run.
#[test]
fn crossed_accounts_and_false_refusals_are_flagged() {
    let r = || vec![done("r", Kind::Read, 0)];
    let refused = |tries| Request { tries, ..request("w", Kind::Once, 0, Outcome::Unavailable) };
    let in_transaction = ExecutedStatement { transaction: Some(1), ..ran("w", true, 0, 1) };
    let rolled_back = ExecutedStatement { committed: false, ..in_transaction.clone() };
    check(vec![
        FigureCase {
            name: "wrong_account: ran for another account",
            figure: figures::wrong_account,
            flagged: evidence(
                r(),
                vec![ExecutedStatement { account: "b".into(), ..ran("r", false, 0, 0) }],
                &[],
            ),
            clean: evidence(r(), vec![ran("r", false, 0, 0)], &[]),
        },
        FigureCase {
            name: "wrong_account: another key's value",
            figure: figures::wrong_account,
            flagged: evidence(vec![read("r", 0, "w|b:1")], vec![], &[]),
            clean: evidence(vec![read("r", 0, "w|a:1")], vec![], &[]),
        },
        FigureCase {
            name: "not_run_but_ran: even if it did not commit",
            figure: figures::not_run_but_ran,
            flagged: evidence(
                vec![refused(1)],
                vec![ExecutedStatement { committed: false, ..ran("w", true, 0, 1) }],
                &[],
            ),
            clean: evidence(vec![refused(1)], vec![], &[]),
        },
        FigureCase {
            name: "not_run_but_ran: transaction; sent twice",
            figure: figures::not_run_but_ran,
            flagged: evidence(vec![refused(1)], vec![in_transaction], &[]),
            clean: evidence(vec![refused(1)], vec![rolled_back], &[]),
        },
        FigureCase {
            name: "cut_requests: sent without an answer; never sent",
            figure: figures::cut_requests,
            flagged: evidence(vec![request("r", Kind::Read, 5, Outcome::None)], vec![], &[]),
            clean: evidence(vec![request("r", Kind::Read, 0, Outcome::None)], vec![], &[]),
        },
    ]);
    let sent_twice = evidence(vec![refused(2)], vec![ran("w", true, 0, 1)], &["w"]);
    assert_eq!(figures::not_run_but_ran(&sent_twice), 0);
}

/// Guards against a checker that misses statements at a draining server.
#[test]
fn work_of_a_drained_server_is_flagged() {
    let with = |time| {
        let run = ExecutedStatement { server: "s2".into(), ..ran("r", false, time, 0) };
        let mut evidence = evidence(vec![], vec![run], &[]);
        evidence.marks = vec![Mark { name: "drained s2".into(), time: SECOND }];
        evidence
    };
    check(vec![FigureCase {
        name: "late_work: more than 3 s after the mark",
        figure: figures::late_work,
        flagged: with(4 * SECOND + 1),
        clean: with(4 * SECOND),
    }]);
}

/// Guards against rate figures that are off by one request, in either direction.
#[test]
fn rate_figures_count_single_requests() {
    let at = |times: &[u64]| -> Vec<ExecutedStatement> {
        let run = |(n, t): (usize, &u64)| ran(&format!("r{n}"), false, *t, 0);
        times.iter().enumerate().map(run).collect()
    };
    // The bucket admits the first two, the system admitted the first and the third.
    let swapped = |second: Outcome, third: Outcome| {
        let mut requests = vec![done("1", Kind::Read, 0), request("2", Kind::Read, 0, second)];
        requests.push(request("3", Kind::Read, 0, third));
        evidence(requests, vec![], &[])
    };
    let retried = vec![ran("r", false, 0, 0), ran("r", false, 1, 0), ran("r", false, 2, 0)];
    let arrivals = |third: u64| {
        let mut requests = vec![done("1", Kind::Read, 0), done("2", Kind::Read, 0)];
        requests.push(request("3", Kind::Read, third, Outcome::Limit));
        evidence(requests, vec![], &[])
    };
    check(vec![
        FigureCase {
            name: "over_rate: third of burst 2 within 0.1 s; exactly after 0.1 s",
            figure: |e| figures::over_rate(e).0,
            flagged: evidence(vec![], at(&[0, 0, SECOND / 10 - 1000]), &[]),
            clean: evidence(vec![], at(&[0, 0, SECOND / 10]), &[]),
        },
        FigureCase {
            name: "over_rate: window that starts late; a retried read counts once",
            figure: |e| figures::over_rate(e).0,
            flagged: evidence(vec![], at(&[0, SECOND, SECOND, SECOND]), &[]),
            clean: evidence(vec![], retried, &[]),
        },
        FigureCase {
            name: "excess_refusals: more than the bucket makes; as many, of another request",
            figure: |e| figures::excess_refusals(e) as usize,
            flagged: swapped(Outcome::Limit, Outcome::Limit),
            clean: swapped(Outcome::Limit, Outcome::Done),
        },
        FigureCase {
            name: "wrongful_refusals: the bucket would have admitted it",
            figure: figures::wrongful_refusals,
            flagged: swapped(Outcome::Limit, Outcome::Done),
            clean: swapped(Outcome::Done, Outcome::Limit),
        },
        FigureCase {
            name: "wrongful_refusals: a token was there; none was there",
            figure: figures::wrongful_refusals,
            flagged: arrivals(SECOND / 10),
            clean: arrivals(SECOND / 20),
        },
    ]);
}

/// Guards against a wrong value for how early a request came, which separates jitter from a fault.
#[test]
fn over_rate_reports_how_early_a_request_came() {
    let times = [0, 0, SECOND / 10 - 1000];
    let runs = times.iter().enumerate().map(|(n, t)| ran(&format!("r{n}"), false, *t, 0));
    let (count, early) = figures::over_rate(&evidence(vec![], runs.collect(), &[]));
    assert_eq!(count, 1);
    assert!((early - 1.0).abs() < 1e-6, "{early} ms, expected 1 ms");
}

/// Guards against ratios over the wrong set of requests.
#[test]
fn shares_count_only_due_requests() {
    let mut served = vec![done("1", Kind::Read, 0), done("2", Kind::Read, 0)];
    assert!(
        (figures::worst_account_share(&evidence(served.clone(), vec![], &[])) - 1.0).abs() < 1e-9
    );
    served[1].outcome = Outcome::Unavailable;
    // The third exceeds the rate, so it does not count.
    served.push(request("3", Kind::Read, 0, Outcome::Limit));
    assert!((figures::worst_account_share(&evidence(served, vec![], &[])) - 0.5).abs() < 1e-9);

    // The third is not part of the load: it is a probe from before the start of the load.
    let sent = vec![done("1", Kind::Read, 0), done("2", Kind::Read, 0)];
    let other = ran("3", false, 0, 0);
    let reads = vec![
        ran("1", false, 0, 0),
        ExecutedStatement { primary: true, ..ran("2", false, 0, 0) },
        other,
    ];
    assert!((figures::replica_share(&evidence(sent, reads, &[])) - 0.5).abs() < 1e-9);

    // A replica that has applied position 1 at time 50 can serve the read, unless the session of
    // the read made the write at position 2.
    let requests = |session: &str| {
        let write = Request { session: session.into(), ..done("w2", Kind::Write, 0) };
        vec![write, read("r", 100, "w1|a:1")]
    };
    for (session, share) in [("s", 0.0), ("other", 1.0)] {
        let ran = vec![ran("w2", true, 5, 2), ran("r", false, 100, 1)];
        let mut evidence = evidence(requests(session), ran, &["w1", "w2"]);
        evidence.groups.get_mut("g").unwrap().applied.push(("s2".into(), 50, (1, 1)));
        assert!((oracle::replica_share(&evidence) - share).abs() < 1e-9, "session {session}");
        // With a maximum staleness of 0, writes of all sessions count.
        evidence.template.accounts.get_mut("a").unwrap().age = 0;
        assert!(oracle::replica_share(&evidence).abs() < 1e-9);
    }
}

/// Guards against durations that are measured from the wrong mark or record.
#[test]
fn durations_start_at_their_marks() {
    let writes = [1, 2, 5, 6].map(|s| done(&format!("w{s}"), Kind::Write, s * SECOND)).to_vec();
    let runs = vec![ran("w1", true, SECOND, 1), ran("w2", true, 3 * SECOND, 2)];
    let mut evidence = evidence(writes, runs, &[]);
    assert_eq!(figures::failover_gap(&evidence), None);
    assert_eq!(figures::key_withdrawal(&evidence), None);
    let mark = |name: &str, time| Mark { name: name.into(), time };
    evidence.marks = vec![mark("failover g", 3 * SECOND), mark("withdrawn a", 2 * SECOND)];
    assert_eq!(figures::failover_gap(&evidence), Some(3000.0));
    assert_eq!(figures::key_withdrawal(&evidence), Some(1000.0));
    evidence.marks = ["change c", "in force c", "in force c", "in force d"]
        .iter()
        .zip(1..)
        .map(|(name, second)| mark(name, second * SECOND))
        .collect();
    assert_eq!(figures::config_spread(&evidence), Some(2000.0));
    evidence.marks = vec![mark("failover g", 5 * SECOND + SECOND / 2)];
    assert_eq!(figures::failover_gap(&evidence), Some(1000.0));
}
