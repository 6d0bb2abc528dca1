//! Turns a batch of a caller's messages into one request.
//!
//! Prepared statements are kept per caller and sent as unnamed ones, so that server connections
//! hold no state of a caller. Before a message that names a statement which the batch has not
//! parsed, an unnamed `Parse` is inserted, and its `ParseComplete` is removed from the answer.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use auburnlug_protocol::{
    outcome::{SqlError, refusal_error},
    peer::{Reason, TransactionEffect},
    statement::{self, Effect, Hints, Setting, Statement},
};
use auburnlug_state::{Class, Config, Kind};
use bytes::BytesMut;
use pgwire::messages::{
    data::ParameterDescription,
    extendedquery::{Bind, Close, Describe, Execute, Parse},
    simplequery::Query,
};

use crate::frame::{self, Frame, put};

/// Total size of the prepared statements of a caller.
const MAX_PREPARED_BYTES: usize = 4 << 20;

/// Prepared statements and portals of a caller.
#[derive(Debug, Default)]
pub(crate) struct Prepared {
    statements: BTreeMap<String, Arc<Parse>>,
    portals: BTreeMap<String, Arc<Parse>>,
    bytes: usize,
}

/// What to do with a batch.
#[derive(Debug)]
pub(crate) enum Plan {
    /// Changes settings of the proxy; answered with these messages and not forwarded.
    Local(Vec<Setting>, BytesMut),
    /// Refused without being forwarded.
    Refuse(SqlError),
    /// Forwarded to the group owner.
    Forward(Box<Forward>),
}

/// A batch to forward.
#[derive(Debug)]
pub(crate) struct Forward {
    /// Frontend messages.
    pub messages: BytesMut,
    /// Values from the leading comment of the statement.
    pub hints: Hints,
    /// Combined needs of its statements.
    pub needs: Needs,
    completions: VecDeque<Completion>,
    injected: bool,
}

impl Forward {
    /// Answer, without `ReadyForQuery`, to a batch whose only statement completed with `tag`.
    pub(crate) fn completed(&self, tag: &str) -> BytesMut {
        let mut out = BytesMut::new();
        for completion in &self.completions {
            match completion {
                Completion::Inject => {}
                Completion::Parse(..) => frame::put_empty(&mut out, b'1'),
                Completion::Bind(..) => frame::put_empty(&mut out, b'2'),
                Completion::Close(..) => frame::put_empty(&mut out, b'3'),
            }
        }
        frame::put_complete(&mut out, tag);
        out
    }
}

/// Combined needs of the statements of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Needs {
    /// Effect on the transaction.
    pub block: TransactionEffect,
    /// Whether a replica may serve it.
    pub read: bool,
    /// Whether it may be retried after it may have run.
    pub idempotent: bool,
    /// Whether all statements are on open routes.
    pub open: bool,
    /// Scheduling class.
    pub class: Class,
}

/// A message whose completion changes the caller's prepared statements or portals.
#[derive(Debug)]
enum Completion {
    Inject,
    Parse(String, Arc<Parse>),
    Bind(String, Arc<Parse>),
    Close(u8, String),
}

impl Prepared {
    /// Plans a batch that ends with `Query` or `Sync`.
    pub(crate) fn plan(&self, batch: &[Frame], config: &Config, in_transaction: bool) -> Plan {
        let mut planner = Planner::new(self, config);
        for frame in batch {
            if let Err(error) = planner.add_message(frame) {
                return Plan::Refuse(error);
            }
        }
        planner.finish(in_transaction)
    }

    /// Applies the completions in the `answer` to a forwarded batch, and removes those of inserted
    /// messages.
    pub(crate) fn complete(&mut self, forward: &mut Forward, answer: Vec<u8>) -> Vec<u8> {
        if forward.completions.is_empty() {
            return answer;
        }
        let mut out = Vec::with_capacity(if forward.injected { answer.len() } else { 0 });
        for frame in frame::split_frames(&answer) {
            let hidden = matches!(frame.tag, b'1' | b'2' | b'3')
                && self.apply_completion(forward.completions.pop_front());
            if forward.injected && !hidden {
                out.extend_from_slice(&frame.bytes);
            }
        }
        if forward.injected { out } else { answer }
    }

