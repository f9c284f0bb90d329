//! Parsing and printing of the wire. Translates names to numbers and back; decides nothing.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, Write};

use ashtide::quic::load_balancing::server_id_for_name;
use ashtide::settings::{NameTables, PlatformSettings, group_id, span_from_seconds};
use ashtide::{
    Action, Balancer, CellId, ClassId, EndpointEntry, Event, KindId, ListUpdate, LoadReport, Outcome,
    Request, RequestId, ServerId, ServerState, Settings, Span, TenantId, Time, TimerToken, ZoneId,
};

/// Why the adapter stops early.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Standard input or output failed.
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
    /// A line does not follow the wire's grammar.
    #[error("line {line}: {problem}")]
    Line {
        /// The line's number, from 1.
        line: u64,
        /// What is wrong with it.
        problem: String,
    },
}

type Parsed<T> = Result<T, String>;

/// One line's fields: `name=value` pairs in any order.
struct Fields<'a> {
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    /// Splits a line; the field named `rest`, if met, extends to the line's end.
    fn split(mut text: &'a str, rest: &str) -> Parsed<Self> {
        let mut pairs = Vec::with_capacity(8);
        while !text.is_empty() {
            let (name, tail) =
                text.split_once('=').ok_or_else(|| format!("'{}' is no name=value pair", truncated(text)))?;
            if !rest.is_empty() && name == rest {
                pairs.push((name, tail));
                break;
            }
            if name.is_empty() || name.contains(' ') {
                return Err(format!("'{}' is no name=value pair", truncated(text)));
            }
            let (value, tail) = tail.split_once(' ').unwrap_or((tail, ""));
            pairs.push((name, value));
            text = tail;
        }
        Ok(Self { pairs })
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(n, _)| *n == name).map(|&(_, value)| value)
    }

    fn required(&self, name: &str) -> Parsed<&'a str> {
        self.get(name).ok_or_else(|| format!("field '{name}' is missing"))
    }

    fn required_integer(&self, name: &str) -> Parsed<u64> {
        parse_integer(name, self.required(name)?)
    }

    fn required_u32(&self, name: &str) -> Parsed<u32> {
        to_u32(name, self.required_integer(name)?)
    }

    fn optional_number(&self, name: &str) -> Parsed<Option<f64>> {
        self.get(name).map(|value| parse_number(name, value)).transpose()
    }

    fn span(&self, name: &str) -> Parsed<Span> {
        Ok(self.optional_number(name)?.map_or(Span::ZERO, span_from_seconds))
    }

    fn flag(&self, name: &str) -> Parsed<bool> {
        match self.get(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => Err(format!("field '{name}': '{}' is neither 0 nor 1", truncated(other))),
        }
    }
}

fn truncated(text: &str) -> String {
    text.chars().take(40).collect()
}

fn to_u32(name: &str, value: u64) -> Parsed<u32> {
    u32::try_from(value).map_err(|_| format!("field '{name}': {value} is out of range"))
}

fn parse_integer(name: &str, value: &str) -> Parsed<u64> {
    let bad = || format!("field '{name}': '{}' is no whole number", truncated(value));
    value.parse().map_err(|_| bad())
}

fn parse_number(name: &str, value: &str) -> Parsed<f64> {
    let bad = || format!("field '{name}': '{}' is no number", truncated(value));
    value.parse().map_err(|_| bad())
}

fn time(seconds: f64) -> Time {
    Time::from_micros(span_from_seconds(seconds).as_micros())
}

/// A row of a `DIRECTORY`, with its names as they came.
struct DirectoryRow {
    server: String,
    zone: String,
    kind: String,
    cell: u32,
    state: ServerState,
    size: f64,
    started: Option<Time>,
}

