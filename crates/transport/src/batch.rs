//! Turns a caller's messages into one request.
//!
//! Prepared statements are kept per caller and sent as unnamed ones, so that server connections
//! hold no state of a caller. Where a message names a statement that the batch has not parsed, an
//! unnamed `Parse` goes before it, and its `ParseComplete` is removed from the answer.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use auburnlug_protocol::{
    outcome::{Fault, refusal},
    peer::{Block, Reason},
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

/// Bytes of prepared statements that a caller may keep.
const MAX_PREPARED: usize = 4 << 20;

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
    /// Changes settings of the proxy and is answered with these messages.
    Local(Vec<Setting>, BytesMut),
    /// Refused without being forwarded.
    Refuse(Fault),
    /// Forwarded to the owner.
    Forward(Box<Forward>),
}

/// A batch to forward.
#[derive(Debug)]
pub(crate) struct Forward {
    /// Frontend messages.
    pub messages: BytesMut,
    /// Values of the leading comment.
    pub hints: Hints,
    /// What its statements need together.
    pub needs: Needs,
    steps: VecDeque<Step>,
    injected: bool,
}

impl Forward {
    /// Answer, without `ReadyForQuery`, to a batch whose one statement completed as `tag`.
    pub(crate) fn completed(&self, tag: &str) -> BytesMut {
        let mut out = BytesMut::new();
        for step in &self.steps {
            match step {
                Step::Inject => {}
                Step::Parse(..) => frame::put_empty(&mut out, b'1'),
                Step::Bind(..) => frame::put_empty(&mut out, b'2'),
                Step::Close(..) => frame::put_empty(&mut out, b'3'),
            }
        }
        frame::put_complete(&mut out, tag);
        out
    }
}

/// What the statements of a request need together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Needs {
    /// Effect on the transaction.
    pub block: Block,
    /// Whether a replica may serve it.
    pub read: bool,
    /// Whether it may run twice without harm.
    pub idempotent: bool,
    /// Whether all statements are on open routes.
    pub open: bool,
    /// Scheduling class.
    pub class: Class,
}

/// A message whose completion changes what the caller has prepared.
#[derive(Debug)]
enum Step {
    Inject,
    Parse(String, Arc<Parse>),
    Bind(String, Arc<Parse>),
    Close(u8, String),
}

impl Prepared {
    /// Plans the `batch`, which ends with `Query` or `Sync`; `open` tells an open transaction.
    pub(crate) fn plan(&self, batch: &[Frame], config: &Config, open: bool) -> Plan {
        let mut planner = Planner::new(self, config);
        for frame in batch {
            if let Err(fault) = planner.message(frame) {
                return Plan::Refuse(fault);
            }
        }
        planner.finish(open)
    }

    /// Registers what the `answer` to a forwarded batch completed, and removes from it what the
    /// caller did not ask for.
    pub(crate) fn complete(&mut self, forward: &mut Forward, answer: Vec<u8>) -> Vec<u8> {
        if forward.steps.is_empty() {
            return answer;
        }
        let mut out = Vec::with_capacity(if forward.injected { answer.len() } else { 0 });
        for frame in frame::frames(&answer) {
            let hidden =
                matches!(frame.tag, b'1' | b'2' | b'3') && self.step(forward.steps.pop_front());
            if forward.injected && !hidden {
                out.extend_from_slice(&frame.bytes);
            }
        }
        if forward.injected { out } else { answer }
    }

    /// Forgets the portals, which end with the transaction.
    pub(crate) fn end(&mut self) {
        self.portals.clear();
    }