    /// Removes the portals, which end with the transaction.
    pub(crate) fn clear_portals(&mut self) {
        self.portals.clear();
    }

    fn apply_completion(&mut self, completion: Option<Completion>) -> bool {
        match completion {
            Some(Completion::Inject) => return true,
            Some(Completion::Parse(name, parse)) => {
                self.bytes += parse.query.len();
                let old = self.statements.insert(name, parse);
                self.bytes -= old.map_or(0, |old| old.query.len());
            }
            Some(Completion::Bind(name, parse)) => {
                self.portals.insert(name, parse);
            }
            Some(Completion::Close(b'S', name)) => {
                let old = self.statements.remove(&name);
                self.bytes -= old.map_or(0, |old| old.query.len());
            }
            Some(Completion::Close(_, name)) => {
                self.portals.remove(&name);
            }
            None => {}
        }
        false
    }
}

struct Planner<'a> {
    prepared: &'a Prepared,
    config: &'a Config,
    out: BytesMut,
    local_answer: BytesMut,
    completions: VecDeque<Completion>,
    statements: BTreeMap<String, Option<Arc<Parse>>>,
    portals: BTreeMap<String, Option<Arc<Parse>>>,
    /// Statement that is the unnamed one on the server.
    unnamed: Option<Arc<Parse>>,
    injected: bool,
    hints: Hints,
    executed: Vec<Statement>,
    /// Statements that were parsed, or referenced by name.
    referenced: Vec<Statement>,
    simple: bool,
}

type PlanResult = Result<(), SqlError>;