impl DirectoryRow {
    fn parse(text: &str) -> Parsed<Self> {
        let fields = Fields::split(text, "")?;
        Ok(Self {
            server: fields.required("backend")?.to_owned(),
            zone: fields.get("rackZone").unwrap_or("").to_owned(),
            kind: fields.get("model").unwrap_or("").to_owned(),
            cell: match fields.get("cluster") {
                Some(value) => to_u32("cluster", parse_integer("cluster", value)?)?,
                None => 0,
            },
            state: match fields.get("state") {
                None | Some("on") => ServerState::Ready,
                Some("fading") => ServerState::Draining,
                Some("off") => ServerState::Removed,
                Some(other) => return Err(format!("unknown state '{}'", truncated(other))),
            },
            size: fields.optional_number("size")?.unwrap_or(1.0),
            started: fields.optional_number("startTime")?.filter(|&t| t != 0.0).map(time),
        })
    }
}

/// One relay: its module and the names it has met.
struct Gateway {
    balancer: Balancer,
    names: NameTables,
}

impl Gateway {
    fn start(fields: &Fields) -> Parsed<Self> {
        let seed = fields.required_integer("initSeed")?;
        let facts = PlatformSettings::parse(fields.required("facts")?)
            .map_err(|e| format!("field 'facts' cannot be read: {e}"))?;
        let names = facts.name_tables();
        let settings = Settings { fleet_permits: false, ..facts.balancer_settings(&names) };
        let module = Balancer::new(settings, seed);
        Ok(Self { balancer: module, names })
    }

    fn server_id(&mut self, fields: &Fields) -> Parsed<ServerId> {
        Ok(ServerId(self.names.servers.intern(fields.required("backend")?)))
    }

    fn endpoint_entry(&mut self, row: &DirectoryRow) -> EndpointEntry {
        EndpointEntry {
            server: ServerId(self.names.servers.intern(&row.server)),
            hash_key: u32::from_be_bytes(server_id_for_name(&row.server)),
            zone: ZoneId(self.names.zones.intern(&row.zone)),
            machine_kind: KindId(self.names.kinds.intern(&row.kind)),
            cell: CellId(row.cell),
            state: row.state,
            weight: row.size,
            started_at: row.started,
        }
    }

    fn parse_request(&mut self, fields: &Fields) -> Parsed<Request> {
        let band = fields.required("band")?;
        let class = self
            .names
            .classes
            .find(band)
            .ok_or_else(|| format!("class '{}' is not in the settings", truncated(band)))?;
        Ok(Request {
            id: RequestId(fields.required_u32("opId")?),
            class: ClassId(class),
            tenant: fields.get("owner").and_then(|t| self.names.tenants.find(t)).map(TenantId),
            group: fields.get("room").map(group_id),
            time_left: fields.span("ttl")?,
            load: fields.optional_number("workHint")?,
        })
    }

    /// Turns one line into an event of the module; `None` for what the module has no use for.
    fn parse_event(&mut self, name: &str, fields: &Fields, rows: &Directories) -> Parsed<Option<Event>> {
        let id = || fields.required_u32("opId").map(RequestId);
        let attempt = || fields.required_u32("trial");
        Ok(Some(match name {
            "DISCOVERY" => {
                let news = match fields.required("how")? {
                    "patch" => ListUpdate::Delta,
                    "whole" => ListUpdate::Snapshot,
                    "stale_copy" => ListUpdate::Cached,
                    "broken" => ListUpdate::WatchFailed,
                    other => return Err(format!("unknown list news '{}'", truncated(other))),
                };
                let mut entries = Vec::new();
                if news != ListUpdate::WatchFailed {
                    let slot = fields.required_integer("slot")?;
                    let rows = rows.get(&slot).ok_or_else(|| format!("no DIRECTORY {slot}"))?;
                    entries.extend(rows.iter().map(|row| self.endpoint_entry(row)));
                }
                Event::EndpointList { update: news, entries }
            }
            "QUERY" => Event::Request(self.parse_request(fields)?),
            "EXISTING" => Event::ExistingConnection {
                request: self.parse_request(fields)?,
                server: self.server_id(fields)?,
            },
            "UNDER_WAY" => {
                Event::Established { id: id()?, attempt: attempt()?, elapsed: fields.span("delaySeen")? }
            }
            "RESULT" => Event::AttemptEnded {
                id: id()?,
                attempt: attempt()?,
                outcome: parse_outcome(fields.required("verdict")?)?,
                request_done: fields.flag("noMore")?,
            },
            "GONE" => Event::ClientLeft { id: id()? },
            "UPDATE_OF" => {
                let amount = fields.optional_number("amount")?.unwrap_or(0.0);
                match fields.required_integer("what")? {
                    1 => Event::LoadChanged { id: id()?, load: amount / 1e6 },
                    2 => Event::SlowResponses {
                        server: self.server_id(fields)?,
                        response_time: span_from_seconds(amount / 1e3),
                    },
                    _ => return Ok(None),
                }
            }
            "SAMPLED" => Event::HealthChecked {
                server: self.server_id(fields)?,
                healthy: fields.required("verdict")? == "Ok",
                report: fields.get("healthInfo").map(parse_load_report).transpose()?,
            },
            "ALARM" => Event::Timer(TimerToken(fields.required_integer("handle")?)),
            // What gateways tell each other is spoken by the daemon only: see `settings`.
            "MAIL" => {
                fields.required_u32("author")?;
                parse_hex(fields.get("body").unwrap_or("-"))?;
                return Ok(None);
            }
            other => return Err(format!("unknown event '{}'", truncated(other))),
        }))
    }
}