    fn step(&mut self, step: Option<Step>) -> bool {
        match step {
            Some(Step::Inject) => return true,
            Some(Step::Parse(name, parse)) => {
                self.bytes += parse.query.len();
                let old = self.statements.insert(name, parse);
                self.bytes -= old.map_or(0, |old| old.query.len());
            }
            Some(Step::Bind(name, parse)) => {
                self.portals.insert(name, parse);
            }
            Some(Step::Close(b'S', name)) => {
                let old = self.statements.remove(&name);
                self.bytes -= old.map_or(0, |old| old.query.len());
            }
            Some(Step::Close(_, name)) => {
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
    local: BytesMut,
    steps: VecDeque<Step>,
    statements: BTreeMap<String, Option<Arc<Parse>>>,
    portals: BTreeMap<String, Option<Arc<Parse>>>,
    /// Statement that the server holds as the unnamed one.
    current: Option<Arc<Parse>>,
    injected: bool,
    hints: Hints,
    executed: Vec<Statement>,
    /// Classes of all statements that were parsed or named.
    touched: Vec<Statement>,
    simple: bool,
}

type Planned = Result<(), Fault>;

impl<'a> Planner<'a> {
    fn new(prepared: &'a Prepared, config: &'a Config) -> Planner<'a> {
        Planner {
            prepared,
            config,
            out: BytesMut::new(),
            local: BytesMut::new(),
            steps: VecDeque::new(),
            statements: BTreeMap::new(),
            portals: BTreeMap::new(),
            current: None,
            injected: false,
            hints: Hints::default(),
            executed: Vec::new(),
            touched: Vec::new(),
            simple: false,
        }
    }

    fn message(&mut self, frame: &Frame) -> Planned {
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
            _ => Err(Fault::new("0A000", "not run: the message is not supported")),
        }
    }

    fn query(&mut self, frame: &Frame) -> Planned {
        let query: Query = frame.decode().ok_or_else(malformed)?;
        self.simple = true;
        self.hints = statement::hints(&query.query);
        self.executed = statement::classify(&query.query, self.config);
        self.touched = self.executed.clone();
        for _ in &self.executed {
            frame::put_complete(&mut self.local, "SET");
        }
        self.out.extend_from_slice(&frame.bytes);
        Ok(())
    }

    fn parse(&mut self, mut parse: Parse) -> Planned {
        let name = parse.name.take().unwrap_or_default();
        if !name.is_empty() && self.find(&name).is_some() {
            return Err(Fault::new("42P05", "not run: the prepared statement already exists"));
        }
        if self.prepared.bytes + parse.query.len() > MAX_PREPARED {
            return Err(Fault::new("54000", "not run: too many prepared statements"));
        }
        let parse = Arc::new(parse);
        self.touch(&parse)?;
        put(&mut self.out, parse.as_ref());
        frame::put_empty(&mut self.local, b'1');
        self.steps.push_back(Step::Parse(name.clone(), parse.clone()));
        self.statements.insert(name, Some(parse.clone()));
        self.current = Some(parse);
        Ok(())
    }

    fn bind(&mut self, mut bind: Bind) -> Planned {
        let parse = self.named(bind.statement_name.take())?;
        let portal = bind.portal_name.clone().unwrap_or_default();
        put(&mut self.out, &bind);
        frame::put_empty(&mut self.local, b'2');
        self.steps.push_back(Step::Bind(portal.clone(), parse.clone()));
        self.portals.insert(portal, Some(parse));
        Ok(())
    }

    fn describe(&mut self, mut describe: Describe) -> Planned {
        if describe.target_type == b'S' {
            self.named(describe.name.take())?;
            put(&mut self.local, &ParameterDescription::new(Vec::new()));
        }
        put(&mut self.out, &describe);
        frame::put_empty(&mut self.local, b'n');
        Ok(())
    }

    fn execute(&mut self, execute: &Execute, frame: &Frame) -> Planned {
        let name = execute.name.clone().unwrap_or_default();
        let parse = match self.portals.get(&name) {
            Some(found) => found.clone(),
            None => self.prepared.portals.get(&name).cloned(),
        };
        let parse =
            parse.ok_or_else(|| Fault::new("34000", "not run: the portal does not exist"))?;
        let list = statement::classify(&parse.query, self.config);
        self.executed.extend(list.into_iter().next());
        frame::put_complete(&mut self.local, "SET");
        self.out.extend_from_slice(&frame.bytes);
        Ok(())
    }

    fn close(&mut self, mut close: Close) -> Planned {
        let name = close.name.clone().unwrap_or_default();
        if close.target_type == b'S' {
            close.name = None;
            self.current = None;
            self.statements.insert(name.clone(), None);
        } else {
            self.portals.insert(name.clone(), None);
        }
        put(&mut self.out, &close);
        frame::put_empty(&mut self.local, b'3');
        self.steps.push_back(Step::Close(close.target_type, name));
        Ok(())
    }

    fn find(&self, name: &str) -> Option<Arc<Parse>> {
        match self.statements.get(name) {
            Some(found) => found.clone(),
            None => self.prepared.statements.get(name).cloned(),
        }
    }

    /// The statement `name`; sends an unnamed `Parse` if the server does not hold it.
    fn named(&mut self, name: Option<String>) -> Result<Arc<Parse>, Fault> {
        let found = self.find(&name.unwrap_or_default());
        let parse = found
            .ok_or_else(|| Fault::new("26000", "not run: the prepared statement does not exist"))?;
        if !self.current.as_ref().is_some_and(|current| Arc::ptr_eq(current, &parse)) {
            self.touch(&parse)?;
            put(&mut self.out, parse.as_ref());
            self.steps.push_back(Step::Inject);
            self.injected = true;
            self.current = Some(parse.clone());
        }
        Ok(parse)
    }

    fn touch(&mut self, parse: &Parse) -> Planned {
        let mut list = statement::classify(&parse.query, self.config);
        if list.len() > 1 {
            return Err(Fault::new("42601", "not run: several statements in a prepared statement"));
        }
        if self.hints == Hints::default() {
            self.hints = statement::hints(&parse.query);
        }
        self.touched.append(&mut list);
        Ok(())
    }

    fn finish(self, open: bool) -> Plan {
        let settings =
            self.touched.iter().filter(|item| matches!(item.effect, Effect::Setting(_))).count();
        if settings > 0 && settings == self.touched.len() && !(self.simple && settings > 1) {
            let effects = self.executed.into_iter().map(|item| item.effect);
            let list = effects.filter_map(|effect| match effect {
                Effect::Setting(setting) => Some(setting),
                _ => None,
            });
            return Plan::Local(list.collect(), self.local);
        }
        let refused = |item: &Statement| matches!(item.effect, Effect::Setting(_) | Effect::State);
        if self.touched.iter().any(refused) {
            return Plan::Refuse(refusal(Reason::State, 0));
        }
        let needs = if self.executed.is_empty() {
            let inside = if open { Block::Inside } else { Block::Single };
            Ok(Needs { idempotent: !open, ..combine(&self.touched, inside) })
        } else {
            needs(&self.executed, open, self.simple)
        };
        match needs {
            Ok(needs) => Plan::Forward(Box::new(Forward {
                messages: self.out,
                hints: self.hints,
                needs,
                steps: self.steps,
                injected: self.injected,
            })),
            Err(fault) => Plan::Refuse(fault),
        }
    }
}

/// What the executed statements need together.
fn needs(list: &[Statement], open: bool, simple: bool) -> Result<Needs, Fault> {
    let controls: Vec<usize> = (0..list.len()).filter(|&at| control(&list[at].effect)).collect();
    if simple && list.len() > 1 && !controls.is_empty() {
        return Err(Fault::new("0A000", "not run: transaction control among several statements"));
    }
    if list.iter().any(|item| item.kind != list[0].kind) && simple {
        return Err(Fault::new("0A000", "not run: reads and writes in one query"));
    }
    let block = match (&controls[..], open) {
        ([], false) => Block::Single,
        ([], true) => Block::Inside,
        ([0], false) if list[0].effect == Effect::Begin => Block::Begin,
        ([0], true) if list[0].effect == Effect::Begin && list.len() == 1 => Block::Inside,
        // Outside a transaction the server only warns.
        ([0], false) if list.len() == 1 => Block::Single,
        ([at], true) if at + 1 == list.len() && list[*at].effect == Effect::Commit => Block::Commit,
        ([at], true) if at + 1 == list.len() && list[*at].effect == Effect::Rollback => {
            Block::Rollback
        }
        _ => {
            return Err(Fault::new(
                "0A000",
                "not run: transaction control in the middle of a batch",
            ));
        }
    };
    Ok(combine(list, block))
}

fn combine(list: &[Statement], block: Block) -> Needs {
    let single = block == Block::Single;
    Needs {
        block,
        read: single && !list.is_empty() && list.iter().all(|item| item.kind == Kind::Read),
        idempotent: single && list.iter().all(|item| item.idempotent),
        open: single
            && !list.is_empty()
            && list.iter().all(|item| item.open && !control(&item.effect)),
        class: list.iter().map(|item| item.class).max().unwrap_or(Class::Interactive),
    }
}

fn control(effect: &Effect) -> bool {
    matches!(effect, Effect::Begin | Effect::Commit | Effect::Rollback)
}

/// Whether all statements of the messages are on open routes.
pub(crate) fn open(messages: &[u8], config: &Config) -> bool {
    let plan = Prepared::default().plan(&frame::frames(messages), config, false);
    matches!(plan, Plan::Forward(forward) if forward.needs.open)
}

fn malformed() -> Fault {
    Fault::new("08P01", "not run: the message is malformed")
}