impl<'a> Planner<'a> {
    fn new(prepared: &'a Prepared, config: &'a Config) -> Planner<'a> {
        Planner {
            prepared,
            config,
            out: BytesMut::new(),
            local_answer: BytesMut::new(),
            completions: VecDeque::new(),
            statements: BTreeMap::new(),
            portals: BTreeMap::new(),
            unnamed: None,
            injected: false,
            hints: Hints::default(),
            executed: Vec::new(),
            referenced: Vec::new(),
            simple: false,
        }
    }

    fn add_message(&mut self, frame: &Frame) -> PlanResult {
        match frame.tag {
            b'Q' => self.query(frame),
            b'P' => self.parse(frame.decode().ok_or_else(malformed)?),
            b'B' => self.bind(frame.decode().ok_or_else(malformed)?),
            b'D' => self.describe(frame.decode().ok_or_else(malformed)?),
            b'E' => self.execute(&frame.decode().ok_or_else(malformed)?, frame),
            b'C' => self.close(frame.decode().ok_or_else(malformed)?),
            b'S' => {
                self.out.extend_from_slice(&frame.bytes);
                Ok(())
            }
            _ => Err(SqlError::new("0A000", "not run: the message is not supported")),
        }
    }

    fn query(&mut self, frame: &Frame) -> PlanResult {
        let query: Query = frame.decode().ok_or_else(malformed)?;
        self.simple = true;
        self.hints = statement::parse_hints(&query.query);
        self.executed = statement::classify(&query.query, self.config);
        self.referenced = self.executed.clone();
        for _ in &self.executed {
            frame::put_complete(&mut self.local_answer, "SET");
        }
        self.out.extend_from_slice(&frame.bytes);
        Ok(())
    }

    fn parse(&mut self, mut parse: Parse) -> PlanResult {
        let name = parse.name.take().unwrap_or_default();
        if !name.is_empty() && self.find_statement(&name).is_some() {
            return Err(SqlError::new("42P05", "not run: the prepared statement already exists"));
        }
        if self.prepared.bytes + parse.query.len() > MAX_PREPARED_BYTES {
            return Err(SqlError::new("54000", "not run: too many prepared statements"));
        }
        let parse = Arc::new(parse);
        self.add_reference(&parse)?;
        put(&mut self.out, parse.as_ref());
        frame::put_empty(&mut self.local_answer, b'1');
        self.completions.push_back(Completion::Parse(name.clone(), parse.clone()));
        self.statements.insert(name, Some(parse.clone()));
        self.unnamed = Some(parse);
        Ok(())
    }

    fn bind(&mut self, mut bind: Bind) -> PlanResult {
        let parse = self.reference_statement(bind.statement_name.take())?;
        let portal = bind.portal_name.clone().unwrap_or_default();
        put(&mut self.out, &bind);
        frame::put_empty(&mut self.local_answer, b'2');
        self.completions.push_back(Completion::Bind(portal.clone(), parse.clone()));
        self.portals.insert(portal, Some(parse));
        Ok(())
    }

    fn describe(&mut self, mut describe: Describe) -> PlanResult {
        if describe.target_type == b'S' {
            self.reference_statement(describe.name.take())?;
            put(&mut self.local_answer, &ParameterDescription::new(Vec::new()));
        }
        put(&mut self.out, &describe);
        frame::put_empty(&mut self.local_answer, b'n');
        Ok(())
    }

    fn execute(&mut self, execute: &Execute, frame: &Frame) -> PlanResult {
        let name = execute.name.clone().unwrap_or_default();
        let parse = match self.portals.get(&name) {
            Some(found) => found.clone(),
            None => self.prepared.portals.get(&name).cloned(),
        };
        let parse =
            parse.ok_or_else(|| SqlError::new("34000", "not run: the portal does not exist"))?;
        let list = statement::classify(&parse.query, self.config);
        self.executed.extend(list.into_iter().next());
        frame::put_complete(&mut self.local_answer, "SET");
        self.out.extend_from_slice(&frame.bytes);
        Ok(())
    }

    fn close(&mut self, mut close: Close) -> PlanResult {
        let name = close.name.clone().unwrap_or_default();
        if close.target_type == b'S' {
            close.name = None;
            self.unnamed = None;
            self.statements.insert(name.clone(), None);
        } else {
            self.portals.insert(name.clone(), None);
        }
        put(&mut self.out, &close);
        frame::put_empty(&mut self.local_answer, b'3');
        self.completions.push_back(Completion::Close(close.target_type, name));
        Ok(())
    }

    fn find_statement(&self, name: &str) -> Option<Arc<Parse>> {
        match self.statements.get(name) {
            Some(found) => found.clone(),
            None => self.prepared.statements.get(name).cloned(),
        }
    }

    /// Returns the statement `name`; inserts an unnamed `Parse` if it is not the unnamed statement
    /// on the server.
    fn reference_statement(&mut self, name: Option<String>) -> Result<Arc<Parse>, SqlError> {
        let found = self.find_statement(&name.unwrap_or_default());
        let parse = found.ok_or_else(|| {
            SqlError::new("26000", "not run: the prepared statement does not exist")
        })?;
        if !self.unnamed.as_ref().is_some_and(|unnamed| Arc::ptr_eq(unnamed, &parse)) {
            self.add_reference(&parse)?;
            put(&mut self.out, parse.as_ref());
            self.completions.push_back(Completion::Inject);
            self.injected = true;
            self.unnamed = Some(parse.clone());
        }
        Ok(parse)
    }

    fn add_reference(&mut self, parse: &Parse) -> PlanResult {
        let mut list = statement::classify(&parse.query, self.config);
        if list.len() > 1 {
            return Err(SqlError::new(
                "42601",
                "not run: several statements in a prepared statement",
            ));
        }
        if self.hints == Hints::default() {
            self.hints = statement::parse_hints(&parse.query);
        }
        self.referenced.append(&mut list);
        Ok(())
    }

    fn finish(self, in_transaction: bool) -> Plan {
        let settings =
            self.referenced.iter().filter(|item| matches!(item.effect, Effect::Setting(_))).count();
        if settings > 0 && settings == self.referenced.len() && !(self.simple && settings > 1) {
            let effects = self.executed.into_iter().map(|item| item.effect);
            let list = effects.filter_map(|effect| match effect {
                Effect::Setting(setting) => Some(setting),
                _ => None,
            });
            return Plan::Local(list.collect(), self.local_answer);
        }
        let refused =
            |item: &Statement| matches!(item.effect, Effect::Setting(_) | Effect::LeavesState);
        if self.referenced.iter().any(refused) {
            return Plan::Refuse(refusal_error(Reason::State, 0));
        }
        let needs = if self.executed.is_empty() {
            let inside =
                if in_transaction { TransactionEffect::Inside } else { TransactionEffect::Single };
            Ok(Needs { idempotent: !in_transaction, ..combine(&self.referenced, inside) })
        } else {
            derive_needs(&self.executed, in_transaction, self.simple)
        };
        match needs {
            Ok(needs) => Plan::Forward(Box::new(Forward {
                messages: self.out,
                hints: self.hints,
                needs,
                completions: self.completions,
                injected: self.injected,
            })),
            Err(error) => Plan::Refuse(error),
        }
    }
}