type Directories = HashMap<u64, Vec<DirectoryRow>>;

fn parse_outcome(word: &str) -> Parsed<Outcome> {
    Ok(match word {
        "Ok" => Outcome::Ok,
        "Failed" => Outcome::Failed,
        "QueueFull" => Outcome::QueueFull,
        "TimedOut" => Outcome::TimedOut,
        "ConnectError" => Outcome::ConnectError,
        "ResetByPeer" => Outcome::Reset,
        "Canceled" => Outcome::Cancelled,
        "Ignored" => Outcome::NotSent,
        other => return Err(format!("unknown outcome '{}'", truncated(other))),
    })
}

fn parse_load_report(text: &str) -> Parsed<LoadReport> {
    let mut report = LoadReport::default();
    for pair in text.split(',').filter(|pair| !pair.is_empty()) {
        let Some((name, value)) = pair.split_once(':') else {
            return Err(format!("'{}' is no name:value pair", truncated(pair)));
        };
        match name {
            "x0" => report.load_ratio = Some(parse_number(name, value)?),
            "cpu_share" => report.utilisation = Some(parse_number(name, value)?),
            _ => {}
        }
    }
    Ok(report)
}

fn parse_hex(hex: &str) -> Parsed<Vec<u8>> {
    let bad = || format!("'{}' is no row of hex digits", truncated(hex));
    if hex == "-" {
        return Ok(Vec::new());
    }
    if hex.len() % 2 != 0 || !hex.is_ascii() {
        return Err(bad());
    }
    (0..hex.len()).step_by(2).map(|at| u8::from_str_radix(&hex[at..at + 2], 16).map_err(|_| bad())).collect()
}

/// Prints an action; server ids the module names came from `servers`.
fn write_action(out: &mut String, relay: u64, servers: &[String], action: &Action) {
    let name = |server: ServerId| servers[server.0 as usize].as_str();
    let seconds = |us: i64| us as f64 / 1e6;
    let _ = match *action {
        Action::Attempt { id, server, timeout } => writeln!(
            out,
            "DELIVER relayId={relay} opId={} backend={} cap={}",
            id.0,
            name(server),
            seconds(timeout.as_micros())
        ),
        Action::Reject { id, retry_after } => writeln!(
            out,
            "REJECT relayId={relay} opId={} comeBack={}",
            id.0,
            seconds(retry_after.as_micros())
        ),
        Action::Fail { id } => writeln!(out, "END_FAILED relayId={relay} opId={}", id.0),
        Action::CancelAttempt { id, attempt } => {
            writeln!(out, "RECALL relayId={relay} opId={} trial={attempt}", id.0)
        }
        Action::Migrate { id } => writeln!(out, "GO_AWAY relayId={relay} opId={}", id.0),
        Action::SetTimer { token, due_at: at } => {
            writeln!(out, "NOTIFY_ME relayId={relay} handle={} when={}", token.0, seconds(at.as_micros()))
        }
        Action::CheckHealth { server } => {
            writeln!(out, "TEST relayId={relay} backend={}", name(server))
        }
        // Switched off where the settings are read.
        Action::RequestPermit { .. } => Ok(()),
        Action::Subscribe => writeln!(out, "SUBSCRIBE relayId={relay} on=1"),
    };
}