/// Combined needs of the executed statements.
fn derive_needs(list: &[Statement], in_transaction: bool, simple: bool) -> Result<Needs, SqlError> {
    let controls: Vec<usize> =
        (0..list.len()).filter(|&at| is_transaction_control(&list[at].effect)).collect();
    if simple && list.len() > 1 && !controls.is_empty() {
        return Err(SqlError::new(
            "0A000",
            "not run: transaction control among several statements",
        ));
    }
    if list.iter().any(|item| item.kind != list[0].kind) && simple {
        return Err(SqlError::new("0A000", "not run: reads and writes in one query"));
    }
    let block = match (&controls[..], in_transaction) {
        ([], false) => TransactionEffect::Single,
        ([], true) => TransactionEffect::Inside,
        ([0], false) if list[0].effect == Effect::Begin => TransactionEffect::Begin,
        ([0], true) if list[0].effect == Effect::Begin && list.len() == 1 => {
            TransactionEffect::Inside
        }
        // Outside a transaction the server only warns.
        ([0], false) if list.len() == 1 => TransactionEffect::Single,
        ([at], true) if at + 1 == list.len() && list[*at].effect == Effect::Commit => {
            TransactionEffect::Commit
        }
        ([at], true) if at + 1 == list.len() && list[*at].effect == Effect::Rollback => {
            TransactionEffect::Rollback
        }
        _ => {
            return Err(SqlError::new(
                "0A000",
                "not run: transaction control in the middle of a batch",
            ));
        }
    };
    Ok(combine(list, block))
}

fn combine(list: &[Statement], block: TransactionEffect) -> Needs {
    let single = block == TransactionEffect::Single;
    Needs {
        block,
        read: single && !list.is_empty() && list.iter().all(|item| item.kind == Kind::Read),
        idempotent: single && list.iter().all(|item| item.idempotent),
        open: single
            && !list.is_empty()
            && list.iter().all(|item| item.open && !is_transaction_control(&item.effect)),
        class: list.iter().map(|item| item.class).max().unwrap_or(Class::Interactive),
    }
}

fn is_transaction_control(effect: &Effect) -> bool {
    matches!(effect, Effect::Begin | Effect::Commit | Effect::Rollback)
}

/// Whether all statements of the messages are on open routes.
pub(crate) fn all_on_open_routes(messages: &[u8], config: &Config) -> bool {
    let plan = Prepared::default().plan(&frame::split_frames(messages), config, false);
    matches!(plan, Plan::Forward(forward) if forward.needs.open)
}

fn malformed() -> SqlError {
    SqlError::new("08P01", "not run: the message is malformed")
}