/// All instances of this process and the lists that their events refer to.
#[derive(Default)]
struct Simulation {
    gateways: HashMap<u64, Gateway>,
    directories: Directories,
    /// The `DIRECTORY` being read and how many rows it still lacks.
    open_directory: Option<(u64, u64)>,
    actions: Vec<Action>,
}

impl Simulation {
    fn handle_line(&mut self, now: Time, line: &str, out: &mut String) -> Parsed<()> {
        let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
        if let Some((slot, missing)) = self.open_directory {
            if name != "ROW" {
                return Err(format!("'{}' where a ROW was due", truncated(name)));
            }
            self.directories.entry(slot).or_default().push(DirectoryRow::parse(rest)?);
            self.open_directory = (missing > 1).then_some((slot, missing - 1));
            return Ok(());
        }
        let fields = Fields::split(rest, if name == "START" { "facts" } else { "" })?;
        match name {
            "DIRECTORY" => {
                let (slot, entries) = (fields.required_integer("slot")?, fields.required_integer("entries")?);
                self.directories.insert(slot, Vec::new());
                self.open_directory = (entries > 0).then_some((slot, entries));
                return Ok(());
            }
            "START" => {
                self.gateways.insert(fields.required_integer("relayId")?, Gateway::start(&fields)?);
                return Ok(());
            }
            "SHUTDOWN" => {
                self.gateways.remove(&fields.required_integer("relayId")?);
                return Ok(());
            }
            _ => {}
        }
        let number = fields.required_integer("relayId")?;
        let relay = self
            .gateways
            .get_mut(&number)
            .ok_or_else(|| format!("'{}' for relay {number}, which was not started", truncated(name)))?;
        if let Some(event) = relay.parse_event(name, &fields, &self.directories)? {
            relay.balancer.handle(now, event, &mut self.actions);
            for action in self.actions.drain(..) {
                write_action(out, number, relay.names.servers.names(), &action);
            }
        }
        Ok(())
    }
}

/// Serves batches until the input ends.
///
/// # Errors
///
/// Fails on broken pipes and on lines that do not follow the grammar.
pub fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), WireError> {
    let mut host = Simulation::default();
    let mut now: Option<Time> = None;
    let (mut raw, mut out) = (Vec::new(), String::new());
    let mut line = 0;
    loop {
        raw.clear();
        if input.read_until(b'\n', &mut raw)? == 0 {
            let problem = "the input ends within a batch".to_owned();
            return if now.is_none() { Ok(()) } else { Err(WireError::Line { line, problem }) };
        }
        line += 1;
        let fail = |problem: String| WireError::Line { line, problem };
        let text = std::str::from_utf8(&raw).map_err(|_| fail("not UTF-8".to_owned()))?;
        let text = text.trim_end_matches(['\n', '\r']);
        match (now, text) {
            (_, "") => {}
            (Some(_), "EOB") => {
                if host.open_directory.is_some() {
                    return Err(fail("the batch ends within a DIRECTORY".to_owned()));
                }
                out.push_str("DONE\n");
                output.write_all(out.as_bytes())?;
                output.flush()?;
                out.clear();
                now = None;
            }
            (Some(now), _) => host.handle_line(now, text, &mut out).map_err(fail)?,
            (None, _) => now = Some(parse_turn(text).map_err(fail)?),
        }
    }
}

fn parse_turn(text: &str) -> Parsed<Time> {
    let rest =
        text.strip_prefix("TURN ").ok_or_else(|| format!("'{}' where a TURN was due", truncated(text)))?;
    let fields = Fields::split(rest, "")?;
    let clock = parse_number("simTime", fields.required("simTime")?)?;
    if clock.is_finite() { Ok(time(clock)) } else { Err("the clock is not finite".to_owned()) }
}
